//! Propagation of accepted settings to every process.
//!
//! The platform's store changes one of two objects at a time. Full snapshots, and deltas between two
//! revisions, arrive at processes from the platform, from watchers and from peers. They may be outdated,
//! duplicated or out of order. Processes receive each other's revisions and pull newer ones; a pull may fail
//! or never complete. Processes restart while the platform is down, and then start with a peer's snapshot.
//! The core's [`Spreading`](skylark_core::version::spreading::Spreading) decides which snapshots and deltas
//! are put in force, and [`StartChoice`](skylark_core::version::spreading::StartChoice) selects the peer.
//!
//! Invariants:
//! - between two restarts, a process never reverts to an older revision;
//! - a process holds exactly the objects of the revision that it has in force;
//! - a process that starts takes the highest revision among the answers of its peers;
//! - a process that receives a higher revision of a peer pulls.

pub mod cases;
pub mod model;

pub use model::SpreadingModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// The highest revision wins. Off: the revision that arrives last is put in force.
    HighestWins,
    /// A delta is applied only by a process that holds its base revision or a later one. Off: by any process.
    ContiguousChanges,
    /// A process that starts waits for the answers of several peers. Off: it takes the first answer.
    SeveralPeers,
}

impl Safeguard {
    /// Returns the safeguard's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::HighestWins => "highest-wins",
            Safeguard::ContiguousChanges => "changes-lead-on",
            Safeguard::SeveralPeers => "several-peers",
        }
    }
}
