//! Coalesces work that several tasks need into one execution.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// Work that is executed at most once at a time.
#[derive(Debug, Default)]
pub struct SingleFlight(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    in_flight: AtomicBool,
    ended: Notify,
}

/// An execution in progress, which ends when this is dropped.
#[derive(Debug)]
pub struct Flight(Arc<Shared>);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.in_flight.store(false, Ordering::Relaxed);
        self.0.ended.notify_waiters();
    }
}

impl SingleFlight {
    /// Begins the work; `None` if it is already in progress.
    pub fn begin(&self) -> Option<Flight> {
        let was_in_flight = self.0.in_flight.swap(true, Ordering::Relaxed);
        (!was_in_flight).then(|| Flight(Arc::clone(&self.0)))
    }

    /// Waits until the work ends or [`SingleFlight::notify`] is called. Notifications from after this call on
    /// are not lost, so the condition is to be checked between the call and the await.
    pub fn ended(&self) -> Notified<'_> {
        self.0.ended.notified()
    }

    /// Wakes the waiting tasks, so that they check their condition again.
    pub fn notify(&self) {
        self.0.ended.notify_waiters();
    }
}
