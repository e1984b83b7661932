//! Records of a group's log.
//!
//! A record holds the statements of one committed transaction, in order. Replicas run them again:
//! the engine is the same, the state before them is the same, and what else a statement could see
//! (the time, random numbers) is kept with it.

use std::sync::Arc;
use std::time::Instant;

use rusqlite::types::Value;
use skylark_core::log_position::LogPosition;

/// A statement that wrote something.
#[derive(Clone, PartialEq, Debug)]
pub struct LoggedStatement {
    /// The engine's text.
    pub sql: Arc<str>,
    /// The parameters in order.
    pub parameters: Vec<Value>,
    /// What random numbers of the statement start from.
    pub seed: u64,
}

/// A record. The opening of a term is one without statements.
#[derive(Clone, PartialEq, Debug)]
pub struct Record {
    /// The record's place.
    pub position: LogPosition,
    /// The time at which the primary wrote it. Replicas of the same process count their lag from here.
    pub written_at: Instant,
    /// The transaction's time, in microseconds since the Unix epoch.
    pub time_us: i64,
    /// The statements.
    pub statements: Vec<LoggedStatement>,
}
