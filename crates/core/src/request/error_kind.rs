//! The closed list of answers that refuse or give up a request, and the table from kind to answer.
//!
//! The table states for every kind whether the request ran. `NotRun` is a promise: the proxy sent
//! nothing of the request to a target, or the target itself refused it before running it.

use std::fmt;

/// Whether a refused request had an effect.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Outcome {
    /// Provably not run: safe to repeat.
    NotRun,
    /// Ran, and the answer says how it ended.
    Ran,
    /// It can't be known whether it ran: not to be repeated without looking.
    Unknown,
}

impl Outcome {
    /// The words that the answer carries for the caller.
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
    /// The message, without the outcome's words.
    pub message: &'static str,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The name of the kind in counters, settings and documents.
    pub name: &'static str,
    /// When to come back unless the situation gives a better estimate, in milliseconds; zero where
    /// coming back can't help.
    pub retry_after_ms: u64,
    /// Whether the connection is closed after this answer.
    pub closes: bool,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $sqlstate:literal, $outcome:ident,
       $retry_after_ms:literal, $closes:literal, $message:literal;)*) => {
        /// Why a request was refused or given up.
        #[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// The answer that a caller gets for this kind.
            pub fn answer(self) -> Answer {
                match self {
                    $(ErrorKind::$kind => Answer {
                        sqlstate: $sqlstate,
                        message: $message,
                        outcome: Outcome::$outcome,
                        name: $name,
                        retry_after_ms: $retry_after_ms,
                        closes: $closes,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    /// The queue of the target holds as many requests as its bound.
    QueueFull = "queue_full", "53000", NotRun, 500, false,
        "the queue for this group is full";
    /// The predicted wait for a connection passes the request's deadline.
    DeadlineUnreachable = "deadline_unreachable", "53000", NotRun, 500, false,
        "the predicted wait for a connection passes the deadline";
    /// The deadline passed while the request waited for a connection.
    WaitTimedOut = "wait_timed_out", "53000", NotRun, 500, false,
        "no connection became free before the deadline";
    /// The group has no known primary now.
    NoPrimary = "no_primary", "57P03", NotRun, 250, false,
        "the group has no primary now";
    /// Too few members say that the primary was not replaced, so reads at it may miss what its successor
    /// acknowledged.
    LeadUnproved = "lead_unproved", "57P03", NotRun, 250, false,
        "too few members of the group can be asked whether the primary still leads";
    /// A change of primary that an operator ordered holds back new writes for a moment.
    PrimaryMoving = "primary_moving", "57P03", NotRun, 100, false,
        "the primary is being moved";
    /// Confirmations of a majority are known to stall, so a write could not be acknowledged.
    ConfirmationsStalled = "confirmations_stalled", "57P03", NotRun, 500, false,
        "a majority of the group can't confirm writes now";
    /// No member can show data as new as the session's own writes in time.
    FloorUnreachable = "floor_unreachable", "57P03", NotRun, 250, false,
        "no reachable member holds this session's own writes yet";
    /// No member can show data as young as the read kind asks for.
    TooOld = "too_old", "57P03", NotRun, 250, false,
        "no reachable member can show data young enough for this kind of read";
    /// The target can't be connected to.
    TargetUnreachable = "target_unreachable", "08001", NotRun, 500, false,
        "the target can't be reached";
    /// The target refused the work because it is no longer the primary.
    TargetNotPrimary = "target_not_primary", "25006", NotRun, 100, false,
        "the target is not the primary of the group";
    /// The target refused the work because it is leaving.
    TargetLeaving = "target_leaving", "57P03", NotRun, 100, false,
        "the target is leaving";
    /// The target refused the work because it has too much to do.
    TargetBusy = "target_busy", "57P03", NotRun, 100, false,
        "the target has too much to do";
    /// A read got no answer from any member. It changed nothing.
    ReadFailed = "read_failed", "58030", Unknown, 100, false,
        "the read got no answer";
    /// The caller runs a statement that it did not prepare.
    UnknownPrepared = "unknown_prepared", "26000", NotRun, 0, false,
        "there is no prepared statement of this name";
    /// The connection to the target broke before an answer to a request that may have run.
    AnswerLost = "answer_lost", "08007", Unknown, 0, true,
        "the answer was lost; look before repeating";
    /// The write ran at the primary, and no majority confirmed it in time.
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
    /// The caller does not read its answer, or does not finish a message that it began.
    CallerTooSlow = "caller_too_slow", "57014", Unknown, 0, true,
        "the caller was too slow to send or receive";
    /// The proxy, or the caller's share of it, has no room for another connection.
    TooManyConnections = "too_many_connections", "53300", NotRun, 1000, true,
        "too many connections";
    /// The start-up did not finish in time.
    StartupTimedOut = "startup_timed_out", "08P01", NotRun, 0, true,
        "the start-up packet did not arrive in time";
    /// The caller breaks the protocol.
    ProtocolViolation = "protocol_violation", "08P01", NotRun, 0, true,
        "the message violates the protocol";
    /// The start-up names a database that no group has.
    UnknownGroup = "unknown_group", "3D000", NotRun, 0, true,
        "no group has this name";
    /// The caller's key is no organisation's, or no longer.
    UnknownKey = "unknown_key", "28000", NotRun, 0, true,
        "the key is not known";
    /// The caller's organisation runs as many operations as its limit allows, over all VMs.
    OverLimit = "over_limit", "53400", NotRun, 500, false,
        "the organisation's limit of operations is reached";
    /// No VM that could say whether the organisation's limit has room can be reached.
    LimitUnknown = "limit_unknown", "53400", NotRun, 500, false,
        "whether the organisation's limit has room can't be asked now";
    /// A `skylark.*` parameter has a value that is not accepted.
    BadParameter = "bad_parameter", "22023", NotRun, 0, false,
        "the value of the parameter is not accepted";
    /// A feature of the protocol that the proxy does not forward.
    Unsupported = "unsupported", "0A000", NotRun, 0, false,
        "this feature is not supported";
    /// The proxy is shutting down and takes no new work.
    ShuttingDown = "shutting_down", "57P01", NotRun, 100, true,
        "this proxy is shutting down; connect again";
    /// The proxy has no configuration yet.
    NotReady = "not_ready", "57P03", NotRun, 500, true,
        "this proxy has no configuration yet";
    /// A request was forwarded more often than the bound on hops allows.
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
