//! The waiting requests of one class, in an order that is fair between callers.
//!
//! In arrival order a caller that sends a thousand requests at once would put everybody else of its
//! class behind them. Here each request takes a turn: one more than the caller's previous turn, or
//! the class's present turn if that is later (start-time fair queueing with a cost of one for each
//! request). So a caller's second request goes behind the first of every other caller, and with one
//! request each the order is that of arrival.

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
    turn: u64,
}

/// What the class knows of a caller with waiting requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
struct CallerTurns {
    queued: usize,
    last_turn: u64,
}

/// The queue of one class.
#[derive(Clone, Debug, Default)]
pub struct ClassQueue {
    waiting: collections::VecDeque<Waiting>,
    callers: FastMap<CallerId, CallerTurns>,
    turn: u64,
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
        self.callers.get(&caller).map_or(0, |turns| turns.queued)
    }

    /// How many waiting requests would go before a new one of the caller.
    pub fn ahead_of(&self, caller: CallerId) -> usize {
        let turn = self.next_turn(caller);
        self.waiting.partition_point(|waiting| waiting.turn <= turn)
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, caller: CallerId, queued_us: u64, deadline_us: u64) {
        let turn = self.next_turn(caller);
        let turns = self.callers.entry(caller).or_default();
        turns.queued += 1;
        turns.last_turn = turn;
        let place = self.waiting.partition_point(|waiting| waiting.turn <= turn);
        let request = Waiting { ticket, caller, queued_us, deadline_us, turn };
        self.waiting.insert(place, request);
    }

    /// Takes the request that goes next.
    pub fn pop(&mut self) -> Option<Waiting> {
        let request = self.waiting.pop_front()?;
        self.turn = self.turn.max(request.turn);
        self.leave(request.caller);
        Some(request)
    }

    /// Takes a request out that no longer waits. Returns whether it was there.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let place = self.waiting.iter().position(|waiting| waiting.ticket == ticket);
        match place.and_then(|place| self.waiting.remove(place)) {
            Some(request) => {
                self.leave(request.caller);
                true
            }
            None => false,
        }
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
            if earlier.turn > later.turn {
                problems.push(format!("{later:?} stands behind {earlier:?}"));
            }
        }
        for (caller, turns) in &self.callers {
            let queued = self.waiting.iter().filter(|waiting| waiting.caller == *caller).count();
            if queued != turns.queued || queued == 0 {
                problems.push(format!("{caller:?} has {queued} requests, not {}", turns.queued));
            }
        }
        let counted: usize = self.callers.values().map(|turns| turns.queued).sum();
        if counted != self.waiting.len() {
            problems.push(format!("{counted} requests are counted of {}", self.waiting.len()));
        }
        problems
    }

    fn next_turn(&self, caller: CallerId) -> u64 {
        match self.callers.get(&caller) {
            Some(turns) => self.turn.max(turns.last_turn + 1),
            None => self.turn,
        }
    }

    fn leave(&mut self, caller: CallerId) {
        if let Some(turns) = self.callers.get_mut(&caller) {
            turns.queued -= 1;
            if turns.queued == 0 {
                self.callers.remove(&caller);
            }
        }
    }
}
