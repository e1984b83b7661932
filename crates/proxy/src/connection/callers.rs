//! How many connections there are: of all callers, of each user, and in their start-up.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::request::error_kind::ErrorKind;
use tokio::sync::oneshot;

use crate::connection::limits::TrafficLimits;
use crate::request::refusal::Refusal;

/// The connections of one process.
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
    /// The start-ups under way by their age: the lowest number is the oldest. A start-up whose sender
    /// is dropped has to make room.
    half_open: BTreeMap<u64, oneshot::Sender<()>>,
    next_half_open: u64,
    by_user: FastMap<Box<str>, usize>,
}

impl Callers {
    /// No connections yet.
    pub fn new(limits: &TrafficLimits) -> Arc<Callers> {
        Arc::new(Callers {
            connections_limit: limits.connections,
            per_user_limit: limits.connections_per_user,
            half_open_limit: limits.half_open,
            counts: Mutex::default(),
        })
    }

    /// How many callers there are.
    pub fn count(&self) -> usize {
        self.counts.lock().callers
    }

    /// A place for a start-up. At the limit the oldest start-up gives up its place.
    ///
    /// If the newest were turned away instead, a flood of connections that send nothing would hold
    /// every place until the start-up times out, and callers would be refused meanwhile. A caller's
    /// start-up takes a round trip, so it is done long before as many newer ones have come.
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

    /// A place among the callers; `user` is none for another proxy.
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

/// A place for a start-up, given back when dropped.
#[derive(Debug)]
pub struct HalfOpenPermit {
    callers: Arc<Callers>,
    number: u64,
    evicted: oneshot::Receiver<()>,
}

impl HalfOpenPermit {
    /// Waits until a newer start-up takes the place.
    pub async fn evicted(&mut self) {
        // Nothing is ever sent; the sender's end is what tells.
        let _ = (&mut self.evicted).await;
    }
}

impl Drop for HalfOpenPermit {
    fn drop(&mut self) {
        self.callers.counts.lock().half_open.remove(&self.number);
    }
}

/// A place among the callers, given back when dropped.
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
