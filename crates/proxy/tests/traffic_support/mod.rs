//! A cluster for tests of the traffic threads: real traffic threads in front of stand-in targets, with a stub
//! of the control thread whose published state the tests set.

#![allow(dead_code)]

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use serde_json::json;
use skylark_core::FastMap;
use skylark_core::FastSet;
use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::objects::VmState;
use skylark_core::version::topology::Topology;
use skylark_proxy::connection::limits::TrafficLimits;
use skylark_proxy::process::clock::MonotonicClock;
use skylark_proxy::process::control_handle::ControlEvent;
use skylark_proxy::process::control_handle::ControlHandle;
use skylark_proxy::process::control_handle::VersionedEvent;
use skylark_proxy::process::counters::Counters;
use skylark_proxy::process::traffic;
use skylark_proxy::process::traffic::TrafficOptions;
use skylark_proxy::version::published::GroupLive;
use skylark_proxy::version::published::GroupView;
use skylark_proxy::version::published::Leader;
use skylark_proxy::version::published::MemberLive;
use skylark_proxy::version::published::Published;
use skylark_proxy::version::published::PublishedSlot;
use skylark_standin::network::Network;
use skylark_standin::target::options::TargetOptions;
use skylark_standin::target::server::TargetServer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use self::fault_relay::FaultRelay;

pub mod client;
pub mod fault_relay;

/// The name of the only group, which is also the database's name.
pub const GROUP: &str = "loans";

/// The availability zones of the group's three members; proxies are assigned to them in turn.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The timeout of each wait, far longer than any expected event takes.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The time after which an event that has not happened is taken as not happening. On a slow machine this can
/// only hide a failure, never cause one.
pub const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Runs a test's future on a runtime of its own, with a timeout.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime
        .block_on(async { tokio::time::timeout(TIMEOUT * 2, future).await })
        .expect("the test ends before the timeout")
}

