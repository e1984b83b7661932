//! What every home does apart from changes of primary: announcing, winning members back, keeping the
//! lead record true, and holding writes back while another process moves the primary.

use super::Action;
use super::FailoverDriver;
use super::Leader;
use super::MemberCall;
use super::Phase;
use super::Step;
use crate::member_status::Role;
use crate::version::objects::LeadRecord;

/// How much more seldom a silent member is told to follow.
const SILENT_BACKOFF_FACTOR: u64 = 10;

/// How many driver's times a claim may stand without an effect before its record is corrected.
const DEAD_CLAIM_FACTOR: u64 = 4;

impl FailoverDriver {
    /// Announces the leader once its term is open: before a quorum confirmed a record of the term,
    /// a write could wait for confirmations that another driver's fence already rules out.
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

    /// Tells members that follow nobody, or an older primary, whom to follow. This is how an old
    /// primary rejoins. The order is right from whoever it comes, because a term has one primary.
    fn reattach_members(&mut self, now_us: u64, leader: Leader, actions: &mut Vec<Action>) {
        let detached: Vec<usize> = (0..self.members().count())
            .filter(|&member| self.is_detached(member, leader))
            .collect();
        if detached.is_empty() {
            return;
        }
        let turn_us = self.turn_us(leader, self.leader_since_us);
        if now_us < turn_us {
            self.wake_at(turn_us);
            return;
        }
        for member in detached {
            let call = MemberCall::Follow { term: leader.term, primary: leader.member };
            let every_us = self.follow_every_us(member);
            self.call_member(now_us, member, call, every_us, actions);
        }
    }

    /// How often a member is told to follow: seldom while it does not answer, so that calls to a
    /// member that is gone do not pile up at its connection.
    fn follow_every_us(&self, member: usize) -> u64 {
        let sent_us = self.sent[member].map(|sent| sent.sent_us);
        let heard_us = self.reports.latest(member).map(|(at_us, _)| at_us);
        match heard_us >= sent_us {
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

    /// The driver of the leader's term acts at once; others act in its place after a while.
    fn turn_us(&self, leader: Leader, since_us: u64) -> u64 {
        if self.driven_term == Some(leader.term) {
            return since_us;
        }
        since_us.saturating_add(self.settings.driver_timeout_us).saturating_add(self.stagger_us())
    }

    /// Writes the lead record where it lags behind what the members decided.
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
        let turn_us = if self.abandoned() { since_us } else { self.turn_us(leader, since_us) };
        let turn_us = turn_us.max(self.platform_retry_us);
        if now_us < turn_us {
            self.wake_at(turn_us);
            return;
        }
        self.platform_retry_us = now_us.saturating_add(self.settings.maintenance_interval_us);
        match self.lead.version {
            Some(_) => self.update_lead(now_us, record, actions),
            None => self.read_lead(now_us, actions),
        }
        self.awaits_platform(now_us);
    }

    /// Whether a call to the platform is under way; one that takes too long is given up.
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

    /// The record as it should be, if it is not.
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
            // A claim under way is not to be disturbed; one that led to nothing is dead.
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

    /// Holds writes back while the record shows a planned move that is under way, whoever drives
    /// it, and never longer than the bound: the driver may have died.
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
        // Once begun, holding lasts until the new primary is announced here, also when the record
        // names it earlier: writes sent to the old one would only be refused.
        let begins = record.primary.is_empty() && self.requested_member().is_some();
        let continues = self.holding && !record.primary.is_empty();
        let moving = record.term > announced_term && (begins || continues);
        moving.then(|| self.lead.seen_us().saturating_add(self.settings.max_hold_us))
    }
}
