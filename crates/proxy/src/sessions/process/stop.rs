//! How a process stops: the phases that its callers are told, and when each caller has to go.

use std::time::Duration;
use std::time::Instant;

/// Resting sessions are closed over this time when the process stops, so that their callers don't
/// all come back to the other VMs at one moment.
const STOPPING_SPREAD_MS: u64 = 1_200;

/// The same when the process is cut off: until they go, callers are refused what others could serve.
const CUT_OFF_SPREAD_MS: u64 = 400;

/// How many parts the spread has.
const CLOSING_PARTS: u64 = 64;

/// How long after the beginning of closing a session is closed.
pub fn closing_spread(session: u64, is_stopping: bool) -> Duration {
    let spread_ms = if is_stopping { STOPPING_SPREAD_MS } else { CUT_OFF_SPREAD_MS };
    Duration::from_millis(session % CLOSING_PARTS * spread_ms / CLOSING_PARTS)
}

/// How far the process has come with stopping.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum StopPhase {
    /// It serves.
    Serving,
    /// It says that it is not ready, and serves all that comes.
    NotReady,
    /// Callers that rest outside a transaction are asked to go, one after the other.
    ClosingIdle,
    /// Open transactions are rolled back as well.
    Ending,
    /// Nobody is accepted any more, and each caller goes after the statement that is under way.
    Last,
}

/// How far the process has come with stopping, and since when.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StopState {
    /// How far.
    pub phase: StopPhase,
    /// When resting callers began to be closed; none before.
    pub closing_since: Option<Instant>,
}

impl StopState {
    /// A process that serves.
    pub const SERVING: StopState = StopState { phase: StopPhase::Serving, closing_since: None };

    /// The state in another phase.
    pub fn in_phase(self, phase: StopPhase) -> StopState {
        let is_closing = phase >= StopPhase::ClosingIdle;
        let closing_since = self.closing_since.or(Some(Instant::now())).filter(|_| is_closing);
        StopState { phase, closing_since }
    }
}
