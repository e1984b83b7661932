//! At-most-once execution of a write that is forwarded, and that is retried where this is safe.
//!
//! The caller's proxy sends a write, or the commit of a transaction, to a home, and the home sends it to a
//! target. On both hops, connections break before, during and after the transmission of the message, and
//! answers are lost. A message that was sent may still run after its sender stopped waiting for the answer.
//! On each failure, both senders follow the verdict of `skylark-core`'s
//! [`retry::decide`](skylark_core::request::retry::decide).
//!
//! Invariants: the request runs at most once. If the caller is told that the request did not run, it has not
//! run and never will. If the caller is told of a success, the request ran.

pub mod cases;
pub mod model;
pub mod state;

pub use model::RepetitionModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A write whose answer is lost is not retried. Off: it is treated as a read.
    LostAnswer,
    /// A failure after the request was sent does not count as a refusal, since the target may have run it.
    /// Off: every failure is treated as if nothing had been sent.
    SentStage,
    /// The error of a home states whether the request ran, and the sender relies only on that statement. Off:
    /// an error of a home counts as not run.
    HomeClaim,
}

impl Safeguard {
    /// Returns the safeguard's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::LostAnswer => "lost-answer",
            Safeguard::SentStage => "sent-stage",
            Safeguard::HomeClaim => "home-claim",
        }
    }
}
