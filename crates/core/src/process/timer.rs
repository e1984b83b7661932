//! The timer service of the control thread: parts subscribe to a period and are told when it is due.
//!
//! Nothing here reads a clock or sleeps. The embedder sleeps until [`Timers::next_deadline_us`] and
//! asks [`Timers::take_due`]. Jitter spreads the ticks of many processes; it is drawn from a seed, so
//! a run can be repeated. A process that was paused gets one tick of each subscription, not all that
//! it missed: a burst of overdue probes and calls is what a machine that just woke needs least.

use std::cmp;
use std::collections;

use crate::process::jitter;

/// A subscription.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TimerId(u32);

impl TimerId {
    /// The position of this subscription in a dense table.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// How often a subscription is due.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Period {
    /// The time between two ticks, at least 1.
    pub every_us: u64,
    /// Each tick comes up to this much later.
    pub jitter_us: u64,
    /// The seed of the jitter.
    pub seed: u64,
}

/// When a subscription is next due, and what makes it move.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Subscription {
    period: Option<Period>,
    due_us: u64,
    step: u64,
    active: bool,
}

/// An entry of the heap. It counts only while the subscription still has this due time and step.
type Entry = cmp::Reverse<(u64, TimerId, u64)>;

/// All subscriptions.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    subscriptions: Vec<Subscription>,
    free: Vec<TimerId>,
    heap: collections::BinaryHeap<Entry>,
}

impl Timers {
    /// No subscription.
    pub fn new() -> Timers {
        Timers::default()
    }

    /// Subscribes to a period. The first tick comes after a part of it that depends on the seed, so
    /// that processes that start together don't tick together.
    pub fn subscribe(&mut self, period: Period, now_us: u64) -> TimerId {
        let first_us = jitter::below_us(period.seed, 0, period.every_us + period.jitter_us + 1);
        self.insert(Some(period), now_us + first_us)
    }

    /// Subscribes to a single tick at `due_us`.
    pub fn once(&mut self, due_us: u64) -> TimerId {
        self.insert(None, due_us)
    }

    /// Moves the next tick. An ended single tick must not be moved.
    pub fn reset(&mut self, timer: TimerId, due_us: u64) {
        let subscription = &mut self.subscriptions[timer.index()];
        assert!(subscription.active, "a timer that ended can't be moved");
        subscription.step += 1;
        subscription.due_us = due_us;
        self.heap.push(cmp::Reverse((due_us, timer, subscription.step)));
        self.compact();
    }

    /// Ends a subscription. Its id may be given out again.
    pub fn cancel(&mut self, timer: TimerId) {
        let subscription = &mut self.subscriptions[timer.index()];
        if subscription.active {
            subscription.active = false;
            subscription.step += 1;
            self.free.push(timer);
        }
    }

    /// Adds each subscription that is due to `due`, in the order of their times. Periods move on; a
    /// single tick ends.
    pub fn take_due(&mut self, now_us: u64, due: &mut Vec<TimerId>) {
        while let Some(&cmp::Reverse((due_us, timer, step))) = self.heap.peek() {
            if due_us > now_us {
                return;
            }
            self.heap.pop();
            if self.is_current(timer, step) {
                due.push(timer);
                self.reschedule(timer, now_us);
            }
        }
    }

    /// When the next subscription is due.
    pub fn next_deadline_us(&mut self) -> Option<u64> {
        while let Some(&cmp::Reverse((due_us, timer, step))) = self.heap.peek() {
            if self.is_current(timer, step) {
                return Some(due_us);
            }
            self.heap.pop();
        }
        None
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for (index, subscription) in self.subscriptions.iter().enumerate() {
            let timer = TimerId(index as u32);
            let entry = cmp::Reverse((subscription.due_us, timer, subscription.step));
            let queued = self.heap.iter().filter(|other| **other == entry).count();
            if queued != usize::from(subscription.active) {
                problems.push(format!("timer {index} is queued {queued} times"));
            }
        }
        problems
    }

    fn insert(&mut self, period: Option<Period>, due_us: u64) -> TimerId {
        let timer = match self.free.pop() {
            Some(timer) => {
                let subscription = &mut self.subscriptions[timer.index()];
                *subscription = Subscription { period, due_us, active: true, ..*subscription };
                timer
            }
            None => {
                let timer = TimerId(self.subscriptions.len() as u32);
                self.subscriptions.push(Subscription { period, due_us, step: 0, active: true });
                timer
            }
        };
        let step = self.subscriptions[timer.index()].step;
        self.heap.push(cmp::Reverse((due_us, timer, step)));
        timer
    }

    fn is_current(&self, timer: TimerId, step: u64) -> bool {
        let subscription = &self.subscriptions[timer.index()];
        subscription.active && subscription.step == step
    }

    fn reschedule(&mut self, timer: TimerId, now_us: u64) {
        let subscription = &mut self.subscriptions[timer.index()];
        let Some(period) = subscription.period else {
            self.cancel(timer);
            return;
        };
        subscription.step += 1;
        let late_us = jitter::below_us(period.seed, subscription.step, period.jitter_us + 1);
        subscription.due_us = now_us + period.every_us.max(1) + late_us;
        let entry = cmp::Reverse((subscription.due_us, timer, subscription.step));
        self.heap.push(entry);
    }

    /// Drops entries that no longer count once they outnumber those that do, so that timers that are
    /// moved often don't make the heap grow.
    fn compact(&mut self) {
        if self.heap.len() <= 2 * self.subscriptions.len() + 16 {
            return;
        }
        let heap = std::mem::take(&mut self.heap);
        let current = heap.into_iter().filter(|entry| {
            let cmp::Reverse((_, timer, step)) = *entry;
            self.is_current(timer, step)
        });
        self.heap = current.collect();
    }
}
