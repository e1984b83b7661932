//! Retry policy: which requests may be retried, how often, and with which deadline.
//!
//! A request that is not idempotent runs at most once. It is retried only if it provably did not run,
//! or if it is a read. After the first byte of the answer was relayed to the caller, nothing is
//! retried: the caller would get parts of two answers. A statement inside an open transaction is never
//! retried on another connection, since the transaction is lost with its connection.
//!
//! Retries are limited by a budget: when everything fails, a proxy that retries each request doubles
//! the load while capacity is lowest. Each new request adds a fraction of a token to the budget, and
//! each retry spends one token.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::request::error_kind::ErrorKind;
use crate::request::error_kind::Outcome;

/// The maximum number of hops from proxy to proxy before a request is refused.
///
/// One hop is usual. A second one happens if the sender's view of the homes was stale.
pub const MAX_HOPS: u8 = 2;

/// The maximum number of retries of one request.
pub const MAX_RETRIES: u32 = 3;

/// The cost of one retry, in thousandths of a token.
const RETRY_COST_MILLI: u64 = 1_000;

/// A token bucket that limits the retries of a group to a share of its requests. Shared by the traffic
/// threads.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: AtomicU64,
    earned_per_request_milli: u64,
    max_milli: u64,
}

impl RetryBudget {
    /// Creates a budget that allows `share_percent` retries per hundred requests and accumulates at most
    /// `burst` retries. It starts full, so that the first failures after a start can be retried.
    pub fn new(share_percent: u32, burst: u32) -> RetryBudget {
        let max_milli = u64::from(burst) * RETRY_COST_MILLI;
        RetryBudget {
            tokens_milli: AtomicU64::new(max_milli),
            earned_per_request_milli: u64::from(share_percent) * RETRY_COST_MILLI / 100,
            max_milli,
        }
    }

    /// Adds the share of a new request to the budget. Not called for retries.
    pub fn request_started(&self) {
        let earn = |tokens: u64| {
            let earned = tokens.saturating_add(self.earned_per_request_milli).min(self.max_milli);
            (earned != tokens).then_some(earned)
        };
        let _ = self.tokens_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry from the budget. Returns whether there was one.
    pub fn try_spend(&self) -> bool {
        let spend = |tokens: u64| tokens.checked_sub(RETRY_COST_MILLI);
        self.tokens_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }

    /// Returns the number of whole retries that are left.
    pub fn retries_left(&self) -> u64 {
        self.tokens_milli.load(Ordering::Relaxed) / RETRY_COST_MILLI
    }

    /// Returns a description of every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let tokens = self.tokens_milli.load(Ordering::Relaxed);
        match tokens <= self.max_milli {
            true => Vec::new(),
            false => vec![format!("{tokens} thousandths pass the bound of {}", self.max_milli)],
        }
    }
}

/// The progress of a request when it failed, in order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Stage {
    /// No connection to the target was established or assigned to this request.
    Connecting,
    /// A connection was assigned, but no byte of the request was written to it.
    NothingSent,
    /// Bytes were written, but no complete message that runs anything: a target runs no incomplete
    /// message.
    PartlySent,
    /// At least one complete message that runs something was written, and no answer was received.
    Sent,
    /// A part of the answer was received, but none of it was relayed to the caller.
    AnswerStarted,
    /// A part of the answer was relayed to the caller.
    AnswerRelayed,
}

/// How a request failed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Failure {
    /// The connection was refused, broke, or was closed without an error message.
    Broken,
    /// The step timed out.
    TimedOut,
    /// The target, or the home that the request was forwarded to, answered with an error. Only the
    /// answer of a home states an outcome.
    Said {
        /// The SQLSTATE, five characters.
        sqlstate: [u8; 5],
        /// The outcome that the detail of the answer states.
        claimed: Option<Outcome>,
    },
}

/// The effect of the request if it runs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Effect {
    /// Only reads, so it is idempotent.
    Read,
    /// May write, so it must run at most once.
    Write,
    /// Commits a transaction that may have written. Also used for requests that may contain a commit,
    /// such as several statements in one message.
    Commit,
}

/// A failed attempt to run a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Attempt {
    /// The effect of the request.
    pub effect: Effect,
    /// The progress when it failed.
    pub stage: Stage,
    /// Whether it belongs to a transaction in which the target has already run a statement.
    pub in_transaction: bool,
    /// How it failed.
    pub failure: Failure,
    /// The number of retries so far.
    pub retries: u32,
}

/// The decision about a failed attempt.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum RetryVerdict {
    /// Select a member again and retry.
    Retry,
    /// Answer the caller with this kind of error.
    Answer(ErrorKind),
    /// Relay the target's answer to the caller unchanged.
    PassThrough,
}

/// Returns whether a failed attempt had an effect, as far as this can be proved.
pub fn outcome_of(attempt: &Attempt) -> Outcome {
    match attempt.failure {
        Failure::Said { sqlstate, claimed } => reported_outcome(attempt, sqlstate, claimed),
        Failure::Broken | Failure::TimedOut => match (attempt.stage, attempt.effect) {
            (Stage::Connecting | Stage::NothingSent | Stage::PartlySent, _) => Outcome::NotRun,
            // A transaction has no effect without its commit.
            (_, Effect::Read | Effect::Write) if attempt.in_transaction => Outcome::NotRun,
            _ => Outcome::Unknown,
        },
    }
}

