//! The state that this process keeps of one target: paths, admission queue and health.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::connection_plan::AdmissionScope;
use skylark_core::process::homes;
use skylark_core::process::sharing::ClassShare;
use skylark_core::process::sharing::queue::QueueLimits;
use skylark_core::request::retry::Failure;
use skylark_core::request::statement::TargetError;
use skylark_core::version::routes::TargetRecord;

use crate::connection::admission::AdmissionQueue;
use crate::connection::pool::Pool;
use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::link::TargetLogin;
use crate::sessions::process::active_targets::Activity;
use crate::sessions::process::limits;
use crate::sessions::process::single_flight::SingleFlight;
use crate::sessions::process::target_path;
use crate::sessions::process::target_path::PathInputs;
use crate::sessions::process::target_path::PoolParts;
use crate::sessions::process::target_path::TargetPath;
use crate::sessions::request::acquire;
use crate::sessions::store::VmAddress;

/// The weight of a new answer time in the moving average, as one part in this many.
const AVERAGE_DIVISOR: u64 = 8;

/// Assumed answer time before any was measured, in microseconds.
const INITIAL_ANSWER_US: u64 = 12_000;

/// Number of classes: one for each precedence, with the last one for all lower precedences.
pub const CLASSES: usize = 4;

/// Weight of the class with the highest precedence. Each lower class has half the weight of the one before.
const HIGHEST_WEIGHT: u32 = 8;

/// Goal for the waiting time in a class without one of its own, in microseconds.
const DEFAULT_GOAL_US: u64 = 200_000;

/// What this VM does for the admission to a target that one VM admits to for all VMs.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionRole {
    /// It sends its statements through the VM that admits.
    Forwards,
    /// It also forwards, and admits if the homes before it are unreachable.
    Standby,
    /// It admits the statements of all VMs.
    Admits,
}

impl AdmissionRole {
    /// Returns the name of a role in the log; `None` stands for admission that is not shared.
    pub fn name(role: Option<AdmissionRole>) -> &'static str {
        match role {
            None => "not_shared",
            Some(AdmissionRole::Forwards) => "forwards",
            Some(AdmissionRole::Standby) => "standby",
            Some(AdmissionRole::Admits) => "admits",
        }
    }

    /// Whether a VM of this role is one of those that admit, or that admit next.
    pub fn is_home(role: Option<AdmissionRole>) -> bool {
        matches!(role, Some(AdmissionRole::Standby | AdmissionRole::Admits))
    }
}

/// The health of a target, as observed by requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Health {
    /// Moving average of the answer time, in microseconds.
    pub average_answer_us: u64,
    /// Number of statements that wait for admission or for a connection.
    pub queued: u32,
    /// Number of statements that were sent and not answered yet.
    pub in_flight: u32,
    /// Since when statements have waited for an answer without any arriving, in microseconds.
    pub unanswered_since_us: Option<u64>,
    /// When the target last answered, in microseconds; zero before.
    pub answered_us: u64,
    /// The first failure since the last answer, in microseconds.
    pub failed_since_us: Option<u64>,
    /// When the target last failed, in microseconds; zero before.
    pub failed_us: u64,
    /// The first failure to reach the relaying VM since a reply last came through it, in microseconds. It
    /// says nothing about the target itself.
    pub path_failed_since_us: Option<u64>,
    /// Number of commits that were sent and not answered yet.
    pub commits_waiting: u32,
    /// Since when commits have waited without any being acknowledged, in microseconds.
    pub commits_stuck_since_us: Option<u64>,
    /// When the target last refused a read because it lagged, in microseconds; zero before.
    pub lagged_us: u64,
}

impl Health {
    /// Whether commits have waited for `duration_us` without any being acknowledged.
    pub fn commits_stuck_for(&self, duration_us: u64, now_us: u64) -> bool {
        let since_us = self.commits_stuck_since_us.filter(|_| self.commits_waiting > 0);
        since_us.is_some_and(|since_us| now_us >= since_us + duration_us)
    }
}

