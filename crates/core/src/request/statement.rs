//! Statements of protocols whose messages state the type of a request.
//!
//! Whether SQL text writes can only be learned by classifying the text. The type of a typed statement
//! states it, and routing, retries and pooling depend on that type.

use std::sync::Arc;

use crate::request::error_kind::ErrorKind;
use crate::request::retry::Effect;

/// A statement of a caller, borrowed from its message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Statement<'a> {
    /// Opens a transaction.
    Begin {
        /// Whether the caller declared the transaction read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls back the transaction.
    Rollback,
    /// Reads one item.
    Read {
        /// The name of the item.
        item: &'a str,
    },
    /// Writes one item.
    Write {
        /// The item and the data, as sent by the caller.
        arguments: &'a str,
    },
    /// Sets a session variable.
    Set {
        /// The name of the variable.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement under a name chosen by the caller.
    Prepare {
        /// The name.
        name: &'a str,
        /// The effect and shape of the statement.
        prepared: PreparedShape<'a>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name under which the caller prepared it.
        name: &'a str,
        /// The item and, for a write, the data.
        arguments: &'a str,
    },
    /// Deallocates a prepared statement.
    Close {
        /// The name.
        name: &'a str,
    },
}

/// The effect and shape of a prepared statement, borrowed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct PreparedShape<'a> {
    /// Whether it reads or writes.
    pub effect: Effect,
    /// What distinguishes it from other statements of the same effect.
    pub shape: &'a str,
}

/// A prepared statement as a session stores it.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Prepared {
    /// Whether it reads or writes.
    pub effect: Effect,
    /// What distinguishes it from other statements of the same effect.
    pub shape: Arc<str>,
}

impl Prepared {
    /// Borrows the statement.
    pub fn as_shape(&self) -> PreparedShape<'_> {
        PreparedShape { effect: self.effect, shape: &self.shape }
    }
}

/// Whether a session is inside a transaction.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum TransactionStatus {
    /// Outside a transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a failed transaction, which only accepts its end.
    Failed,
}

/// A refusal by the admission queue of the proxy in front of a target. The statement was not run.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct NotAdmitted {
    /// The reason of the queue.
    pub kind: ErrorKind,
    /// The time after which a retry may succeed, in milliseconds.
    pub retry_after_ms: u32,
}

/// The reason why a target refused a statement, or why the statement failed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum TargetError {
    /// Its queue is full, or it is starting. Not run.
    Busy,
    /// The transaction was rolled back and has no effect.
    Aborted,
    /// Its log lacks the required position. Not run.
    Lagging,
    /// It is not the primary, so it accepts no writes. Not run.
    ReadOnly,
    /// It is not the target that the connection requested. Not run.
    Misrouted,
    /// It has reached its connection limit. Not run.
    TooManyConnections,
    /// The prepared statement is unknown. Not run.
    UnknownPrepared,
    /// The proxy in front of it can't reach it. Not run.
    Unreachable,
    /// The proxy in front of it did not admit the statement. Not run.
    NotAdmitted(NotAdmitted),
    /// The statement ran and failed.
    Failed,
    /// The statement exceeded the time limit of the target.
    TimedOut,
    /// The target does not know whether a commit took effect.
    InDoubt,
    /// The message is malformed.
    Malformed,
    /// Any other error. Whether the statement ran is unknown.
    Other,
}

impl TargetError {
    /// Returns the SQLSTATE with the same meaning, which [`crate::request::retry`] uses.
    pub fn sqlstate(self) -> [u8; 5] {
        match self {
            TargetError::Busy | TargetError::Unreachable => *b"57P03",
            TargetError::Aborted => *b"40001",
            TargetError::Lagging | TargetError::UnknownPrepared => *b"57P03",
            TargetError::ReadOnly => *b"25006",
            TargetError::Misrouted => *b"3D000",
            TargetError::NotAdmitted(_) => *b"53000",
            TargetError::TooManyConnections => *b"53300",
            TargetError::Failed | TargetError::Other => *b"XX000",
            TargetError::TimedOut => *b"57014",
            TargetError::InDoubt => *b"08007",
            TargetError::Malformed => *b"08P01",
        }
    }
}
