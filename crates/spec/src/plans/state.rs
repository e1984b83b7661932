//! The states and steps of the plans model.

use std::fmt;

use skylark_core::version::plan::call::End;

/// Number of operators. Each makes one plan.
pub const OPERATORS: usize = 2;
/// Maximum number of late updates: their answers are lost, but they may still take effect.
pub const MAX_LATE: usize = 2;

/// State of an operator. Confirmations and calls are given by number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Operator {
    /// The operator has made no plan.
    Idle,
    /// The operator runs this confirmation of its plan.
    Confirming(u16),
    /// The operator retries an update on any version. Only without the safeguard
    /// [`ReadBack`](super::Safeguard::ReadBack).
    Repeating {
        /// The operator's confirmation.
        confirmation: u16,
        /// The update that is retried.
        call: u16,
    },
    /// The operator received this outcome of its confirmation.
    Finished(ReportedOutcome),
}

/// Outcome that was reported to an operator.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum ReportedOutcome {
    /// The plan has taken effect.
    Applied,
    /// Another change superseded the plan before any of its steps.
    Superseded,
    /// The operator stopped the confirmation before it changed anything.
    Untouched,
    /// Any other outcome. It makes no claim that the model checks.
    Other,
}

/// A plan and its effects.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct PlanState {
    /// Number of the plan's record in the platform; `None` before the plan is stored.
    pub record: Option<u16>,
    /// Version of the service that the plan was made for.
    pub base: u8,
    /// Number of times that the plan changed the service.
    pub effects: u8,
}

/// A state of the model.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// Revision of the platform's store.
    pub revision: u8,
    /// Number of the object that both plans change.
    pub service: Option<u16>,
    /// Plan of each operator.
    pub plans: [PlanState; OPERATORS],
    /// State of each operator.
    pub operators: [Operator; OPERATORS],
    /// Late updates, each as the numbers of the operator and the call.
    pub late: [Option<(u8, u16)>; MAX_LATE],
    /// Whether a plan took effect on a version other than its base version.
    pub applied_to_wrong_version: bool,
}

/// Outcome of a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallOutcome {
    /// The call takes effect and is answered.
    Answered,
    /// The call is lost before it takes effect.
    Lost,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// No answer arrives, and the call may take effect at a later time.
    Late,
}

/// A transition between two states. The first number is that of the operator.
#[derive(Clone, PartialEq, Debug)]
pub enum Step {
    /// An operator makes its plan and stores it.
    Plan(usize),
    /// An operator sends a call, which has the given outcome.
    Call(usize, u16, CallOutcome),
    /// An operator waits before the next action of its confirmation.
    Pause(usize),
    /// An operator's confirmation ends with the given result.
    End(usize, End),
    /// An operator stops its confirmation.
    Stop(usize),
    /// An operator restarts the confirmation from the beginning.
    RestartConfirmation(usize),
    /// A late update of an operator takes effect.
    Arrive(usize, u16),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Plan(number) => write!(f, "operator{number} plans"),
            Step::Call(number, call, call_outcome) => {
                write!(f, "operator{number}: call{call}: {call_outcome:?}")
            }
            Step::Pause(number) => write!(f, "operator{number} waits"),
            Step::End(number, end) => write!(f, "operator{number} is told {end:?}"),
            Step::Stop(number) => write!(f, "operator{number} stops"),
            Step::RestartConfirmation(number) => {
                write!(f, "operator{number} starts the confirmation again")
            }
            Step::Arrive(number, call) => write!(f, "operator{number}'s late call{call} arrives"),
        }
    }
}
