//! Watches the platform's configuration and its list of targets.
//!
//! A process watches both itself while it has no feed from another process (`feed`); a waiting watch costs
//! one call. `store_access.rs` decides when that is, and handles a store that does not answer. The results
//! are merged into one view and published (`cluster_state.rs`). Versions of the configuration only increase.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::FastSet;
use skylark_core::process::departures::Departures;
use skylark_core::process::store_calls;
use skylark_core::process::store_calls::StoreAccess;
use skylark_core::process::store_calls::StoreStatus;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::member_table::MemberTable;
use crate::sessions::store::StateStore;
use crate::sessions::store::StoreError;

/// How long the list of targets has to be watched without interruption before a missing target counts as
/// gone, in microseconds. Targets whose entries expired while the store was unavailable register again within
/// 2 s of its return.
const REREGISTRATION_US: u64 = 2_500_000;

/// How long a watch waits at the store. Each call is billed, but a call that was lost while the store was
/// unavailable hides all changes until it times out, and a process has to be up to date 4 s after the store's
/// return.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long a watch waits while the store does not answer. A lost call must not hide the store's return.
const FAILING_WATCH_TIMEOUT: Duration = Duration::from_millis(100);

/// How long to wait before the next watch while changes of targets follow in quick succession. When all
/// targets register or return, each call would otherwise deliver one of hundreds to each watcher.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Maximum time between two changes that follow in quick succession, in microseconds. A single change, such
/// as a new primary, is not delayed.
const BURST_GAP_US: u64 = 500_000;

/// How long to wait after a watch whose response could not be decoded, before the list is read. If every watch
/// ends like this, the lists are read at this interval, and changes are still in force within 3 s.
const UNDECODABLE_PAUSE: Duration = Duration::from_millis(300);

/// What a watch follows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Watched {
    Configuration,
    Targets,
}

impl Watched {
    fn name(self) -> &'static str {
        match self {
            Watched::Configuration => "configuration",
            Watched::Targets => "targets",
        }
    }
}

/// The state of one watch.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum WatchStatus {
    /// The watch is idle: it has not started yet, or a feed supplies its data.
    #[default]
    Idle,
    /// The last call was answered.
    Answering,
    /// No call has been answered since this time, in microseconds.
    FailingSince(u64),
}

/// The states of both watches. They are kept apart, since an answer about targets would otherwise hide that a
/// watcher gets no new configuration, and its subscribers would keep the old one as well.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    configuration: WatchStatus,
    targets: WatchStatus,
}

impl StoreHealth {
    /// Whether the store answers both watches.
    fn answers(self) -> bool {
        self.configuration == WatchStatus::Answering && self.targets == WatchStatus::Answering
    }

    /// Whether the store answers the watch of the targets.
    fn answers_targets(self) -> bool {
        self.targets == WatchStatus::Answering
    }

    /// Since when the store has not answered one of the watches, in microseconds.
    fn failing_since_us(self) -> Option<u64> {
        let since_us = |status| match status {
            WatchStatus::FailingSince(since_us) => Some(since_us),
            WatchStatus::Idle | WatchStatus::Answering => None,
        };
        [self.configuration, self.targets].into_iter().filter_map(since_us).min()
    }

    fn status_mut(&mut self, watched: Watched) -> &mut WatchStatus {
        match watched {
            Watched::Configuration => &mut self.configuration,
            Watched::Targets => &mut self.targets,
        }
    }
}

/// What the followed feed reports.
#[derive(Clone, Copy, Debug)]
pub struct FeedStatus {
    /// Whether the store answers the publisher.
    pub store_status: StoreStatus,
    /// Whether every target that is missing from the publisher's list is gone.
    pub is_settled: bool,
}

/// The state of the platform as far as this process knows it.
#[derive(Debug, Default)]
pub struct ClusterState {
    pub(super) number: u64,
    pub(super) routes: Option<Arc<RouteTable>>,
    pub(super) targets: MemberTable,
    /// Members that left the list, by service.
    pub(super) departures: FastMap<Arc<str>, Departures<Arc<TargetRecord>>>,
    /// The services whose departures may have changed since they were last published.
    pub(super) departures_changed: FastSet<Arc<str>>,
    /// Targets that are no longer listed, but may register again.
    pub(super) expired: FastSet<Arc<str>>,
    /// The store's revision of the list of targets.
    pub(super) targets_revision: StoreRevision,
    /// The states of the watches.
    health: StoreHealth,
    /// What the followed feed reports; `None` if no feed is followed.
    feed: Option<FeedStatus>,
    /// Whether the followed feed reported the store as unavailable since the store last answered this
    /// process.
    was_unavailable: bool,
    /// When the store last answered this process again after an outage, in microseconds; zero before.
    store_recovered_us: u64,
    /// When a watch last delivered a change of targets, in microseconds; zero before the first.
    targets_changed_us: u64,
    /// The store's revision of the list of VMs.
    pub(super) vms_revision: StoreRevision,
}

