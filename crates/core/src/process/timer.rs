//! The timer service of the control thread: components subscribe to a period and are notified when
//! it is due.
//!
//! Nothing here reads a clock or sleeps. The embedder sleeps until [`Timers::next_deadline_us`] and
//! calls [`Timers::take_due`]. Jitter spreads the ticks of many processes; it is derived from a
//! seed, so a run is reproducible. A process that was paused gets one tick of each subscription,
//! not all that it missed: a burst of overdue probes and calls would load a machine that has just
//! resumed.

use std::cmp;
use std::collections;

use crate::process::jitter;

/// The identifier of a subscription.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct TimerId(u32);

impl TimerId {
    /// Returns the index of this subscription, for use in a dense table.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// The period of a subscription.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Period {
    /// The time between two ticks in microseconds, at least 1.
    pub every_us: u64,
    /// The maximum additional delay of each tick, in microseconds.
    pub jitter_us: u64,
    /// The seed of the jitter; it should differ between processes.
    pub seed: u64,
}

/// The state of a subscription. The period is `None` for a single tick; `step` changes with each
/// tick, reset and cancellation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Subscription {
    period: Option<Period>,
    due_us: u64,
    step: u64,
    active: bool,
}

/// A heap entry: due time, timer and step. It is current only while the subscription has the same
/// step.
type Entry = cmp::Reverse<(u64, TimerId, u64)>;

/// The set of all subscriptions.
#[derive(Clone, Debug, Default)]
pub struct Timers {
    subscriptions: Vec<Subscription>,
    free: Vec<TimerId>,
    heap: collections::BinaryHeap<Entry>,
}

impl Timers {
    /// Creates a set without subscriptions.
    pub fn new() -> Timers {
        Timers::default()
    }

    /// Subscribes to a period. The first tick comes after a part of the period that depends on the
    /// seed, so that processes that start together don't tick together.
    pub fn subscribe(&mut self, period: Period, now_us: u64) -> TimerId {
        let first_us = jitter::below_us(period.seed, 0, period.every_us + period.jitter_us + 1);
        self.insert(Some(period), now_us + first_us)
    }

    /// Subscribes to a single tick at `due_us`.
    pub fn once(&mut self, due_us: u64) -> TimerId {
        self.insert(None, due_us)
    }

    /// Moves the next tick of an active subscription to `due_us`.
    ///
    /// Panics if the subscription has ended.
    pub fn reset(&mut self, timer: TimerId, due_us: u64) {
        let subscription = &mut self.subscriptions[timer.index()];
        assert!(subscription.active, "an ended timer can't be reset");
        subscription.step += 1;
        subscription.due_us = due_us;
        self.heap.push(cmp::Reverse((due_us, timer, subscription.step)));
        self.compact();
    }

    /// Ends a subscription. Its identifier may be reused.
    pub fn cancel(&mut self, timer: TimerId) {
        let subscription = &mut self.subscriptions[timer.index()];
        if subscription.active {
            subscription.active = false;
            subscription.step += 1;
            self.free.push(timer);
        }
    }

    /// Appends each due subscription to `due`, in the order of their due times. Periodic ones are
    /// scheduled again; single ticks end.
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

    /// Returns when the next subscription is due.
    pub fn next_deadline_us(&mut self) -> Option<u64> {
        while let Some(&cmp::Reverse((due_us, timer, step))) = self.heap.peek() {
            if self.is_current(timer, step) {
                return Some(due_us);
            }
            self.heap.pop();
        }
        None
    }

    /// Returns every violated invariant.
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

    /// Removes outdated heap entries once they outnumber the current ones, so that the heap does
    /// not grow with frequently moved timers.
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
