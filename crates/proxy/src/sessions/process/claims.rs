//! Getting hold of a service's claim, keeping it, and letting it go.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::process::jitter;
use skylark_core::process::takeover_claim;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::process::takeover_claim::ClaimState;
use skylark_core::process::takeover_claim::ClaimStep;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::process::takeover_claim::SeenClaim;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::store::StateStore;

/// The pause after a claim that was not written.
const CONFLICT_PAUSE: Duration = Duration::from_millis(15);

/// The first pause after a claim that could not be read, in microseconds. It doubles with each failure: all
/// homes of all services in trouble ask at the same time, and a store that is slow under that must not be
/// asked as often.
const BASE_RETRY_PAUSE_US: u64 = 120_000;

/// How often a pause is doubled at most.
const MAX_DOUBLINGS: u32 = 3;

/// How long a store that is known not to answer is left alone. Its return is noticed by others.
const STORE_AWAY_LIMIT: Duration = Duration::from_millis(2_500);

/// The longest pause before another VM's claim is looked at again.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(300);

/// The claims of one process.
#[derive(Debug)]
pub struct Claims<C, S>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    store: S,
}

impl<C, S> Claims<C, S>
where
    C: Codec,
    S: StateStore,
{
    /// Claims that lie in this store.
    pub fn new(gateway: &Arc<Gateway<C>>, store: S) -> Claims<C, S> {
        Claims { gateway: Arc::clone(gateway), store }
    }

    /// Gets hold of a service's claim, which was wanted since `wanted_us`. `None` if it is needed no
    /// longer before that.
    pub async fn acquire<F>(
        &self,
        service: &Arc<str>,
        wanted_us: u64,
        is_needed: F,
    ) -> Option<HeldClaim>
    where
        F: Fn() -> bool,
    {
        let mut seen: Option<SeenClaim> = None;
        let mut failures = 0;
        loop {
            self.gateway.store_access.wait_while_away(STORE_AWAY_LIMIT).await;
            match self.store.claim(service).await {
                Ok(found) => {
                    failures = 0;
                    let now_us = self.gateway.clock.now_us();
                    let known = seen.take();
                    seen = found.map(|found| {
                        let known = known.filter(|known| known.revision == found.revision);
                        let seen_us = known.map_or(now_us, |known| known.seen_us);
                        SeenClaim { claim: found.value, revision: found.revision, seen_us }
                    });
                }
                Err(error) => {
                    slog::info!(self.gateway.log, "the claim can't be read";
                        "service" => &**service, "reason" => error.to_string());
                    time::sleep(self.retry_pause(failures)).await;
                    failures += 1;
                    if !is_needed() {
                        return None;
                    }
                    continue;
                }
            }
            let now_us = self.gateway.clock.now_us();
            let vm = &*self.gateway.vm;
            match takeover_claim::next_claim(seen.as_ref(), vm, wanted_us, now_us) {
                ClaimStep::Write { token } => {
                    let before = seen.as_ref();
                    let claim = Claim::next(before.map(|seen| &seen.claim), vm, token);
                    let over = before.map(|seen| seen.revision);
                    // A call that its holder made reached the platform before the claim was silent for
                    // long enough to be taken.
                    let unsettled_since_us = now_us;
                    if let Some(held) = self.write(service, claim, over, unsettled_since_us).await {
                        return Some(held);
                    }
                }
                ClaimStep::LeaveUntil { at_us } => {
                    let wait = Duration::from_micros(at_us.saturating_sub(now_us).max(1));
                    time::sleep(wait.min(MAX_POLL_PAUSE)).await;
                }
            }
            if !is_needed() {
                return None;
            }
        }
    }

    /// The pause after a claim that could not be read, and this many before it.
    fn retry_pause(&self, failures: u32) -> Duration {
        let seed = jitter::seed_of(&self.gateway.vm);
        let pause_us = BASE_RETRY_PAUSE_US << failures.min(MAX_DOUBLINGS);
        Duration::from_micros(jitter::upper_half_us(seed, u64::from(failures), pause_us))
    }

    /// Writes a held claim again, changed. `None` if it is held no longer, or may not be.
    pub async fn change(
        &self,
        service: &Arc<str>,
        held: &HeldClaim,
        claim: Claim,
    ) -> Option<HeldClaim> {
        self.write(service, claim, Some(held.revision), held.unsettled_since_us).await
    }

    /// Lets a claim go. Whoever comes next takes it as it is if this fails.
    pub async fn release(&self, service: &Arc<str>, held: HeldClaim) -> bool {
        let claim = Claim { state: ClaimState::Settled, ..held.claim };
        self.store.write_claim(service, &claim, Some(held.revision)).await.is_ok()
    }

    async fn write(
        &self,
        service: &Arc<str>,
        claim: Claim,
        over: Option<u64>,
        unsettled_since_us: u64,
    ) -> Option<HeldClaim> {
        // The lease counts from before the write: a successor counts from after it.
        let written_us = self.gateway.clock.now_us();
        match self.store.write_claim(service, &claim, over).await {
            Ok(revision) => {
                slog::info!(self.gateway.log, "holds a claim";
                    "service" => &**service, "token" => claim.token, "chosen" => &*claim.chosen,
                    "unsettled" => claim.unsettled);
                Some(HeldClaim { claim, revision, written_us, unsettled_since_us })
            }
            Err(error) => {
                slog::info!(self.gateway.log, "the claim was not written";
                    "service" => &**service, "token" => claim.token, "reason" => error.to_string());
                time::sleep(CONFLICT_PAUSE).await;
                None
            }
        }
    }
}
