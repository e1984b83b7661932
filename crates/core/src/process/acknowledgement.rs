//! Tracks which writes of a group may be acknowledged: those that a quorum confirmed in their own
//! term.
//!
//! A report that [confirms](MemberStatus::confirms) a position states a fact about the past: this
//! member held the record at a time when it had promised itself to no later term. Such facts do not
//! expire, so reports may arrive late, repeated or in any order; the tracker keeps the highest
//! confirmed position of each member and never lowers it.
//!
//! Invariant: an acknowledged position `p` of term `T` is in the log of every later primary. The
//! quorum that confirmed `p` and the quorum that a driver raises to `T' > T` share a member. That
//! member confirmed `p` before it was raised, since a raised member reports the new term. After it
//! was raised it accepts no record of `T`, so its log at the time of the fence still holds `p`, and
//! the driver promotes the highest log of the fenced quorum. A log of the same term that is at
//! least as long holds `p`; a log whose last entry is of a term in between was written by a primary
//! that holds `p`, by induction. Only confirmations in the position's own term count: a record of
//! an older term can be on a majority and still be overwritten by a primary that never had it (the
//! commitment rule of Raft, Ongaro and Ousterhout 2014, section 5.4.2).

use crate::log_position::LogPosition;
use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// Time limits after which a silent or lagging member counts as unable to confirm writes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct StallSettings {
    /// The longest time between two reports of a responsive member, in microseconds.
    pub silence_us: u64,
    /// The longest time that a member may lag behind the primary without progress, in microseconds.
    pub no_progress_us: u64,
}

impl Default for StallSettings {
    fn default() -> StallSettings {
        StallSettings { silence_us: 400_000, no_progress_us: 400_000 }
    }
}

/// The state tracked for one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct MemberTrack {
    /// The highest position that the member has confirmed in the position's own term.
    confirmed: Option<LogPosition>,
    /// The latest report to arrive among those of the highest raised term.
    latest: Option<MemberStatus>,
    /// The time at which the latest report arrived.
    reported_us: u64,
    /// The time since which the member has lagged behind the primary without progress.
    behind_since_us: Option<u64>,
}

/// The confirmation tracker of one group's log.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Acknowledgement {
    members: MemberSet,
    settings: StallSettings,
    tracks: Vec<MemberTrack>,
    confirmed: LogPosition,
}

impl Acknowledgement {
    /// Creates a tracker without reports.
    pub fn new(members: MemberSet, settings: StallSettings) -> Acknowledgement {
        let tracks = vec![MemberTrack::default(); members.count()];
        Acknowledgement { members, settings, tracks, confirmed: LogPosition::default() }
    }

    /// Returns the member set whose quorums confirm positions.
    pub fn members(&self) -> &MemberSet {
        &self.members
    }

    /// Records a report of one member. Returns the highest confirmed position if it grew.
    ///
    /// Reports of members beyond the set, which a changed configuration can leave behind, prove
    /// nothing and are ignored.
    pub fn report(
        &mut self,
        now_us: u64,
        member: usize,
        status: &MemberStatus,
    ) -> Option<LogPosition> {
        if member >= self.tracks.len() {
            return None;
        }
        self.update_latest(now_us, member, status);
        if !status.confirms(status.log) {
            return None;
        }
        let track = &mut self.tracks[member];
        if track.confirmed.is_some_and(|known| known >= status.log) {
            return None;
        }
        track.confirmed = Some(status.log);
        self.advance(status.log.term)
    }

    /// Returns the highest position that a quorum confirmed in the position's own term. Every write
    /// of the same term at or below it may be acknowledged; a write of an older term may not.
    pub fn confirmed(&self) -> LogPosition {
        self.confirmed
    }

    /// Returns the latest report of a member and the time at which it arrived.
    pub fn latest(&self, member: usize) -> Option<(u64, &MemberStatus)> {
        let track = self.tracks.get(member)?;
        let status = track.latest.as_ref()?;
        Some((track.reported_us, status))
    }

    /// Returns whether a write at `primary` in `term` would wait for confirmations that can't come.
    /// Such writes are better refused before they run.
    pub fn stalled(&self, now_us: u64, primary: usize, term: Term) -> bool {
        let primary_leads = self.is_responsive(now_us, primary, term)
            && self.latest(primary).is_some_and(|(_, status)| status.role == Role::Primary);
        let responsive = (0..self.tracks.len())
            .filter(|&member| self.is_responsive(now_us, member, term))
            .filter(|&member| !self.makes_no_progress(now_us, member))
            .collect();
        !primary_leads || !self.members.is_quorum(responsive)
    }

    /// Replaces the member set. The state of members that are in both sets is kept. Returns the
    /// highest confirmed position if it grew.
    pub fn change_members(&mut self, members: MemberSet) -> Option<LogPosition> {
        let mut tracks = vec![MemberTrack::default(); members.count()];
        for (old_index, name) in self.members.names().iter().enumerate() {
            if let Some(new_index) = members.index_of(name) {
                tracks[new_index] = self.tracks[old_index].clone();
            }
        }
        self.members = members;
        self.tracks = tracks;
        self.advance_all()
    }

