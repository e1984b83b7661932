//! Who may drive a takeover of a group.
//!
//! Several proxies see a primary fail at about the same time. Two drivers at once would undo each
//! other's pauses, so a driver first writes its claim into the platform's store, under the revision
//! that it has read: of two claims one is refused. Each claim has a higher token than the one before
//! it, and the platform refuses a promote with a lower token than it has seen, so a call of an older
//! claim that is carried out late does nothing.
//!
//! The last driver goes first the next time, and others only step in when it does nothing: a driver
//! that changes with every failure would let two of them act shortly after each other.

use serde::Deserialize;
use serde::Serialize;

/// How long another holder that sees the same failure is given before its claim is taken over. It
/// needs a probe and a write to the store, some 100 ms; a second more covers a busy VM.
pub const HOLDER_GRACE_US: u64 = 1_000_000;

/// How long a takeover that is under way may stand without a change before its driver counts as
/// gone. A promote takes 600 ms at most to take effect, and each step of a driver is bounded by 1 s.
pub const DRIVER_SILENCE_US: u64 = 2_500_000;

/// How far a takeover has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its driver is at work: replicas may be paused, and a promote may be under way.
    Moving,
    /// It has ended, and no replica is paused.
    Settled,
}

/// The claim of one group as it lies in the store.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// The VM that drives, or drove last.
    pub holder: String,
    /// Grows with each claim.
    pub token: u64,
    /// How far it has come.
    pub state: ClaimState,
    /// The target that is to lead, once one was chosen.
    pub chosen: String,
}

/// A claim and when it was seen first.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SeenClaim {
    /// The claim.
    pub claim: Claim,
    /// The store's revision of it, under which it can be replaced.
    pub revision: u64,
    /// When this process first saw this revision.
    pub seen_us: u64,
}

/// What a proxy that wants a takeover does about the claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClaimStep {
    /// Write a claim with this token.
    Write {
        /// The token of the new claim.
        token: u64,
    },
    /// Leave it to the present holder for now, and look again at this time.
    LeaveUntil {
        /// The time to look again.
        at_us: u64,
    },
}

/// Decides what VM `own` does about the claim, if it has wanted a takeover since `wanted_us`.
pub fn next_claim(seen: Option<&SeenClaim>, own: &str, wanted_us: u64, now_us: u64) -> ClaimStep {
    let Some(seen) = seen else {
        return ClaimStep::Write { token: 1 };
    };
    let token = seen.claim.token + 1;
    if seen.claim.holder == own {
        return ClaimStep::Write { token };
    }
    let at_us = match seen.claim.state {
        ClaimState::Moving => seen.seen_us + DRIVER_SILENCE_US,
        ClaimState::Settled => wanted_us.max(seen.seen_us) + HOLDER_GRACE_US,
    };
    match now_us >= at_us {
        true => ClaimStep::Write { token },
        false => ClaimStep::LeaveUntil { at_us },
    }
}
