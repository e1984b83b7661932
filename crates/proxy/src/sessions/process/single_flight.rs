//! Work that one task does for all who want it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Work of which at most one is under way.
#[derive(Debug, Default)]
pub struct SingleFlight(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    in_flight: AtomicBool,
    ended: Notify,
}

/// The work is under way until this is dropped.
#[derive(Debug)]
pub struct Flight(Arc<Shared>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.in_flight.store(false, Ordering::Relaxed);
        self.0.ended.notify_waiters();
    }
}

impl SingleFlight {
    /// Takes the work on, unless somebody does it already.
    pub fn begin(&self) -> Option<Flight> {
        let was_in_flight = self.0.in_flight.swap(true, Ordering::Relaxed);
        (!was_in_flight).then(|| Flight(Arc::clone(&self.0)))
    }

    /// Waits until the work ends, or [`SingleFlight::notify`] tells that looking again may help. Counts from
    /// the call on: what is looked at after it is not missed.
    pub fn ended(&self) -> Notified<'_> {
        self.0.ended.notified()
    }

    /// Has those look again who wait for the work.
    pub fn notify(&self) {
        self.0.ended.notify_waiters();
    }
}
