//! What all sessions of the process share.

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
use skylark_core::FastSet;
use skylark_core::process::isolation::ZoneReach;
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
use crate::sessions::process::asking::Asking;
use crate::sessions::process::feed::outbox::Outbox;
use crate::sessions::process::latencies::Latencies;
use crate::sessions::process::limits;
use crate::sessions::process::log_budget::LogBudget;
use crate::sessions::process::peer_routes::PeerRoutes;
use crate::sessions::process::quota::Quotas;
use crate::sessions::process::services::ServiceState;
use crate::sessions::process::settings::SessionSettings;
use crate::sessions::process::stop::StopPhase;
use crate::sessions::process::stop::StopState;
use crate::sessions::process::target_table::TargetTable;
use crate::sessions::process::targets::TargetState;
use crate::sessions::version::principal::Principal;
use crate::sessions::version::view::View;

/// The limits of a service that no configuration names: its targets are listed, and nobody is sent
/// to them.
const UNKNOWN_SERVICE: ServiceLimits = ServiceLimits { max_connections: 2, sync_replicas: 0 };

/// What all sessions share.
#[derive(Debug)]
pub struct Gateway<C>
where
    C: Codec,
{
    /// The name of this process's VM.
    pub vm: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// The counters.
    pub counters: Arc<Counters>,
    /// How long statements take.
    pub latencies: Latencies,
    /// Where this is logged.
    pub log: slog::Logger,
    /// The bound on log lines.
    pub log_budget: LogBudget,
    /// The limits of organisations.
    pub quotas: Quotas,
    /// Grows when keys are withdrawn or go to other organisations.
    pub keys_withdrawn: watch::Sender<u64>,
    /// How far the process has come with stopping.
    pub stop: watch::Sender<StopState>,
    /// The number of open sessions.
    pub sessions: AtomicU32,
    /// What this process tells those that do not watch the store.
    pub outbox: Outbox,
    /// Whether this process asks the store by itself.
    pub asking: Asking,
    /// What this process hears of other availability zones, if it watches for its own.
    pub zone_reach: Mutex<ZoneReach>,
    /// Until when this process's zone counts as cut off, in microseconds; zero if it does not.
    pub(super) zone_cut_until_us: AtomicU64,
    /// Whether this process may be given new callers, as far as the control thread knows.
    pub serves: AtomicBool,
    /// Whether no target can run that is not listed, as far as the control thread knows.
    pub list_is_complete: AtomicBool,
    /// Whether the process was told to stop.
    stopping: AtomicBool,
    /// The VMs, and the paths to targets that follow from them.
    pub(super) peer_routes: ArcSwap<PeerRoutes>,
    /// How long a leaving target may be given work, in microseconds.
    drain_us: u64,
    next_session: AtomicU64,
    pub(super) view: ArcSwap<View>,
    pub(super) changed: watch::Sender<u64>,
    pub(super) targets: ArcSwap<TargetTable<C>>,
    /// When all paths were last checked, in microseconds; zero if something changed since.
    pub(super) looked_us: AtomicU64,
    services: RwLock<FastMap<Arc<str>, Arc<ServiceState>>>,
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// A process that knows nothing yet.
    pub fn new(settings: &SessionSettings, log: slog::Logger) -> Gateway<C> {
        let clock = MonotonicClock::start();
        let (vm, zone) = (settings.vm.as_str().into(), settings.zone.as_str().into());
        let counters = Arc::default();
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
            log_budget: LogBudget::default(),
            stop: watch::Sender::new(StopState::SERVING),
            sessions: AtomicU32::new(0),
            outbox: Outbox::default(),
            asking: Asking::new(&settings.vm, clock),
            zone_reach: Mutex::default(),
            zone_cut_until_us: AtomicU64::new(0),
            serves: AtomicBool::new(false),
            list_is_complete: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            peer_routes: ArcSwap::default(),
            next_session: AtomicU64::new(1),
            view: ArcSwap::default(),
            changed: watch::Sender::new(0),
            targets: ArcSwap::default(),
            looked_us: AtomicU64::new(0),
            services: RwLock::default(),
        }
    }

    /// The newest version.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// The route of a database name in the configuration in force.
    pub fn route(&self, database: &str) -> Option<Arc<Route>> {
        let view = self.view.load();
        view.routes.as_ref()?.routes.get(database).cloned()
    }

    /// The organisation that a caller with this key runs statements for in the configuration in force; none where
    /// callers need no key.
    ///
    /// # Errors
    ///
    /// `UnknownKey` if the key is nobody's, and the route asks for one.
    pub fn holder(&self, key: KeyDigest, route: Option<&Route>) -> Result<Principal, ErrorKind> {
        let view = self.view.load();
        let routes = view.routes.as_ref().ok_or(ErrorKind::NotReady)?;
        let Some(organisations) = &routes.organisations else { return Ok(Principal::NotNeeded) };
        match organisations.holder(key) {
            Some(organisation) => Ok(Principal::Organisation(Arc::clone(organisation))),
            None if route.is_some_and(|route| route.is_public) => Ok(Principal::Nobody),
            None => Err(ErrorKind::UnknownKey),
        }
    }

    /// Whether a session's key may still be used.
    pub fn knows_key(&self, session: &Session<C>) -> bool {
        self.holder(session.key, self.route(&session.database).as_deref()).is_ok()
    }

    /// Whether callers are told apart by organisation.
    pub fn has_organisations(&self) -> bool {
        self.view.load().organisations().is_some()
    }

    /// Whether there is a configuration.
    pub fn is_configured(&self) -> bool {
        self.view.load().routes.is_some()
    }

    /// How long a caller may rest inside a transaction.
    pub fn transaction_idle(&self) -> Option<Duration> {
        let view = self.view.load();
        let idle_ms = view.routes.as_ref()?.transaction_idle_ms;
        (idle_ms > 0).then(|| Duration::from_millis(idle_ms))
    }

    /// Whether the platform may send new callers here.
    pub fn is_ready(&self) -> bool {
        let serves = self.serves.load(Ordering::Relaxed);
        serves && self.is_configured() && self.stop.borrow().phase == StopPhase::Serving
    }

    /// The process stops: it says that it is not ready from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.enter(StopPhase::NotReady);
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Comes into another phase, unless the process stops, which has phases of its own.
    pub fn enter_unless_stopping(&self, phase: StopPhase) {
        if !self.is_stopping() {
            self.enter(phase);
        }
    }

    /// Comes into another phase.
    pub fn enter(&self, phase: StopPhase) {
        self.stop.send_if_modified(|known| {
            let next = known.in_phase(phase);
            std::mem::replace(known, next) != next
        });
    }

    /// A number for a new session.
    pub fn next_session(&self) -> u64 {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// A target by id.
    pub fn target(&self, id: &str) -> Option<Arc<TargetState<C>>> {
        self.targets.load().get(id).cloned()
    }

    /// All targets.
    pub fn targets(&self) -> Arc<TargetTable<C>> {
        self.targets.load_full()
    }

    /// The listed targets of a service.
    pub fn members(&self, service: &str) -> Vec<Arc<TargetState<C>>> {
        self.targets.load().members(service).to_vec()
    }

    /// What the traffic showed of a service.
    pub fn service(&self, name: &Arc<str>) -> Arc<ServiceState> {
        if let Some(known) = self.services.read().get(name) {
            return Arc::clone(known);
        }
        Arc::clone(self.services.write().entry(Arc::clone(name)).or_default())
    }

    /// The services of whose primaries a position is to be brought now.
    pub fn services_to_sample(&self) -> Vec<Arc<str>> {
        let now_us = self.clock.now_us();
        let is_due = |name: &Arc<str>, state: &ServiceState| {
            let newest_us = state.positions.lock().newest().map(|newest| newest.taken_us);
            let tells_others = self.primary(name).is_some_and(|primary| primary.is_own());
            state.demand.lock().brings(tells_others, newest_us, now_us)
        };
        let services: Vec<(Arc<str>, Arc<ServiceState>)> = {
            let services = self.services.read();
            let needed = services.iter().filter(|(_, state)| state.demand.lock().is_needed(now_us));
            needed.map(|(name, state)| (Arc::clone(name), Arc::clone(state))).collect()
        };
        let due = services.into_iter().filter(|(name, state)| is_due(name, state));
        due.map(|(name, _)| name).collect()
    }

    /// The target to ask as the primary of a service.
    pub fn primary(&self, service: &Arc<str>) -> Option<Arc<TargetState<C>>> {
        let state = self.service(service);
        let targets = self.targets.load();
        let now_us = self.clock.now_us();
        let may_ask = |member: &&Arc<TargetState<C>>| !member.must_rest(now_us);
        let members = targets.members(service).iter().filter(may_ask);
        let ids: Vec<&Arc<str>> = members.map(|member| &member.record.id).collect();
        let leaving = |id: &str| targets.get(id).is_none_or(|target| target.is_leaving());
        let id = state.leader.lock().ask(&ids, leaving, now_us)?;
        targets.get(&id).cloned()
    }

    /// Whether a target is the one believed to lead.
    pub fn is_primary(&self, target: &TargetState<C>) -> bool {
        let state = self.service(&target.record.service);
        let leader = state.leader.lock();
        leader.preferred() == Some(&target.record.id)
    }

    /// A target refused because it does not lead.
    pub fn refused_lead(&self, target: &TargetState<C>) {
        let state = self.service(&target.record.service);
        state.leader.lock().refused(&target.record.id, self.clock.now_us());
    }

    /// Notices of new versions and of targets that proved their lead.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Puts a new version in force.
    pub fn publish(&self, view: View) {
        self.align_targets(&view);
        for (service, members) in &view.services {
            let state = self.service(service);
            let mut leader = state.leader.lock();
            if let Some(primary) = view.listed_primary(service) {
                leader.announced(&primary.record.id, primary.role_since);
            }
            let is_listed = |id: &str| members.iter().any(|member| &*member.record.id == id);
            leader.keep(is_listed);
            state.words.lock().keep(is_listed);
        }
        let before = self.view.swap(Arc::new(view));
        self.changed.send_modify(|number| *number += 1);
        if withdraws_keys(&before, &self.view.load()) {
            self.keys_withdrawn.send_modify(|number| *number += 1);
        }
    }

    /// Brings the targets to what a version lists. The connections of a target that went are closed
    /// as they become idle.
    fn align_targets(&self, view: &View) {
        let mut targets = self.targets.load().by_id().clone();
        let members = view.services.values().flatten();
        let listed: FastSet<&str> = members.map(|member| &*member.record.id).collect();
        let peer_routes = self.peer_routes.load();
        targets.retain(|id, target| {
            let keep = listed.contains(&**id);
            if !keep {
                peer_routes.forget(id);
                target.set_leaving(Some(self.clock.now_us()));
                target.close();
            }
            keep
        });
        for member in view.services.values().flatten() {
            let known = targets.entry(Arc::clone(&member.record.id)).or_insert_with(|| {
                let (clock, counters) = (self.clock, &self.counters);
                Arc::new(TargetState::new(&member.record, &self.vm, clock, counters))
            });
            let now_us = self.clock.now_us();
            let rest_us = now_us + self.drain_us.saturating_sub(limits::LEAVING_MARGIN_US);
            known.set_leaving(member.record.leaving.then_some(rest_us));
        }
        self.targets.store(Arc::new(TargetTable::new(targets)));
        self.looked_us.store(0, Ordering::Relaxed);
    }
}

/// Whether a key of one version is another organisation's or nobody's in the next. Most publications bring other
/// targets and the configuration of before.
fn withdraws_keys(before: &View, now: &View) -> bool {
    if let (Some(before), Some(now)) = (&before.routes, &now.routes)
        && Arc::ptr_eq(before, now)
    {
        return false;
    }
    match (before.organisations(), now.organisations()) {
        (Some(before), Some(now)) => before.keys_differ_in(now),
        (None, Some(_)) => true,
        (_, None) => false,
    }
}

/// The limits of a service in a configuration.
pub fn service_limits(routes: Option<&RouteTable>, service: &str) -> ServiceLimits {
    routes.and_then(|routes| routes.services.get(service)).copied().unwrap_or(UNKNOWN_SERVICE)
}
