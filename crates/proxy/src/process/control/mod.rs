//! The control thread: owns all control state, and publishes immutable versions of it.
//!
//! The control thread is an event loop that never blocks: it receives events through channels, one at
//! a time, and runs calls to the platform and to peers as tasks whose results come back as events.
//! Reports of members have the highest priority, because writes wait for the confirmations in them.
//! Timers have the lowest, so that a process that was paused handles the queued reports of its members
//! before it suspects them for their silence.
//!
//! - [`group`], [`tracking`]: the state of groups, their members' reports and the resulting decisions.
//! - [`reconcile`]: updating groups, members and homes to a new version of the configuration.
//! - [`drive`]: executing the actions of failover drivers.
//! - [`spread`]: applying versions and offering them to peers; [`platform`], [`first_version`]: the
//!   tasks that call the platform.
//! - [`leaders`]: the primaries of groups whose members this process does not track.
//! - [`floors`], [`sessions`]: read floors of sessions that roam between proxies without a token.
//! - [`publish`]: the versions for traffic threads; [`report`]: the answers to operators and peers.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::FastMap;
use skylark_core::process::homes::Homes;
use skylark_core::process::jitter;
use skylark_core::process::membership;
use skylark_core::process::membership::Membership;
use skylark_objects::ObjectStore;
use skylark_settings::proxy::ProxySettings;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::process::clock::MonotonicClock;
use crate::process::control::group::Group;
use crate::process::control::input::Input;
use crate::process::control::platform::WatchOrder;
use crate::process::control_handle::VersionedEvent;
use crate::process::counters::Counters;
use crate::process::member::client::MemberClient;
use crate::process::member::client::MemberCommand;
use crate::process::member::task::MemberEvent;
use crate::process::member::task::MemberKey;
use crate::process::metrics::Metrics;
use crate::process::peer::client::PeerClients;
use crate::process::peer::server::PeerRequest;
use crate::process::schedule::Due;
use crate::process::schedule::Purpose;
use crate::process::schedule::Schedule;
use crate::version::configuration::Configuration;
use crate::version::published::PublishedSlot;

pub mod drive;
pub mod first_version;
pub mod floors;
pub mod group;
pub mod input;
pub mod leaders;
pub mod platform;
pub mod publish;
pub mod reconcile;
pub mod report;
pub mod sessions;
pub mod spread;
pub mod tracking;

/// How many members' events are handled before the timers are checked again, so that a flood of reports
/// can't delay the probes.
const EVENTS_PER_ITERATION: usize = 64;

/// The interval at which expired evidence about VMs and targets is dropped.
const EVIDENCE_EXPIRY_INTERVAL_US: u64 = 1_000_000;

/// The timeout for sending the remaining writes to other homes when the process ends.
const FINAL_WRITES_TIMEOUT: Duration = Duration::from_secs(2);

const US_PER_MS: u64 = 1000;

/// The parameters of the control thread.
#[derive(Debug)]
pub struct ControlParts<S, C> {
    /// The settings.
    pub settings: Arc<ProxySettings>,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// The process's log.
    pub log: slog::Logger,
    /// The platform's object store.
    pub store: S,
    /// Opens control connections to members.
    pub client: C,
    /// The slot in which versions are published.
    pub published: PublishedSlot,
    /// The process's counters.
    pub counters: Arc<Counters>,
    /// Events from the traffic threads.
    pub traffic: mpsc::UnboundedReceiver<VersionedEvent>,
    /// Calls of other proxies, operators and the load balancer.
    pub requests: mpsc::UnboundedReceiver<PeerRequest>,
    /// Orders from the process that owns the control thread.
    pub orders: mpsc::UnboundedReceiver<Order>,
}

/// An order to the control thread to stop, in the steps of a graceful stop or immediately.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Order {
    /// Announce to the load balancer and the other proxies that this process will stop.
    AnnounceStop,
    /// Accept no new callers.
    BeginStop,
    /// All callers have ended: send the remaining writes to other homes, and end.
    End,
    /// End immediately, as if the VM had failed.
    Kill,
}

/// The channels on which tasks send their results to the control thread.
#[derive(Clone, Debug)]
struct Senders {
    inputs: mpsc::UnboundedSender<Input>,
    members: mpsc::UnboundedSender<MemberEvent>,
}

