//! The waiting requests of one class, with a count per caller.
//!
//! Requests are served in arrival order, or in fair order between their callers if that is enabled.
//! A limit on the waiting requests of one caller keeps it from filling the queue of its class.
//!
//! Plain round-robin order between callers is not used: later requests of other callers could then
//! overtake a waiting one indefinitely, so that no wait could be predicted (see
//! `docs/design/sharing-in-a-surge.md`). Start-time fair queueing bounds this: see
//! [`fair_callers`](crate::process::sharing::fair_callers).

use std::collections;

use crate::FastMap;
use crate::process::sharing::fair_callers::FairCallers;

/// The weight of a caller. All callers have the same for now.
const CALLER_WEIGHT: u32 = 1;

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
    /// The waiting requests in arrival order.
    waiting: collections::VecDeque<Waiting>,
    callers: FastMap<CallerId, usize>,
    /// The order between callers; `None` if requests are served in arrival order.
    fair: Option<FairCallers>,
}

impl ClassQueue {
    /// Creates an empty queue that serves its callers in fair order, or requests in arrival order.
    pub fn new(fair_callers: bool) -> ClassQueue {
        ClassQueue { fair: fair_callers.then(FairCallers::default), ..ClassQueue::default() }
    }

    /// Changes the order in which requests are served, also of the waiting ones.
    pub fn set_fair_callers(&mut self, fair_callers: bool) {
        if fair_callers == self.fair.is_some() {
            return;
        }
        self.fair = fair_callers.then(|| {
            let mut fair = FairCallers::default();
            for request in &self.waiting {
                fair.push(request.caller, request.ticket, CALLER_WEIGHT);
            }
            fair
        });
    }

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
        match &self.fair {
            Some(fair) => self.index_of(fair.head()?).map(|index| &self.waiting[index]),
            None => self.waiting.front(),
        }
    }

    /// Returns the number of callers with waiting requests.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// Returns how many of the waiting requests are served before a new request of the caller if no
    /// other request arrives. Each request takes a slot for `slot_us`.
    pub fn ahead_of(&self, caller: CallerId, slot_us: u64) -> usize {
        match &self.fair {
            Some(fair) => fair.ahead_of(caller, slot_us, CALLER_WEIGHT),
            None => self.len(),
        }
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
        if let Some(fair) = &mut self.fair {
            fair.push(request.caller, request.ticket, CALLER_WEIGHT);
        }
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let index = match &self.fair {
            Some(fair) => self.index_of(fair.head()?)?,
            None => 0,
        };
        self.remove_at(index)
    }

    /// Records that a request of the caller, which no longer waits, was granted and is expected to
    /// take a slot for `slot_us`.
    pub fn granted(&mut self, caller: CallerId, slot_us: u64) {
        if let Some(fair) = &mut self.fair {
            fair.granted(caller, slot_us, CALLER_WEIGHT);
        }
    }

    /// Corrects the slot time of the caller after the end of a request that was expected to take a
    /// slot for `expected_us` and took it for `actual_us`.
    pub fn ended(&mut self, caller: CallerId, expected_us: u64, actual_us: u64) {
        if let Some(fair) = &mut self.fair {
            fair.ended(caller, expected_us, actual_us, CALLER_WEIGHT);
        }
    }

    /// Removes a request that no longer waits. Returns whether it was in the queue.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let index = self.index_of(ticket);
        index.and_then(|index| self.remove_at(index)).is_some()
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
        if let Some(fair) = &self.fair {
            problems.extend(fair.verify(self.waiting.iter()));
        }
        problems
    }

    fn index_of(&self, ticket: Ticket) -> Option<usize> {
        self.waiting.binary_search_by_key(&ticket, |waiting| waiting.ticket).ok()
    }

    fn remove_at(&mut self, index: usize) -> Option<Waiting> {
        let request = self.waiting.remove(index)?;
        self.remove_from_caller(request.caller);
        if let Some(fair) = &mut self.fair {
            fair.remove(request.caller, request.ticket);
        }
        Some(request)
    }

    fn remove_from_caller(&mut self, caller: CallerId) {
        let Some(queued) = self.callers.get_mut(&caller) else { return };
        *queued -= 1;
        if *queued == 0 {
            self.callers.remove(&caller);
        }
    }
}
