//! The floors of sessions that roam without a token, as a home of the group's primary knows them.
//!
//! A session that wrote through any proxy must see its write at the next read through any other. The
//! holder records the writes that pass it and those that its co-homes report, but never claims to
//! know them all: home sets differ between proxies for a while, holders restart, reports get lost.
//! Instead it knows which positions of the log it can *account* for, and answers for a session with
//! the highest position that it can't:
//!
//! 1. A lookup is answered by a barrier begun after it arrived: statuses, read from a quorum of
//!    members that are all in one term `T`, with `T`'s primary among them. Let `N` be the end of
//!    the primary's log there.
//! 2. The answer is the maximum of the session's recorded floor and the highest position at or
//!    below `N` that is not accounted for. Everything at or before the point where the holder
//!    began in `T` is not accounted for.
//!
//! Why this covers a write `w` that was acknowledged before the lookup arrived: `w` is of no later
//! term than `T`, because its quorum and the barrier's share a member that would have reported the
//! later term. If `w` is of term `T`, it is at or below `N`; it is accounted for, and then recorded
//! under its session, or it is not, and then covered by 2. If `w` is of an older term, it is covered
//! by any position of `T`, and the holder's beginning in `T` is one.
//!
//! So records only make answers lower, and reads at replicas likelier; a missing one costs
//! freshness and never safety, and they need not be synchronous. What every member has applied needs
//! no floor, so the table is bounded by the replication lag; where its bound is hit, records are
//! dropped by letting the beginning move up past them.

use std::mem;

use crate::FastMap;
use crate::log_position::LogPosition;
use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::accounted::Accounted;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// Bounds of the table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct SessionFloorsSettings {
    /// The most sessions on record.
    pub max_sessions: usize,
    /// The most separate ranges of positions that are accounted for.
    pub max_ranges: usize,
}

impl Default for SessionFloorsSettings {
    fn default() -> SessionFloorsSettings {
        SessionFloorsSettings { max_sessions: 20_000, max_ranges: 1_000 }
    }
}

/// How many sessions may be on record before those that need no floor are looked for.
const MIN_SWEEP_SIZE: usize = 64;

/// A write that this process or a co-home executed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct SessionWrite<'a> {
    /// The session's identity; none for a session that has none, whose write is accounted for all
    /// the same.
    pub session: Option<&'a str>,
    /// The commit's position.
    pub position: LogPosition,
}

/// The number of a barrier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BarrierId(pub u64);

/// The number of a lookup, chosen by the caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct LookupId(pub u64);

/// The answer to a lookup.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct FloorAnswer {
    /// The lookup.
    pub lookup: LookupId,
    /// What reads of the session must cover; the lowest position when every member does.
    pub floor: LogPosition,
}

#[derive(Clone, PartialEq, Eq, Debug)]
struct Lookup {
    id: LookupId,
    session: String,
}

/// A barrier under way: the lookups it answers and what was read since it began.
#[derive(Clone, Debug)]
struct Barrier {
    id: BarrierId,
    lookups: Vec<Lookup>,
    statuses: Vec<Option<MemberStatus>>,
}

/// The floors of one group's sessions at one holder.
#[derive(Clone, Debug)]
pub struct SessionFloors {
    settings: SessionFloorsSettings,
    members: MemberSet,
    /// The term of the positions that are accounted for.
    term: Term,
    accounted: Accounted,
    /// Whether the holder has begun since the member set last changed.
    started: bool,
    sessions: FastMap<String, LogPosition>,
    /// The number of sessions at which those that need no floor are dropped. It doubles what the
    /// last sweep left, so that a sweep costs little for each record.
    sweep_at: usize,
    /// The last applied position that each member reported.
    applied: Vec<LogPosition>,
    waiting: Vec<Lookup>,
    barrier: Option<Barrier>,
    next_barrier: u64,
}

impl SessionFloors {
    /// A holder that begins now and knows nothing of earlier writes.
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

    /// Records a write executed here, before it is acknowledged, or one that a co-home reported.
    pub fn record(&mut self, write: SessionWrite<'_>) {
        self.enter_term(write.position);
        if let Some(session) = write.session {
            self.record_floor(session, write.position);
        }
        self.account(write.position);
        self.enforce_limits();
    }

