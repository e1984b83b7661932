//! The waiting requests of one class, in arrival order, with a count per caller.
//!
//! A limit on the waiting requests of one caller keeps it from filling the queue of its class.
//! Round-robin order between callers is not used: later requests of other callers could then
//! overtake a waiting one indefinitely, so that no wait could be predicted (see
//! `docs/design/sharing-in-a-surge.md`).

use std::collections;

use crate::FastMap;

/// The identifier of a waiting request, increasing with its arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Ticket(pub u64);

/// The identifier of the caller that a request comes from, such as a hash of its identity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallerId(pub u64);

/// A waiting request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Waiting {
    /// The identifier of the request.
    pub ticket: Ticket,
    /// The caller that the request comes from.
    pub caller: CallerId,
    /// The time at which it was queued, in microseconds.
    pub queued_us: u64,
    /// The time at which the caller stops waiting, in microseconds.
    pub deadline_us: u64,
}

/// The queue of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    waiting: collections::VecDeque<Waiting>,
    callers: FastMap<CallerId, usize>,
}

impl ClassQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the request that is served next.
    pub fn head(&self) -> Option<&Waiting> {
        self.waiting.front()
    }

    /// Returns the number of waiting requests of the caller.
    pub fn queued_of(&self, caller: CallerId) -> usize {
        self.callers.get(&caller).copied().unwrap_or(0)
    }

    /// Returns whether a request of another caller waits.
    pub fn has_others(&self, caller: CallerId) -> bool {
        self.queued_of(caller) < self.len()
    }

    /// Appends a request. Its ticket must be higher than those of all earlier requests.
    pub fn push(&mut self, request: Waiting) {
        *self.callers.entry(request.caller).or_default() += 1;
        self.waiting.push_back(request);
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let request = self.waiting.pop_front()?;
        self.remove_from_caller(request.caller);
        Some(request)
    }

    /// Removes a request that no longer waits. Returns whether it was in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.waiting.binary_search_by_key(&ticket, |waiting| waiting.ticket);
        let removed = index.ok().and_then(|index| self.waiting.remove(index));
        if let Some(request) = removed {
            self.remove_from_caller(request.caller);
        }
        removed.is_some()
    }

    /// Removes every request whose deadline has passed, and appends their tickets to `expired`.
    pub fn expire(&mut self, now_us: u64, expired: &mut Vec<Ticket>) {
        let first = expired.len();
        let passed = self.waiting.iter().filter(|waiting| waiting.deadline_us <= now_us);
        expired.extend(passed.map(|waiting| waiting.ticket));
        for ticket in &expired[first..] {
            self.remove(*ticket);
        }
    }

    /// Returns every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for (earlier, later) in self.waiting.iter().zip(self.waiting.iter().skip(1)) {
            if earlier.ticket >= later.ticket {
                problems.push(format!("{later:?} is queued behind {earlier:?}"));
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
            problems
                .push(format!("{counted} requests are counted, but {} wait", self.waiting.len()));
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
