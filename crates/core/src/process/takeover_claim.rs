//! Decides which proxy may drive a takeover of a group, for how long, and which target it may
//! promote.
//!
//! Several proxies detect the failure of a primary at about the same time. Two concurrent drivers
//! would undo each other's pauses, so a driver first writes its claim to the platform's store,
//! conditional on the revision that it has read: of two concurrent claims one is refused. Each
//! claim has a higher token than the previous one.
//!
//! A platform that checks tokens refuses a promotion with a lower token than one it has already
//! received. One that does not check them would execute the call of a driver that was superseded,
//! for instance because the answers of the store to that driver were lost: two targets would be
//! promoted in turn. So a claim is a lease. Its holder renews it, and promotes nothing once
//! [`LEASE_US`] have passed since it sent the last write that was answered; a successor waits for
//! [`DRIVER_SILENCE_US`] since it saw that write. The holder's clock includes suspended time, so a
//! holder that was frozen finds its lease expired when it resumes.
//!
//! The last driver may claim first the next time, and others claim only if it does nothing: if the
//! driver changed with every failure, two drivers could act shortly after each other.
//!
//! A promotion is under way from its call until it takes effect. An accepted one takes effect some
//! hundred milliseconds later, whoever leads then: a call for the present primary changes nothing only
//! if that one still leads. One without an answer may be executed seconds later. If tokens are checked,
//! an accepted call with a higher token makes it ineffective, unless it was accepted itself shortly
//! before. If they are not, it can't be cancelled: until it can have no effect any more, only the same
//! target may be promoted, for which a late call changes nothing. So the target is written to the claim
//! before the call, and kept for the next driver.
//!
//! A store that is restored from a backup may lose claims, together with their tokens and what they
//! say of promotion calls. Three rules hold then:
//!
//! - The store's generation is part of each token, so that the tokens of a restored store are higher
//!   than all that were lost.
//! - Where a claim may have been lost, its holder may still act. A successor waits for
//!   [`DRIVER_SILENCE_US`] since it first saw the generation: the lost write was answered before.
//! - A lost claim may have been about a promotion call that can still be executed, for an unknown
//!   target. The next claim is therefore unsettled without a target, for [`LATE_EFFECT_US`].

use serde::Deserialize;
use serde::Serialize;

use crate::process::jitter;
use crate::store_revision::SeenGeneration;
use crate::store_revision::StoreRevision;

/// How long another VM that detects the same failure leaves the takeover to the last driver, in
/// microseconds. The last driver needs a probe and a write to the store, some 100 ms; one second
/// covers a busy VM.
pub const HOLDER_GRACE_US: u64 = 1_000_000;

/// How long a holder may act after it sent the last answered write of its claim, in microseconds. A
/// promotion takes at most 600 ms to take effect, and each step of a driver is limited to 700 ms.
pub const LEASE_US: u64 = 2_000_000;

/// How long a takeover in progress may be without a change before its driver counts as failed, in
/// microseconds: the lease, and a quarter of it for clocks that run at different rates and for a
/// call that is in progress when the lease ends.
pub const DRIVER_SILENCE_US: u64 = 2_500_000;

/// When an active holder renews its claim, in microseconds after the last write.
pub const RENEW_US: u64 = 800_000;

/// How much of the lease must be left for a promotion call, in microseconds. This is the time limit
/// of the call, so that its connection is closed before the lease ends.
pub const PROMOTE_CALL_US: u64 = 700_000;

/// How long a promotion without an answer may still be executed, in microseconds. The platform
/// executes late calls within 12 s.
pub const LATE_EFFECT_US: u64 = 14_000_000;

/// How long after its acceptance a promotion may take effect, in microseconds. It usually takes 300 to
/// 600 ms.
pub const PROMOTION_EFFECT_US: u64 = 1_000_000;

/// How long a process that waits for one takeover of another driver leaves the claim unread, in
/// microseconds.
const POLL_US: u64 = 300_000;

/// The delays after the first refusal of an overloaded platform, and the longest delay, in
/// microseconds.
const OVERLOADED_US: u64 = 120_000;
const MAX_OVERLOADED_US: u64 = 1_000_000;

/// The progress of a takeover.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The driver is active: replicas may be paused, and a promotion may be in progress.
    Moving,
    /// The takeover has ended, and no replica is paused.
    Settled,
}

/// The claim of one group, as stored.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Claim {
    /// The name of the VM that is the driver, or was the last one.
    pub holder: String,
    /// The token of the claim, which increases with each claim.
    pub token: u64,
    /// The progress of the takeover.
    pub state: ClaimState,
    /// The target of the last promotion call; empty before the first one, if it is unknown, or if calls
    /// for several targets may be under way.
    pub chosen: String,
    /// Whether a promotion call for that target got no answer or may be in progress.
    #[serde(default)]
    pub unsettled: bool,
    /// How often the holder has written the claim. The store gives an unchanged object no new
    /// revision, so that a renewal would not be seen without it.
    #[serde(default)]
    pub writes: u64,
}

