//! Writing down where this VM is, and following the list of all.
//!
//! A VM that another one tells has the list from it, with all else. So what the list costs the store follows
//! from the number of those that ask it.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::process::jitter;
use skylark_core::process::store_calls;
use skylark_core::process::store_calls::Standing;
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

/// How long a VM that was not listed before waits before it looks whether there are many: all of them may
/// start at about the same time.
const FLEET_PAUSE: Duration = Duration::from_millis(400);

/// The pauses after the first lists. The list may be late, and others start at about the same time.
const FIRST_PAUSES: [Duration; 3] =
    [Duration::from_millis(1_000), Duration::from_millis(2_000), Duration::from_millis(3_000)];

/// The pause between later lists. VMs come and go by hand; one that is gone is ejected without.
const LIST_PAUSE: Duration = Duration::from_millis(5_000);

/// The same for one that tells others: their lists differ for as long, and homes with them.
const WATCHER_LIST_PAUSE: Duration = Duration::from_millis(2_000);

/// Writes down where this VM is, unless that is known, and follows the list of all for ever.
pub async fn follow<C, S>(watcher: Arc<Watcher<C, S>>, own: VmAddress, store: S)
where
    C: Codec,
    S: StateStore,
{
    let vms = Vms { watcher: &watcher, own, store, failures: 0 };
    vms.follow().await;
}

struct Vms<'a, C, S>
where
    C: Codec,
{
    watcher: &'a Watcher<C, S>,
    own: VmAddress,
    store: S,
    /// How many calls in a row were not answered.
    failures: u32,
}

impl<C, S> Vms<'_, C, S>
where
    C: Codec,
    S: StateStore,
{
    async fn follow(mut self) {
        let mut found = self.list(Freshness::MayBeStale).await;
        if !found.value.contains(&self.own) {
            self.register().await;
            if found.value.len() <= limits::WATCH_ALONE {
                time::sleep(FLEET_PAUSE).await;
                // A late one would have each VM of a large fleet that starts take itself for one of few.
                found = self.list(Freshness::Latest).await;
            }
        }
        self.take(found);
        let asking = &self.watcher.gateway.asking;
        let mut pauses = FIRST_PAUSES.into_iter();
        loop {
            let is_watcher = self.watcher.gateway.is_watcher();
            let usual = if is_watcher { WATCHER_LIST_PAUSE } else { LIST_PAUSE };
            time::sleep(pauses.next().unwrap_or(usual)).await;
            asking.turn(&self.store).await;
            asking.while_away(LIST_PAUSE).await;
            // It may be told by now, or else the store may still be away.
            if asking.is_untold() && asking.may_answer() {
                let found = self.list(Freshness::MayBeStale).await;
                self.take(found);
            }
        }
    }

    /// Lists all VMs, however often the store has to be asked for that.
    async fn list(&mut self, freshness: Freshness) -> AtRevision<Vec<VmAddress>> {
        loop {
            match self.store.vms(freshness).await {
                Ok(found) => {
                    self.failures = 0;
                    return found;
                }
                Err(error) => self.after(error, "no list of VMs").await,
            }
        }
    }

    async fn register(&mut self) {
        while let Err(error) = self.store.register_vm(&self.own).await {
            self.after(error, "the VM's address was not written").await;
        }
        self.failures = 0;
    }

    async fn after(&mut self, error: StoreError, what: &'static str) {
        let gateway = &self.watcher.gateway;
        slog::info!(gateway.log, "{}", what; "reason" => error.to_string());
        self.failures += 1;
        let (vms, seed) = (gateway.vm_count(), jitter::seed_of(&gateway.vm));
        // No other VM has a use for this call's answer.
        let pause_us = store_calls::retry_pause_us(Standing::Alone, vms, self.failures, seed);
        time::sleep(Duration::from_micros(pause_us)).await;
    }

    fn take(&self, found: AtRevision<Vec<VmAddress>>) {
        let mut vms = found.value;
        // A late list may lack this VM's own entry.
        if !vms.iter().any(|vm| vm.name == self.own.name) {
            vms.push(self.own.clone());
        }
        self.watcher.take_vms(Arc::new(VmList::new(found.revision, vms)));
    }
}
