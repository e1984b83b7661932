//! The core's failover driver, run against the members of the acknowledgement model.
//!
//! The acknowledgement model explores everything that a driver is allowed to do. In this model the core's
//! [`FailoverDriver`](skylark_core::process::failover::FailoverDriver) decides. The platform is down, so only
//! the members' votes prevent two drivers from promoting primaries in the same term. A message of a driver
//! may arrive at any later time, and answers may be lost. Drivers may pause, or terminate at any point and
//! restart as another run.
//!
//! The time does not advance. What a driver does after a back-off or a deadline is tested by random runs in
//! `crates/core/tests`.
//!
//! Invariants: those of the acknowledgement model, and those that the driver checks itself.

pub mod cases;
pub mod machine;
pub mod model;

pub use model::DriverModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A driver gets a new name at each start of its process. Off: a VM is replaced under its old name while
    /// the replaced process is only paused.
    NewName,
}

impl Safeguard {
    /// Returns the safeguard's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::NewName => "new-name",
        }
    }
}
