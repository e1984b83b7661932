//! The process's monotonic clock, read by control and traffic threads alike.
//!
//! It counts the time for which the VM was suspended. `Instant` does not: a VM that stood still for
//! some seconds would take a position of the primary from before for a fresh one, and serve reads
//! that lack what was acknowledged meanwhile.

use std::time::Duration;
use std::time::Instant;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// A clock that counts microseconds from a moment shortly before the process's own start.
///
/// Copies agree with each other. Times of two processes can't be compared.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Duration,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> MonotonicClock {
        MonotonicClock { origin: since_boot() }
    }

    /// The time in microseconds; never zero, which stands for "never" in shared state.
    pub fn now_us(&self) -> u64 {
        since_boot().saturating_sub(self.origin).as_micros() as u64 + 1
    }

    /// The moment at which the clock shows `at_us`, if the VM is not suspended until then.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        let (now, now_us) = (Instant::now(), self.now_us());
        match at_us >= now_us {
            true => now + Duration::from_micros(at_us - now_us),
            false => now.checked_sub(Duration::from_micros(now_us - at_us)).unwrap_or(now),
        }
    }
}

/// The time since the VM started, suspensions included.
fn since_boot() -> Duration {
    // The kernel refuses only clocks that it does not have, and it has had this one for long.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    Duration::from(now)
}
