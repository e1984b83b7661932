//! A plan and its progress, as stored in the platform.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::version::objects::ObjectKind;
use crate::version::plan::Plan;

/// The state of a plan.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// Not confirmed, and nothing is changed.
    Proposed,
    /// Confirmed; its steps are being applied.
    Confirmed,
    /// All steps are applied.
    Done,
    /// A conflicting change was made; the outstanding steps will not be applied.
    Superseded,
}

/// A plan with its progress. It is stored under the plan's id.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRecord {
    /// The plan.
    pub plan: Plan,
    /// The state of the plan.
    pub state: PlanState,
    /// The number of steps, counted from the first, that are known to be applied.
    pub steps_done: usize,
    /// The reason why the plan was superseded; empty otherwise.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub cause: String,
}

impl PlanRecord {
    /// Creates the record of a plan that is not confirmed.
    pub fn proposed(plan: Plan) -> PlanRecord {
        PlanRecord { plan, state: PlanState::Proposed, steps_done: 0, cause: String::new() }
    }

    /// Returns the record after the first `steps_done` steps are applied.
    pub(super) fn advanced(&self, steps_done: usize) -> PlanRecord {
        let all = steps_done >= self.plan.steps.len();
        let state = if all { PlanState::Done } else { PlanState::Confirmed };
        PlanRecord { plan: self.plan.clone(), state, steps_done, cause: String::new() }
    }

    /// Returns the record after a conflicting change.
    pub(super) fn superseded(&self, cause: String) -> PlanRecord {
        PlanRecord { state: PlanState::Superseded, cause, ..self.clone() }
    }

    /// Returns the record with the step that changes this object marked as done, or `None` if it is
    /// already marked or no step changes the object.
    pub(super) fn marked_done(&self, kind: ObjectKind, name: &str) -> Option<PlanRecord> {
        let index = self.plan.steps.iter().position(|step| step.changes(kind, name))?;
        (self.steps_done <= index).then(|| self.advanced(index + 1))
    }

    /// Returns the body of the stored object.
    pub fn to_body(&self) -> Value {
        serde_json::to_value(self).expect("a record is plain data")
    }
}
