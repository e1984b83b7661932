//! Calls to other proxies.

use std::time::Duration;

use jsonrpsee::core::client;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use skylark_core::FastMap;
use skylark_core::process::membership;
use skylark_core::version::spreading;

/// How many clients are kept. Each holds its connection open between calls.
const MAX_CLIENTS: usize = 32;

/// The time limit of a call for a whole snapshot: as long as a pull is waited for. With the limit of short
/// calls, 0.5 s, a proxy behind a slow link never caught up, nor had a first version from its peers.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_micros(spreading::PULL_TIMEOUT_US);

/// Opens clients of control addresses, and keeps the latest ones.
#[derive(Debug)]
pub struct PeerClients {
    timeout: Duration,
    clients: FastMap<String, HttpClient>,
}

impl PeerClients {
    /// Clients whose calls take up to `timeout`.
    pub fn new(timeout: Duration) -> PeerClients {
        PeerClients { timeout, clients: FastMap::default() }
    }

    /// The client of a control address; nothing where the address can't be one.
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

/// A client of one control address; nothing where the address can't be one.
pub fn open(control_address: &str, timeout: Duration) -> Option<HttpClient> {
    let builder = HttpClientBuilder::default().request_timeout(timeout);
    builder.build(format!("http://{control_address}")).ok()
}

/// A client of one control address for calls for a whole snapshot.
pub fn open_for_snapshots(control_address: &str) -> Option<HttpClient> {
    open(control_address, SNAPSHOT_TIMEOUT)
}

/// What a failed call says about the VM that was called.
pub fn evidence(error: &client::Error) -> membership::Evidence {
    match error {
        client::Error::Call(_) => membership::Evidence::Healthy,
        client::Error::RequestTimeout => membership::Evidence::Unreachable,
        _ => membership::Evidence::Refused,
    }
}
