//! The process's monotonic clock, shared by the control and traffic threads.
//!
//! It includes the time for which the VM was suspended, which `Instant` does not. Without that, a VM
//! resumed after some seconds would treat a primary position from before the suspension as recent,
//! and serve reads that miss writes acknowledged meanwhile.

use std::time::Duration;
use std::time::Instant;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// A clock that counts microseconds since it was started.
///
/// Copies show the same time. Times of different processes can't be compared.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Duration,
}

impl MonotonicClock {
    /// Starts a clock.
    pub fn start() -> MonotonicClock {
        MonotonicClock { origin: since_boot() }
    }

    /// Returns the time in microseconds. It is never zero, because zero means "never" in shared state.
    pub fn now_us(&self) -> u64 {
        since_boot().saturating_sub(self.origin).as_micros() as u64 + 1
    }

    /// Returns the instant at which the clock shows `at_us`, provided the VM is not suspended before.
    pub fn instant_at(&self, at_us: u64) -> Instant {
        let (now, now_us) = (Instant::now(), self.now_us());
        match at_us >= now_us {
            true => now + Duration::from_micros(at_us - now_us),
            false => now.checked_sub(Duration::from_micros(now_us - at_us)).unwrap_or(now),
        }
    }
}

/// Returns the time since the VM booted, including suspensions.
fn since_boot() -> Duration {
    // The call fails only for clocks that the kernel lacks, and CLOCK_BOOTTIME exists since Linux 2.6.39.
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    Duration::from(now)
}
