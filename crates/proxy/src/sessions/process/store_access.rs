//! Decides whether this process calls the store itself, and how it probes a store that does not answer.
//!
//! `skylark_core::process::store_calls` defines the rules. All tasks of the process that wait for the store
//! share one sequence of probes.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use skylark_core::process::jitter;
use skylark_core::process::store_calls;
use skylark_core::process::store_calls::StoreAccess;
use skylark_core::process::store_calls::StoreStatus;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::time;

use crate::process::clock::MonotonicClock;
use crate::sessions::store::StateStore;

/// How long a starting process waits for the list of VMs, which determines the watchers.
const VM_LIST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The inputs of the decision.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct State {
    /// Number of VMs; zero while unknown.
    vm_count: usize,
    /// Whether this process watches the store for itself or as a watcher.
    has_direct_access: bool,
    /// What the followed feed reports about the store; `None` without a feed.
    feed_status: Option<StoreStatus>,
    /// Since when this process has had no feed with an answering store, in microseconds.
    no_feed_since_us: u64,
    /// Whether the store did not answer this process's last probe.
    is_unavailable: bool,
    /// Whether a version that the feed announced is overdue.
    feed_is_late: bool,
}

impl State {
    fn access(&self) -> StoreAccess {
        store_calls::store_access(self.has_direct_access, self.feed_status)
    }

    fn has_feed(&self) -> bool {
        self.access() == StoreAccess::ViaPeer
    }

    fn may_answer(&self) -> bool {
        !self.is_unavailable && self.feed_status != Some(StoreStatus::Unavailable)
    }
}

/// Access of this process to the store.
#[derive(Debug)]
pub struct StoreAccessTracker {
    vm: Box<str>,
    seed: u64,
    clock: MonotonicClock,
    state: watch::Sender<State>,
    /// Number of probes since the last answered call.
    failures: AtomicU32,
    /// When the last probe was answered, in microseconds. Whoever holds the lock probes for all waiting
    /// tasks.
    probe_answered_us: Mutex<u64>,
}

impl StoreAccessTracker {
    /// Creates the state of a starting process.
    pub fn new(vm: &str, clock: MonotonicClock) -> StoreAccessTracker {
        let no_feed_since_us = clock.now_us();
        let state = State {
            vm_count: 0,
            has_direct_access: false,
            feed_status: None,
            no_feed_since_us,
            is_unavailable: false,
            feed_is_late: false,
        };
        StoreAccessTracker {
            vm: vm.into(),
            seed: jitter::seed_of(vm),
            clock,
            state: watch::Sender::new(state),
            failures: AtomicU32::new(0),
            probe_answered_us: Mutex::new(0),
        }
    }

    /// How this process gets the store's state.
    pub fn access(&self) -> StoreAccess {
        self.state.borrow().access()
    }

    /// Whether this process has no feed with an answering store, so that it has to call the store itself.
    pub fn lacks_feed(&self) -> bool {
        !self.state.borrow().has_feed()
    }

    /// Sets the number of VMs, and whether this process watches the store itself.
    pub fn set_fleet(&self, vm_count: usize, has_direct_access: bool) {
        self.change(|state| {
            (state.vm_count, state.has_direct_access) = (vm_count, has_direct_access)
        });
    }

    /// Sets what the followed feed reports about the store; `None` if no feed is followed.
    pub fn set_feed_status(&self, feed_status: Option<StoreStatus>) {
        self.change(|state| (state.feed_status, state.feed_is_late) = (feed_status, false));
    }

    /// Records that an announced version is overdue, so that the store is called immediately. The delays for
    /// a process without a feed could put the version into force too late.
    pub fn mark_feed_late(&self) {
        self.change(|state| (state.feed_status, state.feed_is_late) = (None, true));
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut State),
    {
        let now_us = self.clock.now_us();
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            if before.has_feed() && !state.has_feed() {
                state.no_feed_since_us = now_us;
            }
            *state != before
        });
    }

    /// Waits until this process has to call the store itself. A process that does not watch the store anyway
    /// also waits for a delay and for an answered probe. Returns whether it had a feed meanwhile, in which
    /// case the revisions that it knew before are outdated.
    pub async fn wait_for_direct_access<S>(&self, store: &S) -> bool
    where
        S: StateStore,
    {
        let mut states = self.state.subscribe();
        let mut had_feed = false;
        // Without the list of VMs, all VMs of a large fleet would call the store as if there were only a few.
        let _ = time::timeout(VM_LIST_TIMEOUT, states.wait_for(|state| state.vm_count > 0)).await;
        loop {
            let state = *states.borrow_and_update();
            let access = state.access();
            if access == StoreAccess::ViaPeer {
                had_feed = true;
                // The sender is a field of `self`, so this does not fail.
                let _ = states.changed().await;
                continue;
            }
            if access == StoreAccess::Direct || state.feed_is_late {
                return had_feed;
            }
            let direct_delay_us =
                store_calls::direct_call_delay_us(access, state.vm_count, self.seed);
            let left_us =
                (state.no_feed_since_us + direct_delay_us).saturating_sub(self.clock.now_us());
            if left_us > 0 {
                let _ = time::timeout(Duration::from_micros(left_us), states.changed()).await;
            } else if self.wait_for_probe(state.no_feed_since_us, store).await {
                return had_feed;
            }
        }
    }

    /// Waits until a feed supplies the store's state.
    pub async fn wait_for_feed(&self) {
        // The sender is a field of `self`, so this does not fail.
        let _ = self.state.subscribe().wait_for(State::has_feed).await;
    }

    /// Records that the store answered a call other than a probe.
    pub fn record_answer(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.change(|state| state.is_unavailable = false);
    }

    /// Waits after a failed call until the store answers a probe, or another VM supplies the store's state.
    pub async fn wait_after_failure<S>(&self, store: &S)
    where
        S: StateStore,
    {
        self.wait_for_probe(self.clock.now_us(), store).await;
    }

    /// Waits until the store has answered a probe that was sent after `since_us`, or another VM supplies the
    /// store's state. Returns whether the store answered. Probes are cheap, and one at a time serves all
    /// waiting tasks.
    async fn wait_for_probe<S>(&self, since_us: u64, store: &S) -> bool
    where
        S: StateStore,
    {
        let mut states = self.state.subscribe();
        let mut probe_answered_us = self.probe_answered_us.lock().await;
        while *probe_answered_us <= since_us {
            let state = *states.borrow();
            let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
            let pause_us =
                store_calls::retry_pause_us(state.access(), state.vm_count, failures, self.seed);
            let feed = states.wait_for(State::has_feed);
            if time::timeout(Duration::from_micros(pause_us), feed).await.is_ok() {
                return false;
            }
            let is_unavailable = store.probe(&self.vm).await.is_err();
            if !is_unavailable {
                *probe_answered_us = self.clock.now_us();
            }
            self.change(|state| state.is_unavailable = is_unavailable);
        }
        true
    }

    /// Whether the store may answer, as far as is known.
    pub fn may_answer(&self) -> bool {
        self.state.borrow().may_answer()
    }

    /// Waits while the store is known to be unavailable, for at most `limit`.
    pub async fn wait_while_unavailable(&self, limit: Duration) {
        let mut states = self.state.subscribe();
        let answering = states.wait_for(State::may_answer);
        // After the limit the caller tries the store regardless.
        let _ = time::timeout(limit, answering).await;
    }
}
