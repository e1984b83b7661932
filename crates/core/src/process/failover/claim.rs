//! Agreement on the driver of a change, by a conditional update of the lead record at the platform.

use super::Action;
use super::Cause;
use super::FailoverDriver;
use super::Phase;
use super::PlatformAnswer;
use super::PlatformCall;
use super::Step;
use super::record::CallKind;
use super::record::OpenCall;
use crate::log_position::Term;
use crate::version::objects::LeadRecord;

impl FailoverDriver {
    /// Chooses the term of the change and claims the change at the platform.
    pub(super) fn start_claim(
        &mut self,
        now_us: u64,
        cause: Cause,
        actions: &mut Vec<Action>,
    ) -> Phase {
        let term = self.highest_term().next();
        self.driven_term = Some(term);
        // An answer to an earlier call must not be taken for an answer to this claim.
        self.lead.open = None;
        self.send_claim(now_us, term, actions);
        let deadline_us = now_us.saturating_add(self.settings.claim_timeout_us);
        Phase::Claiming { cause, term, deadline_us }
    }

    pub(super) fn advance_claim(
        &mut self,
        now_us: u64,
        cause: Cause,
        term: Term,
        deadline_us: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Phase> {
        if self.claimed(term) {
            Self::trace(Step::Claimed, term, actions);
            return Some(self.after_claim(now_us, cause, term));
        }
        if self.is_superseded(term) || self.leader_reached_term(term) {
            return Some(self.lose_change(now_us, term, actions));
        }
        if now_us >= deadline_us {
            return Some(self.skip_claim(now_us, cause, term, actions));
        }
        if self.lead.open.is_none() {
            self.send_claim(now_us, term, actions);
        }
        self.wake_at(deadline_us);
        None
    }

    /// Continues without the platform. A move requested by an operator came through the platform
    /// and can wait for it; the replacement of a failed primary can't.
    fn skip_claim(
        &mut self,
        now_us: u64,
        cause: Cause,
        term: Term,
        actions: &mut Vec<Action>,
    ) -> Phase {
        self.lead.open = None;
        // The update may still take effect, so the present version is unknown.
        self.lead.version = None;
        if cause == Cause::Wanted {
            return self.give_up_change(now_us, term, actions);
        }
        Self::trace(Step::ClaimSkipped, term, actions);
        Phase::Fencing { cause, term, since_us: now_us }
    }

    fn after_claim(&self, now_us: u64, cause: Cause, term: Term) -> Phase {
        match (cause, self.wanted_member()) {
            (Cause::Wanted, Some(wanted)) => Phase::Holding { term, wanted, since_us: now_us },
            _ => Phase::Fencing { cause, term, since_us: now_us },
        }
    }

    /// Returns whether the record names this driver for the term.
    fn claimed(&self, term: Term) -> bool {
        self.record().is_some_and(|record| record.driver == self.name && record.term == term)
    }

    /// Returns whether the record names another driver for this term or a higher one, or for a term
    /// that it has not opened yet.
    pub(super) fn is_superseded(&self, term: Term) -> bool {
        let Some(record) = self.record() else { return false };
        record.driver != self.name && record.term >= term
    }

    pub(super) fn leader_reached_term(&self, term: Term) -> bool {
        self.leader_term() >= term
    }

    /// Sends the conditional update, or reads the record first if its version is unknown.
    fn send_claim(&mut self, now_us: u64, term: Term, actions: &mut Vec<Action>) {
        if self.lead.version.is_none() {
            self.read_lead(now_us, actions);
            return;
        }
        let (wanted, plan) = self.wanted_and_plan();
        let driver = self.name.clone();
        let record = LeadRecord { term, driver, primary: String::new(), wanted, plan };
        self.update_lead(now_us, record, actions);
    }

    /// Returns the fields of the record that belong to the operator and that a driver must
    /// preserve.
    pub(super) fn wanted_and_plan(&self) -> (String, String) {
        let record = self.record();
        record.map(|record| (record.wanted.clone(), record.plan.clone())).unwrap_or_default()
    }

    pub(super) fn read_lead(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let call = self.open_call(now_us, CallKind::Read);
        actions.push(Action::ReadLead { call });
    }

    pub(super) fn update_lead(
        &mut self,
        now_us: u64,
        record: LeadRecord,
        actions: &mut Vec<Action>,
    ) {
        let Some(expected_version) = self.lead.version else { return };
        let call = self.open_call(now_us, CallKind::Update(record.clone()));
        actions.push(Action::UpdateLead { call, expected_version, record });
    }

    fn open_call(&mut self, now_us: u64, kind: CallKind) -> PlatformCall {
        self.next_call += 1;
        let call = PlatformCall(self.next_call);
        self.lead.open = Some(OpenCall { call, kind, sent_us: now_us });
        call
    }

    /// Handles an answer of the platform. An answer to an abandoned call is ignored; a
    /// change that it made shows as a version conflict.
    pub(super) fn handle_platform_answer(
        &mut self,
        now_us: u64,
        call: PlatformCall,
        answer: &PlatformAnswer,
        actions: &mut Vec<Action>,
    ) {
        if self.lead.open.as_ref().is_none_or(|open| open.call != call) {
            return;
        }
        let Some(open) = self.lead.open.take() else { return };
        match (answer, open.kind) {
            (PlatformAnswer::Updated { version }, CallKind::Update(record)) => {
                self.lead.observe_version(now_us, *version, Some(&record));
            }
            (PlatformAnswer::Read { version, record }, CallKind::Read) => {
                self.lead.observe_version(now_us, *version, record.as_ref());
            }
            // The update may have taken effect, which only a read can show. If the update were
            // repeated, the driver could take its own record for that of a rival.
            (PlatformAnswer::Conflict | PlatformAnswer::NoAnswer, CallKind::Update(_)) => {
                self.lead.version = None;
                if matches!(self.phase, Phase::Claiming { .. }) {
                    self.read_lead(now_us, actions);
                }
            }
            _ => self.end_claim_wait(now_us),
        }
    }

    /// Ends the wait for the claim early: the read failed, so the platform is down.
    fn end_claim_wait(&mut self, now_us: u64) {
        if let Phase::Claiming { deadline_us, .. } = &mut self.phase {
            *deadline_us = now_us;
        }
    }
}
