//! Registers this VM in the store and follows the list of all VMs.
//!
//! A VM that subscribes to a feed gets the list from it. The store's load from reading the list therefore
//! depends only on the number of VMs that call the store.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::process::jitter;
use skylark_core::process::store_calls;
use skylark_core::process::store_calls::StoreAccess;
use skylark_core::store_revision::SeenGeneration;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::process::limits;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::AtRevision;
use crate::sessions::store::Freshness;
use crate::sessions::store::StateStore;
use crate::sessions::store::StoreError;
use crate::sessions::store::VmAddress;

/// How long a VM that was not listed waits before it reads the list again to determine the size of the fleet.
/// All VMs may start at about the same time.
const RELIST_DELAY: Duration = Duration::from_millis(400);

/// Delays after the first reads of the list, which are short since the list may be outdated and other VMs may
/// start at about the same time.
const INITIAL_LIST_INTERVALS: [Duration; 3] =
    [Duration::from_millis(1_000), Duration::from_millis(2_000), Duration::from_millis(3_000)];

/// Delay between later reads of the list. VMs are added and removed by operators; a VM that is lost gets
/// ejected without a change of the list.
const LIST_INTERVAL: Duration = Duration::from_millis(5_000);

/// Delay between later reads of the list by a watcher. The lists of different watchers, and the homes
/// computed from them, may differ for that long.
const WATCHER_LIST_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time per VM over which the VMs of a fleet register again after a restore of the store.
const REREGISTRATION_SPREAD_US: u64 = 5_000;

/// Registers this VM again whenever the store was restored, since its entry may have been lost.
pub async fn keep_registered<C, S>(watcher: Arc<Watcher<C, S>>, own: VmAddress, store: S)
where
    C: Codec,
    S: StateStore,
{
    let gateway = &watcher.gateway;
    let mut vms = VmListFollower { watcher: &watcher, own, store, failures: 0 };
    let mut generations = gateway.store_generation.subscribe();
    let seed = jitter::seed_of(&gateway.vm);
    let mut registered_in = 0;
    loop {
        let is_lost = |seen: &SeenGeneration| seen.follows_another && seen.number > registered_in;
        let Ok(restored) = generations.wait_for(is_lost).await.map(|seen| seen.number) else {
            return;
        };
        let spread_us = gateway.vm_count().max(1) as u64 * REREGISTRATION_SPREAD_US;
        time::sleep(Duration::from_micros(seed % spread_us)).await;
        vms.register().await;
        slog::info!(gateway.log, "registered this VM again"; "generation" => restored);
        registered_in = restored;
    }
}

/// Registers this VM unless it is listed already, and follows the list of all VMs for as long as the process
/// runs.
pub async fn follow<C, S>(watcher: Arc<Watcher<C, S>>, own: VmAddress, store: S)
where
    C: Codec,
    S: StateStore,
{
    let vms = VmListFollower { watcher: &watcher, own, store, failures: 0 };
    vms.follow().await;
}

struct VmListFollower<'a, C, S>
where
    C: Codec,
{
    watcher: &'a Watcher<C, S>,
    own: VmAddress,
    store: S,
    /// Number of failed calls in a row.
    failures: u32,
}

impl<C, S> VmListFollower<'_, C, S>
where
    C: Codec,
    S: StateStore,
{
    async fn follow(mut self) {
        let mut found = self.list(Freshness::MayBeStale).await;
        if !found.value.contains(&self.own) {
            self.register().await;
            if found.value.len() <= limits::MAX_DIRECT_WATCHERS {
                time::sleep(RELIST_DELAY).await;
                // An outdated list would make each starting VM of a large fleet assume a small one.
                found = self.list(Freshness::Latest).await;
            }
        }
        self.apply(found);
        let store_access = &self.watcher.gateway.store_access;
        let mut initial_intervals = INITIAL_LIST_INTERVALS.into_iter();
        loop {
            let is_watcher = self.watcher.gateway.is_watcher();
            let interval = if is_watcher { WATCHER_LIST_INTERVAL } else { LIST_INTERVAL };
            time::sleep(initial_intervals.next().unwrap_or(interval)).await;
            store_access.wait_for_direct_access(&self.store).await;
            store_access.wait_while_unavailable(LIST_INTERVAL).await;
            // A feed may have started meanwhile, or the store may still be unavailable.
            if store_access.lacks_feed() && store_access.may_answer() {
                let found = self.list(Freshness::MayBeStale).await;
                self.apply(found);
            }
        }
    }

    /// Reads the list of all VMs, with retries until the store answers.
    async fn list(&mut self, freshness: Freshness) -> AtRevision<Vec<VmAddress>> {
        loop {
            match self.store.vms(freshness).await {
                Ok(found) => {
                    self.failures = 0;
                    // Before the registration: an entry that is lost later has to be written again.
                    self.watcher.gateway.store_generation.observe(found.revision);
                    return found;
                }
                Err(error) => self.handle_error(error, "could not read the list of VMs").await,
            }
        }
    }

    async fn register(&mut self) {
        while let Err(error) = self.store.register_vm(&self.own).await {
            self.handle_error(error, "could not register this VM").await;
        }
        self.failures = 0;
    }

    async fn handle_error(&mut self, error: StoreError, what: &'static str) {
        let gateway = &self.watcher.gateway;
        slog::info!(gateway.log, "{}", what; "reason" => error.to_string());
        self.failures += 1;
        let (vms, seed) = (gateway.vm_count(), jitter::seed_of(&gateway.vm));
        // The answer to this call is useful to this VM only.
        let pause_us = store_calls::retry_pause_us(StoreAccess::NoPeer, vms, self.failures, seed);
        time::sleep(Duration::from_micros(pause_us)).await;
    }

    fn apply(&self, found: AtRevision<Vec<VmAddress>>) {
        let mut vms = found.value;
        // An outdated list may lack this VM's own entry.
        if !vms.iter().any(|vm| vm.name == self.own.name) {
            vms.push(self.own.clone());
        }
        self.watcher.apply_vms(Arc::new(VmList::new(found.revision, vms)));
    }
}
