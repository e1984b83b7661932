//! Read-your-writes for sessions that move between proxies without a session token.
//!
//! One session writes and then reads. The proxy of the read asks a holder of the group's floors. A floor
//! is the lowest log position that a member must have applied to answer a read of the session. The
//! holder is [`SessionFloors`](skylark_core::process::session_floors::SessionFloors) of `skylark-core`.
//! The replication group is the acknowledgement model, so reads race with a change of primary, a deposed
//! primary that still accepts writes, and replicas that lag or rewind.
//!
//! The invariant: a read sees every write of its session that was acknowledged before the session asked.
//!
//! One holder represents any number of them, because other holders only run writes that this one learns
//! of late or never. The event "the holder learns of write `k`" may happen at any time after the write
//! ran, or not at all. Its orders include proxies that disagree about the home, lost, delayed or
//! reordered reports between homes, and sessions that move. A holder may restart or be replaced at any
//! time, and then loses its whole state.
//!
//! The model does not separate the received from the applied position of a member: a member that lags in
//! applying is equivalent to one that lags in receiving.

pub mod cases;
pub mod holder;
pub mod model;

pub use model::FloorsBounds;
pub use model::FloorsModel;

/// A rule of the protocol that a case can switch off, to show that the invariant depends on it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A lookup is answered from statuses that were read after it arrived. Off: it joins a barrier that
    /// is already in progress.
    Barrier,
    /// A barrier needs a majority of members in the primary's term. Off: the primary's status is enough.
    BarrierMajority,
    /// Records from before the holder started are not accounted for. Off: a holder that starts counts all
    /// records that it finds as accounted for.
    Beginning,
    /// A primary answers a read only if its log covers the floor. Off: a primary always may.
    PrimaryFloor,
    /// The holder's answer is a lower bound for the position of the member that answers the read. Off: any
    /// member may answer.
    Floor,
}

impl Safeguard {
    /// Returns the name of the safeguard on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::Barrier => "barrier",
            Safeguard::BarrierMajority => "barrier-majority",
            Safeguard::Beginning => "beginning",
            Safeguard::PrimaryFloor => "primary-floor",
            Safeguard::Floor => "floor",
        }
    }
}
