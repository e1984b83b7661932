//! Tracks members that left the list of a group, and decides whether a promotion is safe without
//! them.
//!
//! A member that is gone may have been the only one that held an acknowledged commit: a primary
//! acknowledges a commit as soon as any one replica has received it, including a replica that is
//! about to stop. So nothing is promoted without a departed member until the primary is known to
//! have led after the departure. A replica that has received a position of the primary taken after
//! the departure has everything that only the departed member could have held.
//!
//! Without this rule, a replica was promoted that lacked commits which a primary in an isolated
//! zone had acknowledged together with a replica that was just leaving.
//!
//! A process that starts does not know which members left before. It treats all of them as one
//! member that left when the process first learned of the group: until it knows a later position of
//! the primary it leaves promotions to other processes for a limited time, and after that it
//! promotes nothing that lacks this position. Without this rule, a process that started after a
//! replica had died promoted the other replica, which had received nothing.

use std::sync::Arc;

use crate::FastMap;
use crate::log_position::LogPosition;

/// How long a departed member that is not required for a promotion is remembered, in microseconds.
/// A member that dropped out of the list by mistake is listed again within seconds.
const RETENTION_US: u64 = 30_000_000;

/// How long a process that knows no position of the primary since it first learned of the group
/// leaves promotions to other processes, in microseconds. A primary that was only partitioned is
/// back by then. Without this bound, a group whose primary died together with all processes would
/// never get a new primary.
pub const UNKNOWN_PRIMARY_WAIT_US: u64 = 8_000_000;

/// A member that left the list.
#[derive(Clone, Debug)]
struct Departed<R> {
    /// The last list entry of the member.
    record: R,
    left_us: u64,
    /// The position that a new primary must have received to make this member dispensable; `None`
    /// while none is known.
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

    /// Returns whether the member is dispensable and left more than [`RETENTION_US`] ago.
    fn is_expired(&self, now_us: u64) -> bool {
        self.floor.is_some() && now_us >= self.left_us + RETENTION_US
    }
}

/// The departed members of one group. `R` is their list entry.
#[derive(Clone, Debug)]
pub struct Departures<R> {
    /// All members that left before this process learned of the group, treated as one; `None` once
    /// that has expired.
    before_start: Option<Departed<()>>,
    members: FastMap<Arc<str>, Departed<R>>,
}

impl<R> Departures<R> {
    /// Creates the state of a group that this process learns of at `now_us`.
    pub fn started_at(now_us: u64) -> Departures<R> {
        let before_start = Some(Departed::new((), now_us));
        Departures { before_start, members: FastMap::default() }
    }

    /// Records that a member left the list.
    pub fn member_left(&mut self, id: &Arc<str>, record: R, now_us: u64) {
        self.members.insert(Arc::clone(id), Departed::new(record, now_us));
    }

    /// Records that a member is listed again.
    pub fn member_returned(&mut self, id: &str) {
        self.members.remove(id);
    }

    /// Updates the floors from the known positions of the primary and drops expired entries.
    /// `position_after` returns a position that the primary had while it led at the given time or
    /// later.
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

    /// Returns whether no departure is left to track.
    pub fn is_settled(&self) -> bool {
        self.before_start.is_none() && self.members.is_empty()
    }

    /// Returns the position that a new primary must have received for the dispensable members.
    pub fn floor(&self) -> LogPosition {
        let floors = self.members.values().filter_map(|departed| departed.floor);
        let before_start = self.before_start.as_ref().and_then(|before_start| before_start.floor);
        floors.chain(before_start).max().unwrap_or_default()
    }

    /// Returns whether enough is known to promote any member.
    pub fn may_promote(&self, now_us: u64) -> bool {
        let has_waited =
            |before_start: &Departed<()>| now_us >= before_start.left_us + UNKNOWN_PRIMARY_WAIT_US;
        self.start_floor_known() || self.before_start.as_ref().is_some_and(has_waited)
    }

    /// Returns whether the floor for members that left before the start is known.
    pub fn start_floor_known(&self) -> bool {
        self.before_start.as_ref().is_none_or(|before_start| before_start.floor.is_some())
    }

    /// Returns the departed members that a promotion does not require, as long as they are absent.
    /// One that is running again but not listed yet may have acknowledged commits since.
    pub fn dispensable(&self) -> impl Iterator<Item = (&Arc<str>, &R)> {
        let dispensable = self.members.iter().filter(|(_, departed)| departed.floor.is_some());
        dispensable.map(|(id, departed)| (id, &departed.record))
    }

    /// Returns the last list entry of a departed member.
    pub fn record(&self, id: &str) -> Option<&R> {
        self.members.get(id).map(|departed| &departed.record)
    }

    /// Returns the departed members without which nothing may be promoted.
    pub fn required(&self) -> impl Iterator<Item = (&Arc<str>, &R)> {
        let required = self.members.iter().filter(|(_, departed)| departed.floor.is_none());
        required.map(|(id, departed)| (id, &departed.record))
    }
}
