//! Cancelling a statement from another connection.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::FastMap;
use tokio::sync::Notify;

/// What a caller needs to cancel a session's statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CancelKey {
    /// The session's number, as `BackendKeyData` calls the process.
    pub session: u32,
    /// The secret.
    pub secret: u32,
}

#[derive(Debug, Default)]
struct FlagState {
    running: bool,
    cancelled: bool,
}

/// The flag that a cancel raises for one session.
#[derive(Debug, Default)]
pub struct CancelFlag {
    state: Mutex<FlagState>,
    raised: Notify,
}

impl CancelFlag {
    /// Notes that a statement begins. A cancel that came before is void: it was meant for an
    /// earlier statement.
    pub fn begin(&self) {
        *self.state.lock() = FlagState { running: true, cancelled: false };
    }

    /// Notes that the statement has ended.
    pub fn end(&self) {
        *self.state.lock() = FlagState::default();
    }

    /// Waits for a cancel of the running statement.
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
    /// Makes a new session known.
    pub fn register(&self) -> (CancelKey, Arc<CancelFlag>) {
        let session = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        // The secret keeps a caller's mistake from another's statement; nobody attacks a stand-in.
        let secret = session.wrapping_mul(0x9e37_79b1) ^ 0x5bd1_e995;
        let flag = Arc::new(CancelFlag::default());
        self.sessions.lock().insert(session, (secret, Arc::clone(&flag)));
        (CancelKey { session, secret }, flag)
    }

    /// Forgets a session.
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
