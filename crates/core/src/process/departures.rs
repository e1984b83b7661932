//! Members that left the list of a group, and whether a promotion can do without them.
//!
//! A member that is gone takes its log with it, and it may have been the only one that held a commit
//! that was acknowledged: a primary acknowledges as soon as any one replica has received, one that is
//! about to stop included. So nothing is promoted without a departed member until the primary is
//! known to have led on after it left. From a position of the primary taken after the departure on,
//! whoever has received that position has all that the departed member could have been alone with.
//!
//! Without this, a replica was promoted that lacked what a primary in a zone that was cut off had
//! acknowledged together with a replica that was just leaving.
//!
//! A process that starts knows nothing of members that left before. It takes all of them for one that
//! left when it first heard of the group: before it knows a position of the primary from after that, it
//! leaves promotions to others for a while, and then promotes nothing that lacks this position. Without
//! this, a process that started after a replica had died promoted the other one, which had received
//! nothing.

use std::sync::Arc;

use crate::FastMap;
use crate::log_position::LogPosition;

/// For how long a departed member that can be done without is remembered, in microseconds. A member
/// that lapsed from the list by mistake is back within seconds.
const RETENTION_US: u64 = 30_000_000;

/// For how long a process that knows no position of the primary since it first heard of the group leaves
/// promotions to those that may, in microseconds. A primary that was only cut off is back by then; without
/// any bound a group whose primary died with all processes would stay without one.
pub const UNKNOWN_PRIMARY_WAIT_US: u64 = 8_000_000;

/// A member that left.
#[derive(Clone, Debug)]
struct Departed<R> {
    /// What the list last said of it.
    record: R,
    left_us: u64,
    /// What a successor has to have received to do without it; none while nothing shows.
    floor: Option<LogPosition>,
}

impl<R> Departed<R> {
    fn new(record: R, left_us: u64) -> Departed<R> {
        Departed { record, left_us, floor: None }
    }

    fn update_floor<F>(&mut self, position_after: F)
    where
        F: Fn(u64) -> Option<LogPosition>,
    {
        if self.floor.is_none() {
            self.floor = position_after(self.left_us);
        }
    }

    /// Whether it can be done without and left so long ago that it need not be remembered.
    fn is_expired(&self, now_us: u64) -> bool {
        self.floor.is_some() && now_us >= self.left_us + RETENTION_US
    }
}

/// The departed members of one group.
#[derive(Clone, Debug)]
pub struct Departures<R> {
    /// All that left before this process heard of the group, as one; none once that is history.
    before_start: Option<Departed<()>>,
    members: FastMap<Arc<str>, Departed<R>>,
}

impl<R> Departures<R> {
    /// This process hears of the group at `now_us` for the first time.
    pub fn started_at(now_us: u64) -> Departures<R> {
        let before_start = Some(Departed::new((), now_us));
        Departures { before_start, members: FastMap::default() }
    }

    /// A member left the list.
    pub fn member_left(&mut self, id: &Arc<str>, record: R, now_us: u64) {
        self.members.insert(Arc::clone(id), Departed::new(record, now_us));
    }

    /// A member is listed again.
    pub fn member_returned(&mut self, id: &str) {
        self.members.remove(id);
    }

    /// Takes in what is known of the primary: `covering` tells a position that the primary had when
    /// it led at the given time or later.
    pub fn update_floors<F>(&mut self, position_after: F, now_us: u64)
    where
        F: Fn(u64) -> Option<LogPosition>,
    {
        if let Some(before_start) = &mut self.before_start {
            before_start.update_floor(&position_after);
        }
        for departed in self.members.values_mut() {
            departed.update_floor(&position_after);
        }
        self.members.retain(|_, departed| !departed.is_expired(now_us));
        self.before_start.take_if(|before_start| before_start.is_expired(now_us));
    }

    /// Whether there is nothing left to settle.
    pub fn is_settled(&self) -> bool {
        self.before_start.is_none() && self.members.is_empty()
    }

    /// What a successor has to have received to do without those that can be done without.
    pub fn floor(&self) -> LogPosition {
        let floors = self.members.values().filter_map(|departed| departed.floor);
        let before_start = self.before_start.as_ref().and_then(|before_start| before_start.floor);
        floors.chain(before_start).max().unwrap_or_default()
    }

    /// Whether enough is known to promote anything.
    pub fn may_promote(&self, now_us: u64) -> bool {
        let has_waited =
            |before_start: &Departed<()>| now_us >= before_start.left_us + UNKNOWN_PRIMARY_WAIT_US;
        self.start_floor_known() || self.before_start.as_ref().is_some_and(has_waited)
    }

    /// Whether it is known what a successor needs to do without those that left before the start.
    pub fn start_floor_known(&self) -> bool {
        self.before_start.as_ref().is_none_or(|before_start| before_start.floor.is_some())
    }

    /// Those that can be done without as far as they are gone. One that is back and not listed yet may have
    /// acknowledged something since.
    pub fn dispensable(&self) -> impl Iterator<Item = (&Arc<str>, &R)> {
        let dispensable = self.members.iter().filter(|(_, departed)| departed.floor.is_some());
        dispensable.map(|(id, departed)| (id, &departed.record))
    }

    /// Those that can't be done without.
    pub fn required(&self) -> impl Iterator<Item = (&Arc<str>, &R)> {
        let required = self.members.iter().filter(|(_, departed)| departed.floor.is_none());
        required.map(|(id, departed)| (id, &departed.record))
    }
}
