//! The promotion of a target, including promotions whose outcome is unknown because no answer arrived.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use skylark_core::log_position::LogPosition;
use skylark_core::process::jitter;
use skylark_core::process::takeover::OldLead;
use skylark_core::process::takeover_claim;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::process::takeover_claim::PromoteEnd;
use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::takeover::RETRY_PAUSE;
use crate::sessions::process::takeover::STEP_PAUSE;
use crate::sessions::process::takeover::Takeovers;
use crate::sessions::process::takeover::counts;
use crate::sessions::process::takeover::counts::CallPurpose;
use crate::sessions::process::takeover::drive::Drive;
use crate::sessions::process::takeover::drive::Outcome;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;
use crate::sessions::store::PromoteError;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;

/// Maximum time for a promotion to take effect, in microseconds. It usually takes 300 to 600 ms.
const PROMOTION_TIMEOUT_US: u64 = 2_000_000;

impl<C, S, P> Takeovers<C, S, P>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    /// Updates the claim in the store. Returns whether it is still held.
    pub(super) async fn change_claim<F>(&self, drive: &mut Drive, change: F) -> bool
    where
        F: FnOnce(&mut Claim),
    {
        let mut claim = drive.claim.claim.clone();
        change(&mut claim);
        let Some(held) = self.claims.change(&drive.service, &drive.claim, claim).await else {
            return false;
        };
        drive.claim = held;
        true
    }

    /// Promotes a target whose log ended at `received` when it was compared. Returns the outcome of the takeover,
    /// or `None` if it continues.
    pub(super) async fn promote(
        &self,
        drive: &mut Drive,
        target: &TargetRecord,
        received: LogPosition,
    ) -> Option<Outcome> {
        let checks_tokens = self.promoter.checks_tokens();
        let now_us = self.gateway.clock.now_us();
        if !drive.claim.may_promote(&target.id, checks_tokens, now_us) {
            slog::info!(self.gateway.log, "the promotion of another target may still take effect";
                "service" => &*drive.service, "target" => &*target.id,
                "chosen" => &*drive.claim.claim.chosen);
            time::sleep(RETRY_PAUSE).await;
            return None;
        }
        let was_under_way = drive.claim.may_take_effect_late(now_us);
        let another_was = drive.claim.another_may_be_promoted(&target.id, now_us);
        let before = drive.claim.claim.chosen.clone();
        let claim = drive.claim.before_call(&target.id, now_us);
        if !self.change_claim(drive, |written| *written = claim).await {
            return Some(Outcome::ClaimLost);
        }
        let token = drive.claim.claim.token;
        let result = self.call_promote(drive, target, CallPurpose::Promotion).await;
        let accepted_us = self.gateway.clock.now_us();
        slog::warn!(self.gateway.log, "promote";
            "service" => &*drive.service, "target" => &*target.id, "token" => token,
            "received" => received.to_string(),
            "result" => result_text(&result));
        if result.is_err() {
            drive.forget_old_lead();
        }
        self.record_call(drive, &result);
        match result {
            Ok(()) => {
                drive.is_accepted = true;
                self.await_effect(drive, &target.id).await;
                self.log_effect(drive, target, accepted_us);
                if another_was {
                    // It may have been accepted just before this call, and take effect after it.
                    return None;
                }
                drive.claim.claim.chosen = target.id.to_string();
                if !was_under_way {
                    drive.claim.settle();
                }
                Some(Outcome::Promoted)
            }
            Err(PromoteError::NoAnswer(_)) => {
                self.resolve_call(drive, checks_tokens, Event::TokensRaisedWithoutAnswer).await
            }
            Err(PromoteError::Refused) => {
                drive.claim.claim.chosen = before;
                self.resolve_call(drive, checks_tokens, Event::TokensRaisedAfterRefusal).await
            }
            Err(PromoteError::Overloaded | PromoteError::NotSent) => {
                drive.claim.claim.chosen = before;
                time::sleep(RETRY_PAUSE).await;
                None
            }
        }
    }

    fn record_call(&self, drive: &mut Drive, result: &Result<(), PromoteError>) {
        let end = match result {
            Ok(()) => PromoteEnd::Accepted,
            Err(PromoteError::NoAnswer(_)) => PromoteEnd::Unknown,
            Err(PromoteError::Refused | PromoteError::Overloaded | PromoteError::NotSent) => {
                PromoteEnd::NotCarriedOut
            }
        };
        let (checks_tokens, now_us) = (self.promoter.checks_tokens(), self.gateway.clock.now_us());
        drive.claim.record_call(end, checks_tokens, now_us);
    }

    /// Returns the primary that is to be replaced, if an earlier call may make it the primary once more and no call
    /// is for another target. Beside such a call another one for the old primary could be carried out after that
    /// target led, and the old primary is paused instead.
    pub(super) fn target_to_fence_off(&self, drive: &Drive) -> Option<Arc<TargetRecord>> {
        let now_us = self.gateway.clock.now_us();
        let checks_tokens = self.promoter.checks_tokens();
        let must_fence_off = |primary: &&Arc<TargetRecord>| {
            drive.claim.must_fence_off(&primary.id, checks_tokens, now_us)
                && !drive.claim.another_may_be_promoted(&primary.id, now_us)
        };
        drive.old_primary.as_ref().filter(must_fence_off).cloned()
    }

    /// Whether an accepted call may still make the primary that is to be replaced the primary once more.
    pub(super) fn awaits_call_for_old_primary(&self, drive: &Drive) -> bool {
        let now_us = self.gateway.clock.now_us();
        drive.claim.is_fenced
            && drive
                .old_primary
                .as_ref()
                .is_some_and(|primary| drive.claim.may_promote_late(&primary.id, now_us))
    }

    /// Holds the claim until no call that the platform accepted is under way, since this process may begin the next
    /// takeover at once. Returns `None` if the claim is lost.
    pub(super) async fn await_accepted_calls(
        &self,
        service: &Arc<str>,
        mut claim: HeldClaim,
    ) -> Option<HeldClaim> {
        while self.awaits_accepted_call(&claim) {
            time::sleep(STEP_PAUSE).await;
            if claim.must_renew(self.gateway.clock.now_us()) {
                claim = self.claims.change(service, &claim, claim.claim.clone()).await?;
            }
        }
        Some(claim)
    }

    /// Waits until no call that the platform accepted under a lost claim is under way.
    pub(super) async fn until_settled(&self, claim: &HeldClaim) {
        while self.awaits_accepted_call(claim) {
            time::sleep(STEP_PAUSE).await;
        }
    }

    fn awaits_accepted_call(&self, claim: &HeldClaim) -> bool {
        claim.is_fenced && claim.may_take_effect_late(self.gateway.clock.now_us())
    }

    /// Fences off earlier calls by another one for a target that leads or is their only target. Returns the outcome of
    /// the takeover, or `None` if it continues.
    ///
    /// The call changes nothing as long as that target leads until it is carried out.
    pub(super) async fn fence_off(
        &self,
        drive: &mut Drive,
        primary: &TargetRecord,
    ) -> Option<Outcome> {
        let now_us = self.gateway.clock.now_us();
        let before = drive.claim.claim.chosen.clone();
        let claim = drive.claim.before_call(&primary.id, now_us);
        if (drive.claim.must_renew(now_us) || claim.chosen != before)
            && !self.change_claim(drive, |written| *written = claim).await
        {
            return Some(Outcome::ClaimLost);
        }
        let result = self.call_promote(drive, primary, CallPurpose::Fencing).await;
        slog::info!(self.gateway.log, "fenced off earlier calls for the primary";
            "service" => &*drive.service, "target" => &*primary.id,
            "token" => drive.claim.claim.token,
            "result" => result_text(&result));
        self.record_call(drive, &result);
        match result {
            Ok(()) => {
                drive.is_accepted = true;
                None
            }
            Err(PromoteError::Refused) => {
                // A target that does not run is not promoted by an earlier call either.
                if before == *primary.id {
                    drive.claim.settle();
                    return None;
                }
                drive.claim.claim.chosen = before;
                self.resolve_call(drive, true, Event::TokensRaisedAfterRefusal).await
            }
            Err(PromoteError::NoAnswer(_)) => {
                self.resolve_call(drive, true, Event::TokensRaisedWithoutAnswer).await
            }
            Err(PromoteError::Overloaded | PromoteError::NotSent) => {
                drive.claim.claim.chosen = before;
                time::sleep(RETRY_PAUSE).await;
                None
            }
        }
    }

    /// Calls the platform to promote a target, again after growing pauses while the platform is overloaded.
    /// Ends with the last refusal when the claim has to be renewed or the takeover is no longer needed.
    async fn call_promote(
        &self,
        drive: &mut Drive,
        target: &TargetRecord,
        purpose: CallPurpose,
    ) -> Result<(), PromoteError> {
        let (gateway, held) = (&self.gateway, &drive.claim);
        let (token, seed) = (held.claim.token, jitter::seed_of(&drive.service));
        let may_send = || held.may_send_promote(gateway.clock.now_us());
        loop {
            let call = self.promoter.promote(&drive.service, target, &gateway.vm, token, may_send);
            let result = call.await;
            gateway.counters.event(counts::called(purpose, &result));
            if !matches!(result, Err(PromoteError::Overloaded)) {
                return result;
            }
            drive.refusals += 1;
            let pause_us = takeover_claim::overloaded_pause_us(drive.refusals, seed);
            time::sleep(Duration::from_micros(pause_us)).await;
            let must_stop = held.must_renew(gateway.clock.now_us());
            if must_stop || self.triggers.detect(&drive.service).is_none() {
                return result;
            }
        }
    }

    /// Handles a promotion that was refused or may still take effect. Where the platform checks tokens, a
    /// call with a higher token fences it off. The replicas stay paused until then. `raised` is the event of a
    /// token raised for this reason.
    async fn resolve_call(
        &self,
        drive: &mut Drive,
        checks_tokens: bool,
        raised: Event,
    ) -> Option<Outcome> {
        if checks_tokens {
            if !self.change_claim(drive, |claim| claim.token += 1).await {
                return Some(Outcome::ClaimLost);
            }
            self.gateway.counters.event(raised);
        }
        time::sleep(RETRY_PAUSE).await;
        None
    }

    /// Logs whether the effect of an accepted call was seen, with what the target reports. It is asked in another
    /// task, since the takeover does not depend on the answer.
    fn log_effect(&self, drive: &Drive, target: &TargetRecord, accepted_us: u64) {
        let took_us = self.gateway.clock.now_us().saturating_sub(accepted_us);
        let token = drive.claim.claim.token;
        if !self.leads(&drive.service, &target.id) {
            slog::warn!(self.gateway.log, "a promotion was not seen to take effect";
                "service" => &*drive.service, "target" => &*target.id, "token" => token,
                "since_accepted_us" => took_us);
            return;
        }
        let (log, vm) = (self.gateway.log.clone(), Arc::clone(&self.gateway.vm));
        let target = target.clone();
        tokio::spawn(async move {
            let reply = target_calls::ask::<C>(&target, &vm, &Query::ImmediateStatus).await;
            let status = match reply {
                CallReply::Status(status) => Some(status),
                CallReply::Refused(_) | CallReply::Unanswered | CallReply::Nothing => None,
            };
            slog::info!(log, "promotion took effect";
                "service" => &*target.service, "target" => &*target.id, "token" => token,
                "since_accepted_us" => took_us,
                "leads" => status.map(|status| status.is_primary),
                "term" => status.map(|status| status.term),
                "position" => status.map(|status| status.received.to_string()));
        });
    }

    /// Waits until the promoted target is the presumed primary. An old primary that no VM reached is requested to
    /// step down as soon as one does: it may acknowledge commits until the promotion takes effect.
    async fn await_effect(&self, drive: &mut Drive, target: &str) {
        let service = Arc::clone(&drive.service);
        let until_us = self.gateway.clock.now_us() + PROMOTION_TIMEOUT_US;
        let takes_effect = async {
            while !self.leads(&service, target) && self.gateway.clock.now_us() < until_us {
                time::sleep(STEP_PAUSE).await;
            }
        };
        let old_lead_ends = async {
            while !matches!(drive.old_lead, OldLead::Ended { .. }) {
                self.end_old_lead(drive, drive.step_down_term).await;
                time::sleep(STEP_PAUSE).await;
            }
            future::pending::<()>().await;
        };
        tokio::select! {
            () = takes_effect => (),
            () = old_lead_ends => (),
        }
    }
}

/// Returns the text of a promotion's result for the log.
fn result_text(result: &Result<(), PromoteError>) -> String {
    result.as_ref().map_or_else(ToString::to_string, |()| "accepted".into())
}
