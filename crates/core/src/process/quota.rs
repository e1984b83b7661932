//! Limits of organisations over all VMs, strict whatever is cut off, killed or late.
//!
//! The limit of an organisation is divided among a few VMs, its allocators, which rendezvous hashing over the
//! list of VMs gives to each organisation anew. Each allocator grants its own part by a token bucket and never
//! more, so the grants of all of them keep the limit though they exchange nothing. A VM asks the allocator
//! nearest to it for each operation, and the next one where that has nothing left or can't be reached.
//!
//! Three things keep the sum below the limit. An operation is granted after the caller sent it and before a target
//! has it, so that no grant is carried into another window. A process that starts again doesn't know what it
//! granted before, so its bucket starts with no more than a part of the tolerance, which is kept free for that.
//! And an allocator that is lost is not replaced while it is listed: its part is not granted meanwhile.
//!
//! Token buckets: Turner, "New directions in communications" (1986). Dividing one limit among many limiters:
//! Raghavan et al., "Cloud control with distributed rate limiting" (2007), where parts follow demand; here
//! demand goes to the parts instead, which needs no agreement.

use crate::version::organisations::RateLimit;

/// Allocators of one organisation in each availability zone at most, so that one of them may be lost.
pub const ALLOCATORS_PER_ZONE: usize = 2;

/// How many operations an allocator's bucket holds at least. A small limit has fewer allocators: parts below
/// one operation would never be granted.
const MIN_BURST: u64 = 2;

/// What one operation costs, in thousandths of a token.
pub const OPERATION_MILLI: u64 = 1_000;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// By how much the operations of one window may exceed what the limit says. The platform's settings give it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuotaTolerance {
    /// The length of the window.
    pub window_ms: u64,
    /// The part of the window's limit that may come on top, in thousandths.
    pub excess_milli: u64,
    /// How many operations may come on top beyond that.
    pub slack: u64,
}

impl Default for QuotaTolerance {
    /// No tolerance: a limit is kept as it is written.
    fn default() -> QuotaTolerance {
        QuotaTolerance { window_ms: 1_000, excess_milli: 0, slack: 0 }
    }
}

/// The parts of the tolerance, in sixths: what widens the buckets, since an operation may be refused by one
/// allocator while another has tokens left, and what buckets start with. All allocators may start again twice in
/// one window; the sixth that is left is for operations that reach targets more than once.
const BURST_SIXTHS: u64 = 1;
const START_SIXTHS: u64 = 2;

impl QuotaTolerance {
    /// How many operations of a limit may come on top in one window, in thousandths.
    fn allowance_milli(&self, limit: RateLimit) -> u64 {
        let in_window_milli = limit.rate_milli_per_s.saturating_mul(self.window_ms) / 1_000;
        let window_milli = in_window_milli.saturating_add(limit.burst_milli);
        let excess_milli = window_milli.saturating_mul(self.excess_milli) / 1_000;
        excess_milli.saturating_add(self.slack.saturating_mul(OPERATION_MILLI))
    }
}

/// The burst of all allocators together, in thousandths of an operation.
fn total_burst_milli(limit: RateLimit, tolerance: QuotaTolerance) -> u64 {
    limit.burst_milli.saturating_add(tolerance.allowance_milli(limit) * BURST_SIXTHS / 6)
}

/// Among how many allocators a limit is divided.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Division {
    /// How many availability zones have some.
    pub zones: usize,
    /// How many each of these has.
    pub per_zone: usize,
}

impl Division {
    /// Among how many a limit is divided where there are so many availability zones.
    pub fn of(limit: RateLimit, tolerance: QuotaTolerance, zones: usize) -> Division {
        let zones = zones.max(1);
        let burst = total_burst_milli(limit, tolerance) / OPERATION_MILLI;
        let affordable = ((burst / MIN_BURST) as usize).max(1);
        Division {
            zones: affordable.min(zones),
            per_zone: (affordable / zones).clamp(1, ALLOCATORS_PER_ZONE),
        }
    }

    /// How many there are in all.
    pub fn allocators(&self) -> usize {
        self.zones * self.per_zone
    }
}

/// The part of a limit that one allocator grants.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LimitPart {
    /// What the bucket earns, and holds at most.
    pub limit: RateLimit,
    /// What the bucket of a process that has just started holds, in thousandths of an operation.
    pub start_milli: u64,
    /// How many allocators there are.
    pub allocators: u64,
}

