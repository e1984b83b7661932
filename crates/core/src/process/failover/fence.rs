//! Collects the votes of a term and promotes the voter with the highest log.

use super::Action;
use super::Cause;
use super::FailoverDriver;
use super::Leader;
use super::MemberCall;
use super::Phase;
use super::Step;
use crate::log_position::LogPosition;
use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::member_set::MemberMask;

/// The term of a group's first primary.
const FIRST_TERM: Term = Term(1);

/// The order of the candidates: the log first, for safety; the other fields only among equal logs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    log: LogPosition,
    wanted: bool,
    not_leaving: bool,
    same_region: bool,
    leads_already: bool,
    list_order: usize,
}

impl FailoverDriver {
    pub(super) fn advance_fence(
        &mut self,
        now_us: u64,
        cause: Cause,
        term: Term,
        since_us: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Phase> {
        if self.leader_reached_term(term) {
            return Some(self.lose_change(now_us, term, actions));
        }
        let voters = self.voters(term);
        if self.members().is_quorum(voters)
            && !self.awaits_preferred(now_us, cause, term, voters, since_us)
        {
            Self::trace(Step::Fenced, term, actions);
            return self.choose(term, voters).map(|member| {
                self.promoted = Some(Leader { term, member });
                Phase::Promoting { term, member, since_us: now_us }
            });
        }
        if self.refused(term) || self.is_superseded(term) {
            return Some(self.lose_change(now_us, term, actions));
        }
        if now_us >= since_us.saturating_add(self.settings.driver_timeout_us) {
            return Some(self.give_up_change(now_us, term, actions));
        }
        for member in 0..self.members().count() {
            if !voters.contains(member) {
                let every_us = self.settings.resend_interval_us;
                self.call_member(now_us, member, MemberCall::Raise { term }, every_us, actions);
            }
        }
        self.wake_at(since_us.saturating_add(self.settings.driver_timeout_us));
        None
    }

    /// Returns the members that voted for this driver in the term. Their logs do not change until
    /// it promotes one of them.
    fn voters(&self, term: Term) -> MemberMask {
        let voted =
            |status: &MemberStatus| status.raised_term == term && status.raised_by == self.name;
        (0..self.members().count())
            .filter(|&member| self.status(member).is_some_and(voted))
            .collect()
    }

    /// Returns whether the term can't be won: too many members voted for another driver or promised
    /// themselves to a higher term.
    fn refused(&self, term: Term) -> bool {
        let refuses = |status: &MemberStatus| {
            status.raised_term > term || status.raised_term == term && status.raised_by != self.name
        };
        let open = (0..self.members().count())
            .filter(|&member| !self.status(member).is_some_and(refuses))
            .collect();
        !self.members().is_quorum(open)
    }

    /// Returns whether to wait for the vote of the preferred member: the wanted one; or the present
    /// primary if it works and only a detached member must be won back; or the member that holds
    /// the data of a new group, which no acknowledgement protects yet.
    fn awaits_preferred(
        &mut self,
        now_us: u64,
        cause: Cause,
        term: Term,
        voters: MemberMask,
        since_us: u64,
    ) -> bool {
        let until_us = since_us.saturating_add(self.settings.resend_interval_us);
        let preferred = match cause {
            Cause::Wanted => self.wanted_member(),
            Cause::HigherTerm => self.announced.map(|leader| leader.member),
            Cause::NoLeader if term == FIRST_TERM => self.longest_log(),
            Cause::Suspected | Cause::NoLeader => None,
        };
        let missing = preferred.is_some_and(|member| !voters.contains(member));
        let waits = missing && now_us < until_us;
        if waits {
            self.wake_at(until_us);
        }
        waits
    }

    fn longest_log(&self) -> Option<usize> {
        (0..self.members().count()).max_by_key(|&member| self.status(member).map(|it| it.log))
    }

    /// Returns the member to promote: the voter with the highest log.
    fn choose(&self, term: Term, voters: MemberMask) -> Option<usize> {
        (0..self.members().count())
            .filter(|&member| voters.contains(member))
            .filter(|&member| self.status(member).is_some_and(|s| s.raised_term == term))
            .max_by_key(|&member| self.candidate_rank(member))
    }

    fn candidate_rank(&self, member: usize) -> Option<CandidateRank> {
        let status = self.status(member)?;
        let profile = self.profiles[member];
        Some(CandidateRank {
            log: status.log,
            wanted: self.wanted_member() == Some(member),
            not_leaving: !profile.drained && !status.leaving,
            same_region: profile.same_region,
            leads_already: self.announced.is_some_and(|leader| leader.member == member),
            list_order: usize::MAX - member,
        })
    }

    /// Promotes the chosen member. No other member is ever promoted in this term: the call may have
    /// taken effect although its answer was lost.
    pub(super) fn advance_promotion(
        &mut self,
        now_us: u64,
        term: Term,
        member: usize,
        since_us: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Phase> {
        if self.leader == Some(Leader { term, member }) {
            Self::trace(Step::Promoted, term, actions);
            self.lost_changes = 0;
            return Some(Phase::Idle);
        }
        let raised = self
            .status(member)
            .is_some_and(|status| status.raised_term > term || status.role == Role::Replica);
        if raised || self.leader_reached_term(term) {
            return Some(self.lose_change(now_us, term, actions));
        }
        let until_us = since_us.saturating_add(self.settings.driver_timeout_us);
        if now_us >= until_us {
            return Some(self.give_up_change(now_us, term, actions));
        }
        let every_us = self.settings.resend_interval_us;
        self.call_member(now_us, member, MemberCall::Promote { term }, every_us, actions);
        self.wake_at(until_us);
        None
    }
}
