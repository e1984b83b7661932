//! Which VMs ask the platform's store, and at what pace while it does not answer.
//!
//! A few VMs of each availability zone ask the store and tell the others, so what a fleet asks of it
//! follows from zones and changes and not from the number of VMs. The same has to hold while the store
//! does not answer: VMs that then asked by themselves would keep an outage alive, and would all be there
//! at the moment of its return. So those that ask go on trying, and the others are told that the store is
//! away as well, and that it is back.
//!
//! Somebody has to ask where that is not enough: a VM that nobody tells asks by itself, and one whose
//! tellers have no answer looks now and then whether it has a better path. Both take their part of a
//! bound for the whole fleet, reckoned from the number of VMs that they know. Their pauses have a limit,
//! because a VM that can reach the store alone must have a new version in time.
//!
//! A VM that is told passes nothing on, but for one that asks for others and is told while the store turns
//! it away. It is told only by VMs that the store itself answers. So what is told passes two VMs at most,
//! and no two that lost the store can tell each other that it answers.

use crate::process::jitter;

/// The calls a second of all VMs together that do not ask for others, while the store does not answer.
const FLEET_CALLS_PER_S: u64 = 40;

/// The longest pause of a VM whose tellers say that the store is away, in microseconds. It learns a version
/// late by as much if the store answers only itself; versions have to be in force within 6 s in fleets that
/// are large enough to come near this.
const UNAVAILABLE_LIMIT_US: u64 = 4_000_000;

/// The longest pause of a VM that nobody tells, in microseconds: for it there is no other way to learn
/// that the store is back.
const NO_PEER_LIMIT_US: u64 = 2_500_000;

/// The same while the number of VMs is not known, as after a start.
const START_LIMIT_US: u64 = 1_200_000;

/// The pause after the first calls without an answer, in microseconds: most failures are over then.
const INITIAL_PAUSE_US: u64 = 60_000;

/// How often the first pause of a VM that nobody tells is doubled at most. In a large fleet the first one is
/// longer, because all of its VMs may be alone at the same moment.
const MAX_DOUBLINGS: u32 = 4;

/// How many calls in a row are tried again after the first pause by a VM that asks for others.
const QUICK_RETRIES: u32 = 3;

/// The pause of a VM that asks for others, in microseconds: all learn from it that the store is back.
const DIRECT_PAUSE_US: u64 = 300_000;

/// For how long a VM that is told no longer looks for another one that tells before it asks by itself,
/// in microseconds: a start of all VMs, or the loss of one that told many, is over by then.
const PEER_SEARCH_US: u64 = 600_000;

/// How a VM comes by what the store says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StoreAccess {
    /// It asks the store, for itself and for those that it tells.
    Direct,
    /// Another VM tells it.
    ViaPeer,
    /// Another VM tells it that the store does not answer.
    ViaPeerUnavailable,
    /// Nobody tells it.
    NoPeer,
}

/// What one VM tells another of the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StoreStatus {
    /// The store answers the teller.
    Answers,
    /// The store turns the teller away, and answers one that tells it.
    Relayed,
    /// Neither.
    Unavailable,
}

/// How a VM stands that asks for others, or else has this from the one that tells it.
pub fn store_access(polls_store: bool, peer_status: Option<StoreStatus>) -> StoreAccess {
    match peer_status {
        _ if polls_store => StoreAccess::Direct,
        None => StoreAccess::NoPeer,
        Some(StoreStatus::Answers | StoreStatus::Relayed) => StoreAccess::ViaPeer,
        Some(StoreStatus::Unavailable) => StoreAccess::ViaPeerUnavailable,
    }
}

/// What a VM tells others, given whether the store answers it, and what one says that helps it meanwhile.
pub fn status_for_peers(store_answers: bool, helper: Option<StoreStatus>) -> StoreStatus {
    match helper {
        _ if store_answers => StoreStatus::Answers,
        Some(StoreStatus::Answers) => StoreStatus::Relayed,
        // What a helper has from others might come from this VM itself.
        Some(StoreStatus::Relayed | StoreStatus::Unavailable) | None => StoreStatus::Unavailable,
    }
}

/// How long a VM that is told no longer waits before it asks by itself, in microseconds.
pub fn direct_call_delay_us(store_access: StoreAccess, vms: usize, seed: u64) -> u64 {
    let direct_call_delay_us = jitter::upper_half_us(seed, 0, PEER_SEARCH_US);
    match store_access {
        StoreAccess::Direct => 0,
        StoreAccess::ViaPeer | StoreAccess::NoPeer => direct_call_delay_us,
        // All of them are told at the same moment.
        StoreAccess::ViaPeerUnavailable => {
            direct_call_delay_us + jitter::below_us(seed, 1, unavailable_pause_us(vms))
        }
    }
}

/// The pause after so many calls in a row that were not answered, in microseconds. `vms` is zero while
/// the number of VMs is not known.
pub fn retry_pause_us(store_access: StoreAccess, vms: usize, failures: u32, seed: u64) -> u64 {
    let step = u64::from(failures);
    match store_access {
        StoreAccess::Direct if failures <= QUICK_RETRIES => INITIAL_PAUSE_US,
        StoreAccess::Direct => DIRECT_PAUSE_US,
        StoreAccess::ViaPeer | StoreAccess::ViaPeerUnavailable => {
            jitter::upper_half_us(seed, step, unavailable_pause_us(vms))
        }
        StoreAccess::NoPeer => {
            let first_us = INITIAL_PAUSE_US.max(fleet_pause_us(vms) >> MAX_DOUBLINGS);
            let doubled_us = first_us << failures.saturating_sub(1).min(MAX_DOUBLINGS);
            jitter::upper_half_us(seed, step, doubled_us.min(no_peer_limit_us(vms)))
        }
    }
}

fn unavailable_pause_us(vms: usize) -> u64 {
    fleet_pause_us(vms).min(UNAVAILABLE_LIMIT_US)
}

fn no_peer_limit_us(vms: usize) -> u64 {
    if vms == 0 {
        return START_LIMIT_US;
    }
    fleet_pause_us(vms).min(NO_PEER_LIMIT_US)
}

/// The pause with which so many VMs together make [`FLEET_CALLS_PER_S`] calls.
fn fleet_pause_us(vms: usize) -> u64 {
    (vms as u64 * 1_000_000 / FLEET_CALLS_PER_S).max(DIRECT_PAUSE_US)
}