/// The state of one target.
#[derive(Debug)]
pub struct TargetState<C>
where
    C: Codec,
{
    /// The record that the target registered first. Its id, service and address never change.
    pub record: Arc<TargetRecord>,
    /// When this process learned that the target is listed, in microseconds.
    pub listed_us: u64,
    /// From when a leaving target gets no more work, in microseconds; zero while it is not leaving.
    no_work_from_us: AtomicU64,
    /// The path of this process's statements.
    path: ArcSwap<TargetPath<C>>,
    /// The paths that users are divided among, including `path` if it is one of them; empty if all users
    /// share `path`.
    user_paths: ArcSwap<Vec<Arc<TargetPath<C>>>>,
    /// Whether connections serve one organisation each.
    has_organisations: AtomicBool,
    /// Whether one VM admits the statements of all VMs.
    shares_admission: AtomicBool,
    /// What this VM does for the shared admission; `None` if admission is not shared.
    admission_role: Mutex<Option<AdmissionRole>>,
    /// When a path last did not reach the target, by the VM that relays; `None` for the direct path. Only
    /// recorded while admission is shared.
    dead_ends: Mutex<FastMap<Option<Arc<str>>, u64>>,
    /// The inputs that the paths were last set for; `None` before.
    applied_inputs: Mutex<Option<PathInputs>>,
    /// Held while the paths are set, which requests and the maintenance of the pools both do.
    routing: Mutex<()>,
    /// When the paths were last set, in microseconds; zero before.
    routed_us: AtomicU64,
    /// Whether the target is among the active ones.
    pub activity: Activity,
    parts: PoolParts,
    /// The admission queue in front of the connections.
    pub queue: Arc<AdmissionQueue>,
    health: Mutex<Health>,
    /// The notification of the target that it is no longer primary.
    pub step_down_flight: SingleFlight,
}

