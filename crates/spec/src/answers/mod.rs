//! Reuse of a connection to a target after its caller abandoned or cancelled a statement.
//!
//! A target answers the statements of a connection in order, and an answer does not identify its
//! statement. Callers may abandon a statement before its answer arrives. A cancel request uses a separate
//! connection, so it may arrive before, during or after the execution of its statement.
//!
//! Invariants: a caller receives only the answer to its own statement, and a statement is cancelled only by
//! its own caller.
//!
//! This model specifies the rule for reusing connections. It calls no function of `skylark-core`, which
//! manages no connections.

pub mod cases;
pub mod model;

pub use model::AnswersModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A connection whose statement was abandoned is drained before it serves another caller. Off: it is
    /// reused immediately.
    Drain,
    /// A connection for which a cancel request was sent is closed. Off: it is reused after its answers were
    /// read.
    CloseAfterCancel,
}

impl Safeguard {
    /// Returns the safeguard's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::Drain => "drain",
            Safeguard::CloseAfterCancel => "close-after-cancel",
        }
    }
}
