//! Keeps positions of the primaries at hand that are neither too old nor too new.
//!
//! A read may see a position that is as old as its bound on age allows, and most replicas have
//! reached that. Where a process asks a primary only when a read has no position left, the only
//! position that it gets is new, the replicas lag behind it, and the read goes to the primary after
//! all. With 86 VMs before 8 primaries that overran a primary for the whole day. So positions are
//! brought ahead while a service is read often, and by those that tell others; opening a transaction takes
//! no slot. When that is, `skylark_core::request::position_demand` decides.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::request::sample;

/// How often the services are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How old a position may be that is brought ahead, in microseconds.
const MAX_AGE_US: u64 = 250_000;

/// Brings positions for ever.
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
    // Without a position the next read brings one, or is served by the primary.
    let _ = sample::sample(&gateway, &service, MAX_AGE_US).await;
}
