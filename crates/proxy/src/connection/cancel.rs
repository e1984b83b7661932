//! Cancel requests, which are forwarded only to the connection that currently runs the caller's
//! request.
//!
//! A cancel request that arrives late would hit the next request on the same target connection, which
//! belongs to another caller. Two rules prevent this: the target's key is looked up while the request
//! holds the connection, and a connection that was cancelled is not reused.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use parking_lot::Mutex;
use postgres_protocol::message::frontend;
use skylark_core::FastMap;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::socket;
use crate::connection::target_connection::CancelKey;

/// The target connection that a caller's request currently holds.
#[derive(Debug, Default)]
pub struct CancelSlot {
    held: Mutex<Option<Held>>,
}

#[derive(Debug)]
struct Held {
    address: String,
    key: CancelKey,
    cancelled: bool,
}

impl CancelSlot {
    /// Records that the caller's request holds a connection.
    pub fn hold(&self, address: &str, key: CancelKey) {
        *self.held.lock() = Some(Held { address: address.to_owned(), key, cancelled: false });
    }

    /// Clears the held connection. Returns whether a cancel request was forwarded to it, which may
    /// still arrive.
    pub fn release(&self) -> bool {
        self.held.lock().take().is_some_and(|held| held.cancelled)
    }

    fn mark_cancelled(&self) -> Option<(String, CancelKey)> {
        let mut held = self.held.lock();
        let held = held.as_mut()?;
        held.cancelled = true;
        Some((held.address.clone(), held.key))
    }
}

/// The callers of one process by the cancel key that each was given.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    slots: Mutex<FastMap<i32, (i32, Arc<CancelSlot>)>>,
}

impl CancelRegistry {
    /// Assigns a unique cancel key to a caller.
    pub fn register(&self, slot: &Arc<CancelSlot>) -> CancelKey {
        let mut slots = self.slots.lock();
        loop {
            let process_id = rand::random::<i32>() & i32::MAX;
            if process_id == 0 || slots.contains_key(&process_id) {
                continue;
            }
            let secret = rand::random::<i32>();
            slots.insert(process_id, (secret, Arc::clone(slot)));
            return CancelKey { process_id, secret };
        }
    }

    /// Removes a caller.
    pub fn unregister(&self, key: CancelKey) {
        self.slots.lock().remove(&key.process_id);
    }

    /// Forwards a cancel request to the connection that the caller's request holds. Returns whether it
    /// was sent within `timeout`; false if the key is unknown or no connection is held.
    pub async fn cancel(&self, key: CancelKey, timeout: Duration) -> bool {
        let Some((address, target_key)) = self.find(key) else { return false };
        time::timeout(timeout, send_cancel(&address, target_key)).await.is_ok()
    }

    fn find(&self, key: CancelKey) -> Option<(String, CancelKey)> {
        let slots = self.slots.lock();
        let (secret, slot) = slots.get(&key.process_id)?;
        if *secret != key.secret {
            return None;
        }
        slot.mark_cancelled()
    }
}

/// Sends a cancel request and waits until the other end has processed it, which it signals by closing
/// the connection.
async fn send_cancel(address: &str, key: CancelKey) {
    let Ok(stream) = TcpStream::connect(address).await else { return };
    let mut request = BytesMut::new();
    frontend::cancel_request(key.process_id, key.secret, &mut request);
    if socket::write_all(&stream, &request, Duration::from_secs(1)).await.is_err() {
        return;
    }
    request.clear();
    while let Ok(1..) = socket::read_some(&stream, &mut request).await {
        request.clear();
    }
}
