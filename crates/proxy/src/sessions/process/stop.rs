//! How a process stops: the phases that its callers are told, and when each caller has to go.

use std::time::Instant;

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
