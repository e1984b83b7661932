//! The floors of sessions that move between proxies without a token, kept by a home of the group's
//! primary.
//!
//! The floor of a session is the log position that its next read must cover. A session that wrote
//! through any proxy must see its write in the next read through any other. The holder of the
//! floors records the writes that pass through it and those that the other homes report, but never
//! relies on knowing all of them: sets of homes differ between proxies for a while, holders
//! restart, and reports get lost. Instead it knows which log positions it can *account* for, and
//! answers for a session with the highest position that it can't account for:
//!
//! 1. A lookup is answered by a barrier that began after the lookup arrived: statuses read from a
//!    quorum of members that are all in one term `T`, including `T`'s primary. Let `N` be the end
//!    of the primary's log in its status.
//! 2. The answer is the maximum of the session's recorded floor and the highest position at or
//!    below `N` that is not accounted for. Nothing at or before the holder's start in `T`, the
//!    position at which it began to record, is accounted for.
//!
//! Why this covers a write `w` that was acknowledged before the lookup arrived: `w` is of no later
//! term than `T`, because its quorum and the barrier's share a member, which would have reported
//! the later term. If `w` is of term `T`, it is at or below `N`; either it is accounted for, and
//! then recorded for its session, or it is not, and then covered by rule 2. If `w` is of an older
//! term, it is covered by any position of `T`, including the holder's start in `T`.
//!
//! So records can only lower answers, which makes reads at replicas more likely; a missing record
//! costs performance but never safety, and records need not be synchronous. Positions that every
//! member has applied need no floor, so the replication lag bounds the table. If the table reaches
//! its limits, records are dropped by raising the start past them.

use std::mem;

use crate::FastMap;
use crate::log_position::LogPosition;
use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::accounted::Accounted;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// The limits of the table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct SessionFloorsSettings {
    /// The maximum number of recorded sessions.
    pub max_sessions: usize,
    /// The maximum number of separate ranges of accounted positions.
    pub max_ranges: usize,
}

impl Default for SessionFloorsSettings {
    fn default() -> SessionFloorsSettings {
        SessionFloorsSettings { max_sessions: 20_000, max_ranges: 1_000 }
    }
}

/// The number of recorded sessions below which no sweep takes place.
const MIN_SWEEP_SIZE: usize = 64;

/// A write that was executed by this process or another home.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct SessionWrite<'a> {
    /// The identity of the session; `None` for a session without one, whose write is accounted for
    /// all the same.
    pub session: Option<&'a str>,
    /// The position of the commit.
    pub position: LogPosition,
}

/// The identifier of a barrier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BarrierId(pub u64);

/// The identifier of a lookup, chosen by the user of this type.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct LookupId(pub u64);

/// The answer to a lookup.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct FloorAnswer {
    /// The identifier of the lookup.
    pub lookup: LookupId,
    /// The position that reads of the session must cover; the lowest position if every member
    /// covers the floor.
    pub floor: LogPosition,
}

#[derive(Clone, PartialEq, Eq, Debug)]
struct Lookup {
    id: LookupId,
    session: String,
}

/// A barrier in progress: the lookups that it answers and the statuses read since it began.
#[derive(Clone, Debug)]
struct Barrier {
    id: BarrierId,
    lookups: Vec<Lookup>,
    statuses: Vec<Option<MemberStatus>>,
}

/// The floors of one group's sessions, as one holder knows them.
#[derive(Clone, Debug)]
pub struct SessionFloors {
    settings: SessionFloorsSettings,
    members: MemberSet,
    /// The term of the accounted positions.
    term: Term,
    accounted: Accounted,
    /// Whether the holder has a valid start since the last change of the member set.
    started: bool,
    sessions: FastMap<String, LogPosition>,
    /// The number of sessions that triggers a sweep. It is twice the number that the last sweep
    /// left, so the cost of a sweep per record is constant.
    sweep_at: usize,
    /// The highest applied position that each member reported.
    applied: Vec<LogPosition>,
    waiting: Vec<Lookup>,
    barrier: Option<Barrier>,
    next_barrier: u64,
}

impl SessionFloors {
    /// Creates a holder that knows nothing of earlier writes.
    pub fn new(settings: SessionFloorsSettings, members: MemberSet) -> SessionFloors {
        let count = members.count();
        SessionFloors {
            settings,
            members,
            term: Term::default(),
            accounted: Accounted::default(),
            started: false,
            sessions: FastMap::default(),
            sweep_at: MIN_SWEEP_SIZE,
            applied: vec![LogPosition::default(); count],
            waiting: Vec::new(),
            barrier: None,
            next_barrier: 0,
        }
    }

