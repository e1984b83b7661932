//! Scheduling of the requests of several classes for a target's limited slots and connections.
//!
//! A home keeps one [`queue::TargetQueue`] for each of its targets. The queue limits what waits and
//! what runs; a [`SharingStrategy`] chooses which class is served next. The proxy uses one
//! strategy, [`weighted`], which was the best of four on a recorded surge: see
//! `docs/design/sharing-in-a-surge.md`. `crates/bench/examples/surge.rs` runs other strategies.

pub mod class_queue;
pub mod fair_callers;
pub mod queue;
pub mod weighted;

/// The settings of a class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClassShare {
    /// The share of the target relative to the other classes, at least 1.
    pub weight: u32,
    /// The response time goal of the class in microseconds, at least 1.
    pub goal_us: u64,
}

/// The state of a class that a strategy bases its decisions on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClassView {
    /// The settings of the class.
    pub share: ClassShare,
    /// The number of waiting requests.
    pub queued: usize,
    /// The time at which the request that is served next was queued; meaningless while none waits.
    pub head_queued_us: u64,
    /// The average run time of a request of the class.
    pub run_us: u64,
    /// The average time for which a request of the class keeps the whole target busy: its run time
    /// divided by the number of slots, or the time for which it holds a connection divided by the
    /// number of connections, whichever is longer.
    pub busy_us: u64,
}

impl ClassView {
    /// Creates the state of a class without waiting requests or averages.
    pub fn idle(share: ClassShare) -> ClassView {
        ClassView { share, queued: 0, head_queued_us: 0, run_us: 0, busy_us: 0 }
    }

    /// Returns how long the waiting requests of the class will keep the target busy.
    pub fn queued_busy_us(&self) -> u64 {
        self.busy_us * self.queued as u64
    }
}

/// A scheduling strategy, which chooses the class that is served next when a slot is free.
pub trait SharingStrategy {
    /// Creates a strategy for these classes.
    fn new(classes: &[ClassShare]) -> Self;

    /// Records that a request of `class` arrived while none of the class was waiting. It now waits,
    /// or is granted next.
    fn became_busy(&mut self, class: usize);

    /// Returns the class to serve among those with waiting requests, or `None` if there is none.
    fn choose(&mut self, classes: &[ClassView], now_us: u64) -> Option<usize>;

    /// Records that a request of `class` was granted, which is expected to keep the target busy for
    /// `busy_us`.
    fn granted(&mut self, class: usize, busy_us: u64);

    /// Returns how long the waiting requests that are served before a new request of `class` will
    /// keep the target busy.
    fn busy_ahead_us(&self, class: usize, classes: &[ClassView], now_us: u64) -> u64;
}
