//! Read-your-writes for sessions that roam without a token.
//!
//! One session writes and then reads. The read's proxy asks a holder of the group's floors, which is
//! the core's [`SessionFloors`](skylark_core::process::session_floors::SessionFloors) itself. The
//! group below it is the acknowledgement model, so reads race with a change of primary, an old
//! primary that goes on, lagging and rewinding replicas.
//!
//! One holder is enough to stand for any number of them: all that others do is to run writes that
//! this one hears of late or never. So homes that differ between proxies, reports between homes that
//! are lost, late or reordered, and sessions that roam are all orders of "the holder hears of write
//! `k`", which may happen at any time after the write ran, or not at all. A holder that restarts or
//! takes over forgets everything, at any time.
//!
//! What a member applied is taken to be what it holds: a member that lags in applying is one that
//! lags in receiving.

pub mod cases;
pub mod holder;
pub mod model;

pub use model::FloorsBounds;
pub use model::FloorsModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A lookup is answered from statuses that were read after it arrived. Off: it joins a barrier
    /// that is under way.
    Barrier,
    /// A barrier needs a majority in the primary's term. Off: the primary's word is enough.
    BarrierMajority,
    /// What was written before the holder began is not accounted for. Off: a holder that begins
    /// counts all that it finds as accounted for.
    Beginning,
    /// A primary answers a read only if it covers the floor. Off: a primary always may.
    PrimaryFloor,
    /// The holder's answer is a floor for the read. Off: any member answers.
    Floor,
}

impl Safeguard {
    /// The switch's name on the command line.
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