/// Maps an error answer to an outcome. `NotRun` is for the SQLSTATEs by which a target refuses a request
/// before it runs anything (`docs/INTERFACES.md`).
fn reported_outcome(attempt: &Attempt, sqlstate: [u8; 5], claimed: Option<Outcome>) -> Outcome {
    if let Some(claimed) = claimed {
        return claimed;
    }
    let fresh = !attempt.in_transaction && attempt.stage < Stage::AnswerStarted;
    match &sqlstate {
        b"53300" if attempt.stage == Stage::Connecting => Outcome::NotRun,
        // At a commit it means that the target was fenced and discarded the transaction.
        b"25006" => Outcome::NotRun,
        // A leaving target completes open transactions, so a commit that gets this error was aborted for
        // another reason and may have taken effect.
        b"57P01" if attempt.effect == Effect::Commit => Outcome::Unknown,
        b"57P01" if attempt.in_transaction => Outcome::NotRun,
        b"57P01" | b"57P03" if fresh => Outcome::NotRun,
        _ => Outcome::Ran,
    }
}

/// Decides whether a failed attempt is retried. `deadline_left_us` is the time until the request's deadline,
/// in microseconds.
///
/// Takes a retry from the budget only if the verdict is [`RetryVerdict::Retry`].
pub fn decide(attempt: &Attempt, budget: &RetryBudget, deadline_left_us: u64) -> RetryVerdict {
    let outcome = outcome_of(attempt);
    if outcome == Outcome::Ran || is_overload(attempt.failure) {
        return RetryVerdict::PassThrough;
    }
    if !may_repeat(attempt, outcome) || attempt.retries >= MAX_RETRIES {
        return final_verdict(attempt, outcome);
    }
    if deadline_left_us == 0 {
        return RetryVerdict::Answer(timed_out_kind(outcome));
    }
    if budget.try_spend() {
        return RetryVerdict::Retry;
    }
    match outcome {
        Outcome::NotRun => RetryVerdict::Answer(ErrorKind::RetryBudgetSpent),
        _ => final_verdict(attempt, outcome),
    }
}

/// Returns whether a home refused the request because it is overloaded. A retry at the next home would
/// spread the overload; the caller gets the refusal with its retry time instead.
fn is_overload(failure: Failure) -> bool {
    match failure {
        Failure::Said { sqlstate, claimed } => claimed.is_some() && &sqlstate == b"53000",
        _ => false,
    }
}

/// Returns whether the at-most-once rule permits a retry.
fn may_repeat(attempt: &Attempt, outcome: Outcome) -> bool {
    if attempt.in_transaction || attempt.stage == Stage::AnswerRelayed {
        return false;
    }
    match outcome {
        Outcome::NotRun => true,
        Outcome::Ran => false,
        Outcome::Unknown => attempt.effect == Effect::Read,
    }
}

fn timed_out_kind(outcome: Outcome) -> ErrorKind {
    match outcome {
        Outcome::NotRun => ErrorKind::WaitTimedOut,
        _ => ErrorKind::AnswerTimedOut,
    }
}

fn final_verdict(attempt: &Attempt, outcome: Outcome) -> RetryVerdict {
    match attempt.failure {
        // The answer of a home is more precise than what this proxy knows.
        Failure::Said { claimed: Some(_), .. } => RetryVerdict::PassThrough,
        _ => RetryVerdict::Answer(final_kind(attempt, outcome)),
    }
}

fn final_kind(attempt: &Attempt, outcome: Outcome) -> ErrorKind {
    match (outcome, attempt.failure) {
        (Outcome::Unknown | Outcome::Ran, Failure::TimedOut) => ErrorKind::AnswerTimedOut,
        (Outcome::Unknown | Outcome::Ran, _) => ErrorKind::AnswerLost,
        (Outcome::NotRun, _) if attempt.in_transaction => ErrorKind::TransactionLost,
        (Outcome::NotRun, Failure::Said { sqlstate, .. }) => match &sqlstate {
            b"53300" => ErrorKind::TooManyConnections,
            b"25006" => ErrorKind::TargetNotPrimary,
            b"57P01" | b"57P03" => ErrorKind::TargetLeaving,
            _ => ErrorKind::TargetUnreachable,
        },
        (Outcome::NotRun, _) => ErrorKind::TargetUnreachable,
    }
}

/// Returns the deadline of the next hop in whole milliseconds, out of the remaining `left_us`; `None` if
/// less than a millisecond is left.
///
/// The time of the return trip is reserved, so that a refusal by the next hop reaches the caller in time.
/// Fractions of a millisecond are dropped: a hop must not grant more time than it has.
pub fn hop_deadline_ms(left_us: u64, return_trip_us: u64) -> Option<u64> {
    let left_ms = left_us.saturating_sub(return_trip_us) / 1_000;
    (left_ms > 0).then_some(left_ms)
}

/// Returns the hop count of the forwarded request, or `None` if [`MAX_HOPS`] forbids another hop.
pub fn next_hop(hops: u8) -> Option<u8> {
    (hops < MAX_HOPS).then_some(hops + 1)
}

/// Returns the deadline on this process's clock for a request to which the sender granted `left_ms`.
pub fn deadline_us(now_us: u64, left_ms: u64) -> u64 {
    now_us.saturating_add(left_ms.saturating_mul(1_000))
}
