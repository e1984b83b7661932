//! The tasks of every home outside changes of primary: announcing the primary, reattaching members,
//! correcting the lead record, and holding back writes while another process moves the primary.

use super::Action;
use super::FailoverDriver;
use super::Leader;
use super::MemberCall;
use super::Phase;
use super::Step;
use crate::member_status::Role;
use crate::version::objects::LeadRecord;

/// The factor by which calls to a silent member are less frequent.
const SILENT_BACKOFF_FACTOR: u64 = 10;

/// The number of driver timeouts after which a claim without an effect is removed from the record.
const DEAD_CLAIM_FACTOR: u64 = 4;

impl FailoverDriver {
    /// Announces the leader once its term is open. Before a quorum confirmed a record of the term,
    /// writes might wait for confirmations that another driver's fence already prevents.
    pub(super) fn announce(&mut self, actions: &mut Vec<Action>) {
        let Some(leader) = self.leader else { return };
        let open = self.reports.confirmed().term == leader.term;
        let newer = self.announced.is_none_or(|known| known.term < leader.term);
        if !open || !newer {
            return;
        }
        self.announced = Some(leader);
        if self.driven_term == Some(leader.term) {
            Self::trace(Step::Opened, leader.term, actions);
        }
        actions.push(Action::Announce { leader });
    }

    pub(super) fn run_maintenance(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        self.enforce_move_deadline(now_us, actions);
        if self.phase != Phase::Idle {
            return;
        }
        if let Some(leader) = self.leader {
            self.reattach_members(now_us, leader, actions);
        }
        self.correct_record(now_us, actions);
    }

    /// Sends a follow call to members that follow no primary or an older one. This is how an
    /// old primary rejoins. Any process may send the call, because a term has only one primary.
    fn reattach_members(&mut self, now_us: u64, leader: Leader, actions: &mut Vec<Action>) {
        let detached: Vec<usize> = (0..self.members().count())
            .filter(|&member| self.is_detached(member, leader))
            .collect();
        if detached.is_empty() {
            return;
        }
        let may_act_us = self.may_act_us(leader, self.leader_since_us);
        if now_us < may_act_us {
            self.wake_at(may_act_us);
            return;
        }
        for member in detached {
            let call = MemberCall::Follow { term: leader.term, primary: leader.member };
            let every_us = self.follow_every_us(member);
            self.call_member(now_us, member, call, every_us, actions);
        }
    }

    /// Returns the interval of follow calls to a member. It is long while the member does not
    /// answer, so that calls to a failed member do not accumulate on its connection.
    fn follow_every_us(&self, member: usize) -> u64 {
        let sent_us = self.sent[member].map(|sent| sent.sent_us);
        let reported_us = self.reports.latest(member).map(|(at_us, _)| at_us);
        match reported_us >= sent_us {
            true => self.settings.maintenance_interval_us,
            false => self.settings.maintenance_interval_us.saturating_mul(SILENT_BACKOFF_FACTOR),
        }
    }

    fn is_detached(&self, member: usize, leader: Leader) -> bool {
        member != leader.member
            && self.status(member).is_none_or(|status| {
                status.raised_term < leader.term
                    || status.raised_term == leader.term && status.role == Role::Fenced
            })
    }

    /// Returns when this process may act: the driver of the leader's term immediately, others after
    /// a delay.
    fn may_act_us(&self, leader: Leader, since_us: u64) -> u64 {
        if self.driven_term == Some(leader.term) {
            return since_us;
        }
        since_us.saturating_add(self.settings.driver_timeout_us).saturating_add(self.stagger_us())
    }

    /// Updates the lead record if it differs from what the members decided.
    fn correct_record(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(leader) = self.announced.filter(|&leader| self.leader == Some(leader)) else {
            return;
        };
        if self.awaits_platform(now_us) {
            return;
        }
        let Some(record) = self.corrected_record(now_us, leader) else {
            self.record_stale_since_us = None;
            return;
        };
        let since_us = *self.record_stale_since_us.get_or_insert(now_us);
        let may_act_us =
            if self.abandoned() { since_us } else { self.may_act_us(leader, since_us) };
        let may_act_us = may_act_us.max(self.platform_retry_us);
        if now_us < may_act_us {
            self.wake_at(may_act_us);
            return;
        }
        self.platform_retry_us = now_us.saturating_add(self.settings.maintenance_interval_us);
        match self.lead.version {
            Some(_) => self.update_lead(now_us, record, actions),
            None => self.read_lead(now_us, actions),
        }
        self.awaits_platform(now_us);
    }

    /// Returns whether a call to the platform is in progress. A call that takes too long is
    /// abandoned.
    fn awaits_platform(&mut self, now_us: u64) -> bool {
        let Some(open) = &self.lead.open else { return false };
        let until_us = open.sent_us.saturating_add(self.settings.claim_timeout_us);
        if now_us < until_us {
            self.wake_at(until_us);
            return true;
        }
        self.lead.open = None;
        self.lead.version = None;
        false
    }

    /// Returns the correct record if it differs from the present one.
    fn corrected_record(&mut self, now_us: u64, leader: Leader) -> Option<LeadRecord> {
        let primary = self.member_name(leader.member);
        let driver = self.status(leader.member)?.raised_by.clone();
        let known = self.lead.record();
        let abandoned = self.abandoned();
        let (wanted_name, plan) = self.wanted_and_plan();
        let done = wanted_name == primary || abandoned;
        let wanted = if done { String::new() } else { wanted_name };
        let expected = LeadRecord { term: leader.term, driver, primary, wanted, plan };
        let Some(record) = known else { return Some(expected) };
        if record.term > leader.term && !abandoned {
            // A claim in progress must not be overwritten; one that had no effect for long has failed.
            let claim_expires_us = self
                .lead
                .seen_us()
                .saturating_add(self.settings.driver_timeout_us.saturating_mul(DEAD_CLAIM_FACTOR));
            if now_us < claim_expires_us {
                self.wake_at(claim_expires_us);
                return None;
            }
        }
        let is_current = record.term == expected.term
            && record.primary == expected.primary
            && record.wanted == expected.wanted;
        (!is_current).then_some(expected)
    }

    /// Holds back writes while the record shows a planned move in progress, whichever process
    /// drives it, but never longer than the limit: the driver may have died.
    pub(super) fn update_hold(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let until_us = self.hold_until_us();
        let holds = until_us.is_some_and(|until_us| now_us < until_us);
        if holds && let Some(until_us) = until_us {
            self.wake_at(until_us);
        }
        if holds != self.holding {
            self.holding = holds;
            actions.push(if holds { Action::HoldWrites } else { Action::ReleaseWrites });
        }
    }

    fn hold_until_us(&self) -> Option<u64> {
        let record = self.record()?;
        let announced_term = self.announced?.term;
        // A hold lasts until this process announces the new primary, even if the record names it
        // earlier: writes sent to the old primary would only be refused.
        let begins = record.primary.is_empty() && self.requested_member().is_some();
        let continues = self.holding && !record.primary.is_empty();
        let moving = record.term > announced_term && (begins || continues);
        moving.then(|| self.lead.seen_us().saturating_add(self.settings.max_hold_us))
    }
}
