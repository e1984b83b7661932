//! At most once: a write that is forwarded and sent again where that is allowed.
//!
//! A proxy sends a write, or the commit of a transaction, to a home, and the home to a target. On
//! both ways connections break before, while and after the message is sent, answers are lost, and
//! what was sent once may still run after the sender gave up. Both senders take the verdict of
//! `skylark-core`'s [`retry::decide`](skylark_core::request::retry::decide) on each failure.
//!
//! Explored: the request runs at most once, and a caller that was told "not run" is told the truth,
//! now and later.

pub mod cases;
pub mod model;
pub mod state;

pub use model::RepetitionModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A write whose answer is lost is not sent again. Off: it is treated as a read.
    LostAnswer,
    /// A target that breaks off after it ran something is not taken to have refused. Off: a broken
    /// connection counts as one on which nothing was sent.
    SentStage,
    /// The home's refusal says whether the request ran, and the sender believes only that. Off: a
    /// refusal of a home counts as not run.
    HomeClaim,
}

impl Safeguard {
    /// The switch's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::LostAnswer => "lost-answer",
            Safeguard::SentStage => "sent-stage",
            Safeguard::HomeClaim => "home-claim",
        }
    }
}
