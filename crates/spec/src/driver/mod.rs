//! The core's failover driver itself, among members of the acknowledgement model.
//!
//! The acknowledgement model lets attempts do what a driver may do. Here the core's
//! [`FailoverDriver`](skylark_core::process::failover::FailoverDriver) decides, while the platform is down,
//! so that the members' votes are all that keeps drivers apart. What a driver once sent may arrive
//! at any later time; answers may be lost; drivers pause, or end at any
//! point and start again as another run. Time stands still: what a driver does after a back-off or a
//! deadline is left to random runs (`crates/core/tests`).
//!
//! Explored: the invariants of the acknowledgement model, and the driver's own.

pub mod cases;
pub mod machine;
pub mod model;

pub use model::DriverModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A driver's name is new at each start of a process. Off: a VM is replaced under its old name
    /// while the process that it replaces is only paused.
    NewName,
}

impl Safeguard {
    /// The switch's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::NewName => "new-name",
        }
    }
}