impl Claim {
    /// Returns the claim that a VM writes over `before`. It keeps the target of the last promotion
    /// call.
    pub fn next(before: Option<&Claim>, holder: &str, token: u64) -> Claim {
        Claim {
            holder: holder.to_owned(),
            token,
            state: ClaimState::Moving,
            chosen: before.map_or_else(String::new, |before| before.chosen.clone()),
            unsettled: before.is_some_and(|before| before.unsettled),
            writes: 0,
        }
    }

    /// Returns the claim that a VM writes where the store may have lost one. Unless that was long ago,
    /// calls for any target may still be executed.
    pub fn after_loss(holder: &str, token: u64, generation: &SeenGeneration, now_us: u64) -> Claim {
        let unsettled = now_us < generation.since_us + LATE_EFFECT_US;
        Claim { unsettled, ..Claim::next(None, holder, token) }
    }
}

/// A claim read from the store, and when it was first seen.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SeenClaim {
    /// The claim.
    pub claim: Claim,
    /// The store's revision of the claim, on which replacing it is conditional.
    pub revision: StoreRevision,
    /// The time at which this process first saw this revision.
    pub seen_us: u64,
}

impl SeenClaim {
    /// Returns whether the claim was made before the store was restored, so that the store may have
    /// lost later ones.
    pub fn is_outdated(&self, generation: &SeenGeneration) -> bool {
        StoreRevision::generation_of_token(self.claim.token) < generation.number
    }
}

/// Returns whether the store may have lost a claim that is newer than the one in the store.
pub fn may_be_lost(seen: Option<&SeenClaim>, generation: &SeenGeneration) -> bool {
    seen.map_or(generation.follows_another, |seen| seen.is_outdated(generation))
}

/// A claim that this process holds.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HeldClaim {
    /// The claim as last written.
    pub claim: Claim,
    /// The store's revision of the claim.
    pub revision: StoreRevision,
    /// The time at which the last answered write of the claim was sent.
    pub written_us: u64,
    /// The time from which no promotion call can take effect; zero if none is under way.
    pub settles_us: u64,
    /// Whether all calls that are under way were accepted, so that none of them can be fenced off.
    pub is_fenced: bool,
}

impl HeldClaim {
    /// Returns whether the claim must be renewed before the driver proceeds.
    pub fn must_renew(&self, now_us: u64) -> bool {
        now_us >= self.written_us + RENEW_US
    }

    /// Returns whether a promotion call may be sent now. This must be checked again after
    /// connecting, immediately before the call is written: the driver may have been frozen while it
    /// connected.
    pub fn may_send_promote(&self, now_us: u64) -> bool {
        now_us + PROMOTE_CALL_US <= self.written_us + LEASE_US
    }

    /// Returns whether a call for the chosen target may still take effect.
    pub fn may_take_effect_late(&self, now_us: u64) -> bool {
        now_us < self.settles_us
    }

    /// Returns the claim that has to be written before a call that promotes `target`. While a call for
    /// another target is under way, the claim names none, since it has room for one.
    pub fn before_call(&self, target: &str, now_us: u64) -> Claim {
        let chosen = match self.another_may_be_promoted(target, now_us) {
            true => String::new(),
            false => target.to_owned(),
        };
        Claim { chosen, unsettled: true, ..self.claim.clone() }
    }

    /// Records how a promotion call ended at `now_us`.
    ///
    /// The platform has only seen this claim's token if it accepted the call; raising the token in the
    /// claim fences off nothing.
    pub fn record_call(&mut self, end: PromoteEnd, checks_tokens: bool, now_us: u64) {
        let is_under_way = self.may_take_effect_late(now_us);
        match end {
            PromoteEnd::Accepted => {
                let is_unanswered = is_under_way && !self.is_fenced && !checks_tokens;
                let earlier_us = if is_unanswered { self.settles_us } else { 0 };
                self.settles_us = earlier_us.max(now_us + PROMOTION_EFFECT_US);
                self.is_fenced = !is_unanswered;
            }
            PromoteEnd::NotCarriedOut => (),
            PromoteEnd::Unknown => {
                self.settles_us = now_us + LATE_EFFECT_US;
                self.is_fenced = false;
            }
        }
        self.claim.unsettled = self.may_take_effect_late(now_us);
    }

    /// Records that no call is under way any more.
    pub fn settle(&mut self) {
        self.settles_us = 0;
        self.is_fenced = false;
        self.claim.unsettled = false;
    }

    /// Returns whether a call that may still be executed would make `primary`, which is to be replaced,
    /// the primary again after it stepped down. Such a call has to be fenced off first, by a call for
    /// the same target, which changes nothing as long as that one leads.
    pub fn must_fence_off(&self, primary: &str, checks_tokens: bool, now_us: u64) -> bool {
        checks_tokens && !self.is_fenced && self.may_promote_late(primary, now_us)
    }

