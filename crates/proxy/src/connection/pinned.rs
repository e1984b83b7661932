//! A target connection that belongs to one caller until its transaction ends.

use std::sync::Arc;

use crate::connection::cancel::CancelSlot;
use crate::connection::lease::Lease;
use crate::connection::target_connection::TargetConnection;
use crate::request::context::GroupSnapshot;
use crate::request::exchange::ExchangeResult;

/// The connection of an open transaction, and what the transaction's later requests need.
#[derive(Debug)]
pub struct Pinned {
    /// The connection.
    pub lease: Lease<TargetConnection>,
    /// The version that the transaction was routed with.
    pub snapshot: GroupSnapshot,
    /// Whether the other end is a proxy, which waits for confirmations itself.
    pub is_peer: bool,
    /// Whether the transaction was routed as a read.
    pub is_read: bool,
    /// Messages were flushed that no Sync has ended.
    pub awaits_sync: bool,
    /// Whether the end of the transaction by COMMIT is not the only one: the Sync that ends flushed
    /// messages commits what they did.
    pub is_implicit: bool,
    /// The session's identity, under which its writes are recorded.
    pub identity: Option<Box<str>>,
    /// The time limit of each statement.
    pub deadline_ms: u64,
}

impl Pinned {
    /// Ends the transaction: the connection goes back, or is closed if a cancel may still hit it.
    pub fn end(self, cancel: &Arc<CancelSlot>) {
        return_to_pool(self.lease, cancel);
    }
}

/// Gives a connection back, unless a cancel was passed on to it that may arrive late and hit the
/// request of the next caller.
pub fn return_to_pool(lease: Lease<TargetConnection>, cancel: &Arc<CancelSlot>) {
    match cancel.release() {
        true => lease.close(),
        false => lease.return_to_pool(),
    }
}

/// Closes a connection.
pub fn close(lease: Lease<TargetConnection>, cancel: &Arc<CancelSlot>) {
    cancel.release();
    drop(lease);
}

/// Ends the hold of a request that has no answer: a connection that still works is drained and
/// reset, one that said goodbye is closed.
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
