//! Which writes of a group may be acknowledged: those that a quorum confirmed in their own term.
//!
//! A report that [confirms](MemberStatus::confirms) a position states a fact about the past: this
//! member held the record at a time when it had promised itself to no later term. Facts do not
//! expire, so reports may come late, repeated or in any order; the tracker keeps the highest fact of
//! each member and never takes one back.
//!
//! Invariant: an acknowledged position `p` of term `T` is in the log of every later primary. The
//! quorum that confirmed `p` and the quorum that a driver raises to `T' > T` share a member. It
//! confirmed `p` before it was raised, since a raised member reports the new term. From then on it
//! takes no record of `T`, so its log at the fence still holds `p`, and the driver promotes the
//! highest log of the fence. A log of the same term that is at least as long holds `p`; a log whose
//! last entry is of a term between was written by a primary that holds `p`, by induction. Only
//! confirmations in the position's own term count: a record of an older term can be on a majority
//! and still be overwritten by a primary that never had it (the commitment rule of Raft, Ongaro
//! and Ousterhout 2014, section 5.4.2).

use crate::log_position::LogPosition;
use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// Bounds after which a silent or standing member counts as unable to confirm.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct StallSettings {
    /// The longest time between two reports of a member that answers, in microseconds.
    pub silence_us: u64,
    /// The longest time that a member may stand behind the primary without coming closer, in
    /// microseconds.
    pub no_progress_us: u64,
}

impl Default for StallSettings {
    fn default() -> StallSettings {
        StallSettings { silence_us: 400_000, no_progress_us: 400_000 }
    }
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct MemberTrack {
    /// The highest position that the member ever confirmed in the position's own term.
    confirmed: Option<LogPosition>,
    /// The latest report, by the order of arrival within the highest term seen.
    latest: Option<MemberStatus>,
    /// When the latest report arrived.
    reported_us: u64,
    /// Since when the member has stood behind the primary without coming closer.
    behind_since_us: Option<u64>,
}

/// What a member set's reports prove about a group's log.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Acknowledgement {
    members: MemberSet,
    settings: StallSettings,
    tracks: Vec<MemberTrack>,
    confirmed: LogPosition,
}

impl Acknowledgement {
    /// A tracker that has no reports yet.
    pub fn new(members: MemberSet, settings: StallSettings) -> Acknowledgement {
        let tracks = vec![MemberTrack::default(); members.count()];
        Acknowledgement { members, settings, tracks, confirmed: LogPosition::default() }
    }

    /// The member set.
    pub fn members(&self) -> &MemberSet {
        &self.members
    }

    /// Takes in a report of one member. Returns the highest confirmed position if it grew.
    ///
    /// Reports of members beyond the set, which a changed configuration can leave behind, prove
    /// nothing and are dropped.
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

    /// The highest position that a quorum confirmed in the position's own term. Every write of the
    /// same term at or below it may be acknowledged; a write of an older term may not.
    pub fn confirmed(&self) -> LogPosition {
        self.confirmed
    }

    /// The latest report of a member, with its time of arrival.
    pub fn latest(&self, member: usize) -> Option<(u64, &MemberStatus)> {
        let track = self.tracks.get(member)?;
        let status = track.latest.as_ref()?;
        Some((track.reported_us, status))
    }

    /// Whether writes at `primary` in `term` would now wait for confirmations that can't come, so
    /// that they are better refused before they run.
    pub fn stalled(&self, now_us: u64, primary: usize, term: Term) -> bool {
        let primary_leads = self.is_responsive(now_us, primary, term)
            && self.latest(primary).is_some_and(|(_, status)| status.role == Role::Primary);
        let responsive = (0..self.tracks.len())
            .filter(|&member| self.is_responsive(now_us, member, term))
            .filter(|&member| !self.makes_no_progress(now_us, member))
            .collect();
        !primary_leads || !self.members.is_quorum(responsive)
    }

    /// Replaces the member set; what is known of members in both is kept.
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

    /// Ends the joint phase of the member set, and forgets what members confirmed before.
    ///
    /// A confirmation is a fact about the past, and quorums that share a member make it safe to keep.
    /// Quorums of sets two changes apart need not share one: a member that confirmed a write, was
    /// left out of the next term's fence and rewound the write could be a quorum of what is left of
    /// the set, and the caller would be told of a write that is gone. Members report again soon, and
    /// report a write's term only while they still hold it.
    pub fn settle_members(&mut self) {
        self.members.settle();
        for track in &mut self.tracks {
            track.confirmed = None;
        }
    }

    /// Every broken invariant.
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
        // A report of an older term than one seen is late: it still counts as a confirmation of the
        // past, but says nothing about what the member can do now.
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

    /// Starts the time of members that the primary has left behind. An idle group's members are
    /// level, so the time starts with the first record that a member lacks.
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

    /// The end of the log of the primary of `term`, as last reported.
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

    /// The highest position of `term` that a quorum confirmed.
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
    /// The tracks do not match the member set.
    WrongNumberOfTracks,
    /// A member confirmed in a term that none of its reports shows.
    ConfirmedBeyondRaised {
        /// The member.
        member: usize,
    },
    /// A quorum confirms more than is published.
    ConfirmationMissed {
        /// The term.
        term: Term,
    },
}
