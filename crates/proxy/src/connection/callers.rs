//! Limits on the number of connections: of all callers, per user, and during start-up.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::request::error_kind::ErrorKind;
use tokio::sync::oneshot;

use crate::connection::limits::TrafficLimits;
use crate::request::refusal::Refusal;

/// The connection counts of one process and their limits.
#[derive(Debug)]
pub struct Callers {
    connections_limit: usize,
    per_user_limit: usize,
    half_open_limit: usize,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    callers: usize,
    /// The connections in start-up by age, oldest first. Dropping the sender evicts the connection.
    half_open: BTreeMap<u64, oneshot::Sender<()>>,
    next_half_open: u64,
    by_user: FastMap<Box<str>, usize>,
}

impl Callers {
    /// Creates the counts without any connection.
    pub fn new(limits: &TrafficLimits) -> Arc<Callers> {
        Arc::new(Callers {
            connections_limit: limits.connections,
            per_user_limit: limits.connections_per_user,
            half_open_limit: limits.half_open,
            counts: Mutex::default(),
        })
    }

    /// Returns the number of callers.
    pub fn count(&self) -> usize {
        self.counts.lock().callers
    }

    /// Admits a connection to its start-up. At the limit the oldest start-up is evicted.
    ///
    /// If the newest were refused instead, a flood of connections that send nothing would occupy every
    /// slot until the start-up timeout, and callers would be refused in the meantime. A caller's
    /// start-up takes one round trip, so it normally completes long before it becomes the oldest.
    pub fn begin_startup(self: &Arc<Self>) -> HalfOpenPermit {
        let mut counts = self.counts.lock();
        if counts.half_open.len() >= self.half_open_limit {
            counts.half_open.pop_first();
        }
        let number = counts.next_half_open;
        counts.next_half_open += 1;
        let (evict_sender, evicted) = oneshot::channel();
        counts.half_open.insert(number, evict_sender);
        HalfOpenPermit { callers: Arc::clone(self), number, evicted }
    }

    /// Admits a caller after its start-up, or refuses it at a limit. `user` is `None` for another
    /// proxy, to which the limit per user does not apply.
    pub fn admit(self: &Arc<Self>, user: Option<&str>) -> Result<CallerPermit, Refusal> {
        let mut counts = self.counts.lock();
        if counts.callers >= self.connections_limit {
            return Err(ErrorKind::TooManyConnections.into());
        }
        if let Some(user) = user {
            let user_count = counts.by_user.entry(user.into()).or_default();
            if *user_count >= self.per_user_limit {
                let note = format!("of user `{user}`");
                return Err(Refusal::with_note(ErrorKind::TooManyConnections, note));
            }
            *user_count += 1;
        }
        counts.callers += 1;
        Ok(CallerPermit { callers: Arc::clone(self), user: user.map(Box::from) })
    }
}

/// A slot for a connection in start-up, released when dropped.
#[derive(Debug)]
pub struct HalfOpenPermit {
    callers: Arc<Callers>,
    number: u64,
    evicted: oneshot::Receiver<()>,
}

impl HalfOpenPermit {
    /// Waits until this start-up is evicted in favour of a newer one.
    pub async fn evicted(&mut self) {
        // Nothing is ever sent; dropping the sender is the signal.
        let _ = (&mut self.evicted).await;
    }
}

impl Drop for HalfOpenPermit {
    fn drop(&mut self) {
        self.callers.counts.lock().half_open.remove(&self.number);
    }
}

/// A slot for a caller, released when dropped.
#[derive(Debug)]
pub struct CallerPermit {
    callers: Arc<Callers>,
    user: Option<Box<str>>,
}

impl Drop for CallerPermit {
    fn drop(&mut self) {
        let mut counts = self.callers.counts.lock();
        counts.callers -= 1;
        let Some(user) = &self.user else { return };
        if let Some(user_count) = counts.by_user.get_mut(user) {
            *user_count -= 1;
            if *user_count == 0 {
                counts.by_user.remove(user);
            }
        }
    }
}
