//! Sleeps with a precision well under a millisecond.
//!
//! The runtime's timer rounds up to whole milliseconds, which would hide a replication lag of
//! 300 µs and lengthen every service time. Instead, one thread of the process waits for the earliest
//! deadline and wakes the task that waits for it.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::sync::OnceLock;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

/// How long the thread waits for a message when no deadline is pending.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

#[derive(Debug)]
struct Waiter {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Waiter) -> bool {
        self.due == other.due
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Waiter) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    /// Reverses the order of the deadlines, because the heap pops the greatest element first.
    fn cmp(&self, other: &Waiter) -> Ordering {
        other.due.cmp(&self.due)
    }
}

/// Waits until `duration` has elapsed.
pub async fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration).await;
}

/// Waits until `due`; returns immediately if that has passed.
pub async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    // The timer thread never ends, so neither channel can be closed at its side.
    let _ = waiter_sender().send(Waiter { due, wake });
    let _ = woken.await;
}

fn waiter_sender() -> &'static mpsc::Sender<Waiter> {
    static WAITERS: OnceLock<mpsc::Sender<Waiter>> = OnceLock::new();
    WAITERS.get_or_init(|| {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || run(&receiver));
        sender
    })
}

fn run(receiver: &mpsc::Receiver<Waiter>) {
    let mut heap: BinaryHeap<Waiter> = BinaryHeap::new();
    loop {
        let now = Instant::now();
        while heap.peek().is_some_and(|next| next.due <= now) {
            // Sending fails if the sleep was cancelled.
            let _ = heap.pop().map(|waiter| waiter.wake.send(()));
        }
        let wait = heap.peek().map_or(IDLE_WAIT, |next| next.due.saturating_duration_since(now));
        match receiver.recv_timeout(wait) {
            Ok(waiter) => heap.push(waiter),
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        }
    }
}
