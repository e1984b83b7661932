//! A rate limit for log lines by reason.
//!
//! A failure that affects every request would otherwise write a line for each, which would take processor
//! time from requests. Suppressed lines are counted, and the count is reported with the next line of the same
//! reason.

use parking_lot::Mutex;
use skylark_core::FastMap;

/// Maximum number of lines per second and reason.
const LINES_PER_SECOND: u32 = 10;

const SECOND_US: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since_us: u64,
    written: u32,
    suppressed: u64,
}

/// The rate limits of all reasons.
#[derive(Debug, Default)]
pub struct LogBudget {
    windows: Mutex<FastMap<&'static str, Window>>,
}

impl LogBudget {
    /// Returns the number of lines suppressed before this one, or `None` if this one is to be suppressed.
    pub fn take(&self, reason: &'static str, now_us: u64) -> Option<u64> {
        let mut windows = self.windows.lock();
        let window = windows.entry(reason).or_default();
        if now_us >= window.since_us + SECOND_US {
            window.since_us = now_us;
            window.written = 0;
        }
        if window.written >= LINES_PER_SECOND {
            window.suppressed += 1;
            return None;
        }
        window.written += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