/// The group of a tracked member, and the member's index in its member list.
#[derive(Clone, Debug)]
struct MemberLocation {
    group: Arc<str>,
    member: usize,
}

/// The state of the control thread.
#[derive(Debug)]
pub struct Control<S, C> {
    settings: Arc<ProxySettings>,
    clock: MonotonicClock,
    log: slog::Logger,
    store: S,
    client: C,
    published: PublishedSlot,
    counters: Arc<Counters>,
    metrics: Option<Metrics>,
    senders: Senders,
    schedule: Schedule,
    configuration: Configuration,
    membership: Membership,
    usable: Vec<bool>,
    homes: Option<Homes>,
    groups: FastMap<Arc<str>, Group>,
    members: FastMap<MemberKey, MemberLocation>,
    next_member: u32,
    peers: PeerClients,
    watch_orders: watch::Sender<WatchOrder>,
    platform_answers: bool,
    exchanges: u64,
    /// Whether health answers and messages to peers say that this process is about to stop.
    stopping: bool,
    /// Whether new callers are refused.
    refusing_callers: bool,
    changed: bool,
    /// The prefix of this process's names as a failover driver, unique to this run.
    driver_name: String,
    seed: u64,
}

/// The channels that the control loop receives from.
struct Receivers {
    members: mpsc::UnboundedReceiver<MemberEvent>,
    traffic: mpsc::UnboundedReceiver<VersionedEvent>,
    inputs: mpsc::UnboundedReceiver<Input>,
    requests: mpsc::UnboundedReceiver<PeerRequest>,
    orders: mpsc::UnboundedReceiver<Order>,
}

/// What the control loop does after an event.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LoopAction {
    Continue,
    /// Send the remaining writes to other homes, and end.
    End,
    /// End immediately.
    Kill,
}

