//! Loading of the first configuration version at startup: from the platform, or from peers if the
//! platform does not answer.

use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use skylark_core::process::jitter;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::spreading;
use skylark_core::version::spreading::Source;
use skylark_core::version::spreading::StartChoice;
use skylark_core::version::spreading::StartVerdict;
use skylark_objects::ObjectStore;
use skylark_settings::proxy::ProxySettings;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::process::control::input::Input;
use crate::process::control::platform::WatchOrder;
use crate::process::control::platform::jittered;
use crate::process::peer::api;
use crate::process::peer::api::PeerApiClient;
use crate::process::peer::client;

/// The timeout of the first call to the platform, in milliseconds.
pub const INITIAL_TIMEOUT_MS: u64 = 2_000;

/// The maximum timeout of a call to the platform, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 30_000;

/// The maximum pause between two calls, in milliseconds. After the platform has recovered, each process calls
/// it within this time.
pub const MAX_PAUSE_MS: u64 = 8_000;

/// Timeouts of the platform calls for the first version, and pauses between them.
///
/// With a fixed timeout, a platform that needs longer than that for a call would never deliver a version,
/// while all processes of a cold start keep calling it: useless load just when the platform is slow.
/// Doubling the timeout up to its maximum eventually gives a call enough time, and growing pauses with
/// jitter reduce the load.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StartBackoff {
    seed: u64,
    first_pause_ms: u64,
    calls: u32,
}

impl StartBackoff {
    /// Creates the state before the first call. The first pause is up to `first_pause_ms`; jitter is drawn
    /// from `seed`.
    pub fn new(seed: u64, first_pause_ms: u64) -> StartBackoff {
        StartBackoff { seed, first_pause_ms, calls: 0 }
    }

    /// Returns the timeout of the next call, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        doubled(INITIAL_TIMEOUT_MS, self.calls).min(MAX_TIMEOUT_MS)
    }

    /// Records a failed call, and returns the pause before the next one, in milliseconds.
    pub fn record_failure(&mut self) -> u64 {
        let pause_ms = doubled(self.first_pause_ms, self.calls).min(MAX_PAUSE_MS);
        self.calls = self.calls.saturating_add(1);
        jitter::upper_half_us(self.seed, u64::from(self.calls), pause_ms)
    }
}

fn doubled(first_ms: u64, times: u32) -> u64 {
    first_ms.saturating_mul(1_u64.checked_shl(times).unwrap_or(u64::MAX))
}

/// The task that loads the first version.
pub(super) struct FirstVersion<S> {
    pub(super) store: S,
    pub(super) settings: Arc<ProxySettings>,
    pub(super) orders: watch::Receiver<WatchOrder>,
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    pub(super) seed: u64,
}

impl<S> FirstVersion<S>
where
    S: ObjectStore,
{
    pub(super) async fn run(self) {
        let mut orders = self.orders.clone();
        let (snapshot, source) = tokio::select! {
            found = self.fetch() => found,
            // Another version came into force by an offer or a pull, or the process ends.
            _ = orders.wait_for(|order| order.revision > 0) => return,
        };
        let _ = self.inputs.send(Input::Snapshot { snapshot, source });
    }

    /// Calls the platform once before any peer, because its version is the most recent. Further calls
    /// can take long, so peers are called concurrently with them.
    async fn fetch(&self) -> (Snapshot, Source) {
        let mut backoff = StartBackoff::new(self.seed, self.settings.timing.platform_retry_ms);
        if let Some(snapshot) = self.read_platform(&backoff).await {
            return (snapshot, Source::Platform);
        }
        let pause_ms = backoff.record_failure();
        tokio::select! {
            snapshot = self.poll_platform(backoff, pause_ms) => (snapshot, Source::Platform),
            snapshot = self.poll_peers() => (snapshot, Source::Peer),
        }
    }

    async fn read_platform(&self, backoff: &StartBackoff) -> Option<Snapshot> {
        let limit = Duration::from_millis(backoff.timeout_ms());
        self.store.snapshot_with_timeout(limit).await.ok()
    }

    async fn poll_platform(&self, mut backoff: StartBackoff, first_pause_ms: u64) -> Snapshot {
        let mut pause_ms = first_pause_ms;
        loop {
            time::sleep(Duration::from_millis(pause_ms)).await;
            if let Some(snapshot) = self.read_platform(&backoff).await {
                return snapshot;
            }
            pause_ms = backoff.record_failure();
        }
    }

    async fn poll_peers(&self) -> Snapshot {
        let retry = Duration::from_millis(self.settings.timing.platform_retry_ms);
        let mut attempt = 0;
        loop {
            if let Some(snapshot) = self.fetch_from_peers(attempt).await {
                return snapshot;
            }
            attempt += 1;
            time::sleep(jittered(retry)).await;
        }
    }

    /// Returns the snapshot of the peer with the highest revision among several random peers.
    async fn fetch_from_peers(&self, attempt: u64) -> Option<Snapshot> {
        let timeout = Duration::from_millis(self.settings.timing.peer_timeout_ms);
        let peers = &self.settings.peers;
        let seed = self.seed.wrapping_add(attempt);
        let chosen = spreading::choose_start_peers(peers.len(), spreading::START_PEERS, seed);
        let addresses: Vec<String> = chosen.iter().map(|&index| peers[index].to_string()).collect();
        let clients = addresses.iter().map(|address| client::open(address, timeout));
        let mut requests: Vec<_> = clients.map(request_version).collect();
        // Each call has its own timeout, so the choice needs no deadline.
        let mut choice = StartChoice::new(requests.len(), u64::MAX);
        for (index, answer) in requests.iter_mut().enumerate() {
            match answer.await {
                Ok(Some(version)) => choice.answered(index, version.revision),
                Ok(None) | Err(_) => choice.failed(),
            }
        }
        let StartVerdict::Take(index) = choice.verdict(0) else { return None };
        client::open_for_snapshots(&addresses[index])?.peer_snapshot().await.ok()
    }
}

fn request_version(client: Option<HttpClient>) -> JoinHandle<Option<api::PeerVersion>> {
    let anonymous = api::PeerVersion::default();
    tokio::spawn(async move { client?.peer_version(anonymous).await.ok() })
}
