//! The start of a change of primary: its cause, the order of the candidates, and the quorum check.

use super::Action;
use super::Cause;
use super::FailoverDriver;
use super::MemberCall;
use super::Phase;
use super::Step;
use crate::log_position::Term;
use crate::process::jitter;
use crate::process::member_set::MemberMask;

/// For how many rounds of calls the quorum check waits for members beyond the quorum.
const QUORUM_CHECK_ROUNDS: u64 = 2;

/// The maximum number of times that the back-off doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

impl FailoverDriver {
    pub(super) fn advance_idle(&mut self, now_us: u64, actions: &mut Vec<Action>) -> Option<Phase> {
        let cause = self.current_cause();
        if self.cause.map(|(known, _)| known) != cause {
            self.cause = cause.map(|cause| (cause, now_us));
        }
        let (cause, since_us) = self.cause?;
        let start_time_us = self.start_time_us(cause, since_us);
        if now_us < start_time_us {
            self.wake_at(start_time_us);
            return None;
        }
        Self::trace(Step::Started(cause), Term::default(), actions);
        Some(Phase::CheckingQuorum { cause, since_us: now_us })
    }

    /// Returns the most urgent reason for a change, if there is one.
    pub(super) fn current_cause(&self) -> Option<Cause> {
        let Some(leader) = self.leader else { return Some(Cause::NoLeader) };
        if self.suspected == Some(leader.term) {
            return Some(Cause::Suspected);
        }
        if self.has_higher_term_member() {
            return Some(Cause::HigherTerm);
        }
        self.wanted_member()
            .filter(|&wanted| self.is_close_to_primary(wanted))
            .map(|_| Cause::Wanted)
    }

    /// Returns when this candidate may start the change.
    fn start_time_us(&self, cause: Cause, since_us: u64) -> u64 {
        let delay_us = match cause {
            Cause::Suspected | Cause::Wanted => 0,
            Cause::NoLeader => self.settings.no_leader_delay_us,
            Cause::HigherTerm => self.settings.driver_timeout_us,
        };
        let may_start_us = since_us.saturating_add(delay_us).saturating_add(self.stagger_us());
        may_start_us.max(self.not_before_us).max(self.rival_deadline_us(cause))
    }

    /// Returns when a rival driver that was observed to be active counts as failed. A rival that
    /// performs a move requested by an operator also gets the maximum time for which it may hold
    /// writes back, unless the primary fails in the meantime.
    fn rival_deadline_us(&self, cause: Cause) -> u64 {
        let rival_claim_us = self.lead.rival_claim_us(&self.name, self.leader_term());
        let Some(seen_us) = self.rival_seen_us.max(rival_claim_us) else { return 0 };
        let max_hold_us = if cause == Cause::Wanted { self.settings.max_hold_us } else { 0 };
        seen_us
            .saturating_add(max_hold_us)
            .saturating_add(self.settings.driver_timeout_us)
            .saturating_add(self.stagger_us())
    }

    pub(super) fn stagger_us(&self) -> u64 {
        self.settings.stagger_us.saturating_mul(u64::from(self.rank))
    }

    /// Waits for answers of a quorum. A process that reaches no quorum raises no term: a raised
    /// member leaves its primary and must be won back in a higher term, which would cost a change
    /// of primary each time that a partition heals.
    pub(super) fn advance_quorum_check(
        &mut self,
        now_us: u64,
        cause: Cause,
        since_us: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Phase> {
        if self.current_cause() != Some(cause) || self.rival_deadline_us(cause) > now_us {
            return Some(Phase::Idle);
        }
        if self.members().is_quorum(self.responding_members(since_us))
            && !self.awaits_more_answers(now_us, cause, since_us)
        {
            Self::trace(Step::QuorumReached, Term::default(), actions);
            return Some(self.start_claim(now_us, cause, actions));
        }
        for member in 0..self.members().count() {
            let every_us = self.settings.resend_interval_us;
            self.call_member(now_us, member, MemberCall::ReadStatus, every_us, actions);
        }
        None
    }

    /// Returns whether the quorum check waits for members beyond the quorum. A process that starts,
    /// or that sees a detached member, may receive the replicas' answers before that of the primary that
    /// leads them; a suspected primary has already had time to answer.
    fn awaits_more_answers(&mut self, now_us: u64, cause: Cause, since_us: u64) -> bool {
        if cause == Cause::Wanted && !self.wanted_answered(since_us) {
            return true;
        }
        let all_responded = self.responding_members(since_us).count() == self.members().count();
        let until_us =
            since_us.saturating_add(QUORUM_CHECK_ROUNDS * self.settings.resend_interval_us);
        let waits = cause != Cause::Suspected && !all_responded && now_us < until_us;
        if waits {
            self.wake_at(until_us);
        }
        waits
    }

    /// Returns whether the wanted member answered during this quorum check. Holding back writes for
    /// a member that has just failed would last for the whole limit of the hold.
    fn wanted_answered(&self, since_us: u64) -> bool {
        let answer = self.wanted_member().and_then(|wanted| self.reports.latest(wanted));
        answer.is_some_and(|(at_us, _)| at_us > since_us)
    }

    /// Returns the members that reported during the quorum check or shortly before it.
    fn responding_members(&self, since_us: u64) -> MemberMask {
        let earliest_us = since_us.saturating_sub(self.settings.report_max_age_us);
        let answers = |member: &usize| {
            self.reports.latest(*member).is_some_and(|(at_us, _)| at_us >= earliest_us)
        };
        (0..self.members().count()).filter(answers).collect()
    }

    /// Ends a change that another driver or a refusal stopped. The back-off is random and grows, so
    /// that two drivers do not keep taking votes from each other.
    pub(super) fn lose_change(
        &mut self,
        now_us: u64,
        term: Term,
        actions: &mut Vec<Action>,
    ) -> Phase {
        Self::trace(Step::Lost, term, actions);
        self.back_off(now_us);
        Phase::Idle
    }

    /// Ends a change that did not complete in time.
    pub(super) fn give_up_change(
        &mut self,
        now_us: u64,
        term: Term,
        actions: &mut Vec<Action>,
    ) -> Phase {
        Self::trace(Step::GivenUp, term, actions);
        self.back_off(now_us);
        Phase::Idle
    }

    fn back_off(&mut self, now_us: u64) {
        let doublings = self.lost_changes.min(MAX_BACKOFF_DOUBLINGS);
        self.lost_changes = self.lost_changes.saturating_add(1);
        let max_delay_us = self.settings.backoff_us << doublings;
        let delay_us = jitter::upper_half_us(self.seed, u64::from(self.lost_changes), max_delay_us);
        self.not_before_us = now_us.saturating_add(delay_us);
    }
}
