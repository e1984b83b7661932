//! Where reads were served, from the proxies' counters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::request::routing::ReadReason;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::client;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Counters of all proxies together, by name.
pub type CounterSums = BTreeMap<String, u64>;

/// Adds the counters of all proxies that answer.
pub async fn counters(control_addresses: &[SocketAddr]) -> CounterSums {
    let mut sums = CounterSums::new();
    for address in control_addresses {
        let Some(client) = client::open(&address.to_string(), CALL_TIMEOUT) else { continue };
        let Ok(status) = client.status().await else { continue };
        for (name, value) in status.counters {
            *sums.entry(name).or_default() += value;
        }
    }
    sums
}

/// How much each counter grew. A proxy that was restarted counts from zero again, so growth is
/// never below zero.
pub fn growth(before: &CounterSums, after: &CounterSums) -> CounterSums {
    after
        .iter()
        .map(|(name, value)| {
            let known = before.get(name).copied().unwrap_or(0);
            (name.clone(), value.saturating_sub(known))
        })
        .collect()
}

/// Where declared reads were served.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct ReplicaShare {
    /// Declared reads that were decided.
    pub reads: u64,
    /// Those that a replica served.
    pub at_replicas: u64,
    /// Those that a replica was fit to serve.
    pub eligible: u64,
    /// All of them by reason.
    pub by_reason: BTreeMap<String, u64>,
}

impl ReplicaShare {
    /// Sorts the counters of a stretch of time.
    pub fn of(counters: &CounterSums) -> ReplicaShare {
        let mut share = ReplicaShare::default();
        for reason in ReadReason::ALL {
            let count = counters.get(&format!("reads.{}", reason.name())).copied().unwrap_or(0);
            // A read that waits is counted again when it is served or refused.
            let waits = matches!(reason, ReadReason::WaitForFloor | ReadReason::WaitForAge);
            if count == 0 || waits {
                continue;
            }
            share.reads += count;
            share.at_replicas += if reason.is_replica() { count } else { 0 };
            share.eligible += if reason.is_eligible() { count } else { 0 };
            share.by_reason.insert(reason.name().to_owned(), count);
        }
        share
    }

    /// The replicas' share of all declared reads; none without reads.
    pub fn of_all(&self) -> Option<f64> {
        (self.reads > 0).then(|| self.at_replicas as f64 / self.reads as f64)
    }

    /// The replicas' share of the reads that a replica was fit to serve; none without such reads.
    pub fn of_eligible(&self) -> Option<f64> {
        (self.eligible > 0).then(|| self.at_replicas as f64 / self.eligible as f64)
    }
}
