//! Records of a group's log.
//!
//! A record holds the statements of one committed transaction, in order. Replicas run them again with the
//! same result: the engine and the state before them are the same, and the other inputs of a statement
//! (the time, random numbers) are part of the record.

use std::sync::Arc;
use std::time::Instant;

use rusqlite::types::Value;
use skylark_core::log_position::LogPosition;

/// A statement that wrote.
#[derive(Clone, PartialEq, Debug)]
pub struct LoggedStatement {
    /// The engine's text.
    pub sql: Arc<str>,
    /// The parameters in order.
    pub parameters: Vec<Value>,
    /// The seed of the statement's random numbers.
    pub seed: u64,
}

/// A record. The opening of a term is one without statements.
#[derive(Clone, PartialEq, Debug)]
pub struct Record {
    /// The position in the log.
    pub position: LogPosition,
    /// The time at which the primary wrote it. Replicas in the same process measure their lag from it.
    pub written_at: Instant,
    /// The transaction's time, in microseconds since the Unix epoch.
    pub time_us: i64,
    /// The statements.
    pub statements: Vec<LoggedStatement>,
}
