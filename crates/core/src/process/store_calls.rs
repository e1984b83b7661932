//! Decides which VMs call the platform's store, and how often while it does not answer.
//!
//! A few VMs of each availability zone poll the store and pass its contents on to the others, so
//! the load of a fleet on the store depends on zones and changes, not on the number of VMs. The
//! same must hold while the store does not answer: if all other VMs then called it directly, they
//! would prolong the outage, and would all call at the moment of recovery. So the polling VMs keep
//! trying, and the others learn from them that the store is unavailable, and that it is available
//! again.
//!
//! Some other VMs must call the store as well: a VM that no peer serves calls it directly, and a VM
//! whose peers get no answer checks from time to time whether it has a better path itself. Both
//! share a limit on the calls of the whole fleet, computed from the number of VMs that they know.
//! Their pauses are bounded, because a VM that is the only one to reach the store must still
//! receive a new version in time.
//!
//! A VM that is served by a peer passes nothing on, except for a polling VM that the store refuses
//! and that a peer serves meanwhile. Such a VM is served only by VMs that the store itself answers.
//! So information passes through at most two VMs, and no two VMs that lost the store can report to
//! each other that it answers.

use crate::process::jitter;

/// The limit on the calls per second of all non-polling VMs together while the store does not
/// answer.
const FLEET_CALLS_PER_S: u64 = 40;

/// The longest pause of a VM whose peers report that the store is unavailable, in microseconds. If
/// the store answers only this VM, it receives a version late by this much; versions must be in
/// force within 6 s in fleets that are large enough to reach this limit.
const UNAVAILABLE_LIMIT_US: u64 = 4_000_000;

/// The longest pause of a VM without a peer, in microseconds: it has no other way to learn that the
/// store is available again.
const NO_PEER_LIMIT_US: u64 = 2_500_000;

/// The longest pause of a VM without a peer while the number of VMs is unknown, as after a start,
/// in microseconds.
const START_LIMIT_US: u64 = 1_200_000;

/// The pause after the first unanswered calls, in microseconds. Most failures are over by then.
const INITIAL_PAUSE_US: u64 = 60_000;

/// The maximum number of times that the first pause of a VM without a peer doubles. In a large
/// fleet the first pause is longer, because all of its VMs may be without a peer at the same time.
const MAX_DOUBLINGS: u32 = 4;

/// The number of consecutive failed calls that a polling VM retries after the initial pause.
const QUICK_RETRIES: u32 = 3;

/// The pause of a polling VM, in microseconds. It is short because all other VMs learn from the
/// polling VMs that the store is available again.
const DIRECT_PAUSE_US: u64 = 300_000;

/// How long a VM that lost its peer looks for another one before it calls the store directly, in
/// microseconds. A start of all VMs, or the loss of a peer that served many VMs, is over by then.
const PEER_SEARCH_US: u64 = 600_000;

/// How a VM receives the contents of the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StoreAccess {
    /// It polls the store, for itself and for the VMs that it serves.
    Direct,
    /// Another VM serves it.
    ViaPeer,
    /// Another VM serves it and reports that the store does not answer.
    ViaPeerUnavailable,
    /// No VM serves it.
    NoPeer,
}

/// What one VM reports to another about the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StoreStatus {
    /// The store answers the reporting VM.
    Answers,
    /// The store refuses the reporting VM, but answers a VM that serves it.
    Relayed,
    /// The store answers neither.
    Unavailable,
}

/// Returns how a VM receives the contents of the store, given whether it polls and what its peer
/// reports, if it has one.
pub fn store_access(polls_store: bool, peer_status: Option<StoreStatus>) -> StoreAccess {
    match peer_status {
        _ if polls_store => StoreAccess::Direct,
        None => StoreAccess::NoPeer,
        Some(StoreStatus::Answers | StoreStatus::Relayed) => StoreAccess::ViaPeer,
        Some(StoreStatus::Unavailable) => StoreAccess::ViaPeerUnavailable,
    }
}

/// Returns what a VM reports to the VMs that it serves. `store_answers` says whether the store
/// answers it, and `helper` is the report of a peer that serves it meanwhile.
pub fn status_for_peers(store_answers: bool, helper: Option<StoreStatus>) -> StoreStatus {
    match helper {
        _ if store_answers => StoreStatus::Answers,
        Some(StoreStatus::Answers) => StoreStatus::Relayed,
        // A helper's second-hand information might come from this VM itself.
        Some(StoreStatus::Relayed | StoreStatus::Unavailable) | None => StoreStatus::Unavailable,
    }
}

/// Returns how long a VM that lost its peer waits before it calls the store directly, in
/// microseconds.
pub fn direct_call_delay_us(store_access: StoreAccess, vms: usize, seed: u64) -> u64 {
    let search_us = jitter::upper_half_us(seed, 0, PEER_SEARCH_US);
    match store_access {
        StoreAccess::Direct => 0,
        StoreAccess::ViaPeer | StoreAccess::NoPeer => search_us,
        // All of these VMs learn of the outage at the same time, so their calls are spread.
        StoreAccess::ViaPeerUnavailable => {
            search_us + jitter::below_us(seed, 1, unavailable_pause_us(vms))
        }
    }
}

/// Returns the pause after this number of consecutive unanswered calls, in microseconds. `vms` is
/// zero while the number of VMs is unknown.
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

/// Returns the pause with which this number of VMs together make [`FLEET_CALLS_PER_S`] calls.
fn fleet_pause_us(vms: usize) -> u64 {
    (vms as u64 * 1_000_000 / FLEET_CALLS_PER_S).max(DIRECT_PAUSE_US)
}
