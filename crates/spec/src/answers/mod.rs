//! Whole and own answers: what happens to a connection whose caller gave up or cancelled.
//!
//! A target answers the statements of a connection in order and does not say to which statement an
//! answer belongs. Callers give up before the answer comes, and cancel requests travel on a
//! connection of their own: one may arrive before, while or after the statement runs that it was
//! meant for. Explored: a caller gets the answer of its own statement, and nobody's statement is
//! cancelled but by its own caller.
//!
//! This model states the rule for reusing connections; it calls no function of `skylark-core`,
//! which holds no connections.

pub mod cases;
pub mod model;

pub use model::AnswersModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A connection whose answer was abandoned is drained before it serves another caller. Off: it
    /// is used again at once.
    Drain,
    /// A connection for which a cancel request went out is closed. Off: it is used again when its
    /// answers have been read.
    CloseAfterCancel,
}

impl Safeguard {
    /// The switch's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::Drain => "drain",
            Safeguard::CloseAfterCancel => "close-after-cancel",
        }
    }
}
