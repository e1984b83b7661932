//! Acquiring, renewing and releasing the claim on a service's takeover.
//!
//! A claim is a lease in the store, with a fencing token: only its holder may promote a primary.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use skylark_core::process::jitter;
use skylark_core::process::takeover_claim;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::process::takeover_claim::ClaimState;
use skylark_core::process::takeover_claim::ClaimStep;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::process::takeover_claim::SeenClaim;
use skylark_core::store_revision::StoreRevision;
use tokio::time;

use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::store::AtRevision;
use crate::sessions::store::Freshness;
use crate::sessions::store::StateStore;
use crate::sessions::store::StoreError;

/// Delay before another attempt after the store rejected the write of a claim.
const CONFLICT_PAUSE: Duration = Duration::from_millis(15);

/// Base delay before a claim that could not be read is read again, in microseconds. It doubles with each
/// failure: all homes of all affected services read claims at the same time, and a store that is slow under
/// that load must not be asked as often.
const BASE_RETRY_PAUSE_US: u64 = 120_000;

/// Maximum delay before a claim that could not be read is read again, in microseconds.
const MAX_RETRY_PAUSE_US: u64 = 8 * BASE_RETRY_PAUSE_US;

/// How long to wait for a store that is known to be unavailable before it is called anyway. Other tasks probe
/// the store and end the wait when it answers.
const STORE_UNAVAILABLE_LIMIT: Duration = Duration::from_millis(2_500);

/// How often a write without an answer is read back.
const MAX_READ_BACKS: u32 = 2;

/// How often a process that waits for another driver checks whether the takeover is still needed.
const NEED_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// What the store must have for the write of a claim.
#[derive(Clone, Copy, Debug)]
struct Expected {
    /// The revision of the claim that is replaced; `None` if there is none.
    revision: Option<StoreRevision>,
    /// The store's generation.
    generation: u64,
}

impl Expected {
    fn held(held: &HeldClaim) -> Expected {
        let revision = held.revision;
        Expected { revision: Some(revision), generation: revision.generation() }
    }
}

/// Access to the claims of all services for one process.
#[derive(Debug)]
pub struct Claims<C, S>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    store: S,
    /// Number of services whose claims this process waits for.
    waiting: AtomicUsize,
}