    /// Accounts for the record that opens a term: no session wrote it.
    pub fn record_opening(&mut self, position: LogPosition) {
        self.enter_term(position);
        self.account(position);
    }

    /// Asks for a session's floor. The answer comes from a barrier that begins later.
    pub fn look_up(&mut self, id: LookupId, session: &str) {
        self.waiting.push(Lookup { id, session: session.to_owned() });
    }

    /// Begins a barrier for all lookups that wait, unless none waits or one is under way. The
    /// embedder then reads the status of every member and passes it to [`Self::barrier_status`].
    /// Only reads *sent* after this call may be passed.
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

    /// Takes in a status that was read for a barrier. Returns the answers when it is complete, and
    /// nothing before.
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
        // A holder that has heard of a later term meanwhile answers with its beginning there.
        let end = end.max(self.start());
        self.answer(&lookups, end)
    }

    /// Gives up a barrier that did not complete in its time. Its lookups wait for the next one.
    pub fn abandon_barrier(&mut self, id: BarrierId) {
        if let Some(barrier) = self.barrier.take_if(|barrier| barrier.id == id) {
            let later = mem::replace(&mut self.waiting, barrier.lookups);
            self.waiting.extend(later);
        }
    }

    /// Forgets a lookup whose caller has gone or whose time has passed.
    pub fn cancel_lookup(&mut self, id: LookupId) {
        self.waiting.retain(|lookup| lookup.id != id);
        if let Some(barrier) = &mut self.barrier {
            barrier.lookups.retain(|lookup| lookup.id != id);
        }
    }

    /// Takes in any report of a member, so that what all members applied can be dropped.
    pub fn note_status(&mut self, member: usize, status: &MemberStatus) {
        if status.role == Role::Primary && status.log.term == status.raised_term {
            self.enter_term(status.log);
        }
        let Some(applied) = self.applied.get_mut(member) else { return };
        *applied = status.applied.max(*applied);
        let everywhere = self.applied_everywhere();
        if everywhere.term == self.term {
            self.accounted.drop_up_to(everywhere.index);
        }
    }

    /// Replaces the member set. What was dropped because all old members had applied it may be
    /// missing at a new one, so the holder begins anew.
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

    /// Ends the joint phase of the member set.
    pub fn settle_members(&mut self) {
        self.members.settle();
    }

    /// How many sessions are on record.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    /// How many ranges of positions are accounted for.
    pub fn range_count(&self) -> usize {
        self.accounted.range_count()
    }

    /// The position that every member has applied.
    pub fn applied_everywhere(&self) -> LogPosition {
        self.applied.iter().copied().min().unwrap_or_default()
    }

    /// Every broken invariant.
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

    /// A floor that every member covers asks for nothing.
    fn effective_floor(&self, floor: LogPosition) -> LogPosition {
        if floor <= self.applied_everywhere() { LogPosition::default() } else { floor }
    }

    /// The highest position at or below `end` that is not accounted for.
    fn highest_unaccounted(&self, end: LogPosition) -> LogPosition {
        LogPosition { term: self.term, index: self.accounted.highest_gap(end.index) }
    }

    /// Everything at or below is not accounted for.
    fn start(&self) -> LogPosition {
        LogPosition { term: self.term, index: self.accounted.start() }
    }

    /// Begins in a later term, or for the first time, at a position seen there. Writes of the term
    /// before that position may have gone unseen.
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
        if position <= self.applied_everywhere() {
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

    /// Drops sessions that need no floor of their own: every member covers it, or the beginning is
    /// answered for all of them.
    fn sweep(&mut self) {
        let covered = self.applied_everywhere().max(self.start());
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

    /// Lets the beginning cover everything up to a position, so that its records can go.
    fn drop_up_to(&mut self, position: LogPosition) {
        if position.term == self.term {
            self.accounted.drop_up_to(position.index);
        }
        self.sweep();
    }
}

/// The end of the primary's log, if these statuses make a barrier: a quorum in one term, with the
/// primary of that term among it.
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
    /// The tables do not match the member set.
    WrongNumberOfMembers,
    /// There are more sessions on record than the bound.
    TooManySessions,
    /// There are more ranges than the bound.
    TooManyRanges,
    /// A range is empty, reaches below the beginning, or touches the one before.
    BadRange {
        /// Its first index.
        first: u64,
    },
}
