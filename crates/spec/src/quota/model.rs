//! The states, transitions and invariant of the quota model.

use std::fmt;

use skylark_core::process::quota::LimitPart;
use skylark_core::process::quota::QuotaTolerance;
use skylark_core::process::quota::TokenBucket;
use skylark_core::version::organisations::RateLimit;

use super::Safeguard;
use crate::explore::Model;

/// The unit of time of the model, in microseconds.
const SECOND_US: u64 = 1_000_000;

/// The explored time in seconds, without and with saved grants. Saved grants need the longer time to exceed
/// the limit, because buckets fill slowly.
const END_S: u64 = 9;
const END_WITH_SAVED_GRANTS_S: u64 = 13;

/// The VMs by index: two allocators, and the VM that replaces the first allocator in the new list.
const VMS: usize = 3;
const REPLACED: usize = 0;
const REPLACING: usize = 2;
const ALLOCATORS: usize = 2;

/// The limit, and the excess that is permitted in one window.
const LIMIT: RateLimit = RateLimit { rate_milli_per_s: 2_000, burst_milli: 12_000 };
const TOLERANCE: QuotaTolerance = QuotaTolerance { window_ms: 2_000, excess_milli: 0, slack: 12 };

/// The number of time steps in one window, both ends included.
const WINDOW_SECONDS: usize = 3;

/// The maximum number of operations in one window: the rate times the window's length, plus the burst, plus
/// the slack of the tolerance.
const MAX_OPERATIONS_IN_WINDOW: u32 = 2 * 2 + 12 + 12;

/// The maximum number of faults, and how many of them a new list counts for. A restart counts for one.
const FAULTS: u8 = 4;
const NEW_LIST_FAULTS: u8 = 2;

/// The longest time in which VMs may have different lists, and the time for which a VM that becomes an
/// allocator waits before it grants, in seconds.
const LIST_PROPAGATION_S: u64 = 1;
const TAKEOVER_WAIT_S: u64 = 2;

/// A state of the allocators and of the operations in the latest window.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct State {
    now_s: u64,
    /// The bucket of each VM; `None` for a VM that is not an allocator.
    buckets: [Option<TokenBucket>; VMS],
    /// Whether each VM has received the new list.
    knows_new_list: [bool; VMS],
    /// The time at which the first VM received the new list.
    new_list_since_s: Option<u64>,
    faults: u8,
    /// The number of operations in each second of the window, the current second first.
    operations: [u32; WINDOW_SECONDS],
    /// The number of grants that callers hold for later operations.
    saved_grants: u32,
}

/// A transition between two states. VMs are given by their index.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// Callers run as many operations as an allocator grants.
    RunGranted(usize),
    /// Callers save as many grants as an allocator gives.
    SaveGrants(usize),
    /// Callers run one operation for each saved grant.
    RunSaved,
    /// An allocator's process restarts.
    Restart(usize),
    /// A VM receives the new list.
    Learn(usize),
    /// A second passes.
    Tick,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::RunGranted(vm) => write!(f, "callers run all that vm{vm} grants"),
            Step::SaveGrants(vm) => write!(f, "callers keep all that vm{vm} grants"),
            Step::RunSaved => f.write_str("callers run what they kept"),
            Step::Restart(vm) => write!(f, "vm{vm} starts again"),
            Step::Learn(vm) => write!(f, "vm{vm} learns the new list"),
            Step::Tick => f.write_str("a second passes"),
        }
    }
}

