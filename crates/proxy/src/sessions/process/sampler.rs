//! Keeps positions of the primaries at hand that are neither too old nor too new.
//!
//! A read may see a position that is as old as its bound on age allows, and most replicas have
//! reached that. Where a process asks a primary only when a read has no position left, the only
//! position that it gets is new, the replicas lag behind it, and the read goes to the primary after
//! all. With 86 VMs before 8 primaries that overran a primary for the whole day. So a position is
//! brought every half second while a service is read; opening a transaction takes no slot.

use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::request::sample;

/// How often the services are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How old the newest position may become, in microseconds: a third of the shortest bound on age
/// that the users have.
const SPACING_US: u64 = 500_000;

/// For how long after a read positions are brought, in microseconds.
const USED_US: u64 = 4_000_000;

/// Brings positions for ever.
pub async fn run<C>(gateway: Arc<Gateway<C>>)
where
    C: Codec,
{
    let mut looks = time::interval(LOOK_INTERVAL);
    looks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let now_us = gateway.clock.now_us();
        for (service, state) in gateway.services() {
            let is_used = now_us < state.read_us() + USED_US;
            let newest_us = state.positions.lock().newest().map_or(0, |newest| newest.taken_us);
            if is_used && now_us >= newest_us + SPACING_US {
                tokio::spawn(bring(Arc::clone(&gateway), service));
            }
        }
    }
}

async fn bring<C>(gateway: Arc<Gateway<C>>, service: Arc<str>)
where
    C: Codec,
{
    let state = gateway.service(&service);
    let Some(_sampling) = state.sampling.begin() else { return };
    // Without a position the next read brings one, or is served by the primary.
    let _ = sample::sample(&gateway, &service).await;
}
