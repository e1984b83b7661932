//! The kinds of errors by which the proxy refuses or aborts a request, and the answer for each kind.
//!
//! The table states for every kind whether the request ran. `NotRun` is a guarantee: the proxy sent
//! no part of the request to a target, or the target refused it before running it.

use std::fmt;

/// Whether a refused request had an effect.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Outcome {
    /// It provably did not run, so repeating it is safe.
    NotRun,
    /// It ran, and the answer contains its result.
    Ran,
    /// It may have run. The caller must check its effect before repeating it.
    Unknown,
}

impl Outcome {
    /// Returns the text of the outcome in the answer to the caller.
    pub fn description(self) -> &'static str {
        match self {
            Outcome::NotRun => "not run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "outcome unknown",
        }
    }
}

/// The answer of one error kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Answer {
    /// The five-character SQLSTATE code.
    pub sqlstate: &'static str,
    /// The message, without the text of the outcome.
    pub message: &'static str,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The name of the kind in counters, settings and documents.
    pub name: &'static str,
    /// The default time until the caller should retry, in milliseconds, for cases without a better
    /// estimate; zero where a retry can't help.
    pub retry_after_ms: u64,
    /// Whether the connection is closed after this answer.
    pub closes_connection: bool,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $sqlstate:literal, $outcome:ident,
       $retry_after_ms:literal, $closes_connection:literal, $message:literal;)*) => {
        /// The reason why a request was refused or aborted.
        #[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Returns the answer that a caller gets for this kind.
            pub fn answer(self) -> Answer {
                match self {
                    $(ErrorKind::$kind => Answer {
                        sqlstate: $sqlstate,
                        message: $message,
                        outcome: Outcome::$outcome,
                        name: $name,
                        retry_after_ms: $retry_after_ms,
                        closes_connection: $closes_connection,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The queue of the target is full.
    QueueFull = "queue_full", "53000", NotRun, 500, false,
        "the queue for this group is full";
    /// The predicted wait for a connection exceeds the request's deadline.
    DeadlineUnreachable = "deadline_unreachable", "53000", NotRun, 500, false,
        "the predicted wait for a connection passes the deadline";
    /// The deadline passed while the request waited for a connection.
    WaitTimedOut = "wait_timed_out", "53000", NotRun, 500, false,
        "no connection became free before the deadline";
    /// The group has no known primary at the moment.
    NoPrimary = "no_primary", "57P03", NotRun, 250, false,
        "the group has no primary now";
    /// Too few members confirm that the primary was not replaced, so reads at it may miss commits that
    /// its successor acknowledged.
    LeadUnproved = "lead_unproved", "57P03", NotRun, 250, false,
        "too few members of the group can be asked whether the primary still leads";
    /// New writes are held back briefly by a switchover that an operator requested.
    PrimaryMoving = "primary_moving", "57P03", NotRun, 100, false,
        "the primary is being moved";
    /// Confirmations by a majority have stalled, so a write could not be acknowledged.
    ConfirmationsStalled = "confirmations_stalled", "57P03", NotRun, 500, false,
        "a majority of the group can't confirm writes now";
    /// No member that holds the session's own writes is available in time.
    FloorUnreachable = "floor_unreachable", "57P03", NotRun, 250, false,
        "no reachable member holds this session's own writes yet";
    /// No member can prove that its data is fresh enough for the read kind.
    TooOld = "too_old", "57P03", NotRun, 250, false,
        "no reachable member can show data young enough for this kind of read";
    /// Connecting to the target failed.
    TargetUnreachable = "target_unreachable", "08001", NotRun, 500, false,
        "the target can't be reached";
    /// The target refused the request because it is no longer the primary.
    TargetNotPrimary = "target_not_primary", "25006", NotRun, 100, false,
        "the target is not the primary of the group";
    /// The target refused the request because it is leaving.
    TargetLeaving = "target_leaving", "57P03", NotRun, 100, false,
        "the target is leaving";
    /// The target refused the request because it is overloaded.
    TargetBusy = "target_busy", "57P03", NotRun, 100, false,
        "the target has too much to do";
    /// A read got no answer from any member. It had no effect.
    ReadFailed = "read_failed", "58030", Unknown, 100, false,
        "the read got no answer";
    /// The caller runs a statement that it did not prepare.
    UnknownPrepared = "unknown_prepared", "26000", NotRun, 0, false,
        "there is no prepared statement of this name";
    /// The connection to the target broke before the answer to a request that may have run arrived.
    AnswerLost = "answer_lost", "08007", Unknown, 0, true,
        "the answer was lost; look before repeating";
    /// The write ran at the primary, but no majority confirmed it in time.
    NotConfirmed = "not_confirmed", "08007", Unknown, 0, true,
        "the commit was not confirmed by a majority in time; look before repeating";
    /// The request's deadline passed after it was sent to the target.
    AnswerTimedOut = "answer_timed_out", "57014", Unknown, 0, true,
        "no answer before the deadline; look before repeating";
    /// The transaction's connection was lost before its commit was sent.
    TransactionLost = "transaction_lost", "40001", NotRun, 100, false,
        "the transaction was rolled back because its connection was lost";
    /// The caller left a transaction open and idle for too long.
    IdleInTransaction = "idle_in_transaction", "25P03", NotRun, 0, true,
        "the transaction was idle for too long and was rolled back";
    /// The caller sends a message larger than the limit.
    MessageTooLarge = "message_too_large", "54000", NotRun, 0, true,
        "the message is larger than the limit";
    /// The caller reads its answer too slowly, or does not complete a message that it started.
    CallerTooSlow = "caller_too_slow", "57014", Unknown, 0, true,
        "the caller was too slow to send or receive";
    /// The proxy's connection limit, or the caller's limit, is reached.
    TooManyConnections = "too_many_connections", "53300", NotRun, 1000, true,
        "too many connections";
    /// The start-up packet did not arrive in time.
    StartupTimedOut = "startup_timed_out", "08P01", NotRun, 0, true,
        "the start-up packet did not arrive in time";
    /// The caller violated the protocol.
    ProtocolViolation = "protocol_violation", "08P01", NotRun, 0, true,
        "the message violates the protocol";
    /// The start-up packet names a database that no group has.
    UnknownGroup = "unknown_group", "3D000", NotRun, 0, true,
        "no group has this name";
    /// The caller's API key belongs to no organisation, or was revoked.
    UnknownKey = "unknown_key", "28000", NotRun, 0, true,
        "the key is not known";
    /// The caller's organisation has reached its limit of operations, counted over all VMs.
    OverLimit = "over_limit", "53400", NotRun, 500, false,
        "the organisation's limit of operations is reached";
    /// No VM that tracks the organisation's limit is reachable, so whether it is exhausted is unknown.
    LimitUnknown = "limit_unknown", "53400", NotRun, 500, false,
        "whether the organisation's limit has room can't be asked now";
    /// A `skylark.*` parameter has an invalid value.
    BadParameter = "bad_parameter", "22023", NotRun, 0, false,
        "the value of the parameter is not accepted";
    /// The request uses a protocol feature that the proxy does not support.
    Unsupported = "unsupported", "0A000", NotRun, 0, false,
        "this feature is not supported";
    /// The proxy is shutting down and accepts no new work.
    ShuttingDown = "shutting_down", "57P01", NotRun, 100, true,
        "this proxy is shutting down; connect again";
    /// The proxy has no configuration yet.
    NotReady = "not_ready", "57P03", NotRun, 500, true,
        "this proxy has no configuration yet";
    /// The request exceeded the maximum number of hops between proxies.
    TooManyHops = "too_many_hops", "57P03", NotRun, 250, false,
        "the request was forwarded too often";
    /// The retry budget of the group is spent.
    RetryBudgetSpent = "retry_budget_spent", "57P03", NotRun, 1000, false,
        "the request did not run and the retry budget is spent";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answer = self.answer();
        write!(f, "{} ({})", answer.message, answer.outcome.description())
    }
}
