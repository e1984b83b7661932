//! The process's monotonic clock, read by control and traffic threads alike.

use std::time::Duration;
use std::time::Instant;

/// A clock that counts microseconds from a moment shortly before the process's own start.
///
/// Copies agree with each other. Times of two processes can't be compared.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> MonotonicClock {
        MonotonicClock { origin: Instant::now() }
    }

    /// The time in microseconds; never zero, which stands for "never" in shared state.
    pub fn now_us(&self) -> u64 {
        self.origin.elapsed().as_micros() as u64 + 1
    }

    /// The moment at which the clock shows `at_us`.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        self.origin + Duration::from_micros(at_us.saturating_sub(1))
    }
}
