//! State that all sessions of the process share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use parking_lot::RwLock;
use skylark_core::FastMap;
use skylark_core::process::isolation::ZoneReachability;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::version::organisations::KeyDigest;
use skylark_core::version::routes::Route;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::ServiceLimits;
use tokio::sync::watch;

use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::sessions::codec::Codec;
use crate::sessions::connection::session::Session;
use crate::sessions::process::active_targets::ActiveTargets;
use crate::sessions::process::control_links::ControlLinks;
use crate::sessions::process::feed::outbox::Outbox;
use crate::sessions::process::generation_tracker::GenerationTracker;
use crate::sessions::process::latencies::Latencies;
use crate::sessions::process::limits;
use crate::sessions::process::log_budget::LogBudget;
use crate::sessions::process::peer_routes::PeerRoutes;
use crate::sessions::process::quota::Quotas;
use crate::sessions::process::services::ServiceState;
use crate::sessions::process::settings::SessionSettings;
use crate::sessions::process::stop::StopPhase;
use crate::sessions::process::stop::StopState;
use crate::sessions::process::store_access::StoreAccessTracker;
use crate::sessions::process::target_table::TargetTable;
use crate::sessions::process::targets::TargetState;
use crate::sessions::version::principal::Principal;
use crate::sessions::version::view::Member;
use crate::sessions::version::view::View;

/// Limits of a service that no configuration names. Its targets are listed, but no route leads to them.
const UNKNOWN_SERVICE: ServiceLimits = ServiceLimits { max_connections: 2, sync_replicas: 0 };

