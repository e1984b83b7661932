//! What a target counts.

use serde::Serialize;

use crate::counter::Counter;

/// The counters of one target.
#[derive(Debug, Default, Serialize)]
pub struct Counters {
    /// Callers' connections accepted.
    pub connections: Counter,
    /// Connections refused because all were taken.
    pub refused_connections: Counter,
    /// Control connections accepted.
    pub control_connections: Counter,
    /// Statements that ran without writing.
    pub reads: Counter,
    /// Commits that wrote something.
    pub commits: Counter,
    /// Writes and commits refused because the target is not the primary.
    pub refused_writes: Counter,
    /// Notices of the status sent.
    pub notices: Counter,
    /// Statements cancelled.
    pub cancelled: Counter,
    /// Rewinds of the log.
    pub rewinds: Counter,
}