/// Declares each case as a test that runs its asynchronous body on a runtime of its member_status.
#[macro_export]
macro_rules! cases {
    ($($(#[doc = $doc:literal])+ $name:ident $body:block)*) => {
        $($(#[doc = $doc])+
        #[test]
        fn $name() {
            traffic_support::block_on(async { $body });
        })*
    };
}

/// Polls until the condition holds. Panics after [`TIMEOUT`] with the condition's description.
pub async fn eventually<F>(condition: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let started = std::time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting until {condition}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// The options of a [`Cluster`].
#[derive(Clone)]
pub struct Setup {
    /// One proxy for each entry, with the indices (from 0) of the members that it is home to, that is,
    /// connects to. A proxy with none forwards its callers' requests to the homes.
    pub homes: Vec<Vec<usize>>,
    /// The limits that all proxies use.
    pub limits: TrafficLimits,
    /// The number of connections that each target accepts.
    pub connections: u32,
    /// The number of statements that each target runs concurrently.
    pub slots: u32,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            homes: vec![vec![0, 1, 2]],
            limits: TrafficLimits::default(),
            connections: 4,
            slots: 4,
        }
    }
}

/// Three targets of one group in three zones, a fault-injecting relay in front of each, and proxies.
pub struct Cluster {
    pub targets: Vec<TargetServer>,
    pub relays: Vec<FaultRelay>,
    pub proxies: Vec<Proxy>,
    /// The position of each session's last acknowledged write, shared by the control stubs of all proxies.
    pub floors: Arc<Mutex<FastMap<String, LogPosition>>>,
    network: Arc<Network>,
}

/// The traffic threads of one process, and the state that they share with its control stub.
pub struct Proxy {
    pub address: std::net::SocketAddr,
    pub slot: PublishedSlot,
    pub counters: Arc<Counters>,
    pub live: Arc<GroupLive>,
    pub clock: MonotonicClock,
    /// The indices of members whose status reports don't reach the control stub.
    pub muted: Arc<Mutex<FastSet<usize>>>,
    /// The events that the control stub received, except those about floors.
    pub control_events: Arc<Mutex<Vec<ControlEvent>>>,
    pub server_task: JoinHandle<()>,
}

impl Cluster {
    /// Starts the default cluster: one proxy that is home to all members.
    pub async fn start() -> Cluster {
        Cluster::start_with(Setup::default()).await
    }

    pub async fn start_with(setup: Setup) -> Cluster {
        let network = Network::new();
        let mut targets = Vec::new();
        let mut relays = Vec::new();
        for (index, zone) in ZONES.iter().enumerate() {
            let mut options = TargetOptions::new(&member_name(index), GROUP, zone);
            options.connections = setup.connections;
            options.slots = setup.slots;
            let server = TargetServer::start(options, &network).await.expect("a port is free");
            relays.push(FaultRelay::start(server.address()).await);
            targets.push(server);
        }
        make_primary(&targets, 0, 1);
        let mut cluster =
            Cluster { targets, relays, proxies: Vec::new(), floors: Arc::default(), network };
        cluster.start_proxies(&setup).await;
        for index in 0..3 {
            cluster.wait_applied(index, LogPosition::new(1, 1)).await;
        }
        cluster
    }

    async fn start_proxies(&mut self, setup: &Setup) {
        let mut listeners = Vec::new();
        for _ in &setup.homes {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port is free"));
        }
        let addresses: Vec<_> =
            listeners.iter().map(|listener| listener.local_addr().expect("bound")).collect();
        let topology = Arc::new(self.topology(setup, &addresses));
        for (proxy_index, listener) in listeners.into_iter().enumerate() {
            let proxy = self.start_proxy(setup, &topology, proxy_index, listener);
            self.proxies.push(proxy);
        }
    }

    fn topology(&self, setup: &Setup, addresses: &[std::net::SocketAddr]) -> Topology {
        let members: Vec<_> = self
            .relays
            .iter()
            .enumerate()
            .map(|(index, relay)| {
                json!({
                    "target": member_name(index), "zone": ZONES[index],
                    "address": relay.address().to_string(),
                    "slots": setup.slots, "connections": setup.connections,
                })
            })
            .collect();
        let service = json!({
            "read_kinds": [
                {"name": "lookup", "max_age_ms": 600_000},
                {"name": "fresh", "max_age_ms": 100, "class": "urgent"},
            ],
            "classes": [
                {"name": "main", "weight": 1, "goal_ms": 100},
                {"name": "urgent", "weight": 4, "goal_ms": 20},
            ],
        });
        let object = |kind, name: &str, body| StoredObject {
            kind,
            name: name.to_owned(),
            version: 1,
            deleted: false,
            body,
        };
        let vms = addresses
            .iter()
            .enumerate()
            .map(|(proxy_index, address)| VmRecord {
                vm: vm_name(proxy_index),
                zone: ZONES[proxy_index % 3].to_owned(),
                address: address.to_string(),
                control_address: address.to_string(),
                state: VmState::Live,
            })
            .collect();
        let group = json!({"service": "desk", "members": members});
        let objects = vec![
            object(ObjectKind::Service, "desk", service),
            object(ObjectKind::Group, GROUP, group),
        ];
        let topology = Topology::build(&Snapshot { revision: 7, objects, vms });
        assert_eq!(topology.problems, []);
        topology
    }

    fn start_proxy(
        &self,
        setup: &Setup,
        topology: &Arc<Topology>,
        proxy_index: usize,
        listener: TcpListener,
    ) -> Proxy {
        let own_vm_id = topology.vm_id(&vm_name(proxy_index)).expect("the proxy is listed");
        let homes = (0..3)
            .map(|index| {
                let homes_by_proxy = setup.homes.iter().enumerate();
                let home_indices = homes_by_proxy.filter(|(_, homes)| homes.contains(&index));
                home_indices
                    .map(|(home, _)| topology.vm_id(&vm_name(home)).expect("listed"))
                    .collect()
            })
            .collect();
        let live = Arc::new(GroupLive {
            confirmed: watch::Sender::new(LogPosition::default()),
            members: (0..3).map(|_| MemberLive::default()).collect(),
        });
        let tracked = !setup.homes[proxy_index].is_empty();
        let view = GroupView {
            leader: Some(Leader { term: Term(1), target: TargetId(0) }),
            moving: false,
            stalled: false,
            tracked,
            live: Arc::clone(&live),
        };
        let published = Published {
            topology: Arc::clone(topology),
            own_vm: Some(own_vm_id),
            groups: vec![view],
            homes,
            ready: true,
            stopping: false,
        };
        let slot: PublishedSlot = Arc::new(ArcSwap::from_pointee(published));
        let (control, events) = ControlHandle::new();
        let counters = Arc::new(Counters::default());
        let clock = MonotonicClock::start();
        let muted = Arc::default();
        let control_events = Arc::default();
        if tracked {
            self.publish_member_statuses(&live, clock, &muted);
        }
        tokio::spawn(control_stub(events, Arc::clone(&self.floors), Arc::clone(&control_events)));
        let address = listener.local_addr().expect("bound");
        let server_task = tokio::spawn(traffic::serve(TrafficOptions {
            threads: 2,
            listener,
            slot: Arc::clone(&slot),
            control,
            counters: Arc::clone(&counters),
            limits: setup.limits.clone(),
            vm: vm_name(proxy_index),
            zone: ZONES[proxy_index % 3].to_owned(),
            clock,
            log: slog::Logger::root(slog::Discard, slog::o!()),
        }));
        Proxy { address, slot, counters, live, clock, muted, control_events, server_task }
    }

    /// Publishes the members' status reports, as the control thread does.
    fn publish_member_statuses(
        &self,
        live: &Arc<GroupLive>,
        clock: MonotonicClock,
        muted: &Arc<Mutex<FastSet<usize>>>,
    ) {
        let all: Vec<_> = self.targets.iter().map(|server| server.target().subscribe()).collect();
        for index in 0..3 {
            let mut member_status = all[index].clone();
            let (all, live, muted) = (all.clone(), Arc::clone(live), Arc::clone(muted));
            tokio::spawn(async move {
                loop {
                    let reported: Vec<MemberStatus> = all
                        .iter()
                        .enumerate()
                        .filter(|(other, _)| !muted.lock().contains(other))
                        .map(|(_, status)| status.borrow().clone())
                        .collect();
                    let status = member_status.borrow_and_update().clone();
                    if !muted.lock().contains(&index) {
                        publish_status(&live, index, &status, &reported, clock);
                    }
                    tokio::select! {
                        changed = member_status.changed() => if changed.is_err() { return },
                        () = tokio::time::sleep(Duration::from_millis(20)) => (),
                    }
                }
            });
        }
    }

    /// Returns the first proxy.
    pub fn proxy(&self) -> &Proxy {
        &self.proxies[0]
    }

    /// Waits until a member has applied the log up to a position.
    pub async fn wait_applied(&self, index: usize, position: LogPosition) {
        let mut statuses = self.targets[index].target().subscribe();
        let applied_status = statuses.wait_for(|status| status.applied >= position);
        let _ = tokio::time::timeout(TIMEOUT, applied_status)
            .await
            .expect("the member applies the log");
    }

    /// Waits until the first proxy's published state shows that all members have applied the log up to a
    /// position.
    pub async fn wait_applied_published(&self, position: LogPosition) {
        let live = &self.proxy().live;
        let all_applied = || live.members.iter().all(|member| *member.applied.lock() >= position);
        eventually("all members have applied the log", all_applied).await;
    }

    /// Promotes a member in a term and makes the others follow it, as the driver of a failover does.
    pub fn make_primary(&self, index: usize, term: u64) {
        make_primary(&self.targets, index, term);
    }

    /// Connects a client to the first proxy.
    pub async fn client(&self) -> client::Client {
        client::Client::connect(self.proxy().address, &[]).await
    }
}

impl Proxy {
    /// Publishes a modified copy of the current state.
    pub fn publish<F>(&self, change: F)
    where
        F: FnOnce(&mut Published),
    {
        let old = self.slot.load_full();
        let mut next = Published {
            topology: Arc::clone(&old.topology),
            own_vm: old.own_vm,
            groups: old.groups.clone(),
            homes: old.homes.clone(),
            ready: old.ready,
            stopping: old.stopping,
        };
        change(&mut next);
        self.slot.store(Arc::new(next));
    }

    /// Publishes a member as the primary of a term.
    pub fn publish_leader(&self, index: usize, term: u64) {
        let leader = Leader { term: Term(term), target: TargetId(index as u32) };
        self.publish(|published| published.groups[0].leader = Some(leader));
    }

    /// Returns the value of a counter. Panics if there is no counter of this name.
    pub fn counter(&self, name: &str) -> u64 {
        let all = self.counters.snapshot();
        let found = all.iter().find(|(counter_name, _)| counter_name == name);
        found.unwrap_or_else(|| panic!("there is no counter `{name}`")).1
    }
}

/// Returns the name of the member with an index, which counts from 0.
pub fn member_name(index: usize) -> String {
    format!("{GROUP}-{}", index + 1)
}

/// Returns the name of the VM of the proxy with an index.
pub fn vm_name(proxy_index: usize) -> String {
    format!("vm-{proxy_index}")
}

fn make_primary(targets: &[TargetServer], index: usize, term: u64) {
    for server in targets {
        server.target().raise_term(Term(term), "test");
    }
    targets[index].target().promote(Term(term), "test");
    for (other, server) in targets.iter().enumerate() {
        if other != index {
            server.target().follow(Term(term), targets[index].address());
        }
    }
}

fn publish_status(
    live: &GroupLive,
    index: usize,
    status: &MemberStatus,
    reported: &[MemberStatus],
    clock: MonotonicClock,
) {
    let member = &live.members[index];
    *member.applied.lock() = status.applied;
    member.reachable.store(true, Ordering::Relaxed);
    member.leaving.store(status.leaving, Ordering::Relaxed);
    member.fresh_as_of_us.store(clock.now_us(), Ordering::Release);
    let confirms = reported.iter().filter(|other| other.confirms(status.log)).count();
    if confirms >= 2 {
        live.confirmed.send_if_modified(|confirmed| {
            let advances = status.log > *confirmed;
            *confirmed = status.log.max(*confirmed);
            advances
        });
    }
}

async fn control_stub(
    mut events: mpsc::UnboundedReceiver<VersionedEvent>,
    floors: Arc<Mutex<FastMap<String, LogPosition>>>,
    control_events: Arc<Mutex<Vec<ControlEvent>>>,
) {
    while let Some(VersionedEvent { event, .. }) = events.recv().await {
        match event {
            ControlEvent::WriteAcknowledged { group: GroupId(0), session, position, recorded } => {
                if let Some(session) = session {
                    floors.lock().insert(session, position);
                }
                let _ = recorded.send(());
            }
            ControlEvent::FloorRequested { session, answer, .. } => {
                let floor = floors.lock().get(&session).copied();
                let _ = answer.send(floor.unwrap_or_default());
            }
            other => control_events.lock().push(other),
        }
    }
}
