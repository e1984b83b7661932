//! Accepted settings on their way to every process.
//!
//! The platform's store changes one of two objects at a time. Whole snapshots, and changes from one
//! revision to a later one, arrive at any process from the platform, from watchers and from peers, as
//! they were at any earlier time: late, again, out of order. Processes see each other's revisions and
//! pull; a pull may fail or never end. Processes restart, and start from their peers' answers when
//! the platform is down. What is taken is decided by the core's
//! [`Spreading`](skylark_core::version::spreading::Spreading) and
//! [`StartChoice`](skylark_core::version::spreading::StartChoice).
//!
//! Explored: a process never goes back during its life, and holds exactly the objects of the
//! revision that it claims; one that starts takes the highest answer; one that is behind a peer that
//! it sees pulls.

pub mod cases;
pub mod model;

pub use model::SpreadingModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// The highest revision wins. Off: what arrives last is put in force.
    HighestWins,
    /// Changes are taken only by a process that holds the revision from which they start, or a later
    /// one. Off: they are taken by any.
    ContiguousChanges,
    /// A process that starts waits for several peers. Off: it takes the first answer.
    SeveralPeers,
}

impl Safeguard {
    /// The switch's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::HighestWins => "highest-wins",
            Safeguard::ContiguousChanges => "changes-lead-on",
            Safeguard::SeveralPeers => "several-peers",
        }
    }
}
