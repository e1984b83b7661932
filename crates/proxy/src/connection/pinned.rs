//! A target connection that belongs to one caller until its transaction ends.

use std::sync::Arc;

use crate::connection::cancel::CancelSlot;
use crate::connection::lease::Lease;
use crate::connection::target_connection::TargetConnection;
use crate::request::context::Scene;
use crate::request::exchange::Ending;

/// The connection of an open transaction, and what the transaction's later requests need.
#[derive(Debug)]
pub struct Pinned {
    /// The connection.
    pub lease: Lease<TargetConnection>,
    /// The version that the transaction was routed with.
    pub scene: Scene,
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
        give_back(self.lease, cancel);
    }
}

/// Gives a connection back, unless a cancel was passed on to it that may arrive late and hit the
/// request of the next caller.
pub fn give_back(lease: Lease<TargetConnection>, cancel: &Arc<CancelSlot>) {
    match cancel.release() {
        true => lease.close(),
        false => lease.give_back(),
    }
}

/// Closes a connection.
pub fn close(lease: Lease<TargetConnection>, cancel: &Arc<CancelSlot>) {
    cancel.release();
    drop(lease);
}

/// Ends the hold of a request that has no answer: a connection that still works is drained and
/// reset, one that said goodbye is closed.
pub fn close_or_recover(lease: Lease<TargetConnection>, cancel: &Arc<CancelSlot>, ending: &Ending) {
    match ending {
        Ending::Farewell(_) => close(lease, cancel),
        _ => give_back(lease, cancel),
    }
}
