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

use std::sync::Arc;

use crate::FastMap;
use crate::log_position::LogPosition;

/// For how long a departed member that can be done without is remembered, in microseconds. A member
/// that lapsed from the list by mistake is back within seconds.
const REMEMBERED_US: u64 = 30_000_000;

/// A member that left.
#[derive(Clone, Debug)]
pub struct Departed<R> {
    /// What the list last said of it.
    pub record: R,
    left_us: u64,
    /// What a successor has to have received to do without it; none while nothing shows.
    floor: Option<LogPosition>,
}

/// The departed members of one group.
#[derive(Clone, Debug)]
pub struct Departures<R> {
    members: FastMap<Arc<str>, Departed<R>>,
}

impl<R> Default for Departures<R> {
    fn default() -> Departures<R> {
        Departures { members: FastMap::default() }
    }
}

impl<R> Departures<R> {
    /// A member left the list.
    pub fn left(&mut self, id: &Arc<str>, record: R, now_us: u64) {
        self.members.insert(Arc::clone(id), Departed { record, left_us: now_us, floor: None });
    }

    /// A member is listed again.
    pub fn returned(&mut self, id: &str) {
        self.members.remove(id);
    }

    /// Takes in what is known of the primary: `covering` tells a position that the primary had when
    /// it led at the given time or later.
    pub fn settle<F>(&mut self, covering: F, now_us: u64)
    where
        F: Fn(u64) -> Option<LogPosition>,
    {
        for departed in self.members.values_mut() {
            if departed.floor.is_none() {
                departed.floor = covering(departed.left_us);
            }
        }
        self.members.retain(|_, departed| {
            departed.floor.is_none() || now_us < departed.left_us + REMEMBERED_US
        });
    }

    /// What a successor has to have received to do without those that can be done without.
    pub fn floor(&self) -> LogPosition {
        self.members.values().filter_map(|departed| departed.floor).max().unwrap_or_default()
    }

    /// Those that can't be done without.
    pub fn needed(&self) -> impl Iterator<Item = (&Arc<str>, &R)> {
        let needed = self.members.iter().filter(|(_, departed)| departed.floor.is_none());
        needed.map(|(id, departed)| (id, &departed.record))
    }
}
