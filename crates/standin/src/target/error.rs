//! The errors of a target, with their SQLSTATEs.

use std::fmt;

use rusqlite::ErrorCode;
use rusqlite::ffi;

/// An error.
#[derive(Debug)]
pub enum TargetError {
    /// All connections are taken.
    TooManyConnections,
    /// The database of the start-up packet isn't this target's group.
    UnknownDatabase(String),
    /// The target is leaving.
    Leaving,
    /// A write at a member that is not the primary.
    NotPrimary,
    /// A write in a transaction that was declared read-only.
    ReadOnlyTransaction,
    /// The caller cancelled the statement.
    Cancelled,
    /// A statement in a transaction that has failed.
    FailedTransaction,
    /// A statement that is not allowed inside a transaction.
    InsideTransaction(&'static str),
    /// No savepoint has this name, or no transaction is open.
    UnknownSavepoint(String),
    /// No prepared statement has this name.
    UnknownStatement(String),
    /// No portal has this name.
    UnknownPortal(String),
    /// A value that is invalid for its type, or an unsupported type.
    BadValue(String),
    /// A feature that the stand-in does not support.
    Unsupported(String),
    /// The peer violates the protocol.
    Protocol(String),
    /// A control command that can't be read.
    BadCommand(String),
    /// The engine refused or failed.
    Engine(rusqlite::Error),
}

impl TargetError {
    /// The five-character code.
    pub fn sqlstate(&self) -> &'static str {
        match self {
            TargetError::TooManyConnections => "53300",
            TargetError::UnknownDatabase(_) => "3D000",
            TargetError::Leaving => "57P01",
            TargetError::NotPrimary | TargetError::ReadOnlyTransaction => "25006",
            TargetError::Cancelled => "57014",
            TargetError::FailedTransaction => "25P02",
            TargetError::InsideTransaction(_) => "25001",
            TargetError::UnknownSavepoint(_) => "3B001",
            TargetError::UnknownStatement(_) => "26000",
            TargetError::UnknownPortal(_) => "34000",
            TargetError::BadValue(_) => "22023",
            TargetError::Unsupported(_) => "0A000",
            TargetError::Protocol(_) => "08P01",
            TargetError::BadCommand(_) => "42601",
            TargetError::Engine(error) => engine_sqlstate(error),
        }
    }
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TargetError::TooManyConnections => f.write_str("sorry, too many clients already"),
            TargetError::UnknownDatabase(name) => write!(f, "database \"{name}\" does not exist"),
            TargetError::Leaving => f.write_str("the target is leaving"),
            TargetError::NotPrimary => f.write_str("this member is not the primary of its group"),
            TargetError::ReadOnlyTransaction => {
                f.write_str("cannot write in a read-only transaction")
            }
            TargetError::Cancelled => f.write_str("canceling statement due to user request"),
            TargetError::FailedTransaction => f.write_str(
                "current transaction is aborted, commands ignored until end of transaction block",
            ),
            TargetError::InsideTransaction(what) => {
                write!(f, "{what} cannot run inside a transaction block")
            }
            TargetError::UnknownSavepoint(name) => {
                write!(f, "savepoint \"{name}\" does not exist")
            }
            TargetError::UnknownStatement(name) => {
                write!(f, "prepared statement \"{name}\" does not exist")
            }
            TargetError::UnknownPortal(name) => write!(f, "portal \"{name}\" does not exist"),
            TargetError::Unsupported(what) => write!(f, "{what} is not supported"),
            TargetError::BadValue(reason)
            | TargetError::Protocol(reason)
            | TargetError::BadCommand(reason) => f.write_str(reason),
            TargetError::Engine(rusqlite::Error::SqlInputError { msg, .. }) => f.write_str(msg),
            TargetError::Engine(error) => error.fmt(f),
        }
    }
}

impl From<rusqlite::Error> for TargetError {
    fn from(error: rusqlite::Error) -> TargetError {
        TargetError::Engine(error)
    }
}

fn engine_sqlstate(error: &rusqlite::Error) -> &'static str {
    let code = match error {
        rusqlite::Error::SqliteFailure(code, _) => *code,
        rusqlite::Error::SqlInputError { error, .. } => *error,
        _ => return "XX000",
    };
    match code.extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE | ffi::SQLITE_CONSTRAINT_PRIMARYKEY => return "23505",
        ffi::SQLITE_CONSTRAINT_NOTNULL => return "23502",
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => return "23503",
        ffi::SQLITE_CONSTRAINT_CHECK => return "23514",
        _ => {}
    }
    match code.code {
        ErrorCode::ConstraintViolation => "23000",
        ErrorCode::TypeMismatch => "42804",
        ErrorCode::TooBig => "54000",
        _ => text_sqlstate(&error.to_string()),
    }
}

/// The engine has one code for all errors in a text, which differ in their messages.
fn text_sqlstate(message: &str) -> &'static str {
    const BY_MESSAGE: [(&str, &str); 7] = [
        ("no such table", "42P01"),
        ("no such column", "42703"),
        ("has no column named", "42703"),
        ("no such function", "42883"),
        ("already exists", "42P07"),
        ("syntax error", "42601"),
        ("incomplete input", "42601"),
    ];
    let found = BY_MESSAGE.iter().find(|(part, _)| message.contains(part));
    found.map_or("42000", |(_, sqlstate)| sqlstate)
}
