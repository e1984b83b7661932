//! Tests of retries: a request that may have run is only retried if it is a read.

use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::error_kind::Outcome;
use skylark_core::request::retry;
use skylark_core::request::retry::Attempt;
use skylark_core::request::retry::Effect;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::RetryBudget;
use skylark_core::request::retry::RetryVerdict;
use skylark_core::request::retry::Stage;

const REMAINING_US: u64 = 1_000_000;

const STAGES: [Stage; 6] = [
    Stage::Connecting,
    Stage::NothingSent,
    Stage::PartlySent,
    Stage::Sent,
    Stage::AnswerStarted,
    Stage::AnswerRelayed,
];

const CODES: [&[u8; 5]; 7] = [b"53300", b"25006", b"57P01", b"57P03", b"40001", b"23505", b"53000"];

const CLAIMS: [Option<Outcome>; 4] =
    [None, Some(Outcome::NotRun), Some(Outcome::Ran), Some(Outcome::Unknown)];

fn reported(code: &str) -> Failure {
    let sqlstate = code.as_bytes().try_into().expect("five characters");
    Failure::Said { sqlstate, claimed: None }
}

fn attempt(effect: Effect, stage: Stage, in_transaction: bool, failure: Failure) -> Attempt {
    Attempt { effect, stage, in_transaction, failure, retries: 0 }
}

fn decide(attempt: &Attempt) -> RetryVerdict {
    retry::decide(attempt, &RetryBudget::new(10, 10), REMAINING_US)
}

macro_rules! verdicts {
    ($($name:ident: $effect:ident, $stage:ident, $in_transaction:literal, $failure:expr
       => $verdict:expr;)+) => {
        $(#[test]
        fn $name() {
            let attempt = attempt(Effect::$effect, Stage::$stage, $in_transaction, $failure);
            assert_eq!(decide(&attempt), $verdict);
        })+
    };
}

verdicts! {
    write_not_sent: Write, NothingSent, false, Failure::Broken => RetryVerdict::Retry;
    write_partly_sent: Write, PartlySent, false, Failure::Broken => RetryVerdict::Retry;
    write_connect_refused: Write, Connecting, false, Failure::Broken => RetryVerdict::Retry;
    // A retry would book twice: the first attempt ran and its answer was lost.
    write_sent: Write, Sent, false, Failure::Broken => RetryVerdict::Answer(ErrorKind::AnswerLost);
    write_sent_and_late: Write, Sent, false, Failure::TimedOut
        => RetryVerdict::Answer(ErrorKind::AnswerTimedOut);
    commit_sent: Commit, Sent, true, Failure::Broken
        => RetryVerdict::Answer(ErrorKind::AnswerLost);
    commit_not_sent: Commit, NothingSent, true, Failure::Broken
        => RetryVerdict::Answer(ErrorKind::TransactionLost);
    read_sent: Read, Sent, false, Failure::Broken => RetryVerdict::Retry;
    read_answer_started: Read, AnswerStarted, false, Failure::Broken => RetryVerdict::Retry;
    // The caller has some of the rows: a retry would mix the rows of two runs.
    read_answer_relayed: Read, AnswerRelayed, false, Failure::Broken
        => RetryVerdict::Answer(ErrorKind::AnswerLost);
    read_in_transaction: Read, Sent, true, Failure::Broken
        => RetryVerdict::Answer(ErrorKind::TransactionLost);
    write_in_transaction: Write, Sent, true, Failure::Broken
        => RetryVerdict::Answer(ErrorKind::TransactionLost);
    not_primary: Write, Sent, false, reported("25006") => RetryVerdict::Retry;
    fenced_at_commit: Commit, Sent, true, reported("25006")
        => RetryVerdict::Answer(ErrorKind::TransactionLost);
    leaving: Write, Sent, false, reported("57P01") => RetryVerdict::Retry;
    leaving_at_connect: Write, Connecting, false, reported("57P01") => RetryVerdict::Retry;
    cut_off_at_commit: Commit, Sent, true, reported("57P01")
        => RetryVerdict::Answer(ErrorKind::AnswerLost);
    too_many_connections: Write, Connecting, false, reported("53300") => RetryVerdict::Retry;
    duplicate_key: Write, Sent, false, reported("23505") => RetryVerdict::PassThrough;
    serialization_failure: Commit, Sent, true, reported("40001") => RetryVerdict::PassThrough;
    home_is_overloaded: Read, Sent, false,
        Failure::Said { sqlstate: *b"53000", claimed: Some(Outcome::NotRun) }
        => RetryVerdict::PassThrough;
    home_did_not_run_it: Write, Sent, false,
        Failure::Said { sqlstate: *b"57P03", claimed: Some(Outcome::NotRun) }
        => RetryVerdict::Retry;
    home_does_not_know: Write, Sent, false,
        Failure::Said { sqlstate: *b"08007", claimed: Some(Outcome::Unknown) }
        => RetryVerdict::PassThrough;
}

