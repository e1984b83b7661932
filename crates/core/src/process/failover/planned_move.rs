//! Moves the primary to the member that an operator requested.

use super::Action;
use super::Cause;
use super::FailoverDriver;
use super::MemberCall;
use super::Phase;
use super::Step;
use crate::log_position::Term;

impl FailoverDriver {
    /// Returns the member that the lead record requests as primary, unless the request was
    /// abandoned.
    pub(super) fn requested_member(&self) -> Option<usize> {
        if self.abandoned() {
            return None;
        }
        self.members().index_of(&self.record()?.wanted)
    }

    /// Returns whether the request in the present version of the record was abandoned.
    pub(super) fn abandoned(&self) -> bool {
        self.abandoned_version == Some(self.lead.seen_version())
    }

    /// Returns the requested member if it does not lead yet.
    pub(super) fn wanted_member(&self) -> Option<usize> {
        let wanted = self.requested_member()?;
        let leads = self.leader.is_some_and(|leader| leader.member == wanted);
        (!leads).then_some(wanted)
    }

    /// Returns whether the wanted member is so close behind the primary that writes need to be held
    /// back only briefly.
    pub(super) fn is_close_to_primary(&self, wanted: usize) -> bool {
        let Some(leader) = self.leader else { return false };
        let (Some(target), Some(primary)) = (self.status(wanted), self.status(leader.member))
        else {
            return false;
        };
        let lag_records = primary.log.index.saturating_sub(target.log.index);
        target.raised_term == leader.term
            && target.log.term == leader.term
            && lag_records <= self.settings.move_lag_records
    }

    pub(super) fn advance_hold(
        &mut self,
        now_us: u64,
        term: Term,
        wanted: usize,
        since_us: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Phase> {
        let Some(leader) = self.leader.filter(|leader| leader.term < term) else {
            return Some(self.lose_change(now_us, term, actions));
        };
        if self.is_superseded(term) {
            return Some(self.lose_change(now_us, term, actions));
        }
        if self.suspected == Some(leader.term) {
            return Some(Phase::Fencing { cause: Cause::Suspected, term, since_us: now_us });
        }
        let settled_us = since_us.saturating_add(self.settings.hold_settle_us);
        if self.logs_equal_since(settled_us, leader.member, wanted) {
            return Some(Phase::Fencing { cause: Cause::Wanted, term, since_us: now_us });
        }
        let until_us = since_us.saturating_add(self.settings.max_hold_us);
        if now_us >= until_us {
            self.abandon_move();
            return Some(self.give_up_change(now_us, term, actions));
        }
        self.poll_move(now_us, settled_us, leader.member, wanted, actions);
        self.wake_at(until_us);
        None
    }

    /// Returns whether reports of both members from after the settling time show equal logs.
    fn logs_equal_since(&self, settled_us: u64, primary: usize, wanted: usize) -> bool {
        let (Some((primary_us, of_primary)), Some((wanted_us, of_wanted))) =
            (self.reports.latest(primary), self.reports.latest(wanted))
        else {
            return false;
        };
        primary_us >= settled_us && wanted_us >= settled_us && of_primary.log == of_wanted.log
    }

    fn poll_move(
        &mut self,
        now_us: u64,
        settled_us: u64,
        primary: usize,
        wanted: usize,
        actions: &mut Vec<Action>,
    ) {
        if now_us < settled_us {
            self.wake_at(settled_us);
            return;
        }
        let every_us = self.settings.hold_poll_interval_us;
        for member in [primary, wanted] {
            self.call_member(now_us, member, MemberCall::ReadStatus, every_us, actions);
        }
    }

    /// Abandons the request. The maintenance removes it from the record.
    pub(super) fn abandon_move(&mut self) {
        self.abandoned_version = Some(self.lead.seen_version());
    }

    /// Abandons a request whose member has not come close to the primary in time.
    pub(super) fn enforce_move_deadline(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let begun = !matches!(self.phase, Phase::Idle | Phase::CheckingQuorum { .. });
        if begun || self.wanted_member().is_none() {
            return;
        }
        let until_us = self
            .lead
            .seen_us()
            .saturating_add(self.settings.move_timeout_us)
            .saturating_add(self.stagger_us());
        if now_us < until_us {
            self.wake_at(until_us);
            return;
        }
        self.abandon_move();
        Self::trace(Step::GivenUp, Term::default(), actions);
    }
}
