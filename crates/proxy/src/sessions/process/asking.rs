//! Whether this process asks the store by itself, and its pauses while the store does not answer.
//!
//! The decisions are those of `skylark_core::process::store_calls`. One probe serves all in the process
//! that wait for the store.

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

/// How long a process that starts waits for the list of VMs, which says who asks for whom.
const VMS_LIMIT: Duration = Duration::from_millis(1_000);

/// What decides who asks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct State {
    /// How many VMs there are; zero while that is not known.
    vms: usize,
    /// Whether this process asks for itself and others.
    asks: bool,
    /// What the one that tells this process says of the store.
    told: Option<StoreStatus>,
    /// Since when nobody tells what the store says.
    untold_since_us: u64,
    /// Whether the store did not answer this process's last probe.
    is_away: bool,
    /// Whether what the one that tells this process told of is late.
    is_late: bool,
}

impl State {
    fn standing(&self) -> StoreAccess {
        store_calls::store_access(self.asks, self.told)
    }

    fn is_told(&self) -> bool {
        self.standing() == StoreAccess::ViaPeer
    }

    fn may_answer(&self) -> bool {
        !self.is_away && self.told != Some(StoreStatus::Unavailable)
    }
}

/// Whether this process asks the store.
#[derive(Debug)]
pub struct Asking {
    vm: Box<str>,
    seed: u64,
    clock: MonotonicClock,
    state: watch::Sender<State>,
    /// How many probes in a row were sent since a call was answered.
    failures: AtomicU32,
    /// When the last probe was answered. Held by the one that probes for all.
    probe_answered_us: Mutex<u64>,
}

impl Asking {
    /// For a process that starts.
    pub fn new(vm: &str, clock: MonotonicClock) -> Asking {
        let untold_since_us = clock.now_us();
        let state = State {
            vms: 0,
            asks: false,
            told: None,
            untold_since_us,
            is_away: false,
            is_late: false,
        };
        Asking {
            vm: vm.into(),
            seed: jitter::seed_of(vm),
            clock,
            state: watch::Sender::new(state),
            failures: AtomicU32::new(0),
            probe_answered_us: Mutex::new(0),
        }
    }

    /// How this process comes by what the store says.
    pub fn standing(&self) -> StoreAccess {
        self.state.borrow().standing()
    }

    /// Whether this process has to ask by itself.
    pub fn is_untold(&self) -> bool {
        !self.state.borrow().is_told()
    }

    /// Takes in how many VMs there are, and whether this one asks for itself and others.
    pub fn set_fleet(&self, vms: usize, asks: bool) {
        self.change(|state| (state.vms, state.asks) = (vms, asks));
    }

    /// Takes in what the one that tells this process says of the store; none if nobody tells it.
    pub fn set_told(&self, told: Option<StoreStatus>) {
        self.change(|state| (state.told, state.is_late) = (told, false));
    }

    /// A version that this process was told of is late: it asks at once. With the pauses of one that is told no
    /// longer, the version could come into force later than it has to.
    pub fn is_told_late(&self) {
        self.change(|state| (state.told, state.is_late) = (None, true));
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut State),
    {
        let now_us = self.clock.now_us();
        self.state.send_if_modified(|state| {
            let before = *state;
            change(state);
            if before.is_told() && !state.is_told() {
                state.untold_since_us = now_us;
            }
            *state != before
        });
    }

    /// Waits until this process has to ask by itself, and the store answers it. Returns whether it was told
    /// meanwhile.
    pub async fn turn<S>(&self, store: &S) -> bool
    where
        S: StateStore,
    {
        let mut states = self.state.subscribe();
        let mut was_told = false;
        // Without the list of VMs all of a large fleet would ask as if they were few.
        let _ = time::timeout(VMS_LIMIT, states.wait_for(|state| state.vms > 0)).await;
        loop {
            let state = *states.borrow_and_update();
            let standing = state.standing();
            if standing == StoreAccess::ViaPeer {
                was_told = true;
                // The sender lives as long as this.
                let _ = states.changed().await;
                continue;
            }
            if standing == StoreAccess::Direct || state.is_late {
                return was_told;
            }
            let patience_us = store_calls::direct_call_delay_us(standing, state.vms, self.seed);
            let left_us = (state.untold_since_us + patience_us).saturating_sub(self.clock.now_us());
            if left_us > 0 {
                let _ = time::timeout(Duration::from_micros(left_us), states.changed()).await;
            } else if self.until_answered(state.untold_since_us, store).await {
                return was_told;
            }
        }
    }

    /// The store answered a call that was no probe.
    pub fn answered(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.change(|state| state.is_away = false);
    }

    /// Waits after a call that was not answered until the store answers a probe, or another VM tells
    /// this process.
    pub async fn after_failure<S>(&self, store: &S)
    where
        S: StateStore,
    {
        self.until_answered(self.clock.now_us(), store).await;
    }

    /// Waits until the store has answered a probe that was sent after `since_us`, or another VM tells this
    /// process. Returns whether the store has. A probe is cheap, and one at a time serves all that wait.
    async fn until_answered<S>(&self, since_us: u64, store: &S) -> bool
    where
        S: StateStore,
    {
        let mut states = self.state.subscribe();
        let mut probe_answered_us = self.probe_answered_us.lock().await;
        while *probe_answered_us <= since_us {
            let state = *states.borrow();
            let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
            let pause_us =
                store_calls::retry_pause_us(state.standing(), state.vms, failures, self.seed);
            let told = states.wait_for(State::is_told);
            if time::timeout(Duration::from_micros(pause_us), told).await.is_ok() {
                return false;
            }
            let is_away = store.probe(&self.vm).await.is_err();
            if !is_away {
                *probe_answered_us = self.clock.now_us();
            }
            self.change(|state| state.is_away = is_away);
        }
        true
    }

    /// Whether the store may answer, as far as is known.
    pub fn may_answer(&self) -> bool {
        self.state.borrow().may_answer()
    }

    /// Waits while the store is known not to answer, at most for this time.
    pub async fn while_away(&self, limit: Duration) {
        let mut states = self.state.subscribe();
        let is_here = states.wait_for(State::may_answer);
        // Trying after all is what is left then.
        let _ = time::timeout(limit, is_here).await;
    }
}
