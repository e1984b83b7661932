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
const AWAY_LIMIT_US: u64 = 4_000_000;

/// The longest pause of a VM that nobody tells, in microseconds: for it there is no other way to learn
/// that the store is back.
const ALONE_LIMIT_US: u64 = 2_500_000;

/// The same while the number of VMs is not known, as after a start.
const START_LIMIT_US: u64 = 1_200_000;

/// The pause after the first calls without an answer, in microseconds: most failures are over then.
const FIRST_PAUSE_US: u64 = 60_000;

/// How often the first pause of a VM that nobody tells is doubled at most. In a large fleet the first one is
/// longer, because all of its VMs may be alone at the same moment.
const MAX_DOUBLINGS: u32 = 4;

/// How many calls in a row are tried again after the first pause by a VM that asks for others.
const QUICK_RETRIES: u32 = 3;

/// The pause of a VM that asks for others, in microseconds: all learn from it that the store is back.
const ASKER_PAUSE_US: u64 = 300_000;

/// For how long a VM that is told no longer looks for another one that tells before it asks by itself,
/// in microseconds: a start of all VMs, or the loss of one that told many, is over by then.
const PATIENCE_US: u64 = 600_000;

/// How a VM comes by what the store says.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Standing {
    /// It asks the store, for itself and for those that it tells.
    Asks,
    /// Another VM tells it.
    Told,
    /// Another VM tells it that the store does not answer.
    ToldAway,
    /// Nobody tells it.
    Alone,
}

/// What one VM tells another of the store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StoreNews {
    /// The store answers the teller.
    Answers,
    /// The store turns the teller away, and answers one that tells it.
    Relayed,
    /// Neither.
    Away,
}

/// How a VM stands that asks for others, or else has this from the one that tells it.
pub fn standing(asks: bool, told: Option<StoreNews>) -> Standing {
    match told {
        _ if asks => Standing::Asks,
        None => Standing::Alone,
        Some(StoreNews::Answers | StoreNews::Relayed) => Standing::Told,
        Some(StoreNews::Away) => Standing::ToldAway,
    }
}

/// What a VM tells others, given whether the store answers it, and what one says that helps it meanwhile.
pub fn news(store_answers: bool, helper: Option<StoreNews>) -> StoreNews {
    match helper {
        _ if store_answers => StoreNews::Answers,
        Some(StoreNews::Answers) => StoreNews::Relayed,
        // What a helper has from others might come from this VM itself.
        Some(StoreNews::Relayed | StoreNews::Away) | None => StoreNews::Away,
    }
}

/// How long a VM that is told no longer waits before it asks by itself, in microseconds.
pub fn patience_us(standing: Standing, vms: usize, seed: u64) -> u64 {
    let patience_us = jitter::upper_half_us(seed, 0, PATIENCE_US);
    match standing {
        Standing::Asks => 0,
        Standing::Told | Standing::Alone => patience_us,
        // All of them are told at the same moment.
        Standing::ToldAway => patience_us + jitter::below_us(seed, 1, away_pause_us(vms)),
    }
}

/// The pause after so many calls in a row that were not answered, in microseconds. `vms` is zero while
/// the number of VMs is not known.
pub fn retry_pause_us(standing: Standing, vms: usize, failures: u32, seed: u64) -> u64 {
    let step = u64::from(failures);
    match standing {
        Standing::Asks if failures <= QUICK_RETRIES => FIRST_PAUSE_US,
        Standing::Asks => ASKER_PAUSE_US,
        Standing::Told | Standing::ToldAway => {
            jitter::upper_half_us(seed, step, away_pause_us(vms))
        }
        Standing::Alone => {
            let first_us = FIRST_PAUSE_US.max(part_us(vms) >> MAX_DOUBLINGS);
            let doubled_us = first_us << failures.saturating_sub(1).min(MAX_DOUBLINGS);
            jitter::upper_half_us(seed, step, doubled_us.min(alone_limit_us(vms)))
        }
    }
}

fn away_pause_us(vms: usize) -> u64 {
    part_us(vms).min(AWAY_LIMIT_US)
}

fn alone_limit_us(vms: usize) -> u64 {
    if vms == 0 {
        return START_LIMIT_US;
    }
    part_us(vms).min(ALONE_LIMIT_US)
}

/// The pause with which so many VMs together make [`FLEET_CALLS_PER_S`] calls.
fn part_us(vms: usize) -> u64 {
    (vms as u64 * 1_000_000 / FLEET_CALLS_PER_S).max(ASKER_PAUSE_US)
}