    /// Returns whether a call that is under way may promote `target`.
    pub fn may_promote_late(&self, target: &str, now_us: u64) -> bool {
        let may_be_for_target = self.claim.chosen == target || self.claim.chosen.is_empty();
        self.may_take_effect_late(now_us) && may_be_for_target
    }

    /// Returns whether an earlier call may still promote another target than `target`.
    pub fn another_may_be_promoted(&self, target: &str, now_us: u64) -> bool {
        self.may_take_effect_late(now_us) && self.claim.chosen != target
    }

    /// Returns whether `target` may be promoted, depending on whether the platform checks tokens.
    pub fn may_promote(&self, target: &str, checks_tokens: bool, now_us: u64) -> bool {
        checks_tokens || !self.another_may_be_promoted(target, now_us)
    }
}

/// How a promotion call ended, as far as earlier calls are concerned.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PromoteEnd {
    /// The platform accepted the call.
    Accepted,
    /// The call was refused or not sent. The platform need not have recorded its token.
    NotCarriedOut,
    /// No answer arrived, so that the call itself may still be executed.
    Unknown,
}

/// What a proxy that wants to drive a takeover does about the claim.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ClaimStep {
    /// Write a new claim.
    Write {
        /// The token of the new claim.
        token: u64,
    },
    /// Leave the takeover to the present holder, and check again later.
    WaitUntil {
        /// The time of the next check.
        at_us: u64,
    },
}

/// Returns the next step of the VM `own`, which has wanted a takeover since `wanted_us`. `seen` is the
/// claim as the store has it in `generation`.
pub fn next_claim(
    seen: Option<&SeenClaim>,
    own: &str,
    generation: &SeenGeneration,
    wanted_us: u64,
    now_us: u64,
) -> ClaimStep {
    let (token, at_us) = match seen.filter(|seen| !seen.is_outdated(generation)) {
        None => after_restore(seen, generation),
        Some(seen) => {
            let at_us = match seen.claim.state {
                _ if seen.claim.holder == own => now_us,
                ClaimState::Moving => seen.seen_us + DRIVER_SILENCE_US,
                ClaimState::Settled => wanted_us.max(seen.seen_us) + HOLDER_GRACE_US,
            };
            // Another writer may have stored the highest number.
            (seen.claim.token.saturating_add(1), at_us)
        }
    };
    match now_us >= at_us {
        true => ClaimStep::Write { token },
        false => ClaimStep::WaitUntil { at_us },
    }
}

/// Returns the token and the earliest time of a claim where the store has none of this generation. That
/// holds for the last driver too, since a lost claim may have been another's.
fn after_restore(seen: Option<&SeenClaim>, generation: &SeenGeneration) -> (u64, u64) {
    let since_us = generation.since_us;
    // A write from before the restore that was executed after it may have replaced a claim of this
    // generation. The object's revision is higher than the token of that claim.
    let number = seen.map_or(0, |seen| seen.revision.number());
    let token = StoreRevision::new(generation.number, number).as_token() + 1;
    let seen_us = seen.map_or(0, |seen| seen.seen_us);
    (token, seen_us.clamp(since_us, since_us + LATE_EFFECT_US) + DRIVER_SILENCE_US)
}

/// Returns the claim that a VM writes over `seen` with `token`, and the time from which no promotion call can
/// take effect; zero if none is under way.
///
/// Calls of the previous holder had reached the platform before its claim was silent for long enough to
/// be taken over, and those of a lost claim before the store was restored.
pub fn claim_over(
    seen: Option<&SeenClaim>,
    own: &str,
    token: u64,
    generation: &SeenGeneration,
    now_us: u64,
) -> (Claim, u64) {
    let (claim, called_us) = match may_be_lost(seen, generation) {
        true => (Claim::after_loss(own, token, generation, now_us), generation.since_us),
        false => (Claim::next(seen.map(|seen| &seen.claim), own, token), now_us),
    };
    let settles_us = if claim.unsettled { called_us + LATE_EFFECT_US } else { 0 };
    (claim, settles_us)
}

/// Returns how long a process waits before it reads the claim of another driver again, in
/// microseconds. `waiting` is the number of groups whose claims the process waits for.
///
/// A lost availability zone takes the primaries of a third of all groups at once, and every home of
/// their members waits for each of them. Each process therefore reads a fixed number of claims a
/// second, however many groups it waits for.
pub fn poll_pause_us(waiting: usize) -> u64 {
    (POLL_US * waiting.max(1) as u64).min(DRIVER_SILENCE_US)
}

/// Returns how long a driver waits after an overloaded platform refused its promotion for the
/// `refusals`th time in a row, in microseconds.
///
/// The platform carries out a limited number of promotions a second. When hundreds are due at once,
/// drivers that ask again at a fixed interval make most calls in vain until the last one is served.
pub fn overloaded_pause_us(refusals: u32, seed: u64) -> u64 {
    let pause_us = jitter::doubled_us(OVERLOADED_US, refusals.saturating_sub(1), MAX_OVERLOADED_US);
    jitter::upper_half_us(seed, u64::from(refusals), pause_us)
}