impl<C> TargetState<C>
where
    C: Codec,
{
    /// Creates the state of a target without any observations.
    pub fn new(
        record: &Arc<TargetRecord>,
        vm: &Arc<str>,
        clock: MonotonicClock,
        counters: &Arc<Counters>,
    ) -> TargetState<C> {
        let login = TargetLogin {
            service: Arc::clone(&record.service),
            target_id: Arc::clone(&record.id),
            vm: Arc::clone(vm),
            to_proxy: false,
            tcp_connect_ms: None,
        };
        let parts = PoolParts { login, clock, counters: Arc::clone(counters) };
        let path = parts.path(None, record, false, false);
        let queue = AdmissionQueue::new(QueueLimits::default(), &class_shares(), clock);
        let health = Health {
            average_answer_us: INITIAL_ANSWER_US,
            queued: 0,
            in_flight: 0,
            unanswered_since_us: None,
            answered_us: 0,
            failed_since_us: None,
            failed_us: 0,
            path_failed_since_us: None,
            commits_waiting: 0,
            commits_stuck_since_us: None,
            lagged_us: 0,
        };
        let state = TargetState {
            record: Arc::clone(record),
            listed_us: clock.now_us(),
            no_work_from_us: AtomicU64::new(0),
            path: ArcSwap::from_pointee(path),
            user_paths: ArcSwap::default(),
            has_organisations: AtomicBool::new(false),
            shares_admission: AtomicBool::new(false),
            admission_role: Mutex::default(),
            dead_ends: Mutex::default(),
            applied_inputs: Mutex::default(),
            routing: Mutex::default(),
            routed_us: AtomicU64::new(0),
            activity: Activity::default(),
            parts,
            queue: Arc::new(queue),
            health: Mutex::new(health),
            step_down_flight: SingleFlight::default(),
        };
        state.configure(1);
        state
    }

    /// The connections of the path.
    pub fn pool(&self) -> Arc<Pool<StatementLink<C>>> {
        Arc::clone(&self.path.load().pool)
    }

    /// The path of this process's statements.
    pub fn path(&self) -> Arc<TargetPath<C>> {
        self.path.load_full()
    }

    /// Returns the path of a user's statements. Each user's connections are kept by one of the directly
    /// connected processes.
    pub fn path_for(&self, user: Option<&Arc<str>>) -> Arc<TargetPath<C>> {
        let paths = self.user_paths.load();
        let Some(user) = user else { return self.path() };
        let score = |path: &&Arc<TargetPath<C>>| {
            let vm = path.via.as_deref().unwrap_or(&self.parts.login.vm);
            homes::user_score(&self.record.id, user, vm)
        };
        paths.iter().max_by_key(score).cloned().unwrap_or_else(|| self.path())
    }

    /// Divides users among these VMs, where `None` is this process. With fewer than two all users
    /// share one path.
    pub fn divide_users(&self, vms: &[Option<&VmAddress>]) {
        let known = self.user_paths.load_full();
        let own = self.path();
        let vms = if vms.len() < 2 { &[] } else { vms };
        let path_to = |vm: &Option<&VmAddress>| {
            let via = vm.map(|vm| &vm.name);
            if own.via.as_ref() == via {
                return Arc::clone(&own);
            }
            let known = known.iter().find(|path| path.via.as_ref() == via);
            known.cloned().unwrap_or_else(|| self.new_path(*vm))
        };
        let paths: Vec<Arc<TargetPath<C>>> = vms.iter().map(path_to).collect();
        let is_same = paths.len() == known.len()
            && paths.iter().zip(known.iter()).all(|(path, known)| Arc::ptr_eq(path, known));
        if is_same {
            return;
        }
        for path in known.iter() {
            let is_kept = Arc::ptr_eq(path, &own) || paths.iter().any(|it| Arc::ptr_eq(it, path));
            if !is_kept {
                path.close();
            }
        }
        self.user_paths.store(Arc::new(paths));
    }

    fn new_path(&self, vm: Option<&VmAddress>) -> Arc<TargetPath<C>> {
        let has_organisations = self.has_organisations.load(Ordering::Relaxed);
        let shares_admission = self.shares_admission();
        let path = self.parts.path(vm, &self.record, has_organisations, shares_admission);
        if vm.is_some() {
            path.pool.set_share(limits::PEER_CONNECTIONS + 1);
        }
        Arc::new(path)
    }

    /// Calls `act` for each path in use.
    pub fn for_each_path<F>(&self, mut act: F)
    where
        F: FnMut(&TargetPath<C>),
    {
        let (own, users) = (self.path.load(), self.user_paths.load());
        act(&own);
        users.iter().filter(|path| !Arc::ptr_eq(path, &own)).for_each(|path| act(path));
    }

    /// Number of connections on all paths that are open or being opened.
    pub fn connections(&self) -> u32 {
        let mut total = 0;
        self.for_each_path(|path| total += path.pool.total());
        total
    }

    /// Closes all connections as they become idle.
    pub fn close(&self) {
        self.for_each_path(TargetPath::close);
    }

    /// The VM that relays statements; `None` for direct connections, and before the first use.
    pub fn via(&self) -> Option<Arc<str>> {
        self.path.load().via.clone()
    }

    /// Whether this process connects to the target directly.
    pub fn is_direct(&self) -> bool {
        self.is_routed() && self.path.load().via.is_none()
    }

    /// Whether the paths were set. Those of a target that other VMs connect to are set at its first use.
    pub fn is_routed(&self) -> bool {
        self.routed_us.load(Ordering::Relaxed) > 0
    }

    /// Whether the paths were set after `since_us`.
    pub fn is_routed_after(&self, since_us: u64) -> bool {
        self.routed_us.load(Ordering::Relaxed) > since_us
    }

    /// Sets the paths by `set`, one caller at a time: of two concurrent changes, one would close the
    /// connections that the other one just gave to statements. Returns what `set` returns.
    pub fn route<F, R>(&self, now_us: u64, set: F) -> R
    where
        F: FnOnce() -> R,
    {
        let _routing = self.routing.lock();
        let result = set();
        self.routed_us.store(now_us.max(1), Ordering::Relaxed);
        result
    }

    /// Whether the paths need no maintenance until a statement uses them: they lead through other VMs, have
    /// no connections, and no failure is recorded.
    pub fn is_idle(&self) -> bool {
        let is_idle_via_proxy =
            |path: &Arc<TargetPath<C>>| path.via.is_some() && path.pool.is_unused();
        is_idle_via_proxy(&self.path.load())
            && self.user_paths.load().iter().all(is_idle_via_proxy)
            && self.has_no_failure()
    }

    /// Whether neither the target nor a path to it failed since it last answered.
    fn has_no_failure(&self) -> bool {
        let health = self.health.lock();
        health.path_failed_since_us.is_none() && health.failed_since_us.is_none()
    }

    /// Records the inputs for the paths. Returns whether the paths can stay as they are, since the inputs are
    /// unchanged and no path fails.
    pub fn paths_unchanged(&self, inputs: PathInputs) -> bool {
        let before = self.applied_inputs.lock().replace(inputs);
        if before != Some(inputs) || self.health.lock().path_failed_since_us.is_some() {
            return false;
        }
        let mut fails = false;
        self.for_each_path(|path| fails |= path.pool.is_failing());
        !fails
    }

    /// Changes the path to go through `vm`, or to be direct. The connections of the old path are closed as
    /// they become idle.
    pub fn set_via(&self, vm: Option<&VmAddress>) {
        let via = vm.map(|vm| Arc::clone(&vm.name));
        if self.path.load().via == via {
            return;
        }
        let known = self.user_paths.load().iter().find(|path| path.via == via).cloned();
        let next = known.unwrap_or_else(|| self.new_path(vm));
        let old = self.path.swap(next);
        let is_kept = self.user_paths.load().iter().any(|path| Arc::ptr_eq(path, &old));
        if !is_kept {
            old.close();
            if self.shares_admission() {
                // Those that still wait for a connection there try the new path instead.
                old.pool.fail_waiters(Failure::TimedOut);
            }
        }
    }

    /// Lets the pools of all paths open and close connections.
    pub fn maintain(&self) {
        self.for_each_path(|path| path.pool.maintain());
    }

    /// Sets whether connections serve one organisation each, which determines the policy of the pools.
    pub fn set_has_organisations(&self, has_organisations: bool) {
        if self.has_organisations.swap(has_organisations, Ordering::Relaxed) != has_organisations {
            self.set_policies();
        }
    }

    fn set_policies(&self) {
        let has_organisations = self.has_organisations.load(Ordering::Relaxed);
        let shares_admission = self.shares_admission();
        self.for_each_path(|path| {
            let to_proxy = path.via.is_some();
            let policy = target_path::policy(to_proxy, has_organisations, shares_admission);
            path.pool.set_policy(policy);
        });
    }

    /// Sets how many VMs decide what runs at the target.
    pub fn set_admission(&self, admission: AdmissionScope) {
        let is_shared = admission == AdmissionScope::PerTarget;
        if self.shares_admission.swap(is_shared, Ordering::Relaxed) != is_shared {
            self.set_policies();
        }
    }

    /// Whether one VM admits the statements of all VMs, so that forwarded statements carry their class.
    pub fn shares_admission(&self) -> bool {
        self.shares_admission.load(Ordering::Relaxed)
    }

    /// Sets what this VM does for the shared admission; `None` if admission is not shared.
    pub fn set_admission_role(&self, role: Option<AdmissionRole>) {
        *self.admission_role.lock() = role;
    }

    /// What this VM does for the shared admission; `None` if admission is not shared.
    pub fn admission_role(&self) -> Option<AdmissionRole> {
        *self.admission_role.lock()
    }

    /// Records that a path does not reach the target, although the VM that relays is reachable. The next use
    /// of the target sets its paths anew: other homes may be on the target's side of a partition.
    fn record_dead_end(&self, via: Option<&Arc<str>>, now_us: u64) {
        if self.shares_admission() {
            self.dead_ends.lock().insert(via.cloned(), now_us);
            self.routed_us.store(1, Ordering::Relaxed);
        }
    }

    /// Whether the path through a VM, or the direct one, lately did not reach the target.
    pub fn is_dead_end(&self, via: Option<&Arc<str>>, now_us: u64) -> bool {
        let mut dead_ends = self.dead_ends.lock();
        dead_ends.retain(|_, failed_us| now_us < *failed_us + limits::DEAD_END_EJECTION_US);
        dead_ends.contains_key(&via.cloned())
    }

    /// Whether this process's connections to the target fail.
    pub fn fails_to_connect(&self) -> bool {
        let failure = self.pool().last_connect_failure();
        failure.is_some_and(|failure| !acquire::is_connection_limit(failure))
    }

    /// Sets this process's share of the connections.
    pub fn configure(&self, share: u32) {
        let shares_admission = self.shares_admission();
        // A home that admits for all VMs decides the order, so the queue in front of the path to it only
        // limits the connections.
        let running = match shares_admission && self.path.load().via.is_some() {
            true => share,
            false => running_limit(self.record.slots, share, shares_admission),
        };
        let has_organisations = self.has_organisations.load(Ordering::Relaxed);
        let bounds = queue_limits(running, share, has_organisations, shares_admission);
        // One connection more than the queue admits, for sampling the position: that takes no slot and must
        // not wait behind the statements of an overloaded primary.
        self.pool().set_share(share + 1);
        self.queue.configure(bounds, &class_shares());
    }

    /// Records that the target announced its shutdown and gets no work from `no_work_from_us` on, or that it
    /// withdrew the announcement. The earliest announced time counts.
    pub fn set_leaving(&self, no_work_from_us: Option<u64>) {
        match no_work_from_us {
            None => self.no_work_from_us.store(0, Ordering::Relaxed),
            Some(no_work_from_us) => {
                let known_us = self.no_work_from_us.load(Ordering::Relaxed);
                let first_us =
                    if known_us == 0 { no_work_from_us } else { known_us.min(no_work_from_us) };
                self.no_work_from_us.store(first_us, Ordering::Relaxed);
            }
        }
    }

    /// Whether the target announced its shutdown. New work goes elsewhere if possible.
    pub fn is_leaving(&self) -> bool {
        self.no_work_from_us.load(Ordering::Relaxed) > 0
    }

    /// Whether the target must get no work at all, even if no other target can do it.
    pub fn refuses_work(&self, now_us: u64) -> bool {
        let no_work_from_us = self.no_work_from_us.load(Ordering::Relaxed);
        no_work_from_us > 0 && now_us >= no_work_from_us
    }

    /// The health of the target, as observed by requests.
    pub fn health(&self) -> Health {
        *self.health.lock()
    }

    /// Records that a statement waits for admission or a connection.
    pub fn queued(&self) {
        self.health.lock().queued += 1;
    }

    /// Records that a statement stopped waiting.
    pub fn unqueued(&self) {
        let mut health = self.health.lock();
        health.queued = health.queued.saturating_sub(1);
    }

    /// Records that a statement was sent.
    pub fn started(&self, now_us: u64) {
        let mut health = self.health.lock();
        health.in_flight += 1;
        health.unanswered_since_us.get_or_insert(now_us);
    }

    /// Records that a statement was answered or abandoned.
    pub fn ended(&self) {
        let mut health = self.health.lock();
        health.in_flight = health.in_flight.saturating_sub(1);
        if health.in_flight == 0 {
            health.unanswered_since_us = None;
        }
    }

    /// Records an answer of the target. `took_us` is the answer time if it is representative.
    pub fn answered(&self, now_us: u64, took_us: Option<u64>) {
        let mut health = self.health.lock();
        health.answered_us = now_us;
        health.failed_since_us = None;
        health.path_failed_since_us = None;
        health.unanswered_since_us = (health.in_flight > 0).then_some(now_us);
        if let Some(took_us) = took_us {
            let kept_us = health.average_answer_us - health.average_answer_us / AVERAGE_DIVISOR;
            health.average_answer_us = kept_us + took_us / AVERAGE_DIVISOR;
        }
    }

    /// Records a complete reply from the target or from the relaying proxy.
    pub fn replied(&self, error: Option<TargetError>, now_us: u64, took_us: Option<u64>) {
        match error {
            Some(TargetError::Unreachable) => {
                self.failed(now_us);
                if let Some(via) = self.via() {
                    self.record_dead_end(Some(&via), now_us);
                }
            }
            // The relaying proxy may have sent this itself. It is no evidence that the target, and with it
            // the target's zone, is reachable: otherwise a VM in a partitioned zone would count the other
            // zones as reachable.
            Some(TargetError::Busy | TargetError::NotAdmitted(_)) if !self.is_direct() => {
                self.health.lock().path_failed_since_us = None;
            }
            _ => self.answered(now_us, took_us),
        }
    }

    /// Whether the target is ejected: it failed recently and has not answered since.
    pub fn is_ejected(&self, now_us: u64) -> bool {
        let health = self.health.lock();
        health.failed_since_us.is_some()
            && now_us < health.failed_us + limits::FAILED_MEMBER_EJECTION_US
    }

    /// Records that the target was unreachable, disconnected, or did not answer in time.
    pub fn failed(&self, now_us: u64) {
        let mut health = self.health.lock();
        health.failed_us = now_us;
        health.failed_since_us.get_or_insert(now_us);
    }

    /// Records that the target or the relaying VM was unreachable.
    pub fn record_unreachable(&self, path: &TargetPath<C>, failure: Failure, now_us: u64) {
        match &path.via {
            None => {
                self.failed(now_us);
                self.record_dead_end(None, now_us);
            }
            // The relaying VM answered that it has no path to the target.
            Some(via) if matches!(failure, Failure::Said { .. }) => {
                self.record_dead_end(Some(via), now_us);
            }
            Some(_) => {
                self.health.lock().path_failed_since_us.get_or_insert(now_us);
            }
        }
    }

    /// Records that the target refused a read because its log lacks the required position.
    pub fn lagged(&self, now_us: u64) {
        self.health.lock().lagged_us = now_us;
    }

    /// Records that a commit was sent.
    pub fn commit_sent(&self, now_us: u64) {
        let mut health = self.health.lock();
        health.commits_waiting += 1;
        health.commits_stuck_since_us.get_or_insert(now_us);
    }

    /// Records the end of a commit: its answer, a broken connection, or a timeout. Only a timeout indicates
    /// stuck commits: a target that loses some answers acknowledges the other commits.
    pub fn commit_ended(&self, now_us: u64, timed_out: bool) {
        let mut health = self.health.lock();
        health.commits_waiting = health.commits_waiting.saturating_sub(1);
        if !timed_out {
            health.commits_stuck_since_us = (health.commits_waiting > 0).then_some(now_us);
        }
    }
}