/// Runs the control thread until it is ordered to end.
pub async fn run<S, C>(parts: ControlParts<S, C>)
where
    S: ObjectStore,
    C: MemberClient,
{
    let (input_sender, inputs) = mpsc::unbounded_channel();
    let (member_sender, members) = mpsc::unbounded_channel();
    let senders = Senders { inputs: input_sender, members: member_sender };
    let ControlParts { settings, clock, log, store, client, published, counters, .. } = parts;
    let mut receivers = Receivers {
        members,
        traffic: parts.traffic,
        inputs,
        requests: parts.requests,
        orders: parts.orders,
    };
    let run_number: u32 = rand::random();
    let driver_name = format!("{}#{run_number:08x}", settings.vm);
    let seed = jitter::seed_of(&driver_name);
    let (watch_orders, _) = watch::channel(WatchOrder::default());
    let mut control = Control {
        schedule: Schedule::new(seed),
        configuration: Configuration::default(),
        membership: Membership::new(membership::MembershipPolicy::default()),
        usable: Vec::new(),
        homes: None,
        groups: FastMap::default(),
        members: FastMap::default(),
        next_member: 0,
        peers: PeerClients::new(Duration::from_millis(settings.timing.peer_timeout_ms)),
        watch_orders,
        platform_answers: false,
        exchanges: 0,
        stopping: false,
        refusing_callers: false,
        changed: true,
        metrics: Metrics::open(&settings, &log),
        settings,
        clock,
        log,
        store,
        client,
        published,
        counters,
        senders,
        driver_name,
        seed,
    };
    control.start();
    control.serve(&mut receivers).await;
}

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    fn start(&mut self) {
        let now_us = self.clock.now_us();
        let timing = &self.settings.timing;
        let periods = [
            (Purpose::ProbeMembers, timing.probe_interval_ms * US_PER_MS),
            (Purpose::ExchangeVersions, timing.peer_interval_ms * US_PER_MS),
            (Purpose::ReadVmList, timing.vm_list_interval_ms * US_PER_MS),
            (Purpose::SendMetrics, self.settings.metrics.interval_ms * US_PER_MS),
            (Purpose::ExpireEvidence, EVIDENCE_EXPIRY_INTERVAL_US),
        ];
        for (purpose, every_us) in periods {
            self.schedule.set_periodic(purpose, every_us, now_us);
        }
        self.start_platform_tasks();
    }

    async fn serve(&mut self, receivers: &mut Receivers) {
        loop {
            self.publish_changes();
            // The periodic probe timer is never cancelled, so there is always a next due time.
            let due_us = self.schedule.next_due_us().unwrap_or_default();
            let due = self.clock.instant_at(due_us);
            let action = tokio::select! {
                biased;
                Some(event) = receivers.members.recv() => {
                    self.handle_member_events(event, &mut receivers.members);
                    LoopAction::Continue
                }
                Some(event) = receivers.traffic.recv() => {
                    self.handle_traffic_event(event);
                    LoopAction::Continue
                }
                Some(input) = receivers.inputs.recv() => {
                    self.handle_input(input);
                    LoopAction::Continue
                }
                Some(request) = receivers.requests.recv() => {
                    self.handle_request(request);
                    LoopAction::Continue
                }
                order = receivers.orders.recv() => self.handle_order(order.unwrap_or(Order::Kill)),
                () = time::sleep_until(due.into()) => LoopAction::Continue,
            };
            match action {
                LoopAction::Continue => self.take_due(),
                LoopAction::End => return self.end().await,
                LoopAction::Kill => return,
            }
        }
    }

    fn handle_member_events(
        &mut self,
        first: MemberEvent,
        more: &mut mpsc::UnboundedReceiver<MemberEvent>,
    ) {
        self.handle_member_event(first);
        for _ in 1..EVENTS_PER_ITERATION {
            let Ok(event) = more.try_recv() else { return };
            self.handle_member_event(event);
        }
    }

    fn take_due(&mut self) {
        let now_us = self.clock.now_us();
        if self.schedule.next_due_us().is_none_or(|due_us| due_us > now_us) {
            return;
        }
        let mut due = Vec::new();
        self.schedule.take_due(now_us, &mut due);
        for Due { purpose, due_us } in due {
            self.run_purpose(now_us, purpose, due_us);
        }
    }

    fn run_purpose(&mut self, now_us: u64, purpose: Purpose, due_us: u64) {
        match purpose {
            Purpose::ProbeMembers => self.probe_members(now_us),
            Purpose::ExchangeVersions => self.exchange_versions(),
            Purpose::ReadVmList => self.read_vm_list(),
            Purpose::SendMetrics => self.send_metrics(),
            Purpose::ExpireEvidence => self.refresh_standing(now_us),
            Purpose::Driver(group) => self.driver_timer(now_us, &group),
            Purpose::Detector(group) => self.detector_timer(now_us, &group, due_us),
            Purpose::SettleMembers(group) => self.settle_members(now_us, &group),
            Purpose::EndTracking(group) => self.end_tracking(now_us, &group),
            Purpose::SendWrites(group) => self.send_writes(&group),
        }
    }

    fn probe_members(&mut self, now_us: u64) {
        for group in self.groups.values_mut() {
            if let Some(tracking) = &mut group.tracking {
                for member in &tracking.members {
                    member.handle.send(MemberCommand::Probe);
                }
                tracking.floors.expire(now_us);
            }
            group.update_stalled(now_us);
        }
        let names: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for name in names {
            self.apply_group_effects(now_us, &name);
        }
    }

    fn handle_order(&mut self, order: Order) -> LoopAction {
        match order {
            Order::AnnounceStop => {
                self.stopping = true;
                self.announce_stopping();
                LoopAction::Continue
            }
            Order::BeginStop => {
                self.stopping = true;
                self.refusing_callers = true;
                self.changed = true;
                LoopAction::Continue
            }
            Order::End => LoopAction::End,
            Order::Kill => LoopAction::Kill,
        }
    }

    async fn end(&mut self) {
        // Bounded, since the peers may be unreachable. Homes that miss these writes answer with higher floors
        // than needed, which costs reads from replicas but not consistency.
        let _ = time::timeout(FINAL_WRITES_TIMEOUT, self.send_all_writes()).await;
        self.send_metrics();
        slog::info!(self.log, "control thread ended");
    }

    fn send_metrics(&mut self) {
        let gauges = self.gauges();
        if let Some(metrics) = &mut self.metrics {
            metrics.send_counters(&self.counters);
            metrics.send_gauges(&gauges);
        }
    }
}
