//! Tasks that call the platform: the first version, the watch, and the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::spreading;
use skylark_core::version::spreading::Source;
use skylark_core::version::spreading::StartChoice;
use skylark_core::version::spreading::StartVerdict;
use skylark_platform::ObjectStore;
use skylark_settings::proxy::ProxySettings;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::process::control::Control;
use crate::process::control::input::Input;
use crate::process::member::client::MemberClient;
use crate::process::peer::api;
use crate::process::peer::api::PeerApiClient;
use crate::process::peer::client;

/// What the watch task is to do.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct WatchOrder {
    /// Whether this process watches for its zone.
    pub watching: bool,
    /// The revision in force.
    pub revision: u64,
}

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    pub(super) fn start_platform_tasks(&self) {
        let first = FirstVersion {
            store: self.store.clone(),
            settings: Arc::clone(&self.settings),
            orders: self.watch_orders.subscribe(),
            inputs: self.senders.inputs.clone(),
            seed: self.seed,
        };
        tokio::spawn(first.run());
        let watch = WatchTask {
            store: self.store.clone(),
            settings: Arc::clone(&self.settings),
            orders: self.watch_orders.subscribe(),
            inputs: self.senders.inputs.clone(),
        };
        tokio::spawn(watch.run());
    }

    pub(super) fn read_vm_list(&self) {
        if !self.watch_orders.borrow().watching {
            return;
        }
        let (store, inputs) = (self.store.clone(), self.senders.inputs.clone());
        tokio::spawn(async move {
            let _ = inputs.send(Input::VmList(store.vms().await));
        });
    }
}

/// Gets the first version: from the platform, or from peers while the platform does not answer.
struct FirstVersion<S> {
    store: S,
    settings: Arc<ProxySettings>,
    orders: watch::Receiver<WatchOrder>,
    inputs: mpsc::UnboundedSender<Input>,
    seed: u64,
}

impl<S> FirstVersion<S>
where
    S: ObjectStore,
{
    async fn run(self) {
        let retry = Duration::from_millis(self.settings.timing.platform_retry_ms);
        for attempt in 0.. {
            if let Ok(snapshot) = self.store.snapshot().await {
                self.give(snapshot, Source::Platform);
                return;
            }
            if let Some(snapshot) = self.ask_peers(attempt).await {
                self.give(snapshot, Source::Peer);
                return;
            }
            time::sleep(jittered(retry)).await;
            // An offer may have come meanwhile.
            if self.orders.borrow().revision > 0 || self.inputs.is_closed() {
                return;
            }
        }
    }

    fn give(&self, snapshot: Snapshot, source: Source) {
        let _ = self.inputs.send(Input::Snapshot { snapshot, source });
    }

    /// The highest version among several peers.
    async fn ask_peers(&self, attempt: u64) -> Option<Snapshot> {
        let timeout = Duration::from_millis(self.settings.timing.peer_timeout_ms);
        let peers = &self.settings.peers;
        let seed = self.seed.wrapping_add(attempt);
        let chosen = spreading::start_peers(peers.len(), spreading::START_PEERS, seed);
        let clients: Vec<_> = chosen
            .iter()
            .filter_map(|&place| client::open(&peers[place].to_string(), timeout))
            .collect();
        let mut asked: Vec<_> = clients.iter().cloned().map(ask_version).collect();
        // Every call ends by its own timeout, so the choice needs no deadline.
        let mut choice = StartChoice::new(asked.len(), u64::MAX);
        for (place, answer) in asked.iter_mut().enumerate() {
            match answer.await {
                Ok(Some(version)) => choice.answered(place, version.revision),
                Ok(None) | Err(_) => choice.failed(),
            }
        }
        let StartVerdict::Take(place) = choice.verdict(0) else { return None };
        clients[place].peer_snapshot().await.ok()
    }
}

fn ask_version(
    client: jsonrpsee::http_client::HttpClient,
) -> tokio::task::JoinHandle<Option<api::PeerVersion>> {
    let nobody = api::PeerVersion::default();
    tokio::spawn(async move { client.peer_version(nobody).await.ok() })
}

/// Watches the platform while this process is a watcher of its zone.
struct WatchTask<S> {
    store: S,
    settings: Arc<ProxySettings>,
    orders: watch::Receiver<WatchOrder>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl<S> WatchTask<S>
where
    S: ObjectStore,
{
    async fn run(mut self) {
        let wait = Duration::from_millis(self.settings.timing.watch_wait_ms);
        let retry = Duration::from_millis(self.settings.timing.platform_retry_ms);
        let mut seen_revision = 0;
        loop {
            let order = *self.orders.borrow_and_update();
            if !order.watching {
                if self.orders.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let after_revision = order.revision.max(seen_revision);
            let result = self.store.watch(after_revision, wait).await;
            let failed = result.is_err();
            if let Ok(answer) = &result {
                seen_revision = answer.revision.max(after_revision);
            }
            if self.inputs.send(Input::Watched { after_revision, result }).is_err() {
                return;
            }
            if failed {
                time::sleep(jittered(retry)).await;
            }
        }
    }
}

/// Between half of `wait` and all of it: the platform comes back to all its callers at once.
fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.0))
}
