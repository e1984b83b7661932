//! Limits of organisations over all VMs, strict whatever is cut off, killed or late.
//!
//! The limit of an organisation is divided among a few VMs, its allocators, which rendezvous hashing over the
//! list of VMs gives to each organisation anew. Each allocator grants its own part by a token bucket and never
//! more, so the grants of all of them keep the limit though they exchange nothing. A VM asks the allocator
//! nearest to it for each operation, and the next one where that has nothing left or can't be reached.
//!
//! Three things keep the sum below the limit. A token that is not used soon expires. A bucket starts empty, so
//! a process that starts again has forgotten nothing that could be granted twice. And an allocator that is lost
//! is not replaced while it is listed: its part is not granted meanwhile.
//!
//! Token buckets: Turner, "New directions in communications" (1986). Dividing one limit among many limiters:
//! Raghavan et al., "Cloud control with distributed rate limiting" (2007), where parts follow demand; here
//! demand goes to the parts instead, which needs no agreement.

use crate::version::organisations::RateLimit;

/// Allocators of one organisation in each availability zone at most, so that one of them may be lost.
pub const ALLOCATORS_PER_ZONE: usize = 2;

/// How many operations an allocator's bucket holds at least. A small limit has fewer allocators: parts below
/// one operation would never be granted.
const LEAST_BURST: u64 = 2;

/// For how long a token that was granted may be used, in microseconds.
pub const TOKEN_LIFE_US: u64 = 250_000;

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

/// The burst of all allocators together, in thousandths of an operation.
///
/// Half of the tolerance widens it, since an operation may be refused by one allocator while another has tokens
/// left. The other half stays free for operations that reach a target more than once.
fn widened_burst_milli(limit: RateLimit, tolerance: QuotaTolerance) -> u64 {
    let RateLimit { rate_milli_per_s, burst_milli } = limit;
    let in_window_milli = rate_milli_per_s.saturating_mul(tolerance.window_ms) / 1_000;
    let window_milli = in_window_milli.saturating_add(burst_milli);
    let half_excess_milli = window_milli.saturating_mul(tolerance.excess_milli) / 2_000;
    let half_slack_milli = tolerance.slack.saturating_mul(OPERATION_MILLI) / 2;
    let carried_over_milli = rate_milli_per_s.saturating_mul(TOKEN_LIFE_US) / SECOND_US;
    let widened_milli = burst_milli.saturating_add(half_excess_milli + half_slack_milli);
    widened_milli.saturating_sub(carried_over_milli)
}

/// Among how many allocators of each availability zone a limit is divided.
pub fn allocators_per_zone(limit: RateLimit, tolerance: QuotaTolerance, zones: usize) -> usize {
    let burst = widened_burst_milli(limit, tolerance) / OPERATION_MILLI;
    let affordable = (burst / LEAST_BURST) as usize / zones.max(1);
    affordable.clamp(1, ALLOCATORS_PER_ZONE)
}

/// The part of a limit that one of `allocators` grants.
pub fn part_of(limit: RateLimit, tolerance: QuotaTolerance, allocators: usize) -> RateLimit {
    let allocators = allocators.max(1) as u64;
    RateLimit {
        rate_milli_per_s: limit.rate_milli_per_s / allocators,
        burst_milli: widened_burst_milli(limit, tolerance) / allocators,
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
#[derive(Clone, Debug)]
pub struct TokenBucket {
    part: RateLimit,
    tokens_milli: u64,
    /// Until when tokens were earned.
    earned_us: u64,
    /// What was asked for in vain and is expected to be asked for again, in thousandths of a token. It is worked
    /// off at the rate.
    turned_away_milli: u64,
}

impl TokenBucket {
    /// A bucket that has earned tokens since the process started at `since_us`, when it was empty.
    pub fn starting_empty(part: RateLimit, since_us: u64) -> TokenBucket {
        TokenBucket { part, tokens_milli: 0, earned_us: since_us, turned_away_milli: 0 }
    }

    /// Brings the bucket to another limit. Tokens above a lowered burst are gone.
    pub fn set_part(&mut self, part: RateLimit, now_us: u64) {
        if self.part != part {
            self.earn(now_us);
            self.part = part;
            self.tokens_milli = self.tokens_milli.min(part.burst_milli);
        }
    }

    /// Grants up to `wanted` operations.
    pub fn take(&mut self, wanted: u32, now_us: u64) -> Grant {
        self.earn(now_us);
        let granted = u64::from(wanted).min(self.tokens_milli / OPERATION_MILLI);
        self.tokens_milli -= granted * OPERATION_MILLI;
        if granted == u64::from(wanted) {
            return Grant { granted: wanted, retry_after_us: 0 };
        }
        let retry_after_us = self.next_token_us();
        let most_milli = self.part.rate_milli_per_s.max(OPERATION_MILLI);
        let missed_milli = (u64::from(wanted) - granted) * OPERATION_MILLI;
        self.turned_away_milli = (self.turned_away_milli + missed_milli).min(most_milli);
        Grant { granted: granted as u32, retry_after_us }
    }

    /// How long until one operation more can be granted, after those that were turned away before; a second where
    /// none ever can.
    fn next_token_us(&self) -> u64 {
        let missing_milli = OPERATION_MILLI.saturating_sub(self.tokens_milli);
        if self.part.rate_milli_per_s == 0 || self.part.burst_milli < OPERATION_MILLI {
            return SECOND_US;
        }
        let ahead_milli = missing_milli + self.turned_away_milli;
        (ahead_milli * SECOND_US).div_ceil(self.part.rate_milli_per_s).min(SECOND_US)
    }

    fn earn(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.earned_us);
        // A remainder below a thousandth of a token stays to be earned.
        let earned_milli = (u128::from(passed_us) * u128::from(self.part.rate_milli_per_s)
            / u128::from(SECOND_US)) as u64;
        let counted_us = match self.part.rate_milli_per_s {
            0 => passed_us,
            rate => {
                (u128::from(earned_milli) * u128::from(SECOND_US)).div_ceil(u128::from(rate)) as u64
            }
        };
        self.earned_us += counted_us.min(passed_us);
        self.turned_away_milli = self.turned_away_milli.saturating_sub(earned_milli);
        self.tokens_milli =
            self.tokens_milli.saturating_add(earned_milli).min(self.part.burst_milli);
    }
}
