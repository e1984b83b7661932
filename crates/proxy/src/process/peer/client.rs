//! Clients for control calls to other proxies.

use std::time::Duration;

use jsonrpsee::core::client;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use skylark_core::FastMap;
use skylark_core::process::membership;
use skylark_core::version::spreading;

/// The maximum number of cached clients. Each keeps its connection open between calls.
const MAX_CLIENTS: usize = 32;

/// The timeout of a call for a full snapshot, equal to the timeout of a pull. With the timeout of short
/// calls, 0.5 s, a proxy behind a slow link could neither catch up nor get a first version from peers.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_micros(spreading::PULL_TIMEOUT_US);

/// A cache of clients by control address. It is emptied when it is full.
#[derive(Debug)]
pub struct PeerClients {
    timeout: Duration,
    clients: FastMap<String, HttpClient>,
}

impl PeerClients {
    /// Creates an empty cache. Calls of its clients time out after `timeout`.
    pub fn new(timeout: Duration) -> PeerClients {
        PeerClients { timeout, clients: FastMap::default() }
    }

    /// Returns a client of a control address, or `None` if the address is invalid.
    pub fn get(&mut self, control_address: &str) -> Option<HttpClient> {
        if let Some(client) = self.clients.get(control_address) {
            return Some(client.clone());
        }
        let client = open(control_address, self.timeout)?;
        if self.clients.len() >= MAX_CLIENTS {
            self.clients.clear();
        }
        self.clients.insert(control_address.to_owned(), client.clone());
        Some(client)
    }
}

/// Opens a client of a control address. Returns `None` if the address is invalid.
pub fn open(control_address: &str, timeout: Duration) -> Option<HttpClient> {
    let builder = HttpClientBuilder::default().request_timeout(timeout);
    builder.build(format!("http://{control_address}")).ok()
}

/// Opens a client of a control address with a timeout that suits full snapshots.
pub fn open_for_snapshots(control_address: &str) -> Option<HttpClient> {
    open(control_address, SNAPSHOT_TIMEOUT)
}

/// Classifies a failed call as evidence about the VM that was called.
pub fn evidence(error: &client::Error) -> membership::Evidence {
    match error {
        client::Error::Call(_) => membership::Evidence::Healthy,
        client::Error::RequestTimeout => membership::Evidence::Unreachable,
        _ => membership::Evidence::Refused,
    }
}