/// Watches the platform's state and publishes it within the process.
#[derive(Debug)]
pub struct Watcher<C, S>
where
    C: Codec,
{
    pub(super) gateway: Arc<Gateway<C>>,
    store: S,
    pub(super) known: Mutex<ClusterState>,
}

impl<C, S> Watcher<C, S>
where
    C: Codec,
    S: StateStore,
{
    /// Creates a watcher without any known state.
    pub fn new(gateway: &Arc<Gateway<C>>, store: S) -> Watcher<C, S> {
        Watcher { gateway: Arc::clone(gateway), store, known: Mutex::default() }
    }

    /// Whether every target that is missing from the list is gone, rather than expired while the store was
    /// unavailable.
    pub fn list_is_settled(&self) -> bool {
        self.is_settled(&self.known.lock())
    }

    /// Whether the list contains every target that may run. Unlike [`Watcher::list_is_settled`] this does not
    /// wait after a start: a list that was just read lacks a target only if the store was unavailable just
    /// before.
    pub fn list_is_complete(&self) -> bool {
        let known = self.known.lock();
        let was_never_unavailable = known.health.answers_targets()
            && self.recovered_us(&known) == 0
            && known.targets_revision > StoreRevision::default();
        was_never_unavailable || self.is_settled(&known)
    }

    pub(super) fn is_settled(&self, known: &ClusterState) -> bool {
        if known.health.answers_targets() {
            return self.gateway.clock.now_us() >= self.recovered_us(known) + REREGISTRATION_US;
        }
        let feed = known.feed.filter(|feed| feed.store_status != StoreStatus::Unavailable);
        feed.is_some_and(|feed| feed.is_settled)
    }

    /// When the store last answered again after an outage or a restore, in microseconds; zero before.
    fn recovered_us(&self, known: &ClusterState) -> u64 {
        known.store_recovered_us.max(self.gateway.store_generation.newest().restored_us())
    }

    /// What this process publishes about the store. A subscriber has no answers of its own to report; one
    /// that watches the store itself also reports what another VM supplies meanwhile.
    pub(super) fn store_status_for_peers(&self, known: &ClusterState) -> StoreStatus {
        let has_direct_access = self.gateway.store_access.access() == StoreAccess::Direct;
        let helper = known.feed.filter(|_| has_direct_access).map(|feed| feed.store_status);
        store_calls::status_for_peers(known.health.answers(), helper)
    }

    /// Sets what the followed feed reports; `None` if no feed is followed.
    pub fn set_feed_status(&self, feed: Option<FeedStatus>) {
        let mut known = self.known.lock();
        known.feed = feed;
        known.was_unavailable |=
            feed.is_some_and(|feed| feed.store_status == StoreStatus::Unavailable);
        drop(known);
        self.gateway.store_access.set_feed_status(feed.map(|feed| feed.store_status));
    }

    /// Stops relying on the feed because an announced version is overdue, so that the store is called.
    pub fn bypass_late_feed(&self) {
        self.known.lock().feed = None;
        self.gateway.store_access.mark_feed_late();
    }

    /// For how long the store has not answered one of the watches, in microseconds; zero if it answers both.
    pub fn store_silent_us(&self) -> u64 {
        let since_us = self.known.lock().health.failing_since_us();
        since_us.map_or(0, |since_us| self.gateway.clock.now_us().saturating_sub(since_us))
    }

    /// Waits until this process has to call the store itself. Returns whether it had a feed meanwhile.
    async fn wait_for_direct_access(&self, watched: Watched) -> bool {
        let had_feed = self.gateway.store_access.wait_for_direct_access(&self.store).await;
        if had_feed {
            *self.known.lock().health.status_mut(watched) = WatchStatus::Idle;
        }
        had_feed
    }

    /// Follows the configuration for as long as the process runs.
    pub async fn follow_configuration(&self) {
        let mut revision = None;
        let mut is_failing = false;
        loop {
            if self.wait_for_direct_access(Watched::Configuration).await {
                revision = None;
            }
            let result = match revision {
                None => self.store.configuration().await,
                Some(revision) => {
                    let wait = watch_timeout(is_failing);
                    let watch = self.store.watch_configuration(revision, wait);
                    let Some(result) = self.unless_fed(watch).await else { continue };
                    result
                }
            };
            is_failing = result.is_err();
            match result {
                Ok(found) => {
                    self.record_answer(Watched::Configuration);
                    self.gateway.store_generation.observe(found.revision);
                    revision = Some(found.revision);
                    if let Some(routes) = found.value {
                        self.apply_routes(Arc::new(routes));
                    }
                }
                Err(error) => {
                    revision = self.handle_error(error, revision, Watched::Configuration).await;
                }
            }
        }
    }

    /// Follows the list of targets for as long as the process runs.
    pub async fn follow_targets(&self) {
        let mut revision = None;
        let mut is_failing = false;
        loop {
            if self.wait_for_direct_access(Watched::Targets).await {
                revision = None;
            }
            let result = match revision {
                None => self.list_targets().await,
                Some(known) => {
                    let watch = self.watch_targets(known, watch_timeout(is_failing));
                    let Some(result) = self.unless_fed(watch).await else { continue };
                    result
                }
            };
            is_failing = result.is_err();
            revision = match result {
                Ok(found) => Some(found),
                Err(error) => self.handle_error(error, revision, Watched::Targets).await,
            };
        }
    }

    /// Waits for a call of a watch. Returns `None` once a feed supplies the data: the store would otherwise
    /// send each change to all subscribers too, as long as their last watches wait.
    async fn unless_fed<F>(&self, watch: F) -> Option<F::Output>
    where
        F: Future,
    {
        tokio::select! {
            result = watch => Some(result),
            () = self.gateway.store_access.wait_for_feed() => None,
        }
    }

    /// Reads the list of all targets. Returns the revision at which a watch starts.
    pub(super) async fn list_targets(&self) -> Result<StoreRevision, StoreError> {
        let found = self.store.targets().await?;
        self.record_answer(Watched::Targets);
        self.apply_target_list(found.revision, found.value);
        Ok(found.revision)
    }

    /// Waits for changes of targets. Returns the revision at which the next watch starts.
    async fn watch_targets(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<StoreRevision, StoreError> {
        let found = self.store.watch_targets(revision, wait).await?;
        self.record_answer(Watched::Targets);
        let has_changes = !found.value.is_empty();
        self.apply_target_changes(found.revision, found.value);
        if has_changes && self.is_change_burst() {
            time::sleep(BATCH_DELAY).await;
        }
        Ok(found.revision)
    }

    /// Whether the previous change of targets was shortly before this one.
    fn is_change_burst(&self) -> bool {
        let now_us = self.gateway.clock.now_us();
        let before_us = std::mem::replace(&mut self.known.lock().targets_changed_us, now_us);
        before_us > 0 && now_us < before_us + BURST_GAP_US
    }

    fn record_answer(&self, watched: Watched) {
        let now_us = self.gateway.clock.now_us();
        let mut known = self.known.lock();
        let before = std::mem::replace(known.health.status_mut(watched), WatchStatus::Answering);
        let was_silent_for_us = match before {
            WatchStatus::FailingSince(since_us) => Some(now_us.saturating_sub(since_us)),
            WatchStatus::Idle | WatchStatus::Answering => None,
        };
        let was_unavailable = std::mem::take(&mut known.was_unavailable);
        if was_silent_for_us.is_some() || was_unavailable {
            known.store_recovered_us = now_us;
            slog::info!(self.gateway.log, "the store answers again";
                "watch" => watched.name(), "silent_us" => was_silent_for_us);
        }
        drop(known);
        self.gateway.store_access.record_answer();
    }

    /// Waits until the store can be called again. Returns the revision at which the watch continues, or
    /// `None` if the list has to be read again.
    async fn handle_error(
        &self,
        error: StoreError,
        revision: Option<StoreRevision>,
        watched: Watched,
    ) -> Option<StoreRevision> {
        if error == StoreError::HistoryGone {
            slog::info!(self.gateway.log, "the store lost its history; reading everything again";
                "watch" => watched.name());
            return None;
        }
        // The store would send the same response to a watch from the same revision: it is malformed, or contains
        // more events than the size limit allows. A list contains only the latest state of each object.
        if let StoreError::Malformed(reason) = &error
            && revision.is_some()
        {
            self.log_undecodable(watched, reason);
            time::sleep(UNDECODABLE_PAUSE).await;
            return None;
        }
        self.record_failure(watched, &error);
        self.refresh_feed();
        self.gateway.store_access.wait_after_failure(&self.store).await;
        revision
    }

    fn log_undecodable(&self, watched: Watched, reason: &str) {
        let log_budget = &self.gateway.log_budget;
        let Some(left_out) = log_budget.take("undecodable watch", self.gateway.clock.now_us())
        else {
            return;
        };
        slog::warn!(self.gateway.log, "invalid response to a watch; reading everything again";
            "watch" => watched.name(), "reason" => reason, "left_out" => left_out);
    }

    fn record_failure(&self, watched: Watched, error: &StoreError) {
        let mut known = self.known.lock();
        let status = known.health.status_mut(watched);
        if let WatchStatus::FailingSince(_) = status {
            return;
        }
        *status = WatchStatus::FailingSince(self.gateway.clock.now_us());
        slog::warn!(self.gateway.log, "the store does not answer";
            "watch" => watched.name(), "reason" => error.to_string());
    }
}

fn watch_timeout(is_failing: bool) -> Duration {
    if is_failing { FAILING_WATCH_TIMEOUT } else { WATCH_TIMEOUT }
}
