//! The distribution of declared reads over primary and replicas, from the proxies' counters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::request::routing::ReadReason;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::client;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The sums of the counters over all proxies, by counter name.
pub type CounterSums = BTreeMap<String, u64>;

/// Sums the counters of all proxies that respond. Others are skipped.
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

/// Returns the increase of each counter.
///
/// A restarted proxy counts from zero again, which can lower a sum. Its increase then is 0.
pub fn growth(before: &CounterSums, after: &CounterSums) -> CounterSums {
    after
        .iter()
        .map(|(name, value)| {
            let known = before.get(name).copied().unwrap_or(0);
            (name.clone(), value.saturating_sub(known))
        })
        .collect()
}

/// Declared reads by whether a replica served them or could have.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct ReplicaShare {
    /// The number of declared reads with a final routing decision.
    pub reads: u64,
    /// The number of these reads that a replica served.
    pub at_replicas: u64,
    /// The number of these reads that a replica was eligible to serve.
    pub eligible: u64,
    /// The number of these reads by the reason of the routing decision.
    pub by_reason: BTreeMap<String, u64>,
}

impl ReplicaShare {
    /// Computes the shares from the counters' increase over a period.
    pub fn of(counters: &CounterSums) -> ReplicaShare {
        let mut share = ReplicaShare::default();
        for reason in ReadReason::ALL {
            let count = counters.get(&format!("reads.{}", reason.name())).copied().unwrap_or(0);
            // A waiting read is counted again when it is served or refused.
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

    /// Returns the fraction of all declared reads served by replicas, or `None` without reads.
    pub fn of_all(&self) -> Option<f64> {
        (self.reads > 0).then(|| self.at_replicas as f64 / self.reads as f64)
    }

    /// Returns reads served by replicas divided by reads that a replica was eligible to serve, or `None`
    /// without eligible reads.
    pub fn of_eligible(&self) -> Option<f64> {
        (self.eligible > 0).then(|| self.at_replicas as f64 / self.eligible as f64)
    }
}