/// The quota model.
#[derive(Clone, Copy, Debug)]
pub struct QuotaModel {
    /// The safeguard that is switched off, if any.
    pub without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl QuotaModel {
    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Returns the maximum number of faults. It is zero if grants can be saved: saved grants multiply the
    /// number of states, and they exceed the limit without any fault.
    fn faults(&self) -> u8 {
        if self.has(Safeguard::NoSavedGrants) { FAULTS } else { 0 }
    }

    fn end_s(&self) -> u64 {
        if self.has(Safeguard::NoSavedGrants) { END_S } else { END_WITH_SAVED_GRANTS_S }
    }

    fn part(&self) -> LimitPart {
        let allocators = if self.has(Safeguard::Divide) { ALLOCATORS } else { 1 };
        let part = LimitPart::of(LIMIT, TOLERANCE, allocators);
        match self.has(Safeguard::StartPart) {
            true => part,
            false => LimitPart { start_milli: part.limit.burst_milli, ..part },
        }
    }

    fn bucket_steps(&self, state: &State, vm: usize, next: &mut Next) {
        let Some(bucket) = &state.buckets[vm] else { return };
        let mut bucket = bucket.clone();
        let granted = bucket.take(u32::MAX, state.now_s * SECOND_US).granted;
        if granted > 0 {
            let mut run = state.clone();
            run.buckets[vm] = Some(bucket.clone());
            run.operations[0] += granted;
            next.push((Step::RunGranted(vm), run));
            if !self.has(Safeguard::NoSavedGrants) {
                let mut saved = state.clone();
                saved.buckets[vm] = Some(bucket);
                saved.saved_grants += granted;
                next.push((Step::SaveGrants(vm), saved));
            }
        }
        if state.faults < self.faults() {
            let mut after = state.clone();
            after.faults += 1;
            after.buckets[vm] = Some(TokenBucket::starting(self.part(), state.now_s * SECOND_US));
            next.push((Step::Restart(vm), after));
        }
    }

    fn learn(&self, state: &State, vm: usize) -> State {
        let mut after = state.clone();
        after.knows_new_list[vm] = true;
        if after.new_list_since_s.is_none() {
            after.new_list_since_s = Some(state.now_s);
            after.faults += NEW_LIST_FAULTS;
        }
        match vm {
            REPLACED => after.buckets[vm] = None,
            REPLACING => {
                let since_s = match self.has(Safeguard::TakeOverPause) {
                    true => state.now_s + TAKEOVER_WAIT_S,
                    false => 0,
                };
                after.buckets[vm] = Some(TokenBucket::starting(self.part(), since_s * SECOND_US));
            }
            _ => (),
        }
        after
    }
}

impl Model for QuotaModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let bucket = || Some(TokenBucket::starting(self.part(), 0));
        State {
            now_s: 0,
            buckets: [bucket(), bucket(), None],
            knows_new_list: [false; VMS],
            new_list_since_s: None,
            faults: 0,
            operations: [0; WINDOW_SECONDS],
            saved_grants: 0,
        }
    }

    fn steps(&self, state: &State, next: &mut Next) {
        for vm in 0..VMS {
            self.bucket_steps(state, vm, next);
            let is_unpublished = state.new_list_since_s.is_none();
            let may_learn = !is_unpublished || state.faults + NEW_LIST_FAULTS <= self.faults();
            let learns = [REPLACED, REPLACING].contains(&vm) && !state.knows_new_list[vm];
            if may_learn && learns {
                next.push((Step::Learn(vm), self.learn(state, vm)));
            }
        }
        if state.saved_grants > 0 {
            let mut after = state.clone();
            after.operations[0] += std::mem::take(&mut after.saved_grants);
            next.push((Step::RunSaved, after));
        }
        let may_advance = state.new_list_since_s.is_none_or(|since_s| {
            let all_know = state.knows_new_list[REPLACED] && state.knows_new_list[REPLACING];
            all_know || state.now_s < since_s + LIST_PROPAGATION_S
        });
        if state.now_s < self.end_s() && may_advance {
            let mut after = state.clone();
            after.now_s += 1;
            after.operations.rotate_right(1);
            after.operations[0] = 0;
            next.push((Step::Tick, after));
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let in_window: u32 = state.operations.iter().sum();
        (in_window > MAX_OPERATIONS_IN_WINDOW)
            .then_some("a window has more operations than the limit allows")
    }

    fn describe(&self, state: &State) -> String {
        format!("at {} s, ran {:?}, kept {}", state.now_s, state.operations, state.saved_grants)
    }
}
