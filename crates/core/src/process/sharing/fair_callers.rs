//! Fair order between the waiting callers of a class, by start-time fair queueing (Goyal, Vin and
//! Cheng, "Start-time fair queueing").
//!
//! Each waiting caller has a tag in virtual time. The caller with the lowest tag is served next, and
//! of callers with equal tags the one whose oldest request arrived first. When a request is granted,
//! virtual time advances to the tag of its caller, and the tag increases by the slot time of the
//! request divided by the weight of the caller. So callers that always wait get slot time in
//! proportion to their weights, and what one of them does not use is divided among the others.
//!
//! The slot time of a request is known only after it ended. Its expected slot time counts when it is
//! granted, and the tag is corrected when it ended, so that a caller of long requests is served less
//! often than others.
//!
//! A caller that starts to wait begins at the current virtual time, or at its tag if that is higher.
//! It therefore accumulates no credit while it is idle, and gains nothing by sending its requests
//! one at a time.
//!
//! A waiting request is not overtaken indefinitely. With slot times as expected, no tag is further
//! ahead of virtual time than the slot time of one request divided by the caller's weight. So if
//! also all slot times and weights are equal, a request that finds `own` requests of its caller
//! waiting is preceded by at most these and `own + 2` requests of each other caller. A longer
//! request delays only later ones of the same caller.
//!
//! The tag of a caller without waiting requests is kept only while it is ahead of virtual time, and
//! for at most [`MAX_IDLE_TAGS`] callers. Beyond that virtual time advances to the lowest of these
//! tags, which makes that tag redundant. A waiting request is then served before later requests of
//! the callers whose tags were dropped, so the limit also bounds how many different callers can
//! overtake it.

use std::cmp;
use std::collections;

use crate::FastMap;
use crate::process::sharing::class_queue::CallerId;
use crate::process::sharing::class_queue::Ticket;
use crate::process::sharing::class_queue::Waiting;

/// The maximum number of callers without waiting requests whose tags are kept: as many as the
/// requests that a full queue of a target holds.
pub const MAX_IDLE_TAGS: usize = 128;

/// The units of virtual time in a microsecond of a caller of weight one. The resolution keeps the
/// division by a large weight from rounding to zero.
const UNITS_PER_US: u64 = 1_024;

/// A caller with waiting requests.
#[derive(Clone, Debug)]
struct WaitingCaller {
    tag: u64,
    weight: u32,
    /// The waiting requests in arrival order, never empty.
    tickets: collections::VecDeque<Ticket>,
}

/// The scheduling state of the callers of one class.
#[derive(Clone, Debug, Default)]
pub struct FairCallers {
    waiting: FastMap<CallerId, WaitingCaller>,
    /// The waiting callers by tag and oldest request.
    order: collections::BTreeSet<(u64, Ticket, CallerId)>,
    /// The tags of callers without waiting requests that are ahead of virtual time.
    idle: FastMap<CallerId, u64>,
    idle_order: collections::BTreeSet<(u64, CallerId)>,
    virtual_time: u64,
}

impl FairCallers {
    /// Returns the request that is served next.
    pub fn head(&self) -> Option<Ticket> {
        self.order.first().map(|(_, ticket, _)| *ticket)
    }

    /// Adds a request. Its ticket must be higher than those of all earlier requests.
    pub fn push(&mut self, caller: CallerId, ticket: Ticket, weight: u32) {
        if let Some(waiting) = self.waiting.get_mut(&caller) {
            waiting.weight = weight;
            waiting.tickets.push_back(ticket);
            return;
        }
        let tag = self.tag(caller);
        self.forget_idle(caller);
        let tickets = collections::VecDeque::from([ticket]);
        self.waiting.insert(caller, WaitingCaller { tag, weight, tickets });
        self.order.insert((tag, ticket, caller));
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, caller: CallerId, ticket: Ticket) {
        let Some(waiting) = self.waiting.get_mut(&caller) else { return };
        let Ok(index) = waiting.tickets.binary_search(&ticket) else { return };
        waiting.tickets.remove(index);
        if index > 0 {
            return;
        }
        let tag = waiting.tag;
        self.order.remove(&(tag, ticket, caller));
        match waiting.tickets.front() {
            Some(oldest) => {
                self.order.insert((tag, *oldest, caller));
            }
            None => {
                self.waiting.remove(&caller);
                self.keep_idle(caller, tag);
            }
        }
    }

    /// Records that a request of the caller, which no longer waits, was granted and is expected to
    /// take a slot for `slot_us`.
    pub fn granted(&mut self, caller: CallerId, slot_us: u64, weight: u32) {
        let start = self.tag(caller);
        let tag = start + step(slot_us, weight);
        self.virtual_time = self.virtual_time.max(start);
        self.set_tag(caller, tag);
    }