    /// Records a write that was executed here, before it is acknowledged, or that another home
    /// reported.
    pub fn record(&mut self, write: SessionWrite<'_>) {
        self.enter_term(write.position);
        if let Some(session) = write.session {
            self.record_floor(session, write.position);
        }
        self.account(write.position);
        self.enforce_limits();
    }

    /// Accounts for the record that opens a term, which no session wrote.
    pub fn record_opening(&mut self, position: LogPosition) {
        self.enter_term(position);
        self.account(position);
    }

    /// Requests a session's floor. The answer comes from a barrier that begins later.
    pub fn look_up(&mut self, id: LookupId, session: &str) {
        self.waiting.push(Lookup { id, session: session.to_owned() });
    }

    /// Begins a barrier for all waiting lookups, unless there are none or another barrier is in
    /// progress. The embedder then reads the status of every member and passes it to
    /// [`Self::barrier_status`]. Only statuses whose read was *sent* after this call may be passed.
    pub fn begin_barrier(&mut self) -> Option<BarrierId> {
        if self.waiting.is_empty() || self.barrier.is_some() {
            return None;
        }
        self.next_barrier += 1;
        let id = BarrierId(self.next_barrier);
        let lookups = mem::take(&mut self.waiting);
        let statuses = vec![None; self.members.count()];
        self.barrier = Some(Barrier { id, lookups, statuses });
        Some(id)
    }

    /// Records a status that was read for a barrier. Returns the answers to its lookups if this
    /// completes the barrier.
    pub fn barrier_status(
        &mut self,
        id: BarrierId,
        member: usize,
        status: &MemberStatus,
    ) -> Vec<FloorAnswer> {
        self.note_status(member, status);
        let Some(barrier) = self.barrier.as_mut().filter(|barrier| barrier.id == id) else {
            return Vec::new();
        };
        let Some(slot) = barrier.statuses.get_mut(member) else { return Vec::new() };
        *slot = Some(status.clone());
        let Some(end) = barrier_end(&barrier.statuses, &self.members) else { return Vec::new() };
        let lookups = mem::take(&mut barrier.lookups);
        self.barrier = None;
        self.enter_term(end);
        // A holder that entered a later term in the meantime answers with its start in that term.
        let end = end.max(self.start());
        self.answer(&lookups, end)
    }

    /// Ends a barrier that did not complete in time. Its lookups wait for the next barrier.
    pub fn abandon_barrier(&mut self, id: BarrierId) {
        if let Some(barrier) = self.barrier.take_if(|barrier| barrier.id == id) {
            let later = mem::replace(&mut self.waiting, barrier.lookups);
            self.waiting.extend(later);
        }
    }

    /// Drops a lookup whose caller disconnected or whose deadline passed.
    pub fn cancel_lookup(&mut self, id: LookupId) {
        self.waiting.retain(|lookup| lookup.id != id);
        if let Some(barrier) = &mut self.barrier {
            barrier.lookups.retain(|lookup| lookup.id != id);
        }
    }

    /// Records any report of a member, so that positions which all members have applied can be
    /// dropped.
    pub fn note_status(&mut self, member: usize, status: &MemberStatus) {
        if status.role == Role::Primary && status.log.term == status.raised_term {
            self.enter_term(status.log);
        }
        let Some(applied) = self.applied.get_mut(member) else { return };
        *applied = status.applied.max(*applied);
        let applied_by_all = self.applied_by_every_member();
        if applied_by_all.term == self.term {
            self.accounted.drop_up_to(applied_by_all.index);
        }
    }

    /// Replaces the member set. A new member may lack positions that were dropped because all old
    /// members had applied them, so the holder needs a new start.
    pub fn change_members(&mut self, members: MemberSet) {
        let mut applied = vec![LogPosition::default(); members.count()];
        for (old_index, name) in self.members.names().iter().enumerate() {
            if let Some(new_index) = members.index_of(name) {
                applied[new_index] = self.applied[old_index];
            }
        }
        if let Some(barrier) = &self.barrier {
            self.abandon_barrier(barrier.id);
        }
        self.members = members;
        self.applied = applied;
        self.started = false;
    }

    /// Ends the joint phase of the member set; see [`MemberSet::settle`].
    pub fn settle_members(&mut self) {
        self.members.settle();
    }

    /// Returns the number of recorded sessions.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the number of ranges of accounted positions.
    pub fn range_count(&self) -> usize {
        self.accounted.range_count()
    }

    /// Returns the position that every member has applied.
    pub fn applied_by_every_member(&self) -> LogPosition {
        self.applied.iter().copied().min().unwrap_or_default()
    }

