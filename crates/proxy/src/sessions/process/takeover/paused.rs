//! Resumes replicas that a driver which died, or a late order, left paused.

use std::sync::Arc;

use futures_util::future;
use skylark_core::process::jitter;
use skylark_core::process::paused_replicas::PauseWatch;
use skylark_core::process::takeover_claim::HeldClaim;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::limits;
use crate::sessions::process::takeover::RETRY_PAUSE;
use crate::sessions::process::takeover::Takeovers;
use crate::sessions::process::takeover::drive::DRIVE_LIMIT_US;
use crate::sessions::request::prove;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;

impl<C, S, P> Takeovers<C, S, P>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    /// Looks at the replicas of a service if that is due, and resumes those that were abandoned.
    pub(super) fn check_paused_replicas(self: &Arc<Self>, service: &Arc<str>) {
        let now_us = self.gateway.clock.now_us();
        let is_due = {
            let mut watches = self.pause_watches.lock();
            let watch = watches.entry(Arc::clone(service)).or_insert_with(|| {
                let seed = jitter::seed_of(&self.gateway.vm) ^ jitter::seed_of(service);
                PauseWatch::started_at(now_us, seed)
            });
            watch.begin_look(now_us)
        };
        if !is_due {
            return;
        }
        let (takeovers, service) = (Arc::clone(self), Arc::clone(service));
        tokio::spawn(async move {
            if takeovers.has_abandoned_replicas(&service).await
                && takeovers.in_progress.lock().insert(Arc::clone(&service))
            {
                takeovers.resume_abandoned(&service).await;
                takeovers.in_progress.lock().remove(&service);
            }
        });
    }

    /// Looks at the replicas once, on pooled connections, since this need not work while the primary fails. Returns
    /// whether one of them has been paused for so long that no driver needs it.
    async fn has_abandoned_replicas(&self, service: &Arc<str>) -> bool {
        let until_us = self.gateway.clock.now_us() + limits::STATUS_TIMEOUT_US;
        let members = self.gateway.members(service);
        let ask = |member| prove::fetch_status(&self.gateway, member, until_us);
        let statuses = future::join_all(members.iter().map(ask)).await;
        let is_paused = statuses.into_iter().flatten().any(|status| status.paused_term > 0);
        let now_us = self.gateway.clock.now_us();
        let mut watches = self.pause_watches.lock();
        watches.get_mut(service).is_some_and(|watch| watch.record(is_paused, now_us))
    }

    /// Resumes the replicas of a service once no earlier promotion call may be carried out that they have to be
    /// paused for, unless a takeover is needed first.
    async fn resume_abandoned(&self, service: &Arc<str>) {
        let began_us = self.gateway.clock.now_us();
        slog::warn!(self.gateway.log, "a replica stays paused"; "service" => &**service);
        let is_needed = || {
            self.gateway.clock.now_us() < began_us + DRIVE_LIMIT_US
                && self.triggers.detect(service).is_none()
        };
        let Some(claim) = self.claims.acquire(service, began_us, is_needed).await else { return };
        let Some(claim) = self.await_earlier_call(service, claim).await else { return };
        if !self.another_may_be_promoted(service, &claim) {
            self.resume_all(service, &[]).await;
        }
        self.claims.release(service, claim).await;
    }

    /// Holds the claim until no earlier call may promote another target, or a takeover is needed. Returns `None` if
    /// the claim is lost.
    async fn await_earlier_call(
        &self,
        service: &Arc<str>,
        mut claim: HeldClaim,
    ) -> Option<HeldClaim> {
        while self.another_may_be_promoted(service, &claim)
            && self.triggers.detect(service).is_none()
        {
            time::sleep(RETRY_PAUSE).await;
            if claim.must_renew(self.gateway.clock.now_us()) {
                claim = self.claims.change(service, &claim, claim.claim.clone()).await?;
            }
        }
        Some(claim)
    }
}