impl<C, S> Claims<C, S>
where
    C: Codec,
    S: StateStore,
{
    /// Creates access to the claims in `store`.
    pub fn new(gateway: &Arc<Gateway<C>>, store: S) -> Claims<C, S> {
        Claims { gateway: Arc::clone(gateway), store, waiting: AtomicUsize::new(0) }
    }

    /// Acquires the claim of a service. `needed_since_us` is the time since when the takeover has been
    /// needed.
    /// Returns `None` if `is_needed` becomes false first.
    pub async fn acquire<F>(
        &self,
        service: &Arc<str>,
        needed_since_us: u64,
        is_needed: F,
    ) -> Option<HeldClaim>
    where
        F: Fn() -> bool,
    {
        let mut seen: Option<SeenClaim> = None;
        let mut failures = 0;
        let mut freshness = Freshness::Latest;
        loop {
            self.gateway.store_access.wait_while_unavailable(STORE_UNAVAILABLE_LIMIT).await;
            match self.read(service, freshness).await {
                Ok(AtRevision { revision, value }) => {
                    failures = 0;
                    let now_us = self.gateway.clock.now_us();
                    let known = seen.take().filter(|known| known.revision == revision);
                    let seen_us = known.map_or(now_us, |known| known.seen_us);
                    seen = value.map(|claim| SeenClaim { claim, revision, seen_us });
                }
                Err(error) => {
                    slog::info!(self.gateway.log, "could not read the claim";
                        "service" => &**service, "reason" => error.to_string());
                    time::sleep(self.retry_pause(failures)).await;
                    failures += 1;
                    if !is_needed() {
                        return None;
                    }
                    continue;
                }
            }
            let generation = self.gateway.store_generation.newest();
            let now_us = self.gateway.clock.now_us();
            let vm = &*self.gateway.vm;
            let previous = seen.as_ref();
            match takeover_claim::next_claim(previous, vm, &generation, needed_since_us, now_us) {
                ClaimStep::Write { token } => {
                    let (claim, settles_us) =
                        takeover_claim::claim_over(previous, vm, token, &generation, now_us);
                    let expected = Expected {
                        revision: previous.map(|seen| seen.revision),
                        generation: generation.number,
                    };
                    if let Some(held) = self.write(service, claim, expected, settles_us).await {
                        self.gateway.counters.event(Event::TokensRaisedByDriver);
                        return Some(held);
                    }
                    freshness = Freshness::Latest;
                }
                ClaimStep::WaitUntil { at_us } => {
                    self.wait_for_other_driver(at_us, &is_needed).await;
                    // The write is conditional on the revision, so a claim that was changed meanwhile is not
                    // taken over.
                    freshness = Freshness::MayBeStale;
                }
            }
            if !is_needed() {
                return None;
            }
        }
    }

    /// Waits before another driver's claim is read again, at most until `at_us` or until the takeover is no
    /// longer needed.
    async fn wait_for_other_driver<F>(&self, at_us: u64, is_needed: &F)
    where
        F: Fn() -> bool,
    {
        let waiting = self.waiting.fetch_add(1, Ordering::Relaxed) + 1;
        let clock = &self.gateway.clock;
        let until_us = at_us.min(clock.now_us() + takeover_claim::poll_pause_us(waiting));
        while is_needed() {
            let left = Duration::from_micros(until_us.saturating_sub(clock.now_us()));
            if left.is_zero() {
                break;
            }
            time::sleep(left.min(NEED_CHECK_INTERVAL)).await;
        }
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the delay before a claim is read again after `failures` earlier failures.
    fn retry_pause(&self, failures: u32) -> Duration {
        let seed = jitter::seed_of(&self.gateway.vm);
        let pause_us = jitter::doubled_us(BASE_RETRY_PAUSE_US, failures, MAX_RETRY_PAUSE_US);
        Duration::from_micros(jitter::upper_half_us(seed, u64::from(failures), pause_us))
    }

    /// Replaces a held claim by a changed one. Returns `None` if the write failed, since the claim may then
    /// be lost.
    pub async fn change(
        &self,
        service: &Arc<str>,
        held: &HeldClaim,
        claim: Claim,
    ) -> Option<HeldClaim> {
        let claim = Claim { writes: held.claim.writes + 1, ..claim };
        let written = self.write(service, claim, Expected::held(held), held.settles_us).await?;
        Some(HeldClaim { is_fenced: held.is_fenced, ..written })
    }

    /// Releases a claim. Returns whether the store accepted it; otherwise the next driver takes over
    /// the claim unchanged.
    pub async fn release(&self, service: &Arc<str>, held: HeldClaim) -> bool {
        let unsettled = held.may_take_effect_late(self.gateway.clock.now_us());
        let claim = Claim { state: ClaimState::Settled, unsettled, ..held.claim };
        self.store.write_claim(service, &claim, Some(held.revision)).await.is_ok()
    }

    /// Writes a claim. A write without an answer is read back, and sent again if it was not executed: without
    /// that a single lost answer would end a takeover.
    async fn write_and_confirm(
        &self,
        service: &Arc<str>,
        claim: &Claim,
        expected: Expected,
    ) -> Result<StoreRevision, StoreError> {
        let mut result = self.write_once(service, claim, expected).await;
        for _ in 0..MAX_READ_BACKS {
            let Err(StoreError::NoAnswer(_)) = result else { return result };
            let found = self.read_back(service, expected).await?;
            let revision = found.value.as_ref().map(|_| found.revision);
            match found.value {
                Some(value) if value == *claim => return Ok(found.revision),
                _ if revision != expected.revision => return Err(StoreError::Conflict),
                _ => result = self.write_once(service, claim, expected).await,
            }
            // The first write may have been executed between the read and the second write.
            if result == Err(StoreError::Conflict) {
                let found = self.read_back(service, expected).await?;
                return match found.value {
                    Some(value) if value == *claim => Ok(found.revision),
                    Some(_) | None => result,
                };
            }
        }
        result
    }

    /// Reads the claim. Fails if the answer is from before a restore that is known.
    async fn read(
        &self,
        service: &Arc<str>,
        freshness: Freshness,
    ) -> Result<AtRevision<Option<Claim>>, StoreError> {
        let found = self.store.claim(service, freshness).await?;
        let newest = self.gateway.store_generation.observe(found.revision);
        match found.revision.generation() == newest.number {
            true => Ok(found),
            false => Err(StoreError::HistoryGone),
        }
    }

    async fn write_once(
        &self,
        service: &Arc<str>,
        claim: &Claim,
        expected: Expected,
    ) -> Result<StoreRevision, StoreError> {
        if self.gateway.store_generation.newest().number != expected.generation {
            return Err(StoreError::Conflict);
        }
        let revision = self.store.write_claim(service, claim, expected.revision).await?;
        self.check_generation(revision, expected)?;
        Ok(revision)
    }

    /// Reads the claim after a write that was not answered.
    async fn read_back(
        &self,
        service: &Arc<str>,
        expected: Expected,
    ) -> Result<AtRevision<Option<Claim>>, StoreError> {
        let found = self.store.claim(service, Freshness::Latest).await?;
        self.check_generation(found.revision, expected)?;
        Ok(found)
    }

    /// Fails if the store was restored since the claim was read. The restored store may have lost another
    /// claim, and a write may have replaced one that this process has not read, since revisions are assigned
    /// again.
    fn check_generation(
        &self,
        revision: StoreRevision,
        expected: Expected,
    ) -> Result<(), StoreError> {
        let newest = self.gateway.store_generation.observe(revision);
        match newest.number == expected.generation {
            true => Ok(()),
            false => Err(StoreError::Conflict),
        }
    }

    async fn write(
        &self,
        service: &Arc<str>,
        claim: Claim,
        expected: Expected,
        settles_us: u64,
    ) -> Option<HeldClaim> {
        // The lease is counted from before the write, and a successor counts it from after the write.
        let written_us = self.gateway.clock.now_us();
        match self.write_and_confirm(service, &claim, expected).await {
            Ok(revision) => {
                slog::info!(self.gateway.log, "wrote the claim";
                    "service" => &**service, "token" => claim.token, "chosen" => &*claim.chosen,
                    "unsettled" => claim.unsettled);
                Some(HeldClaim { claim, revision, written_us, settles_us, is_fenced: false })
            }
            Err(error) => {
                slog::info!(self.gateway.log, "could not write the claim";
                    "service" => &**service, "token" => claim.token, "reason" => error.to_string());
                time::sleep(CONFLICT_PAUSE).await;
                None
            }
        }
    }
}