/// Returns how many statements a VM with this share of the connections sends to a target at a time. `slots` is
/// any number that an entry has.
pub fn running_limit(slots: u32, share: u32, shares_admission: bool) -> u32 {
    let running = match shares_admission {
        true => slots.saturating_mul(limits::ADMITTED_PER_SLOT),
        false => slots.saturating_add(limits::RUNNING_BEYOND_SLOTS),
    };
    running.min(share)
}

/// The limits of a queue that lets `running` statements run on `connections` connections.
pub fn queue_limits(
    running: u32,
    connections: u32,
    has_organisations: bool,
    shares_admission: bool,
) -> QueueLimits {
    let queued = limits::QUEUED_PER_TARGET;
    QueueLimits {
        running,
        connections,
        queued,
        queued_per_class: queued,
        queued_per_caller: match has_organisations {
            true => limits::QUEUED_PER_ORGANISATION,
            false => queued,
        },
        starts_by_deadline: shares_admission,
        spread_retries: shares_admission,
        ..QueueLimits::default()
    }
}

/// The classes of requests by precedence.
pub fn class_shares() -> [ClassShare; CLASSES] {
    std::array::from_fn(|class| ClassShare {
        weight: (HIGHEST_WEIGHT >> class).max(1),
        goal_us: DEFAULT_GOAL_US,
    })
}