    /// Corrects the tag of a caller after the end of a request that was expected to take a slot for
    /// `expected_us` and took it for `actual_us`. A shorter request does not move the tag behind
    /// virtual time, which would be credit for later.
    pub fn ended(&mut self, caller: CallerId, expected_us: u64, actual_us: u64, weight: u32) {
        let tag = self.tag(caller);
        let corrected = match actual_us.cmp(&expected_us) {
            cmp::Ordering::Greater => tag + step(actual_us - expected_us, weight),
            cmp::Ordering::Equal => return,
            cmp::Ordering::Less => {
                let earlier = tag.saturating_sub(step(expected_us - actual_us, weight));
                earlier.max(self.virtual_time.min(tag))
            }
        };
        self.set_tag(caller, corrected);
    }

    /// Returns how many of the waiting requests are served before a new request of the caller if no
    /// other request arrives and each takes a slot for `slot_us`.
    pub fn ahead_of(&self, caller: CallerId, slot_us: u64, weight: u32) -> usize {
        let own = self.waiting.get(&caller).map_or(0, |waiting| waiting.tickets.len());
        let start = self.tag(caller) + own as u64 * step(slot_us, weight);
        let others = self.waiting.iter().filter(|(other, _)| **other != caller);
        let served = others.map(|(_, other)| match start.checked_sub(other.tag) {
            Some(gap) => {
                let starts = gap / step(slot_us, other.weight) + 1;
                other.tickets.len().min(usize::try_from(starts).unwrap_or(usize::MAX))
            }
            None => 0,
        });
        own + served.sum::<usize>()
    }

    /// Returns every violated invariant, given the waiting requests of the class in arrival order.
    pub fn verify<'a, I>(&self, requests: I) -> Vec<String>
    where
        I: Iterator<Item = &'a Waiting>,
    {
        let mut problems = Vec::new();
        let mut queued: FastMap<CallerId, collections::VecDeque<Ticket>> = FastMap::default();
        for request in requests {
            queued.entry(request.caller).or_default().push_back(request.ticket);
        }
        if queued.len() != self.waiting.len() || self.order.len() != self.waiting.len() {
            let (known, ordered) = (self.waiting.len(), self.order.len());
            let callers = queued.len();
            problems.push(format!("{callers} callers wait, {known} are known, {ordered} ordered"));
        }
        for (caller, waiting) in &self.waiting {
            if queued.get(caller) != Some(&waiting.tickets) {
                problems.push(format!("the requests of {caller:?} differ from {waiting:?}"));
            }
            let oldest = waiting.tickets.front().copied();
            if !oldest.is_some_and(|oldest| self.order.contains(&(waiting.tag, oldest, *caller))) {
                problems.push(format!("{caller:?} is not in the order by its tag"));
            }
            if self.idle.contains_key(caller) {
                problems.push(format!("{caller:?} waits and is kept as idle"));
            }
        }
        for (caller, tag) in &self.idle {
            if *tag <= self.virtual_time {
                problems.push(format!("virtual time has passed the idle tag of {caller:?}"));
            }
            if !self.idle_order.contains(&(*tag, *caller)) {
                problems.push(format!("the idle {caller:?} is not in the order by its tag"));
            }
        }
        if self.idle.len() != self.idle_order.len() || self.idle.len() > MAX_IDLE_TAGS {
            let (idle, ordered) = (self.idle.len(), self.idle_order.len());
            problems.push(format!("{idle} idle tags are kept, {ordered} in order"));
        }
        problems
    }

    /// Returns the tag at which the next request of the caller starts.
    fn tag(&self, caller: CallerId) -> u64 {
        match self.waiting.get(&caller) {
            Some(waiting) => waiting.tag,
            None => self.idle.get(&caller).copied().unwrap_or(0).max(self.virtual_time),
        }
    }

    fn set_tag(&mut self, caller: CallerId, tag: u64) {
        match self.waiting.get_mut(&caller) {
            Some(waiting) => {
                let oldest = waiting.tickets[0];
                self.order.remove(&(waiting.tag, oldest, caller));
                waiting.tag = tag;
                self.order.insert((tag, oldest, caller));
            }
            None => {
                self.forget_idle(caller);
                self.keep_idle(caller, tag);
            }
        }
        self.drop_passed_tags();
    }

    fn keep_idle(&mut self, caller: CallerId, tag: u64) {
        if tag > self.virtual_time {
            self.idle.insert(caller, tag);
            self.idle_order.insert((tag, caller));
            self.drop_passed_tags();
        }
    }

    fn forget_idle(&mut self, caller: CallerId) {
        if let Some(tag) = self.idle.remove(&caller) {
            self.idle_order.remove(&(tag, caller));
        }
    }

    /// Drops the idle tags that virtual time has passed, and keeps their number within the limit.
    fn drop_passed_tags(&mut self) {
        while let Some((tag, caller)) = self.idle_order.first().copied() {
            if tag > self.virtual_time && self.idle.len() <= MAX_IDLE_TAGS {
                return;
            }
            self.virtual_time = self.virtual_time.max(tag);
            self.forget_idle(caller);
        }
    }
}

/// Returns the virtual time that a request takes.
fn step(slot_us: u64, weight: u32) -> u64 {
    (slot_us.max(1) * UNITS_PER_US / u64::from(weight.max(1))).max(1)
}
