//! What may be sent again, how often, and how much time it has.
//!
//! A request that may not be repeated runs at most once. So it is sent again only where it provably
//! did not run, or where it is a read. Once a byte of the answer went to the caller, nothing is sent
//! again: the caller would get two halves. A statement inside an open transaction is never sent
//! again on another connection, since the transaction is gone with its connection.
//!
//! Retries are budgeted: when everything fails, a proxy that repeats each request doubles the load
//! exactly when there is least room. The budget earns a share of a token with each new request and
//! spends one with each retry.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::request::error_kind::ErrorKind;
use crate::request::error_kind::Outcome;

/// How often a request may be forwarded from proxy to proxy before it is refused.
///
/// One hop is the rule. A second one is taken where the sender's view of the homes was old.
pub const MAX_HOPS: u8 = 2;

/// How often one request is sent again at most.
pub const MAX_RETRIES: u32 = 3;

/// The thousandths of a token that one retry costs.
const RETRY_COST_MILLI: u64 = 1_000;

/// How many retries a group may make, as a share of its requests. Shared by the traffic threads.
#[derive(Debug)]
pub struct RetryBudget {
    tokens_milli: AtomicU64,
    earned_per_request_milli: u64,
    max_milli: u64,
}

impl RetryBudget {
    /// A budget that earns `share_percent` hundredths of a retry with each request and keeps at most
    /// `burst` retries. It starts full, so that the first failure after a start can be met.
    pub fn new(share_percent: u32, burst: u32) -> RetryBudget {
        let max_milli = u64::from(burst) * RETRY_COST_MILLI;
        RetryBudget {
            tokens_milli: AtomicU64::new(max_milli),
            earned_per_request_milli: u64::from(share_percent) * RETRY_COST_MILLI / 100,
            max_milli,
        }
    }

    /// Counts a new request, not a retry.
    pub fn request_started(&self) {
        let earn = |tokens: u64| {
            let earned = tokens.saturating_add(self.earned_per_request_milli).min(self.max_milli);
            (earned != tokens).then_some(earned)
        };
        let _ = self.tokens_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes a retry out of the budget if there is one.
    pub fn try_spend(&self) -> bool {
        let spend = |tokens: u64| tokens.checked_sub(RETRY_COST_MILLI);
        self.tokens_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend).is_ok()
    }

    /// How many whole retries are left.
    pub fn retries_left(&self) -> u64 {
        self.tokens_milli.load(Ordering::Relaxed) / RETRY_COST_MILLI
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let tokens = self.tokens_milli.load(Ordering::Relaxed);
        match tokens <= self.max_milli {
            true => Vec::new(),
            false => vec![format!("{tokens} thousandths pass the bound of {}", self.max_milli)],
        }
    }
}

/// How far a request had come when it failed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Stage {
    /// No connection to the target, or none taken for this request yet.
    Connecting,
    /// A connection was taken, and no byte of the request was written to it.
    NothingSent,
    /// Something was written, but no message that runs anything in whole: a target runs no part of
    /// a message.
    PartlySent,
    /// At least one whole message that runs something was written and nothing was answered.
    Sent,
    /// Some of the answer came, and none of it went to the caller.
    AnswerStarted,
    /// Some of the answer went to the caller.
    AnswerRelayed,
}

/// How a request failed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Failure {
    /// The connection was refused, broke, or was closed without an error message.
    Broken,
    /// The time for this step ran out.
    TimedOut,
    /// The target, or the home that the request was forwarded to, said why: its SQLSTATE, and the
    /// outcome that the answer's detail claims (only a home's answer has one).
    Said {
        /// The SQLSTATE, five characters.
        sqlstate: [u8; 5],
        /// What the detail of the answer says about the outcome.
        claimed: Option<Outcome>,
    },
}

/// What the request would do if it ran.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Effect {
    /// Only reads: running it twice is the same as once.
    Read,
    /// May write: runs at most once.
    Write,
    /// Ends a transaction that may have written, or may do so unseen, such as several statements in
    /// one message.
    Commit,
}

