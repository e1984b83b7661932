//! Samples the positions of primaries ahead of need.
//!
//! A read may use a position as old as its bound on staleness allows, and most replicas have reached such a
//! position. If a process sampled only when a read finds no position, the position would be new, the replicas
//! would lag behind it, and the read would go to the primary after all. With 86 VMs and 8 primaries this
//! overloaded a primary permanently. Positions are therefore sampled ahead while a service is read often, and
//! by processes that report them to others. Opening a transaction takes no slot.
//! `skylark_core::request::position_demand` decides when a sample is due.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::request::sample;

/// How often the services are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum age of a position that makes a new sample unnecessary, in microseconds.
const MAX_AGE_US: u64 = 250_000;

/// Samples positions for as long as the process runs.
pub async fn run<C>(gateway: Arc<Gateway<C>>)
where
    C: Codec,
{
    let mut ticks = time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for service in gateway.services_to_sample() {
            tokio::spawn(sample_service(Arc::clone(&gateway), service));
        }
    }
}

async fn sample_service<C>(gateway: Arc<Gateway<C>>, service: Arc<str>)
where
    C: Codec,
{
    let state = gateway.service(&service);
    let Some(_sampling) = state.sampling_flight.begin() else { return };
    // Without a sample the next read takes one, or is served by the primary.
    let _ = sample::sample(&gateway, &service, MAX_AGE_US).await;
}
