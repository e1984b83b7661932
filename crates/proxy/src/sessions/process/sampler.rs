//! Samples the positions of primaries ahead of need.
//!
//! A read may use a position as old as its bound on staleness allows, and most replicas have reached such a
//! position. If a process sampled only when a read finds no position, the position would be new, the replicas
//! would lag behind it, and the read would go to the primary after all. With 86 VMs and 8 primaries this
//! overloaded a primary permanently. Positions are therefore sampled ahead while a service is read often, and
//! by processes that report them to others. Opening a transaction takes no slot.
//! `skylark_core::request::position_demand` decides when a sample is due.

use std::sync::Arc;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::request::sample;

/// Maximum age of a position that makes a new sample unnecessary, in microseconds.
const MAX_AGE_US: u64 = 250_000;

/// Starts to sample the positions that are due.
pub fn sample_due<C>(gateway: &Arc<Gateway<C>>)
where
    C: Codec,
{
    for service in gateway.services_to_sample() {
        tokio::spawn(sample_service(Arc::clone(gateway), service));
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