/// One failed try of a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Attempt {
    /// What the request would do.
    pub effect: Effect,
    /// How far it had come.
    pub stage: Stage,
    /// Whether it is a statement of a transaction in which the target already ran something.
    pub in_transaction: bool,
    /// How it failed.
    pub failure: Failure,
    /// How often it was sent again already.
    pub retries: u32,
}

/// What to do with a failed try.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum RetryVerdict {
    /// Choose a member anew and send it again.
    Again,
    /// Answer the caller with this kind.
    Answer(ErrorKind),
    /// It is the target's answer to the request: pass it on as it is.
    PassThrough,
}

/// Whether a failed try had an effect, as far as it can be proved.
pub fn outcome_of(attempt: &Attempt) -> Outcome {
    match attempt.failure {
        Failure::Said { sqlstate, claimed } => reported_outcome(attempt, sqlstate, claimed),
        Failure::Broken | Failure::TimedOut => match (attempt.stage, attempt.effect) {
            (Stage::Connecting | Stage::NothingSent | Stage::PartlySent, _) => Outcome::NotRun,
            // Without its commit a transaction leaves nothing behind.
            (_, Effect::Read | Effect::Write) if attempt.in_transaction => Outcome::NotRun,
            _ => Outcome::Unknown,
        },
    }
}

/// The refusals of a target that are given before anything runs (`docs/INTERFACES.md`).
fn reported_outcome(attempt: &Attempt, sqlstate: [u8; 5], claimed: Option<Outcome>) -> Outcome {
    if let Some(claimed) = claimed {
        return claimed;
    }
    let fresh = !attempt.in_transaction && attempt.stage < Stage::AnswerStarted;
    match &sqlstate {
        b"53300" if attempt.stage == Stage::Connecting => Outcome::NotRun,
        // At a commit it says that the target was fenced and kept nothing of the transaction.
        b"25006" => Outcome::NotRun,
        // Open transactions of a leaving target go on, so a commit that is told this was cut off by
        // something else, and may have taken effect.
        b"57P01" if attempt.effect == Effect::Commit => Outcome::Unknown,
        b"57P01" if attempt.in_transaction => Outcome::NotRun,
        b"57P01" | b"57P03" if fresh => Outcome::NotRun,
        _ => Outcome::Ran,
    }
}

/// Decides what to do with a failed try. `deadline_left_us` is what the request has left.
///
/// Spends from the budget only when the verdict is [`RetryVerdict::Again`].
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
        return RetryVerdict::Again;
    }
    match outcome {
        Outcome::NotRun => RetryVerdict::Answer(ErrorKind::RetryBudgetSpent),
        _ => final_verdict(attempt, outcome),
    }
}

/// Whether a home refused the request because it has too much work. Sending it to the next home
/// would carry the overload from one to the other; the caller is told when to come back instead.
fn is_overload(failure: Failure) -> bool {
    match failure {
        Failure::Said { sqlstate, claimed } => claimed.is_some() && &sqlstate == b"53000",
        _ => false,
    }
}

/// The at-most-once rule.
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
        // A home's answer says more than this proxy knows.
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

/// The time that the next hop gets of `left_us`, in whole milliseconds; `None` when there is not
/// enough left for it to do anything.
///
/// The way back is kept in reserve, so that the next hop's refusal reaches the caller in time. What
/// doesn't make up a millisecond is dropped: a hop must not grant more than it has.
pub fn hop_deadline_ms(left_us: u64, return_trip_us: u64) -> Option<u64> {
    let left_ms = left_us.saturating_sub(return_trip_us) / 1_000;
    (left_ms > 0).then_some(left_ms)
}

/// The count of hops that a forwarded request carries; `None` when the bound forbids another hop.
pub fn next_hop(hops: u8) -> Option<u8> {
    (hops < MAX_HOPS).then_some(hops + 1)
}

/// A deadline on this process's clock from the milliseconds that the sender left.
pub fn deadline_us(now_us: u64, left_ms: u64) -> u64 {
    now_us.saturating_add(left_ms.saturating_mul(1_000))
}