/// State that all sessions of the process share.
#[derive(Debug)]
pub struct Gateway<C>
where
    C: Codec,
{
    /// Name of this process's VM.
    pub vm: Arc<str>,
    /// Availability zone of this process's VM.
    pub zone: Arc<str>,
    /// Clock of all times in this process.
    pub clock: MonotonicClock,
    /// Counters of the process's events.
    pub counters: Arc<Counters>,
    /// Histograms of statement times.
    pub latencies: Latencies,
    /// The process's log.
    pub log: slog::Logger,
    /// Connections kept for the calls of takeovers.
    pub control_links: ControlLinks<C>,
    /// Rate limit for log lines.
    pub log_budget: LogBudget,
    /// Limits of organisations.
    pub quotas: Quotas,
    /// Increases when keys are revoked or assigned to other organisations.
    pub keys_withdrawn: watch::Sender<u64>,
    /// Phase of the shutdown, and of a partition.
    pub stop: watch::Sender<StopState>,
    /// Number of open sessions.
    pub sessions: AtomicU32,
    /// State that this process publishes to subscribers of its feed.
    pub outbox: Outbox,
    /// Whether this process calls the store itself.
    pub store_access: StoreAccessTracker,
    /// The store's generation.
    pub store_generation: GenerationTracker,
    /// Reachability of the other availability zones, if this process watches the store for its own.
    pub zone_reach: Mutex<ZoneReachability>,
    /// Until when this process's zone counts as partitioned, in microseconds; zero if it does not.
    pub(super) zone_cut_until_us: AtomicU64,
    /// Whether this process knows enough to accept callers. Set by the control thread.
    pub can_serve: AtomicBool,
    /// Whether the list of targets contains every target that may run. Set by the control thread.
    pub list_is_complete: AtomicBool,
    /// Whether the process is shutting down.
    stopping: AtomicBool,
    /// The VMs, and the paths to targets that follow from them.
    pub(super) peer_routes: ArcSwap<PeerRoutes>,
    /// How long a leaving target may be given work, in microseconds.
    drain_us: u64,
    next_session: AtomicU64,
    pub(super) view: ArcSwap<View>,
    pub(super) changed: watch::Sender<u64>,
    pub(super) targets: ArcSwap<TargetTable<C>>,
    /// The targets that need maintenance.
    pub(super) active_targets: ActiveTargets<C>,
    /// When the paths of all active targets were last checked, in microseconds; zero if something changed
    /// since.
    pub(super) paths_checked_us: AtomicU64,
    /// Paths that were set before this time, in microseconds, may be outdated.
    pub(super) paths_outdated_us: AtomicU64,
    /// Whether the targets that this process connects to may have changed.
    pub(super) roles_outdated: AtomicBool,
    services: RwLock<FastMap<Arc<str>, Arc<ServiceState>>>,
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Creates the state of a process that has no configuration, targets or VMs yet.
    pub fn new(settings: &SessionSettings, log: slog::Logger) -> Gateway<C> {
        let clock = MonotonicClock::start();
        let (vm, zone) = (settings.vm.as_str().into(), settings.zone.as_str().into());
        let counters = Arc::default();
        let store_generation = GenerationTracker::new(clock, &counters, &log);
        let quotas = Quotas::new(&vm, &zone, settings.quota, clock, &counters);
        Gateway {
            vm,
            zone,
            drain_us: settings.drain_ms * 1_000,
            clock,
            counters,
            quotas,
            keys_withdrawn: watch::Sender::new(0),
            latencies: Latencies::default(),
            log,
            control_links: ControlLinks::default(),
            log_budget: LogBudget::default(),
            stop: watch::Sender::new(StopState::SERVING),
            sessions: AtomicU32::new(0),
            outbox: Outbox::default(),
            store_access: StoreAccessTracker::new(&settings.vm, clock),
            store_generation,
            zone_reach: Mutex::default(),
            zone_cut_until_us: AtomicU64::new(0),
            can_serve: AtomicBool::new(false),
            list_is_complete: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            peer_routes: ArcSwap::default(),
            next_session: AtomicU64::new(1),
            view: ArcSwap::default(),
            changed: watch::Sender::new(0),
            targets: ArcSwap::default(),
            active_targets: ActiveTargets::default(),
            paths_checked_us: AtomicU64::new(0),
            paths_outdated_us: AtomicU64::new(0),
            roles_outdated: AtomicBool::new(false),
            services: RwLock::default(),
        }
    }

    /// The current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the route of a database in the current configuration.
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        let view = self.view.load();
        view.routes.as_ref()?.routes.get(database).cloned()
    }

    /// Returns the organisation that a key belongs to in the current configuration, or that no key is needed.
    ///
    /// # Errors
    ///
    /// `UnknownKey` if no organisation has the key and the route requires one, `NotReady` without a
    /// configuration.
    pub fn principal(&self, key: KeyDigest, route: Option<&Route>) -> Result<Principal, ErrorKind> {
        let view = self.view.load();
        let routes = view.routes.as_ref().ok_or(ErrorKind::NotReady)?;
        let Some(organisations) = &routes.organisations else { return Ok(Principal::NotNeeded) };
        match organisations.holder(key) {
            Some(organisation) => Ok(Principal::Organisation(Arc::clone(organisation))),
            None if route.is_some_and(|route| route.is_public) => Ok(Principal::Nobody),
            None => Err(ErrorKind::UnknownKey),
        }
    }

    /// Whether a session's key is still valid.
    pub fn knows_key(&self, session: &Session<C>) -> bool {
        self.principal(session.key, self.route(&session.database).as_deref()).is_ok()
    }

    /// Whether the configuration has organisations.
    pub fn has_organisations(&self) -> bool {
        self.view.load().organisations().is_some()
    }

    /// Whether a configuration is known.
    pub fn is_configured(&self) -> bool {
        self.view.load().routes.is_some()
    }

    /// Maximum time that a caller may be idle inside a transaction; `None` if there is no limit.
    pub fn transaction_idle(&self) -> Option<Duration> {
        let view = self.view.load();
        let idle_ms = view.routes.as_ref()?.transaction_idle_ms;
        (idle_ms > 0).then(|| Duration::from_millis(idle_ms))
    }

    /// Whether the balancer may send new callers to this process.
    pub fn is_ready(&self) -> bool {
        let can_serve = self.can_serve.load(Ordering::Relaxed);
        can_serve && self.is_configured() && self.stop.borrow().phase == StopPhase::Serving
    }

    /// Begins the shutdown. The process reports that it is not ready from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.set_phase(StopPhase::NotReady);
    }

    /// Whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Sets the phase, unless the process is shutting down, which sets the phases itself.
    pub fn set_phase_unless_stopping(&self, phase: StopPhase) {
        if !self.is_stopping() {
            self.set_phase(phase);
        }
    }

    /// Sets the phase.
    pub fn set_phase(&self, phase: StopPhase) {
        self.stop.send_if_modified(|known| {
            let next = known.in_phase(phase);
            std::mem::replace(known, next) != next
        });
    }

    /// Returns a number for a new session.
    pub fn next_session(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a target by id.
    pub fn target(&self, id: &str) -> Option<Arc<TargetState<C>>> {
        self.targets.load().get(id).cloned()
    }

    /// All listed targets.
    pub fn targets(&self) -> Arc<TargetTable<C>> {
        self.targets.load_full()
    }

    /// The listed targets of a service.
    pub fn members(&self, service: &str) -> Vec<Arc<TargetState<C>>> {
        self.targets.load().members(service).to_vec()
    }

    /// Returns the observed state of a service, creating it on first use.
    pub fn service(&self, name: &Arc<str>) -> Arc<ServiceState> {
        if let Some(known) = self.services.read().get(name) {
            return Arc::clone(known);
        }
        Arc::clone(self.services.write().entry(Arc::clone(name)).or_default())
    }

    /// Returns the services whose primary's position is due to be sampled.
    pub fn services_to_sample(&self) -> Vec<Arc<str>> {
        let now_us = self.clock.now_us();
        let is_due = |name: &Arc<str>, state: &ServiceState| {
            let newest_us = state.positions.lock().newest().map(|newest| newest.taken_us);
            let serves_peers = self.primary(name).is_some_and(|primary| primary.is_direct());
            state.demand.lock().start_prefetch(serves_peers, newest_us, now_us)
        };
        let services: Vec<(Arc<str>, Arc<ServiceState>)> = {
            let services = self.services.read();
            let needed = services.iter().filter(|(_, state)| state.demand.lock().is_needed(now_us));
            needed.map(|(name, state)| (Arc::clone(name), Arc::clone(state))).collect()
        };
        let due = services.into_iter().filter(|(name, state)| is_due(name, state));
        due.map(|(name, _)| name).collect()
    }

    /// Returns the target to ask as the primary of a service.
    pub fn primary(&self, service: &Arc<str>) -> Option<Arc<TargetState<C>>> {
        let state = self.service(service);
        let targets = self.targets.load();
        let now_us = self.clock.now_us();
        let may_ask = |member: &&Arc<TargetState<C>>| !member.refuses_work(now_us);
        let members = targets.members(service).iter().filter(may_ask);
        let ids: Vec<&Arc<str>> = members.map(|member| &member.record.id).collect();
        let leaving = |id: &str| targets.get(id).is_none_or(|target| target.is_leaving());
        let id = state.leader.lock().pick_target(&ids, leaving, now_us)?;
        targets.get(&id).cloned()
    }

    /// Whether a target is the presumed primary of its service.
    pub fn is_primary(&self, target: &TargetState<C>) -> bool {
        let state = self.service(&target.record.service);
        let leader = state.leader.lock();
        leader.preferred() == Some(&target.record.id)
    }

    /// Records that a target refused a request because it is not the primary.
    pub fn record_not_primary(&self, target: &TargetState<C>) {
        let state = self.service(&target.record.service);
        state.leader.lock().refused(&target.record.id, self.clock.now_us());
    }

    /// Subscribes to changes of the view and of the presumed primaries.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Publishes a new view.
    pub fn publish(&self, view: View) {
        let before = self.view.load_full();
        let changes = view.changes_since(&before);
        if !same_routes(&before, &view) {
            self.set_precedences(&view);
        }
        self.reconcile_targets(&view, &changes);
        for (service, members) in changes {
            let state = self.service(service);
            let mut leader = state.leader.lock();
            if let Some(primary) = view.listed_primary(service) {
                leader.announced(&primary.record.id, primary.role_since);
            }
            let is_listed = |id: &str| members.iter().any(|member| &*member.record.id == id);
            leader.keep(is_listed);
            state.lead_reports.lock().keep(is_listed);
        }
        self.view.store(Arc::new(view));
        self.set_paths_outdated();
        if !same_routes(&before, &self.view.load()) {
            self.roles_outdated.store(true, Ordering::Relaxed);
        }
        self.changed.send_modify(|number| *number += 1);
        if withdraws_keys(&before, &self.view.load()) {
            self.keys_withdrawn.send_modify(|number| *number += 1);
        }
    }

    /// Records which services' routes have different priorities.
    fn set_precedences(&self, view: &View) {
        let Some(routes) = &view.routes else { return };
        let prioritised = routes.services_with_precedences();
        for service in routes.services.keys() {
            let has_precedences = prioritised.contains(&**service);
            self.service(service).has_precedences.store(has_precedences, Ordering::Relaxed);
        }
    }

    /// Adds and removes targets of the services that changed. The connections of a removed target are closed
    /// as they become idle.
    fn reconcile_targets(&self, view: &View, changes: &[(&Arc<str>, &[Member])]) {
        let targets = self.targets.load();
        let peer_routes = self.peer_routes.load();
        let now_us = self.clock.now_us();
        let mut table_changes = Vec::new();
        for (service, members) in changes {
            let known = targets.members(service);
            let mut next: Vec<Arc<TargetState<C>>> = Vec::with_capacity(members.len());
            for member in *members {
                let known = targets.get(&member.record.id);
                let known = known.filter(|known| known.record.service == **service);
                let drain_left_us = match known {
                    Some(_) => self.drain_us.saturating_sub(limits::LEAVING_MARGIN_US),
                    // The drain time of a target that was leaving before this process knew it may be over.
                    None => 0,
                };
                let target = known
                    .map(Arc::clone)
                    .unwrap_or_else(|| self.new_target(view, &peer_routes, member));
                target.set_leaving(member.record.leaving.then_some(now_us + drain_left_us));
                next.push(target);
            }
            for target in known {
                if !next.iter().any(|kept| Arc::ptr_eq(kept, target)) {
                    peer_routes.forget(&target.record.id);
                    target.set_leaving(Some(now_us));
                    target.close();
                }
            }
            let is_same = known.len() == next.len()
                && known.iter().zip(&next).all(|(known, next)| Arc::ptr_eq(known, next));
            if !is_same {
                table_changes.push((Arc::clone(service), next));
            }
        }
        if !table_changes.is_empty() {
            self.targets.store(Arc::new(targets.with(table_changes)));
        }
    }

    fn new_target(
        &self,
        view: &View,
        peer_routes: &PeerRoutes,
        member: &Member,
    ) -> Arc<TargetState<C>> {
        let (clock, counters) = (self.clock, &self.counters);
        let target = Arc::new(TargetState::new(&member.record, &self.vm, clock, counters));
        self.activate_if_connected(view, peer_routes, &target);
        target
    }
}

/// Whether two views share their configuration.
fn same_routes(before: &View, now: &View) -> bool {
    match (&before.routes, &now.routes) {
        (Some(before), Some(now)) => Arc::ptr_eq(before, now),
        (None, None) => true,
        (Some(_), None) | (None, Some(_)) => false,
    }
}

/// Whether a key of one view belongs to another organisation or to none in the next. Most views only change
/// targets and share the configuration with the one before.
fn withdraws_keys(before: &View, now: &View) -> bool {
    if same_routes(before, now) {
        return false;
    }
    match (before.organisations(), now.organisations()) {
        (Some(before), Some(now)) => before.any_key_revoked_in(now),
        (None, Some(_)) => true,
        (_, None) => false,
    }
}

/// Returns the limits of a service in a configuration.
pub fn service_limits(routes: Option<&RouteTable>, service: &str) -> ServiceLimits {
    routes.and_then(|routes| routes.services.get(service)).copied().unwrap_or(UNKNOWN_SERVICE)
}
