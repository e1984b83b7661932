//! Cancel requests: passed on only to the connection that runs the caller's request now.
//!
//! A cancel that arrives late would hit the next request on the same target connection, which is
//! another caller's. Two rules keep it off: the target's key is looked up while the request holds
//! the connection, and a connection that was cancelled is not used again.

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

/// What a caller's request holds now.
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
    /// Notes that the caller's request holds a connection.
    pub fn hold(&self, address: &str, key: CancelKey) {
        *self.held.lock() = Some(Held { address: address.to_owned(), key, cancelled: false });
    }

    /// Ends the hold. Returns whether a cancel was passed on meanwhile, so that the connection may
    /// still be hit by it.
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

/// The callers of one process by the key that each was given.
#[derive(Debug, Default)]
pub struct CancelRegistry {
    slots: Mutex<FastMap<i32, (i32, Arc<CancelSlot>)>>,
}

impl CancelRegistry {
    /// Gives a caller a key of its own.
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

    /// Forgets a caller.
    pub fn unregister(&self, key: CancelKey) {
        self.slots.lock().remove(&key.process_id);
    }

    /// Passes a cancel request on to the connection that the caller's request holds. Returns
    /// whether there was one.
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

/// Sends a cancel request and waits until the other end has taken it, which it says by closing.
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
