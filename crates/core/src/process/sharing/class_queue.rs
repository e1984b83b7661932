//! The waiting requests of one class, in arrival order, with a count for each caller.
//!
//! A bound on what one caller may have waiting keeps it from filling the queue of its class. An order
//! that takes turns between callers was measured too (`docs/design/sharing-in-a-surge.md`): later
//! requests of other callers then pass a waiting one without end, so that no wait can be predicted.

use std::collections;

use crate::FastMap;

/// The identity of a waiting request, increasing with its arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Ticket(pub u64);

/// Whom a request comes from, such as a hash of the caller's identity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallerId(pub u64);

/// A waiting request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Waiting {
    /// The identity of the request.
    pub ticket: Ticket,
    /// Whom it comes from.
    pub caller: CallerId,
    /// When it was queued.
    pub queued_us: u64,
    /// When the caller gives up.
    pub deadline_us: u64,
}

/// The queue of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    waiting: collections::VecDeque<Waiting>,
    callers: FastMap<CallerId, usize>,
}

impl ClassQueue {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The request that goes next.
    pub fn head(&self) -> Option<&Waiting> {
        self.waiting.front()
    }

    /// How many requests of the caller wait.
    pub fn queued_of(&self, caller: CallerId) -> usize {
        self.callers.get(&caller).copied().unwrap_or(0)
    }

    /// Whether a request of another caller waits.
    pub fn has_others(&self, caller: CallerId) -> bool {
        self.queued_of(caller) < self.len()
    }

    /// Adds a request. Tickets increase.
    pub fn push(&mut self, request: Waiting) {
        *self.callers.entry(request.caller).or_default() += 1;
        self.waiting.push_back(request);
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let request = self.waiting.pop_front()?;
        self.remove_from_caller(request.caller);
        Some(request)
    }

    /// Takes a request out that no longer waits. Returns whether it was there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.waiting.binary_search_by_key(&ticket, |waiting| waiting.ticket);
        let removed = index.ok().and_then(|index| self.waiting.remove(index));
        if let Some(request) = removed {
            self.remove_from_caller(request.caller);
        }
        removed.is_some()
    }

    /// Takes out every request whose deadline has come, and adds them to `expired`.
    pub fn expire(&mut self, now_us: u64, expired: &mut Vec<Ticket>) {
        let first = expired.len();
        let passed = self.waiting.iter().filter(|waiting| waiting.deadline_us <= now_us);
        expired.extend(passed.map(|waiting| waiting.ticket));
        for ticket in &expired[first..] {
            self.remove(*ticket);
        }
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for (earlier, later) in self.waiting.iter().zip(self.waiting.iter().skip(1)) {
            if earlier.ticket >= later.ticket {
                problems.push(format!("{later:?} stands behind {earlier:?}"));
            }
        }
        for (caller, counted) in &self.callers {
            let queued = self.waiting.iter().filter(|waiting| waiting.caller == *caller).count();
            if queued != *counted || queued == 0 {
                problems.push(format!("{caller:?} has {queued} requests, not {counted}"));
            }
        }
        let counted: usize = self.callers.values().sum();
        if counted != self.waiting.len() {
            problems.push(format!("{counted} requests are counted of {}", self.waiting.len()));
        }
        problems
    }

    fn remove_from_caller(&mut self, caller: CallerId) {
        let Some(queued) = self.callers.get_mut(&caller) else { return };
        *queued -= 1;
        if *queued == 0 {
            self.callers.remove(&caller);
        }
    }
}
