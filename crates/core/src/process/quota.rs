//! Enforces rate limits of organisations over all VMs, also during partitions, crashes and delays.
//!
//! The limit of an organisation is divided among a few VMs, its allocators, which are chosen by
//! rendezvous hashing over the list of VMs. Each allocator grants at most its own part, by a token
//! bucket, so all grants together keep the limit without any communication between allocators. For
//! each operation a VM asks the nearest allocator, and the next one if that has no tokens left or
//! can't be reached.
//!
//! Three rules keep the sum within the limit. An operation is granted after the caller sent it and
//! before a target receives it, so that no grant is used in a later window. A restarted process
//! doesn't know what it granted before, so its bucket starts with at most a reserved part of the
//! tolerance. And a failed allocator is not replaced while it is listed: its part is not granted in
//! the meantime.
//!
//! Token buckets: Turner, "New directions in communications" (1986). Dividing one limit among many
//! limiters: Raghavan et al., "Cloud control with distributed rate limiting" (2007), where the
//! parts follow the demand; here requests go to the parts instead, which needs no agreement.

use crate::version::organisations::RateLimit;

/// The maximum number of allocators of one organisation per availability zone. With two, one of
/// them may fail.
pub const ALLOCATORS_PER_ZONE: usize = 2;

/// The minimum burst of an allocator's bucket, in operations. A small limit has fewer allocators: a
/// part below one operation would never be granted.
const MIN_BURST: u64 = 2;

/// The cost of one operation, in thousandths of a token.
pub const OPERATION_MILLI: u64 = 1_000;

const SECOND_US: u64 = 1_000_000;

/// How much the operations of one window may exceed the limit. It comes from the platform's
/// settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuotaTolerance {
    /// The length of the window in milliseconds.
    pub window_ms: u64,
    /// The permitted excess relative to the window's limit, in thousandths.
    pub excess_milli: u64,
    /// The permitted excess beyond that, in operations.
    pub slack: u64,
}

impl Default for QuotaTolerance {
    /// Returns no tolerance: the limit is exact.
    fn default() -> QuotaTolerance {
        QuotaTolerance { window_ms: 1_000, excess_milli: 0, slack: 0 }
    }
}

/// The use of the tolerance, in sixths. One part enlarges the buckets, since an operation may be
/// refused by one allocator while another one has tokens left; another part is the initial content
/// of buckets. All allocators may restart twice in one window; the remaining sixth is for
/// operations that reach targets more than once.
const BURST_SIXTHS: u64 = 1;
const START_SIXTHS: u64 = 2;

impl QuotaTolerance {
    /// Returns the permitted excess of a limit in one window, in thousandths of an operation.
    fn allowance_milli(&self, limit: RateLimit) -> u64 {
        let in_window_milli = limit.rate_milli_per_s.saturating_mul(self.window_ms) / 1_000;
        let window_milli = in_window_milli.saturating_add(limit.burst_milli);
        let excess_milli = window_milli.saturating_mul(self.excess_milli) / 1_000;
        excess_milli.saturating_add(self.slack.saturating_mul(OPERATION_MILLI))
    }
}

/// Returns the burst of all allocators together, in thousandths of an operation.
fn total_burst_milli(limit: RateLimit, tolerance: QuotaTolerance) -> u64 {
    limit.burst_milli.saturating_add(tolerance.allowance_milli(limit) * BURST_SIXTHS / 6)
}

/// The number of allocators among which a limit is divided.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Division {
    /// The number of availability zones with allocators.
    pub zones: usize,
    /// The number of allocators in each of these zones.
    pub per_zone: usize,
}

impl Division {
    /// Returns the division of a limit for a fleet in this number of availability zones.
    pub fn of(limit: RateLimit, tolerance: QuotaTolerance, zones: usize) -> Division {
        let zones = zones.max(1);
        let burst = total_burst_milli(limit, tolerance) / OPERATION_MILLI;
        let affordable = ((burst / MIN_BURST) as usize).max(1);
        Division {
            zones: affordable.min(zones),
            per_zone: (affordable / zones).clamp(1, ALLOCATORS_PER_ZONE),
        }
    }

    /// Returns the total number of allocators.
    pub fn allocators(&self) -> usize {
        self.zones * self.per_zone
    }
}

/// The part of a limit that one allocator grants.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LimitPart {
    /// The refill rate and the capacity of the bucket.
    pub limit: RateLimit,
    /// The initial content of the bucket of a restarted process, in thousandths of an operation.
    pub start_milli: u64,
    /// The total number of allocators.
    pub allocators: u64,
}

impl LimitPart {
    /// Returns the part of one of `allocators`.
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

/// The answer of an allocator.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Grant {
    /// The number of operations that may run.
    pub granted: u32,
    /// When the next operation can be granted, in microseconds from now; zero if all were granted.
    pub retry_after_us: u64,
}

/// The token bucket of one organisation at one of its allocators.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct TokenBucket {
    part: LimitPart,
    tokens_milli: u64,
    /// The time up to which the bucket was refilled.
    refilled_us: u64,
    /// Refused operations that are expected to be requested again, in thousandths of a token. It
    /// decreases at the refill rate.
    refused_milli: u64,
}

impl TokenBucket {
    /// Creates the bucket of a process that may grant operations from `since_us` on.
    pub fn starting(part: LimitPart, since_us: u64) -> TokenBucket {
        TokenBucket {
            part,
            tokens_milli: part.start_milli,
            refilled_us: since_us,
            refused_milli: 0,
        }
    }

    /// Changes the part of the limit. Tokens beyond the new burst are dropped.
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
        let retry_after_us = self.next_operation_us();
        // A refused VM asks the other allocators as well, so each counts only its fraction of the
        // refusals.
        let max_refused_milli = self.part.limit.rate_milli_per_s.max(OPERATION_MILLI);
        let newly_refused_milli =
            (u64::from(wanted) - granted) * OPERATION_MILLI / self.part.allocators;
        self.refused_milli = (self.refused_milli + newly_refused_milli).min(max_refused_milli);
        Grant { granted: granted as u32, retry_after_us }
    }

    /// Returns the time in microseconds until one more operation can be granted, counting the
    /// operations that were refused before; one second if no operation can ever be granted.
    fn next_operation_us(&self) -> u64 {
        let missing_milli = OPERATION_MILLI.saturating_sub(self.tokens_milli);
        if self.part.limit.rate_milli_per_s == 0 || self.part.limit.burst_milli < OPERATION_MILLI {
            return SECOND_US;
        }
        let ahead_milli = missing_milli + self.refused_milli;
        (ahead_milli * SECOND_US).div_ceil(self.part.limit.rate_milli_per_s).min(SECOND_US)
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.refilled_us);
        // A remainder below a thousandth of a token is left for the next refill.
        let earned_milli = (u128::from(passed_us) * u128::from(self.part.limit.rate_milli_per_s)
            / u128::from(SECOND_US)) as u64;
        let refill_time_us = match self.part.limit.rate_milli_per_s {
            0 => passed_us,
            rate => {
                (u128::from(earned_milli) * u128::from(SECOND_US)).div_ceil(u128::from(rate)) as u64
            }
        };
        self.refilled_us += refill_time_us.min(passed_us);
        self.refused_milli = self.refused_milli.saturating_sub(earned_milli);
        self.tokens_milli =
            self.tokens_milli.saturating_add(earned_milli).min(self.part.limit.burst_milli);
    }
}