/// Returns all combinations of effects, stages, transaction states and failures.
fn all_attempts() -> Vec<Attempt> {
    let mut failures = vec![Failure::Broken, Failure::TimedOut];
    for sqlstate in CODES {
        failures.extend(CLAIMS.map(|claimed| Failure::Said { sqlstate: *sqlstate, claimed }));
    }
    let mut attempts = Vec::new();
    for effect in [Effect::Read, Effect::Write, Effect::Commit] {
        for stage in STAGES {
            for in_transaction in [false, true] {
                let of = |failure: &Failure| attempt(effect, stage, in_transaction, *failure);
                attempts.extend(failures.iter().map(of));
            }
        }
    }
    attempts
}

// Failure: a booking runs twice. A request that may write and that was sent completely may only be retried
// if its target or home reported that it did not run.
#[test]
fn only_reads_are_retried_if_they_may_have_run() {
    let mut again = 0;
    for attempt in all_attempts() {
        if decide(&attempt) != RetryVerdict::Retry {
            continue;
        }
        again += 1;
        assert!(!attempt.in_transaction, "{attempt:?}");
        assert_ne!(attempt.stage, Stage::AnswerRelayed, "{attempt:?}");
        let silent = matches!(attempt.failure, Failure::Broken | Failure::TimedOut);
        if silent && attempt.effect != Effect::Read {
            assert!(attempt.stage < Stage::Sent, "{attempt:?}");
        }
    }
    assert!(again > 0);
}

// The outcome "not run" must be true: a request that was sent completely and got no answer never has that
// outcome, unless it belongs to a transaction without a commit.
#[test]
fn no_answer_claims_not_run_for_requests_that_may_have_run() {
    for attempt in all_attempts() {
        let RetryVerdict::Answer(kind) = decide(&attempt) else { continue };
        let silent = matches!(attempt.failure, Failure::Broken | Failure::TimedOut);
        let open = attempt.in_transaction && attempt.effect != Effect::Commit;
        if silent && attempt.stage >= Stage::Sent && !open {
            assert_eq!(kind.answer().outcome, Outcome::Unknown, "{attempt:?}");
        }
    }
}

#[test]
fn retries_are_limited() {
    let mut exhausted = attempt(Effect::Read, Stage::Sent, false, Failure::Broken);
    exhausted.retries = retry::MAX_RETRIES;
    assert_eq!(decide(&exhausted), RetryVerdict::Answer(ErrorKind::AnswerLost));
    let budget = RetryBudget::new(10, 10);
    let unsent = attempt(Effect::Write, Stage::NothingSent, false, Failure::Broken);
    let late = retry::decide(&unsent, &budget, 0);
    assert_eq!(late, RetryVerdict::Answer(ErrorKind::WaitTimedOut));
}

// All requests fail at once. Without a budget each would be sent four times, and a recovering group would get
// four times its load. The budget allows retries for a tenth of the requests.
#[test]
fn the_budget_bounds_retries_to_a_share_of_the_requests() {
    let budget = RetryBudget::new(10, 20);
    let failed = attempt(Effect::Write, Stage::NothingSent, false, Failure::Broken);
    let mut again = 0;
    for _ in 0..1_000 {
        budget.request_started();
        again += u32::from(retry::decide(&failed, &budget, REMAINING_US) == RetryVerdict::Retry);
    }
    // The burst of 20, and a tenth of the thousand requests. The budget is full at the first request.
    assert_eq!(again, 119);
    let spent = retry::decide(&failed, &budget, REMAINING_US);
    assert_eq!(spent, RetryVerdict::Answer(ErrorKind::RetryBudgetSpent));
    for _ in 0..10_000 {
        budget.request_started();
    }
    assert_eq!(budget.retries_left(), 20);
    assert_eq!(budget.verify(), Vec::<String>::new());
}

#[test]
fn a_denied_retry_costs_no_budget() {
    let budget = RetryBudget::new(10, 3);
    let sent = attempt(Effect::Write, Stage::Sent, false, Failure::Broken);
    retry::decide(&sent, &budget, REMAINING_US);
    assert_eq!(budget.retries_left(), 3);
}

#[test]
fn a_hop_never_grants_more_than_it_has() {
    assert_eq!(retry::hop_deadline_ms(10_999, 1_000), Some(9));
    assert_eq!(retry::hop_deadline_ms(1_999, 1_000), None);
    assert_eq!(retry::hop_deadline_ms(500, 1_000), None);
    assert_eq!(retry::deadline_us(7, 9), 9_007);
    assert_eq!(retry::deadline_us(7, u64::MAX), u64::MAX);
    assert_eq!(retry::next_hop(0), Some(1));
    assert_eq!(retry::next_hop(retry::MAX_HOPS), None);
}
