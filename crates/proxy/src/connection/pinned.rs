//! A target connection that is reserved for one caller until its transaction ends.

use std::sync::Arc;

use crate::connection::cancel::CancelSlot;
use crate::connection::lease::Lease;
use crate::connection::target_connection::TargetConnection;
use crate::request::context::GroupSnapshot;
use crate::request::exchange::ExchangeResult;

/// The connection of an open transaction, with the context that the transaction's later requests need.
#[derive(Debug)]
pub struct Pinned {
    /// The lease of the connection.
    pub lease: Lease<TargetConnection>,
    /// The version that the transaction was routed with.
    pub snapshot: GroupSnapshot,
    /// Whether the other end is a proxy, which waits for confirmations itself.
    pub is_peer: bool,
    /// Whether the transaction was routed as a read.
    pub is_read: bool,
    /// Whether messages were flushed without a subsequent Sync.
    pub awaits_sync: bool,
    /// Whether the transaction is implicit, so that the next Sync commits what the flushed messages
    /// did.
    pub is_implicit: bool,
    /// The session's identity, under which its writes are recorded; `None` if it declared none.
    pub identity: Option<Box<str>>,
    /// The time limit of each statement, in milliseconds.
    pub deadline_ms: u64,
}

impl Pinned {
    /// Ends the transaction. The connection returns to its pool, where it is rolled back and reset, or
    /// is closed if a cancel request may still reach it.
    pub fn end(self, cancel: &Arc<CancelSlot>) {
        return_to_pool(self.lease, cancel);
    }
}

/// Returns a connection to its pool, or closes it if a cancel request was forwarded to it: the cancel
/// may arrive late and hit the request of the next caller.
pub fn return_to_pool(lease: Lease<TargetConnection>, cancel: &Arc<CancelSlot>) {
    match cancel.release() {
        true => lease.close(),
        false => lease.return_to_pool(),
    }
}

/// Closes a connection without waiting for the other end.
pub fn close(lease: Lease<TargetConnection>, cancel: &Arc<CancelSlot>) {
    cancel.release();
    drop(lease);
}

/// Releases the connection of a request without a complete answer: a working connection is drained and
/// reset, one that the other end terminated is closed.
pub fn close_or_recover(
    lease: Lease<TargetConnection>,
    cancel: &Arc<CancelSlot>,
    result: &ExchangeResult,
) {
    match result {
        ExchangeResult::Terminated(_) => close(lease, cancel),
        _ => return_to_pool(lease, cancel),
    }
}
