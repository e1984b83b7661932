//! How the requests of several classes share a target's few slots and connections.
//!
//! A home keeps one [`queue::TargetQueue`] for each of its targets. The queue bounds what waits and
//! what runs; a [`SharingStrategy`] chooses which class goes next. The product has one strategy,
//! [`weighted`], which was the best of four on a recorded surge: see
//! `docs/design/sharing-in-a-surge.md`, and `crates/bench/examples/surge.rs` for trying another.

pub mod class_queue;
pub mod queue;
pub mod weighted;

/// What the settings say of a class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClassShare {
    /// The share of the target relative to the other classes, at least 1.
    pub weight: u32,
    /// The response time that the class aims at, at least 1.
    pub goal_us: u64,
}

/// What a strategy sees of a class now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClassView {
    /// The settings of the class.
    pub share: ClassShare,
    /// How many requests wait.
    pub queued: usize,
    /// When the request that goes next was queued; of no meaning while none waits.
    pub head_queued_us: u64,
    /// How long one request of the class usually runs.
    pub run_us: u64,
    /// How long one request of the class usually keeps the whole target busy: its run time divided
    /// by the slots, or the time that it holds a connection divided by the connections if longer.
    pub busy_us: u64,
}

impl ClassView {
    /// A class in which nothing waits, and about which nothing is known.
    pub fn idle(share: ClassShare) -> ClassView {
        ClassView { share, queued: 0, head_queued_us: 0, run_us: 0, busy_us: 0 }
    }

    /// How long the waiting requests of the class will keep the target busy.
    pub fn queued_busy_us(&self) -> u64 {
        self.busy_us * self.queued as u64
    }
}

/// Chooses the class that goes next when a slot is free.
pub trait SharingStrategy {
    /// A strategy for these classes.
    fn new(classes: &[ClassShare]) -> Self;

    /// A request of `class` found the class without waiting requests, and waits now or is granted
    /// next.
    fn became_busy(&mut self, class: usize);

    /// Chooses among the classes with waiting requests; `None` when there is none.
    fn choose(&mut self, classes: &[ClassView], now_us: u64) -> Option<usize>;

    /// A request of `class` was granted, and is expected to keep the target busy for `busy_us`.
    fn granted(&mut self, class: usize, busy_us: u64);

    /// How long the target is busy with waiting requests that will go before a new request of
    /// `class`.
    fn busy_ahead_us(&self, class: usize, classes: &[ClassView], now_us: u64) -> u64;
}
