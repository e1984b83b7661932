//! Who may drive a takeover of a group, until when, and whom it may promote.
//!
//! Several proxies see a primary fail at about the same time. Two drivers at once would undo each
//! other's pauses, so a driver first writes its claim into the platform's store, under the revision
//! that it has read: of two claims one is refused. Each claim has a higher token than the one before
//! it.
//!
//! A platform that checks tokens refuses a promote with a lower one than it has seen. One that does
//! not would carry out the call of a driver that was overtaken, for instance because the store lost
//! its answers: two targets would be promoted in turn. So a claim is a lease. Its holder renews it
//! and promotes nothing once [`LEASE_US`] have passed since it sent the last write that was answered;
//! a successor waits for [`DRIVER_SILENCE_US`] since it saw that write. The holder's clock counts
//! suspension, so one that froze finds its lease over when it wakes.
//!
//! The last driver goes first the next time, and others only step in when it does nothing: a driver
//! that changes with every failure would let two of them act shortly after each other.
//!
//! A promote without an answer may be carried out seconds later. Where tokens are checked, a call with a
//! higher one settles it. Where they are not, nothing calls it back: until it can have no effect any
//! more, only the same target may be promoted, for which a late call changes nothing. So the target is
//! written into the claim before the call, and stays there for whoever drives next.

use serde::Deserialize;
use serde::Serialize;

/// How long another holder that sees the same failure is given before its claim is taken over. It
/// needs a probe and a write to the store, some 100 ms; a second more covers a busy VM.
pub const HOLDER_GRACE_US: u64 = 1_000_000;

/// How long a holder may act after it sent the last write of its claim that was answered. A promote
/// takes 600 ms at most to take effect, and each step of a driver is bounded by 700 ms.
pub const LEASE_US: u64 = 2_000_000;

/// How long a takeover that is under way may stand without a change before its driver counts as
/// gone: a lease, and a quarter of one for clocks that run at different rates and for a call that is
/// under way when the lease ends.
pub const DRIVER_SILENCE_US: u64 = 2_500_000;

/// When a holder that is still at work renews its claim, in microseconds after the last write.
pub const RENEW_US: u64 = 800_000;

/// How much of the lease has to be left for a call that promotes, in microseconds: the call's own
/// time limit, so that its connection is given up before the lease ends.
pub const PROMOTE_CALL_US: u64 = 700_000;

/// For how long a promote without an answer may still be carried out, in microseconds. The users say
/// "seconds later"; what their platform does late it does within 6 s.
pub const LATE_EFFECT_US: u64 = 10_000_000;

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
    /// The target of the last call that promotes; empty before the first one.
    pub chosen: String,
    /// Whether a call for that target got no answer, or may be under way.
    #[serde(default)]
    pub unsettled: bool,
}

impl Claim {
    /// The claim that a VM writes over `before`.
    pub fn next(before: Option<&Claim>, holder: &str, token: u64) -> Claim {
        Claim {
            holder: holder.to_owned(),
            token,
            state: ClaimState::Moving,
            chosen: before.map_or_else(String::new, |before| before.chosen.clone()),
            unsettled: before.is_some_and(|before| before.unsettled),
        }
    }
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

/// A claim that this process holds.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HeldClaim {
    /// The claim.
    pub claim: Claim,
    /// The store's revision of it.
    pub revision: u64,
    /// When the last write of it was sent that was answered.
    pub written_us: u64,
    /// Since when no call for the chosen target can have been made by anybody else; it matters while
    /// the claim is unsettled.
    pub unsettled_since_us: u64,
}

impl HeldClaim {
    /// Whether it has to be written again before the driver goes on.
    pub fn must_renew(&self, now_us: u64) -> bool {
        now_us >= self.written_us + RENEW_US
    }

    /// Whether a call that promotes may be sent now. Looked at once more when the connection stands,
    /// right before the call is written: a driver may freeze while it connects.
    pub fn may_send_promote(&self, now_us: u64) -> bool {
        now_us + PROMOTE_CALL_US <= self.written_us + LEASE_US
    }

    /// Whether a call for the chosen target may still be carried out.
    pub fn may_take_effect_late(&self, now_us: u64) -> bool {
        self.claim.unsettled && now_us < self.unsettled_since_us + LATE_EFFECT_US
    }

    /// Whether `target` may be promoted, given that the platform checks tokens or does not.
    pub fn may_promote(&self, target: &str, checks_tokens: bool, now_us: u64) -> bool {
        checks_tokens || !self.may_take_effect_late(now_us) || self.claim.chosen == target
    }
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
    WaitUntil {
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
        false => ClaimStep::WaitUntil { at_us },
    }
}
