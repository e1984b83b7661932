//! The control thread: owns all control state, and publishes immutable versions of it.
//!
//! Everything that happens reaches it through channels, one event at a time, and nothing in it
//! waits: calls to the platform and to peers run as tasks whose results come back as events.
//! Members' reports go first, because writes wait for the confirmations in them. Timers come after
//! the events that waited, so that a process that was paused hears its members before it judges
//! them by their silence.
//!
//! - [`group`], [`tracking`]: what a group's members report and the decisions that follow.
//! - [`align`]: bringing groups, members and homes in line with a new version.
//! - [`drive`]: carrying out what a failover driver asks for.
//! - [`spread`]: taking and passing on versions; [`platform`], [`first_version`]: the tasks that call
//!   the platform.
//! - [`leaders`]: who leads the groups that are not tracked here.
//! - [`floors`], [`sessions`]: floors of sessions that roam without a token.
//! - [`publish`]: what traffic sees; [`report`]: what operators see.

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

/// How many events are taken before timers are looked at again, so that a flood of reports can't
/// hold back the probes.
const EVENTS_PER_ITERATION: usize = 64;

/// How often expired evidence about VMs and targets is looked for.
const EVIDENCE_EXPIRY_INTERVAL_US: u64 = 1_000_000;

/// How long the last writes may take to be told to other homes at the end.
const FINAL_WRITES_TIMEOUT: Duration = Duration::from_secs(2);

const US_PER_MS: u64 = 1000;

/// What the control thread is started with.
#[derive(Debug)]
pub struct ControlParts<S, C> {
    /// The settings.
    pub settings: Arc<ProxySettings>,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// Where messages go.
    pub log: slog::Logger,
    /// The platform.
    pub store: S,
    /// How members are reached.
    pub client: C,
    /// Where versions are published.
    pub published: PublishedSlot,
    /// What traffic counts.
    pub counters: Arc<Counters>,
    /// What traffic says.
    pub traffic: mpsc::UnboundedReceiver<VersionedEvent>,
    /// What other proxies, operators and the balancer ask.
    pub requests: mpsc::UnboundedReceiver<PeerRequest>,
    /// Orders of the process itself.
    pub orders: mpsc::UnboundedReceiver<Order>,
}

/// An order of the process to its control thread.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Order {
    /// Tell the balancer and the other proxies that this one is about to stop.
    AnnounceStop,
    /// Take no new callers.
    BeginStop,
    /// Traffic has ended: pass on what others need to know, and end.
    End,
    /// End at once, as if the machine were gone.
    Kill,
}

/// Where tasks send their results.
#[derive(Clone, Debug)]
struct Senders {
    inputs: mpsc::UnboundedSender<Input>,
    members: mpsc::UnboundedSender<MemberEvent>,
}

/// A tracked member's place.
#[derive(Clone, Debug)]
struct MemberLocation {
    group: Arc<str>,
    member: usize,
}

/// All control state.
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
    /// Whether the balancer and the other proxies are told that this one is about to stop.
    stopping: bool,
    /// Whether no new callers are taken.
    refusing: bool,
    changed: bool,
    /// This run's name as a failover driver.
    driver_name: String,
    seed: u64,
}

/// The receiving ends that the control loop waits for.
struct Receivers {
    members: mpsc::UnboundedReceiver<MemberEvent>,
    traffic: mpsc::UnboundedReceiver<VersionedEvent>,
    inputs: mpsc::UnboundedReceiver<Input>,
    requests: mpsc::UnboundedReceiver<PeerRequest>,
    orders: mpsc::UnboundedReceiver<Order>,
}

/// Whether the control loop goes on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LoopAction {
    Continue,
    /// Pass on what others need to know, and end.
    End,
    /// End at once.
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
        refusing: false,
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
            self.schedule.every(purpose, every_us, now_us);
        }
        self.start_platform_tasks();
    }

    async fn serve(&mut self, receivers: &mut Receivers) {
        loop {
            self.publish_changes();
            // The probes' subscription never ends, so there always is a next tick.
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
            group.refresh_stall(now_us);
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
                self.refusing = true;
                self.changed = true;
                LoopAction::Continue
            }
            Order::End => LoopAction::End,
            Order::Kill => LoopAction::Kill,
        }
    }

    async fn end(&mut self) {
        // Bounded, since the peers may be gone: what they are not told costs them freshness only.
        let _ = time::timeout(FINAL_WRITES_TIMEOUT, self.send_all_writes()).await;
        self.send_metrics();
        slog::info!(self.log, "control ended");
    }

    fn send_metrics(&mut self) {
        let gauges = self.gauges();
        if let Some(metrics) = &mut self.metrics {
            metrics.send_counters(&self.counters);
            metrics.send_gauges(&gauges);
        }
    }
}