    /// Returns every broken invariant.
    pub fn verify(&self) -> Vec<SessionFloorsViolation> {
        let mut violations = Vec::new();
        if self.applied.len() != self.members.count() {
            violations.push(SessionFloorsViolation::WrongNumberOfMembers);
        }
        if self.sessions.len() > self.settings.max_sessions {
            violations.push(SessionFloorsViolation::TooManySessions);
        }
        if self.accounted.range_count() > self.settings.max_ranges {
            violations.push(SessionFloorsViolation::TooManyRanges);
        }
        let bad = self.accounted.invalid_ranges();
        violations.extend(bad.into_iter().map(|first| SessionFloorsViolation::BadRange { first }));
        violations
    }

    fn answer(&self, lookups: &[Lookup], end: LogPosition) -> Vec<FloorAnswer> {
        let unaccounted = self.highest_unaccounted(end);
        lookups
            .iter()
            .map(|lookup| {
                let recorded = self.sessions.get(&lookup.session).copied().unwrap_or_default();
                let floor = recorded.max(unaccounted);
                FloorAnswer { lookup: lookup.id, floor: self.effective_floor(floor) }
            })
            .collect()
    }

    /// Returns the floor, or the lowest position if every member covers the floor.
    fn effective_floor(&self, floor: LogPosition) -> LogPosition {
        if floor <= self.applied_by_every_member() { LogPosition::default() } else { floor }
    }

    /// Returns the highest position at or below `end` that is not accounted for.
    fn highest_unaccounted(&self, end: LogPosition) -> LogPosition {
        LogPosition { term: self.term, index: self.accounted.highest_gap(end.index) }
    }

    /// Returns the start: no position at or below it is accounted for.
    fn start(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.accounted.start() }
    }

    /// Sets the start to a position seen in a later term, or in any term if there is no valid
    /// start. Earlier writes of that term may be unknown.
    fn enter_term(&mut self, seen: LogPosition) {
        let known = self.started && seen.term <= self.term;
        if known || seen < self.start() {
            return;
        }
        self.started = true;
        self.term = seen.term;
        self.accounted = Accounted::new(seen.index);
    }

    fn record_floor(&mut self, session: &str, position: LogPosition) {
        if position <= self.applied_by_every_member() {
            return;
        }
        match self.sessions.get_mut(session) {
            Some(floor) => *floor = position.max(*floor),
            None => {
                self.sessions.insert(session.to_owned(), position);
            }
        }
    }

    fn account(&mut self, position: LogPosition) {
        if position.term == self.term {
            self.accounted.insert(position.index);
        }
    }

    /// Drops sessions that need no floor of their own, because every member or the start covers it.
    fn sweep(&mut self) {
        let covered = self.applied_by_every_member().max(self.start());
        self.sessions.retain(|_, floor| *floor > covered);
        self.sweep_at = MIN_SWEEP_SIZE.max(2 * self.sessions.len());
    }

    fn enforce_limits(&mut self) {
        if self.accounted.range_count() > self.settings.max_ranges {
            self.accounted.drop_lower_half();
        }
        if self.sessions.len() > self.sweep_at.min(self.settings.max_sessions) {
            self.sweep();
        }
        if self.sessions.len() > self.settings.max_sessions {
            let mut floors: Vec<LogPosition> = self.sessions.values().copied().collect();
            let middle = floors.len() / 2;
            let (_, median, _) = floors.select_nth_unstable(middle);
            self.drop_up_to(*median);
        }
    }

    /// Raises the start to a position and drops the records at or below it.
    fn drop_up_to(&mut self, position: LogPosition) {
        if position.term == self.term {
            self.accounted.drop_up_to(position.index);
        }
        self.sweep();
    }
}

/// Returns the end of the primary's log if these statuses complete a barrier: a quorum in one term
/// that includes the primary of that term.
fn barrier_end(statuses: &[Option<MemberStatus>], members: &MemberSet) -> Option<LogPosition> {
    let primaries = statuses
        .iter()
        .flatten()
        .filter(|status| status.role == Role::Primary && status.log.term == status.raised_term);
    let newest = primaries.max_by_key(|status| status.raised_term)?;
    members.is_quorum(in_term(statuses, newest.raised_term)).then_some(newest.log)
}

fn in_term(statuses: &[Option<MemberStatus>], term: Term) -> MemberMask {
    let is_in_term = |status: &MemberStatus| status.raised_term == term;
    (0..statuses.len())
        .filter(|&member| statuses[member].as_ref().is_some_and(is_in_term))
        .collect()
}

/// A broken invariant of [`SessionFloors`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SessionFloorsViolation {
    /// The number of applied positions differs from the size of the member set.
    WrongNumberOfMembers,
    /// The number of recorded sessions exceeds the limit.
    TooManySessions,
    /// The number of ranges exceeds the limit.
    TooManyRanges,
    /// A range is empty, reaches below the start, or touches the range before it.
    BadRange {
        /// The first index of the range.
        first: u64,
    },
}
