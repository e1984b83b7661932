//! Cancellation of a statement from another connection.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::FastMap;
use tokio::sync::Notify;

/// The key with which a caller cancels a session's statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CancelKey {
    /// The session's number, the process id of `BackendKeyData`.
    pub session: u32,
    /// The secret.
    pub secret: u32,
}

#[derive(Debug, Default)]
struct FlagState {
    running: bool,
    cancelled: bool,
}

/// The cancellation state of one session.
#[derive(Debug, Default)]
pub struct CancelFlag {
    state: Mutex<FlagState>,
    raised: Notify,
}

impl CancelFlag {
    /// Records that a statement begins. An earlier cancellation has no effect: it was meant for an
    /// earlier statement.
    pub fn begin(&self) {
        *self.state.lock() = FlagState { running: true, cancelled: false };
    }

    /// Records that the statement has ended.
    pub fn end(&self) {
        *self.state.lock() = FlagState::default();
    }

    /// Waits for a cancellation of the running statement.
    pub async fn cancelled(&self) {
        loop {
            let raised = self.raised.notified();
            if self.state.lock().cancelled {
                return;
            }
            raised.await;
        }
    }

    fn cancel(&self) {
        let mut state = self.state.lock();
        if state.running {
            state.cancelled = true;
            self.raised.notify_waiters();
        }
    }
}

/// The sessions of a target that can be cancelled.
#[derive(Debug, Default)]
pub struct Cancels {
    next: AtomicU32,
    sessions: Mutex<FastMap<u32, (u32, Arc<CancelFlag>)>>,
}

impl Cancels {
    /// Registers a new session.
    pub fn register(&self) -> (CancelKey, Arc<CancelFlag>) {
        let session = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        // The secret only prevents mistakes, so it need not be unpredictable.
        let secret = session.wrapping_mul(0x9e37_79b1) ^ 0x5bd1_e995;
        let flag = Arc::new(CancelFlag::default());
        self.sessions.lock().insert(session, (secret, Arc::clone(&flag)));
        (CancelKey { session, secret }, flag)
    }

    /// Removes a session.
    pub fn forget(&self, key: CancelKey) {
        self.sessions.lock().remove(&key.session);
    }

    /// Cancels the session's running statement, if the key is right.
    pub fn cancel(&self, key: CancelKey) {
        let sessions = self.sessions.lock();
        if let Some((secret, flag)) = sessions.get(&key.session)
            && *secret == key.secret
        {
            flag.cancel();
        }
    }
}
