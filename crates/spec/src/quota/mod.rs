//! A rate limit that is divided among allocators without communication between them.
//!
//! Callers request operations continuously, and processes restart. A new list of VMs replaces one allocator
//! by another, and VMs receive the list at different times. The token buckets are those of `skylark-core`.
//!
//! Invariant: no window contains more operations than the limit and its tolerance allow.

pub mod cases;
pub mod model;

pub use model::QuotaModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// Each allocator grants only its part of the limit. Off: each grants the whole limit.
    Divide,
    /// The bucket of a process that starts contains a part of the tolerance. Off: it is full.
    StartPart,
    /// A VM that becomes an allocator by a new list grants nothing until all VMs have the list.
    /// Off: it grants immediately, as if it had been an allocator since its start.
    TakeOverPause,
    /// An operation is granted only when it is ready to run. Off: grants can be saved for later use.
    NoSavedGrants,
}

impl Safeguard {
    /// Returns the safeguard's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::Divide => "divide",
            Safeguard::StartPart => "start-part",
            Safeguard::TakeOverPause => "take-over-pause",
            Safeguard::NoSavedGrants => "no-stock",
        }
    }
}