impl LimitPart {
    /// The part of one of `allocators`.
    pub fn of(limit: RateLimit, tolerance: QuotaTolerance, allocators: usize) -> LimitPart {
        let allocators = allocators.max(1) as u64;
        let burst_milli = total_burst_milli(limit, tolerance) / allocators;
        let start_milli = tolerance.allowance_milli(limit) * START_SIXTHS / 6 / allocators;
        let rate_milli_per_s = limit.rate_milli_per_s / allocators;
        LimitPart {
            limit: RateLimit { rate_milli_per_s, burst_milli },
            start_milli: start_milli.min(burst_milli),
            allocators,
        }
    }
}

/// What an allocator answers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Grant {
    /// How many operations may run.
    pub granted: u32,
    /// When the next one can be granted if fewer were than were asked for, in microseconds from now.
    pub retry_after_us: u64,
}

/// The bucket of one organisation at one of its allocators.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct TokenBucket {
    part: LimitPart,
    tokens_milli: u64,
    /// Until when tokens were earned.
    refilled_us: u64,
    /// What was asked for in vain and is expected to be asked for again, in thousandths of a token. It is worked
    /// off at the rate.
    refused_milli: u64,
}

impl TokenBucket {
    /// The bucket of a process that may grant from `since_us` on, and nothing before.
    pub fn starting(part: LimitPart, since_us: u64) -> TokenBucket {
        TokenBucket {
            part,
            tokens_milli: part.start_milli,
            refilled_us: since_us,
            refused_milli: 0,
        }
    }

    /// Brings the bucket to another limit. Tokens above a lowered burst are gone.
    pub fn set_part(&mut self, part: LimitPart, now_us: u64) {
        if self.part != part {
            self.refill(now_us);
            self.part = part;
            self.tokens_milli = self.tokens_milli.min(part.limit.burst_milli);
        }
    }

    /// Grants up to `wanted` operations.
    pub fn take(&mut self, wanted: u32, now_us: u64) -> Grant {
        if now_us < self.refilled_us {
            return Grant { granted: 0, retry_after_us: self.refilled_us - now_us };
        }
        self.refill(now_us);
        let granted = u64::from(wanted).min(self.tokens_milli / OPERATION_MILLI);
        self.tokens_milli -= granted * OPERATION_MILLI;
        if granted == u64::from(wanted) {
            return Grant { granted: wanted, retry_after_us: 0 };
        }
        let retry_after_us = self.retry_after_us_for_next();
        // Whoever is turned away here asks the other allocators as well.
        let most_milli = self.part.limit.rate_milli_per_s.max(OPERATION_MILLI);
        let missed_milli = (u64::from(wanted) - granted) * OPERATION_MILLI / self.part.allocators;
        self.refused_milli = (self.refused_milli + missed_milli).min(most_milli);
        Grant { granted: granted as u32, retry_after_us }
    }

    /// How long until one operation more can be granted, after those that were turned away before; a second where
    /// none ever can.
    fn retry_after_us_for_next(&self) -> u64 {
        let missing_milli = OPERATION_MILLI.saturating_sub(self.tokens_milli);
        if self.part.limit.rate_milli_per_s == 0 || self.part.limit.burst_milli < OPERATION_MILLI {
            return SECOND_US;
        }
        let ahead_milli = missing_milli + self.refused_milli;
        (ahead_milli * SECOND_US).div_ceil(self.part.limit.rate_milli_per_s).min(SECOND_US)
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.refilled_us);
        // A remainder below a thousandth of a token stays to be earned.
        let earned_milli = (u128::from(passed_us) * u128::from(self.part.limit.rate_milli_per_s)
            / u128::from(SECOND_US)) as u64;
        let counted_us = match self.part.limit.rate_milli_per_s {
            0 => passed_us,
            rate => {
                (u128::from(earned_milli) * u128::from(SECOND_US)).div_ceil(u128::from(rate)) as u64
            }
        };
        self.refilled_us += counted_us.min(passed_us);
        self.refused_milli = self.refused_milli.saturating_sub(earned_milli);
        self.tokens_milli =
            self.tokens_milli.saturating_add(earned_milli).min(self.part.limit.burst_milli);
    }
}
