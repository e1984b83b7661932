//! Phases of a graceful shutdown, and when each session is closed.

use std::time::Duration;
use std::time::Instant;

/// The time over which idle sessions are closed during a shutdown, in milliseconds, so that their callers
/// don't all reconnect to the other VMs at the same time.
const STOPPING_SPREAD_MS: u64 = 1_200;

/// The time over which idle sessions are closed when the process is partitioned, in milliseconds. It is
/// shorter, since callers are refused what other processes could serve until they leave.
const CUT_OFF_SPREAD_MS: u64 = 400;

/// Number of steps in which sessions are closed.
const CLOSING_PARTS: u64 = 64;

/// Returns the delay between the beginning of the closing phase and the close of a session.
pub fn closing_spread(session: u64, is_stopping: bool) -> Duration {
    let spread_ms = if is_stopping { STOPPING_SPREAD_MS } else { CUT_OFF_SPREAD_MS };
    Duration::from_millis(session % CLOSING_PARTS * spread_ms / CLOSING_PARTS)
}

/// Phase of the shutdown. A partitioned process enters the first phases as well.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum StopPhase {
    /// The process accepts and serves callers.
    Serving,
    /// The process reports that it is not ready, but still serves everything that arrives.
    NotReady,
    /// Idle sessions outside a transaction are closed one after the other.
    ClosingIdle,
    /// Open transactions are rolled back as well.
    Ending,
    /// New connections are refused, and each session is closed after its current statement.
    Last,
}

/// Phase of the shutdown and when the closing of sessions began.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StopState {
    /// The current phase.
    pub phase: StopPhase,
    /// When the closing of idle sessions began; `None` before that phase.
    pub closing_since: Option<Instant>,
}

impl StopState {
    /// State of a serving process.
    pub const SERVING: StopState = StopState { phase: StopPhase::Serving, closing_since: None };

    /// Returns this state in another phase.
    pub fn in_phase(self, phase: StopPhase) -> StopState {
        let is_closing = phase >= StopPhase::ClosingIdle;
        let closing_since = self.closing_since.or(Some(Instant::now())).filter(|_| is_closing);
        StopState { phase, closing_since }
    }
}
