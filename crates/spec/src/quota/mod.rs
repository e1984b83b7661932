//! One limit divided among allocators that exchange nothing.
//!
//! Callers ask without pause, processes start again, and a new list of VMs puts one allocator in the place of
//! another, which VMs learn at different times. Explored: no window has more operations than the limit and its
//! tolerance allow. The buckets are those of `skylark-core`.

pub mod cases;
pub mod model;

pub use model::QuotaModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// Each allocator grants its part only. Off: each grants the whole limit.
    Divide,
    /// The bucket of a process that starts holds a part of the tolerance. Off: it is full.
    StartPart,
    /// A VM that a new list makes an allocator grants nothing until all have the list. Off: it grants at once, as
    /// if it had been one since it started.
    TakeOverPause,
    /// An operation is granted when it is there to run. Off: grants are kept for later operations.
    NoSavedGrants,
}

impl Safeguard {
    /// The switch's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::Divide => "divide",
            Safeguard::StartPart => "start-part",
            Safeguard::TakeOverPause => "take-over-pause",
            Safeguard::NoSavedGrants => "no-stock",
        }
    }
}
