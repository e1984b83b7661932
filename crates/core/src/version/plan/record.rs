//! A plan as it is kept in the platform, with its progress.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::version::objects::ObjectKind;
use crate::version::plan::Plan;

/// How far a plan has come.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// Not confirmed: nothing has changed.
    Proposed,
    /// Confirmed; steps are being taken.
    Confirmed,
    /// Every step has taken effect.
    Done,
    /// Another change came between; the steps not done will not be taken.
    Superseded,
}

/// A plan as it is stored, under its id.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRecord {
    /// The plan.
    pub plan: Plan,
    /// How far it has come.
    pub state: PlanState,
    /// How many of its steps, counted from the first, are known to have taken effect.
    pub steps_done: usize,
    /// Why the plan was superseded; empty while it is not.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub cause: String,
}

impl PlanRecord {
    /// The record of a plan that is not confirmed.
    pub fn proposed(plan: Plan) -> PlanRecord {
        PlanRecord { plan, state: PlanState::Proposed, steps_done: 0, cause: String::new() }
    }

    /// The record after the first `steps_done` steps have taken effect.
    pub(super) fn advanced(&self, steps_done: usize) -> PlanRecord {
        let all = steps_done >= self.plan.steps.len();
        let state = if all { PlanState::Done } else { PlanState::Confirmed };
        PlanRecord { plan: self.plan.clone(), state, steps_done, cause: String::new() }
    }

    /// The record after another change came between.
    pub(super) fn superseded(&self, cause: String) -> PlanRecord {
        PlanRecord { state: PlanState::Superseded, cause, ..self.clone() }
    }

    /// The record after the step that changes this object is known to have taken effect; none
    /// where that is noted already.
    pub(super) fn marked_done(&self, kind: ObjectKind, name: &str) -> Option<PlanRecord> {
        let index = self.plan.steps.iter().position(|step| step.changes(kind, name))?;
        (self.steps_done <= index).then(|| self.advanced(index + 1))
    }

    /// The record as it is stored.
    pub fn to_body(&self) -> Value {
        serde_json::to_value(self).expect("a record is plain data")
    }
}
