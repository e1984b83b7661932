//! Concurrent plans of two operators over a platform that loses requests and answers.
//!
//! Both operators plan a change of the same object with the
//! [`planner`](skylark_core::version::plan::planner) of `skylark-core` and apply it with a
//! [`Confirmation`](skylark_core::version::plan::confirmation::Confirmation), each at any time. A call to
//! the platform may be answered, be lost before it takes effect, take effect while its answer is lost, or
//! lose its answer and take effect at any later time. An operator may stop, or restart the confirmation.
//! A long outage of the platform is equivalent to the loss of every call.
//!
//! The invariants:
//!
//! - A plan takes effect at most once, and only on the object version that it was made for. It never
//!   overwrites a change that its operator did not see.
//! - The outcome that is reported to an operator (applied, superseded before any step, or untouched) is
//!   true and stays true.

pub mod cases;
pub mod model;
pub mod state;
pub mod transition_cache;

pub use model::PlansModel;

/// A rule of the protocol that a case can switch off, to show that the invariants depend on it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// An update is accepted only on the object version that it expects. Off: it is accepted on any version.
    BaseVersion,
    /// After a lost answer the object is read, to find whether the update took effect, before the update is
    /// retried. Off: the update is retried with the version that the object has at that time.
    ReadBack,
    /// A changed object contains the id of the plan that changed it. Off: it does not.
    PlanId,
    /// A plan that overwrites the change of another plan notes in that plan's record that the change
    /// had taken effect. Off: it does not.
    Note,
}

impl Safeguard {
    /// Returns the name of the safeguard on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::BaseVersion => "base-version",
            Safeguard::ReadBack => "read-back",
            Safeguard::PlanId => "plan-id",
            Safeguard::Note => "note",
        }
    }
}
