//! Traffic threads over stand-in targets, with a control side that is driven by the tests.

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

use self::gate::Gate;

pub mod client;
pub mod gate;

/// The group of all tests.
pub const GROUP: &str = "loans";

/// The zones of its three members and of the proxies.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Longer than anything takes that is going to happen.
pub const LONG: Duration = Duration::from_secs(20);

/// Long enough to show that something does not happen; a slow machine can only hide a failure.
pub const SHORT: Duration = Duration::from_millis(150);

/// A test's runtime.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async { tokio::time::timeout(LONG * 2, future).await }).expect("ends in time")
}

/// Names each case: an asynchronous test on a runtime of its own.
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

/// Waits until something holds.
pub async fn eventually<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let started = std::time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < LONG, "never came about: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// How a world is set up.
#[derive(Clone)]
pub struct Setup {
    /// One proxy for each entry, with the members (counted from 0) that it is home to.
    pub homes: Vec<Vec<usize>>,
    /// The limits of all proxies.
    pub limits: TrafficLimits,
    /// How many connections a target accepts.
    pub connections: u32,
    /// How many statements a target runs at once.
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

/// Three targets of one group in three zones, a gate in front of each, and proxies.
pub struct World {
    pub targets: Vec<TargetServer>,
    pub gates: Vec<Gate>,
    pub proxies: Vec<Proxy>,
    /// The floors that the control side knows by session, shared by all proxies.
    pub floors: Arc<Mutex<FastMap<String, LogPosition>>>,
    network: Arc<Network>,
}

/// One process's traffic threads.
pub struct Proxy {
    pub address: std::net::SocketAddr,
    pub slot: PublishedSlot,
    pub counters: Arc<Counters>,
    pub live: Arc<GroupLive>,
    pub clock: MonotonicClock,
    /// Members whose reports do not reach the control side.
    pub muted: Arc<Mutex<FastSet<usize>>>,
    /// Events other than about floors.
    pub seen: Arc<Mutex<Vec<ControlEvent>>>,
    pub serving: JoinHandle<()>,
}

impl World {
    /// The usual world: one proxy that is home to all members.
    pub async fn start() -> World {
        World::with(Setup::default()).await
    }

    pub async fn with(setup: Setup) -> World {
        let network = Network::new();
        let mut targets = Vec::new();
        let mut gates = Vec::new();
        for (place, zone) in ZONES.iter().enumerate() {
            let mut options = TargetOptions::new(&member(place), GROUP, zone);
            options.connections = setup.connections;
            options.slots = setup.slots;
            let server = TargetServer::start(options, &network).await.expect("a port is free");
            gates.push(Gate::start(server.address()).await);
            targets.push(server);
        }
        lead(&targets, 0, 1);
        let mut world =
            World { targets, gates, proxies: Vec::new(), floors: Arc::default(), network };
        world.start_proxies(&setup).await;
        for place in 0..3 {
            world.wait_applied(place, LogPosition::new(1, 1)).await;
        }
        world
    }

    async fn start_proxies(&mut self, setup: &Setup) {
        let mut listeners = Vec::new();
        for _ in &setup.homes {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a port is free"));
        }
        let addresses: Vec<_> =
            listeners.iter().map(|listener| listener.local_addr().expect("bound")).collect();
        let topology = Arc::new(self.topology(setup, &addresses));
        for (number, listener) in listeners.into_iter().enumerate() {
            let proxy = self.start_proxy(setup, &topology, number, listener);
            self.proxies.push(proxy);
        }
    }

