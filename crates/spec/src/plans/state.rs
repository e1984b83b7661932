//! The states and steps of the plans model.

use std::fmt;

use skylark_core::version::plan::call::End;

/// The operators; each makes one plan.
pub const OPERATORS: usize = 2;
/// The most updates that are on their way although their sender heard no answer.
pub const MAX_LATE: usize = 2;
/// Where an operator stands.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Operator {
    /// It has made no plan.
    Idle,
    /// It confirms its plan.
    Confirming(u16),
    /// It sends an update again and again, on any version (only without the safeguard).
    Repeating {
        /// Its confirmation.
        confirmation: u16,
        /// The update.
        call: u16,
    },
    /// It was told how the confirmation ended.
    Finished(ReportedOutcome),
}

/// What an operator was told.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum ReportedOutcome {
    /// The plan has taken effect.
    Applied,
    /// Another change came before any step.
    Superseded,
    /// It stopped, and nothing was touched.
    Untouched,
    /// Anything that claims less.
    Other,
}

/// A plan and what became of it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct PlanState {
    /// The record in the platform.
    pub record: Option<u16>,
    /// The version of the service that the plan was made for.
    pub base: u8,
    /// How often the plan changed the service.
    pub effects: u8,
}

/// A state.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// The store's revision.
    pub revision: u8,
    /// The object that both plans change.
    pub service: Option<u16>,
    /// The plans, by their operator.
    pub plans: [PlanState; OPERATORS],
    /// The operators.
    pub operators: [Operator; OPERATORS],
    /// Updates that may still take effect, by the operator's number and the call's.
    pub late: [Option<(u8, u16)>; MAX_LATE],
    /// Whether a plan took effect on another version than its base.
    pub applied_to_wrong_version: bool,
}

/// What becomes of a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallOutcome {
    /// It takes effect and is answered.
    Answered,
    /// It is lost.
    Lost,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// No answer comes, and it may take effect later.
    Late,
}

/// What happens between two states.
#[derive(Clone, PartialEq, Debug)]
pub enum Step {
    /// An operator makes its plan and stores it.
    Plan(usize),
    /// An operator's call, and what becomes of it.
    Call(usize, u16, CallOutcome),
    /// An operator waits and asks again.
    Pause(usize),
    /// An operator is told the end.
    End(usize, End),
    /// An operator stops.
    Stop(usize),
    /// An operator runs the confirmation again from its beginning.
    RestartConfirmation(usize),
    /// A late update arrives.
    Arrive(usize, u16),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Plan(number) => write!(f, "operator{number} plans"),
            Step::Call(number, call, outcome) => {
                write!(f, "operator{number}: call{call}: {outcome:?}")
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
