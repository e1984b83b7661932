//! The typed statements of protocols that state what a request does.
//!
//! A text of SQL has to be looked at to learn whether it writes. A typed statement says so itself,
//! so routing, retries and pooling follow from the type.

use std::sync::Arc;

use crate::request::retry::Effect;

/// One statement of a caller, borrowed from the message that brought it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Statement<'a> {
    /// Opens a transaction.
    Begin {
        /// Whether the caller says that it will only read.
        read_only: bool,
    },
    /// Ends the transaction and keeps what it wrote.
    Commit,
    /// Ends the transaction and drops what it wrote.
    Rollback,
    /// Reads one item.
    Read {
        /// The item.
        item: &'a str,
    },
    /// Writes one item.
    Write {
        /// The item and the data, as the caller spelled them.
        arguments: &'a str,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Prepares a statement under a name of the caller's.
    Prepare {
        /// The name.
        name: &'a str,
        /// What the statement will do.
        prepared: PreparedShape<'a>,
    },
    /// Runs a prepared statement.
    Execute {
        /// The name that the caller prepared it under.
        name: &'a str,
        /// The item and, for a write, the data.
        arguments: &'a str,
    },
    /// Forgets a prepared statement.
    Close {
        /// The name.
        name: &'a str,
    },
}

/// What a prepared statement does.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct PreparedShape<'a> {
    /// Whether it reads or writes.
    pub effect: Effect,
    /// What distinguishes it from other statements of the same effect.
    pub shape: &'a str,
}

/// A prepared statement as a session keeps it.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Prepared {
    /// Whether it reads or writes.
    pub effect: Effect,
    /// What distinguishes it from other statements of the same effect.
    pub shape: Arc<str>,
}

impl Prepared {
    /// The statement, borrowed.
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
    /// Inside a transaction that failed: only its end is accepted.
    Failed,
}

/// Why a target refused or failed a statement.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum TargetError {
    /// Its queue is full, or it is starting. Not run.
    Busy,
    /// The transaction was rolled back. Nothing is kept.
    Aborted,
    /// Its log lacks the position that was asked for. Not run.
    Lagging,
    /// It does not lead, so it takes no writes. Not run.
    ReadOnly,
    /// It is not the target that the connection asked for. Not run.
    Misrouted,
    /// It has as many connections as it accepts. Not run.
    TooManyConnections,
    /// It does not know the prepared statement. Not run.
    UnknownPrepared,
    /// The proxy that leads to it can't reach it. Not run.
    Unreachable,
    /// It ran the statement and failed.
    Failed,
    /// It ran the statement for longer than it allows.
    TimedOut,
    /// It can't tell whether a commit took effect.
    InDoubt,
    /// It does not understand the message.
    Malformed,
    /// Anything else. Nothing is promised.
    Other,
}

impl TargetError {
    /// The SQLSTATE with the same meaning, by which [`crate::request::retry`] decides.
    pub fn sqlstate(self) -> [u8; 5] {
        match self {
            TargetError::Busy | TargetError::Unreachable => *b"57P03",
            TargetError::Aborted => *b"40001",
            TargetError::Lagging | TargetError::UnknownPrepared => *b"57P03",
            TargetError::ReadOnly => *b"25006",
            TargetError::Misrouted => *b"3D000",
            TargetError::TooManyConnections => *b"53300",
            TargetError::Failed | TargetError::Other => *b"XX000",
            TargetError::TimedOut => *b"57014",
            TargetError::InDoubt => *b"08007",
            TargetError::Malformed => *b"08P01",
        }
    }
}