    fn topology(&self, setup: &Setup, addresses: &[std::net::SocketAddr]) -> Topology {
        let members: Vec<_> = self
            .gates
            .iter()
            .enumerate()
            .map(|(place, gate)| {
                json!({
                    "target": member(place), "zone": ZONES[place],
                    "address": gate.address().to_string(),
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
            .map(|(number, address)| VmRecord {
                vm: vm(number),
                zone: ZONES[number % 3].to_owned(),
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
        number: usize,
        listener: TcpListener,
    ) -> Proxy {
        let own = topology.vm_id(&vm(number)).expect("the proxy is listed");
        let homes = (0..3)
            .map(|place| {
                let ranked = setup.homes.iter().enumerate();
                let at = ranked.filter(|(_, homes)| homes.contains(&place));
                at.map(|(home, _)| topology.vm_id(&vm(home)).expect("listed")).collect()
            })
            .collect();
        let live = Arc::new(GroupLive {
            confirmed: watch::Sender::new(LogPosition::default()),
            members: (0..3).map(|_| MemberLive::default()).collect(),
        });
        let tracked = !setup.homes[number].is_empty();
        let view = GroupView {
            leader: Some(Leader { term: Term(1), target: TargetId(0) }),
            moving: false,
            stalled: false,
            tracked,
            live: Arc::clone(&live),
        };
        let published = Published {
            topology: Arc::clone(topology),
            own_vm: Some(own),
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
        let seen = Arc::default();
        if tracked {
            self.follow_members(&live, clock, &muted);
        }
        tokio::spawn(control_side(events, Arc::clone(&self.floors), Arc::clone(&seen)));
        let address = listener.local_addr().expect("bound");
        let serving = tokio::spawn(traffic::serve(TrafficOptions {
            threads: 2,
            listener,
            slot: Arc::clone(&slot),
            control,
            counters: Arc::clone(&counters),
            limits: setup.limits.clone(),
            vm: vm(number),
            zone: ZONES[number % 3].to_owned(),
            clock,
            log: slog::Logger::root(slog::Discard, slog::o!()),
        }));
        Proxy { address, slot, counters, live, clock, muted, seen, serving }
    }

    /// Publishes what the members report, as the control thread does.
    fn follow_members(
        &self,
        live: &Arc<GroupLive>,
        clock: MonotonicClock,
        muted: &Arc<Mutex<FastSet<usize>>>,
    ) {
        let all: Vec<_> = self.targets.iter().map(|server| server.target().subscribe()).collect();
        for place in 0..3 {
            let mut own = all[place].clone();
            let (all, live, muted) = (all.clone(), Arc::clone(live), Arc::clone(muted));
            tokio::spawn(async move {
                loop {
                    let heard: Vec<MemberStatus> = all
                        .iter()
                        .enumerate()
                        .filter(|(other, _)| !muted.lock().contains(other))
                        .map(|(_, status)| status.borrow().clone())
                        .collect();
                    let status = own.borrow_and_update().clone();
                    if !muted.lock().contains(&place) {
                        note(&live, place, &status, &heard, clock);
                    }
                    tokio::select! {
                        changed = own.changed() => if changed.is_err() { return },
                        () = tokio::time::sleep(Duration::from_millis(20)) => (),
                    }
                }
            });
        }
    }

    /// The first proxy.
    pub fn proxy(&self) -> &Proxy {
        &self.proxies[0]
    }

    /// Waits until a member shows a record.
    pub async fn wait_applied(&self, place: usize, position: LogPosition) {
        let mut statuses = self.targets[place].target().subscribe();
        let shown = statuses.wait_for(|status| status.applied >= position);
        let _ = tokio::time::timeout(LONG, shown).await.expect("the member applies the record");
    }

    /// Waits until the first proxy knows that all members show a record.
    pub async fn wait_known(&self, position: LogPosition) {
        let live = &self.proxy().live;
        let known = || live.members.iter().all(|member| *member.applied.lock() >= position);
        eventually("all members show the record", known).await;
    }

    /// Makes a member lead a term, as a driver does.
    pub fn lead(&self, place: usize, term: u64) {
        lead(&self.targets, place, term);
    }

    /// A client of the first proxy.
    pub async fn client(&self) -> client::Client {
        client::Client::connect(self.proxy().address, &[]).await
    }
}

impl Proxy {
    /// Publishes a changed version.
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

    /// Publishes another leader.
    pub fn publish_leader(&self, place: usize, term: u64) {
        let leader = Leader { term: Term(term), target: TargetId(place as u32) };
        self.publish(|published| published.groups[0].leader = Some(leader));
    }

    /// The value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        let all = self.counters.snapshot();
        let found = all.iter().find(|(known, _)| known == name);
        found.unwrap_or_else(|| panic!("there is no counter `{name}`")).1
    }
}

/// The name of the member at a place, counted from 0.
pub fn member(place: usize) -> String {
    format!("{GROUP}-{}", place + 1)
}

/// The name of a proxy's VM.
pub fn vm(number: usize) -> String {
    format!("vm-{number}")
}

fn lead(targets: &[TargetServer], place: usize, term: u64) {
    for server in targets {
        server.target().raise_term(Term(term), "test");
    }
    targets[place].target().promote(Term(term), "test");
    for (other, server) in targets.iter().enumerate() {
        if other != place {
            server.target().follow(Term(term), targets[place].address());
        }
    }
}

fn note(
    live: &GroupLive,
    place: usize,
    status: &MemberStatus,
    heard: &[MemberStatus],
    clock: MonotonicClock,
) {
    let member = &live.members[place];
    *member.applied.lock() = status.applied;
    member.reachable.store(true, Ordering::Relaxed);
    member.leaving.store(status.leaving, Ordering::Relaxed);
    member.fresh_as_of_us.store(clock.now_us(), Ordering::Release);
    let confirms = heard.iter().filter(|other| other.confirms(status.log)).count();
    if confirms >= 2 {
        live.confirmed.send_if_modified(|confirmed| {
            let grows = status.log > *confirmed;
            *confirmed = status.log.max(*confirmed);
            grows
        });
    }
}

async fn control_side(
    mut events: mpsc::UnboundedReceiver<VersionedEvent>,
    floors: Arc<Mutex<FastMap<String, LogPosition>>>,
    seen: Arc<Mutex<Vec<ControlEvent>>>,
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
            other => seen.lock().push(other),
        }
    }
}
