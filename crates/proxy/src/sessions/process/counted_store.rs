//! A wrapper of the platform's store that counts calls by operation and failures by reason.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use skylark_core::process::takeover_claim::Claim;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::routes::RouteTable;

use crate::process::counters::Counters;
use crate::process::counters::StoreCall;
use crate::process::counters::StoreRetryReason;
use crate::sessions::store::AtRevision;
use crate::sessions::store::Freshness;
use crate::sessions::store::ListedTarget;
use crate::sessions::store::StateStore;
use crate::sessions::store::StoreError;
use crate::sessions::store::TargetChange;
use crate::sessions::store::VmAddress;

/// A store that counts calls and failures.
#[derive(Clone, Debug)]
pub struct CountedStore<S> {
    store: S,
    counters: Arc<Counters>,
}

impl<S> CountedStore<S>
where
    S: StateStore,
{
    /// Wraps `store`, counting its calls in `counters`.
    pub fn new(store: S, counters: &Arc<Counters>) -> CountedStore<S> {
        CountedStore { store, counters: Arc::clone(counters) }
    }

    async fn counted<T, F>(&self, call: StoreCall, result: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>> + Send,
    {
        self.counters.store_call(call);
        let result = result.await;
        if let Err(error) = &result {
            self.counters.store_retry(trouble_of(error));
        }
        result
    }
}

fn trouble_of(error: &StoreError) -> StoreRetryReason {
    match error {
        StoreError::Conflict => StoreRetryReason::Conflict,
        StoreError::HistoryGone => StoreRetryReason::HistoryGone,
        StoreError::Refused(_) => StoreRetryReason::Refused,
        StoreError::NoAnswer(_) => StoreRetryReason::NoAnswer,
        StoreError::Malformed(_) => StoreRetryReason::Malformed,
    }
}

impl<S> StateStore for CountedStore<S>
where
    S: StateStore,
{
    async fn configuration(&self) -> Result<AtRevision<Option<RouteTable>>, StoreError> {
        self.counted(StoreCall::ReadConfiguration, self.store.configuration()).await
    }

    async fn watch_configuration(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<AtRevision<Option<RouteTable>>, StoreError> {
        let watch = self.store.watch_configuration(revision, wait);
        self.counted(StoreCall::WatchConfiguration, watch).await
    }

    async fn targets(&self) -> Result<AtRevision<Vec<ListedTarget>>, StoreError> {
        self.counted(StoreCall::ListTargets, self.store.targets()).await
    }

    async fn watch_targets(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> Result<AtRevision<Vec<TargetChange>>, StoreError> {
        let watch = self.store.watch_targets(revision, wait);
        self.counted(StoreCall::WatchTargets, watch).await
    }

    async fn register_vm(&self, vm: &VmAddress) -> Result<(), StoreError> {
        self.counted(StoreCall::RegisterVm, self.store.register_vm(vm)).await
    }

    async fn vms(&self, freshness: Freshness) -> Result<AtRevision<Vec<VmAddress>>, StoreError> {
        self.counted(StoreCall::ListVms, self.store.vms(freshness)).await
    }

    async fn probe(&self, vm: &str) -> Result<(), StoreError> {
        self.counted(StoreCall::Probe, self.store.probe(vm)).await
    }

    async fn claim(
        &self,
        service: &str,
        freshness: Freshness,
    ) -> Result<AtRevision<Option<Claim>>, StoreError> {
        self.counted(StoreCall::ReadClaim, self.store.claim(service, freshness)).await
    }

    async fn write_claim(
        &self,
        service: &str,
        claim: &Claim,
        revision: Option<StoreRevision>,
    ) -> Result<StoreRevision, StoreError> {
        let write = self.store.write_claim(service, claim, revision);
        self.counted(StoreCall::WriteClaim, write).await
    }
}