    /// Ends the joint phase of the member set and drops all confirmations of members.
    ///
    /// Confirmations are safe to keep only while the quorums of the old and the new set share a
    /// member. Quorums of sets that are two changes apart need not share one: a member that
    /// confirmed a write, was not part of the next term's fence and rewound the write could form a
    /// quorum of the remaining set, and a lost write would be acknowledged. Members report again
    /// soon, and report a write's term only while they still hold it.
    pub fn settle_members(&mut self) {
        self.members.settle();
        for track in &mut self.tracks {
            track.confirmed = None;
        }
    }

    /// Returns every broken invariant.
    pub fn verify(&self) -> Vec<AcknowledgementViolation> {
        let mut violations = Vec::new();
        if self.tracks.len() != self.members.count() {
            violations.push(AcknowledgementViolation::WrongNumberOfTracks);
        }
        for (member, track) in self.tracks.iter().enumerate() {
            let latest_term = track.latest.as_ref().map(|status| status.raised_term);
            let confirmed_term = track.confirmed.map(|position| position.term);
            if confirmed_term > latest_term {
                violations.push(AcknowledgementViolation::ConfirmedBeyondRaised { member });
            }
        }
        for term in self.tracks.iter().filter_map(|track| track.confirmed).map(|p| p.term) {
            if self.quorum_position(term).is_some_and(|position| position > self.confirmed) {
                violations.push(AcknowledgementViolation::ConfirmationMissed { term });
            }
        }
        violations
    }

    fn update_latest(&mut self, now_us: u64, member: usize, status: &MemberStatus) {
        let track = &mut self.tracks[member];
        // A report with a lower raised term than one already received arrived late. It still counts
        // as a confirmation of the past, but says nothing about the member's present state.
        if track.latest.as_ref().is_some_and(|known| known.raised_term > status.raised_term) {
            return;
        }
        let closer = track.latest.as_ref().is_none_or(|known| known.log < status.log);
        if closer {
            track.behind_since_us = None;
        }
        track.reported_us = now_us;
        track.latest = Some(status.clone());
        self.update_lag_start(now_us, status.raised_term);
    }

    /// Starts the lag time of members that are behind the primary. The members of an idle group are
    /// level with it, so the time starts with the first record that a member lacks.
    fn update_lag_start(&mut self, now_us: u64, term: Term) {
        let Some(end) = self.primary_log_end(term) else { return };
        for track in &mut self.tracks {
            let behind = track.latest.as_ref().is_some_and(|status| status.log < end);
            track.behind_since_us = match behind {
                true => track.behind_since_us.or(Some(now_us)),
                false => None,
            };
        }
    }

    /// Returns the last reported end of the log of the primary of `term`.
    fn primary_log_end(&self, term: Term) -> Option<LogPosition> {
        self.tracks
            .iter()
            .filter_map(|track| track.latest.as_ref())
            .filter(|status| status.role == Role::Primary && status.raised_term == term)
            .map(|status| status.log)
            .max()
    }

    fn is_responsive(&self, now_us: u64, member: usize, term: Term) -> bool {
        self.latest(member).is_some_and(|(reported_us, status)| {
            now_us.saturating_sub(reported_us) <= self.settings.silence_us
                && status.raised_term == term
                && status.role != Role::Fenced
        })
    }

    fn makes_no_progress(&self, now_us: u64, member: usize) -> bool {
        self.tracks[member]
            .behind_since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) > self.settings.no_progress_us)
    }

    fn advance_all(&mut self) -> Option<LogPosition> {
        let terms: Vec<Term> =
            self.tracks.iter().filter_map(|track| track.confirmed).map(|p| p.term).collect();
        terms.into_iter().filter_map(|term| self.advance(term)).max()
    }

    fn advance(&mut self, term: Term) -> Option<LogPosition> {
        let position = self.quorum_position(term)?;
        if position <= self.confirmed {
            return None;
        }
        self.confirmed = position;
        Some(position)
    }

    /// Returns the highest position of `term` that a quorum confirmed.
    fn quorum_position(&self, term: Term) -> Option<LogPosition> {
        let candidates = self.tracks.iter().filter_map(|track| track.confirmed);
        let of_term = candidates.filter(|position| position.term == term);
        of_term.filter(|&position| self.members.is_quorum(self.confirming(position))).max()
    }

    fn confirming(&self, position: LogPosition) -> MemberMask {
        let holds = |confirmed: LogPosition| {
            confirmed.term == position.term && confirmed.index >= position.index
        };
        (0..self.tracks.len())
            .filter(|&member| self.tracks[member].confirmed.is_some_and(holds))
            .collect()
    }
}

/// A broken invariant of [`Acknowledgement`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AcknowledgementViolation {
    /// The number of member tracks differs from the size of the member set.
    WrongNumberOfTracks,
    /// A member confirmed a position of a higher term than any of its reports shows.
    ConfirmedBeyondRaised {
        /// The index of the member in the member list.
        member: usize,
    },
    /// A quorum confirmed a higher position than [`Acknowledgement::confirmed`] returns.
    ConfirmationMissed {
        /// The term of the confirmations.
        term: Term,
    },
}
