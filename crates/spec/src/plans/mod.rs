//! Plans of operators who race each other, over a platform that loses answers.
//!
//! Two operators plan changes of the same object with the core's
//! [`planner`](skylark_core::version::plan::planner) and confirm them with its
//! [`Confirmation`](skylark_core::version::plan::confirmation::Confirmation), each at any time. Each
//! call to the platform may be answered, be lost on the way, take effect while its answer is lost, or
//! lose its answer and take effect at any later time. An operator may stop, or start the confirmation
//! again. A platform that is down for long is one that loses every call.
//!
//! Explored: a plan takes effect at most once and on the version that it was made for, never on
//! top of a change that its operator did not see; and what an operator is told is true, now and
//! later: applied, superseded before any step, or untouched.

pub mod cases;
pub mod model;
pub mod state;
pub mod transition_cache;

pub use model::PlansModel;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// An update takes only on the version that it expects. Off: it takes on any.
    BaseVersion,
    /// An update whose answer was lost is looked for before it is repeated. Off: it is sent again on
    /// whatever version the object has.
    ReadBack,
    /// A changed object carries the id of the plan that changed it. Off: it does not.
    PlanId,
    /// Whoever overwrites the change of another plan notes in its record that it had taken effect.
    /// Off: it does not.
    Note,
}

impl Safeguard {
    /// The switch's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::BaseVersion => "base-version",
            Safeguard::ReadBack => "read-back",
            Safeguard::PlanId => "plan-id",
            Safeguard::Note => "note",
        }
    }
}
