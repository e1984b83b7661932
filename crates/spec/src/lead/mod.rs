//! A read at a primary that may have been replaced, and the words that let it be served.
//!
//! The old primary goes on in its term. A successor leads a later one and acknowledges a commit once a
//! replica holds it. Members start again with nothing, leave, and a fourth one comes. The read's process
//! asks members at any time, answers are under way for any time, and the core's
//! [`LeadReports`](skylark_core::request::lead_proof::LeadReports) decide.
//!
//! Explored: no read is served that misses a commit which was acknowledged before the read came.

pub mod cases;
pub mod model;

pub use model::LeadModel;

/// The parts of the proof that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A word counts only if it was asked for after the read came. Off: any word counts.
    FreshWord,
    /// A word dates from its question. Off: from when it comes.
    AskedTime,
    /// A member that holds less than was acknowledged long ago does not count. Off: it does.
    KeptLog,
    /// A member that is not listed yet takes the words of all others. Off: it is not thought of.
    CompleteList,
    /// A member that left takes another word. Off: it is forgotten.
    Departed,
}

impl Safeguard {
    /// The switch's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::FreshWord => "fresh-word",
            Safeguard::AskedTime => "asked-time",
            Safeguard::KeptLog => "kept-log",
            Safeguard::CompleteList => "complete-list",
            Safeguard::Departed => "departed",
        }
    }
}
