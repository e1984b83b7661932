//! A bound on log lines by reason.
//!
//! A failure that hits every request would otherwise write a line for each, and the writing would
//! take the processor time that serving needs. The lines that are left out are counted and told with
//! the next one of the same reason.

use parking_lot::Mutex;
use skylark_core::FastMap;

/// How many lines of one reason are written in a second.
const LINES_PER_SECOND: u32 = 10;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    since_us: u64,
    written: u32,
    suppressed: u64,
}

/// The lines written by reason.
#[derive(Debug, Default)]
pub struct LogBudget {
    windows: Mutex<FastMap<&'static str, Window>>,
}

impl LogBudget {
    /// Whether a line of this reason may be written now, and how many were left out before it.
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
