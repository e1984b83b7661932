//! The transitions and invariants of the plans model.

use serde_json::Value;
use serde_json::json;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::plan::Plan;
use skylark_core::version::plan::call::Call;
use skylark_core::version::plan::call::End;
use skylark_core::version::plan::call::Progress;
use skylark_core::version::plan::call::Verb;
use skylark_core::version::plan::intent::Intent;
use skylark_core::version::plan::planner;
use skylark_core::version::plan::record::PlanRecord;
use skylark_core::version::plan::step;

use super::Safeguard;
use super::state::CallOutcome;
use super::state::MAX_LATE;
use super::state::OPERATORS;
use super::state::Operator;
use super::state::PlanState;
use super::state::ReportedOutcome;
use super::state::State;
use super::state::Step;
use super::transition_cache::Action;
use super::transition_cache::Effect;
use super::transition_cache::Reply;
use super::transition_cache::TransitionCache;
use crate::explore::Model;

const SERVICE: &str = "s";

/// The plans model.
#[derive(Clone, Debug)]
pub struct PlansModel {
    transition_cache: TransitionCache,
    /// Whether operators may restart a confirmation.
    allow_restart: bool,
    without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl PlansModel {
    /// Creates the model with all safeguards except `without`. With `allow_restart`, operators may restart
    /// a confirmation.
    pub fn new(allow_restart: bool, without: Option<Safeguard>) -> PlansModel {
        PlansModel { transition_cache: TransitionCache::default(), allow_restart, without }
    }

    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    fn snapshot(&self, state: &State) -> Snapshot {
        let records = state.plans.iter().filter_map(|plan| plan.record);
        let objects = state.service.into_iter().chain(records);
        Snapshot {
            revision: u64::from(state.revision),
            objects: objects.map(|number| self.transition_cache.object(number)).collect(),
            vms: Vec::new(),
        }
    }

    fn plan(&self, state: &State, number: usize, next: &mut Next) {
        let weight = number as u32 + 2;
        let intent =
            Intent::SetWeight { service: SERVICE.to_owned(), class: "low".to_owned(), weight };
        let Ok(plan) = planner::plan(&intent, &self.snapshot(state)) else { return };
        let mut after = *state;
        after.revision += 1;
        let record = stored(
            ObjectKind::Plan,
            &plan.id,
            after.revision,
            PlanRecord::proposed(plan.clone()).to_body(),
        );
        let base = base_version(&plan);
        let record = Some(self.transition_cache.object_number(record));
        after.plans[number] = PlanState { record, base, effects: 0 };
        after.operators[number] =
            Operator::Confirming(self.transition_cache.new_confirmation(&plan.id));
        next.push((Step::Plan(number), after));
    }

    fn plan_id(&self, state: &State, number: usize) -> Option<String> {
        state.plans[number].record.map(|record| self.transition_cache.object(record).name)
    }

    fn confirmation_steps(&self, state: &State, number: usize, confirmation: u16, next: &mut Next) {
        let progress = match self.transition_cache.progress(confirmation) {
            Some(Progress::Untouched) => ReportedOutcome::Untouched,
            _ => ReportedOutcome::Other,
        };
        self.finish(state, number, Step::Stop(number), progress, next);
        if self.allow_restart
            && let Some(id) = self.plan_id(state, number)
        {
            let fresh = Operator::Confirming(self.transition_cache.new_confirmation(&id));
            if state.operators[number] != fresh {
                next.push((Step::RestartConfirmation(number), with_operator(state, number, fresh)));
            }
        }
        let (polled, action) = self.transition_cache.next_action(confirmation);
        match action {
            Action::Pause => {
                let after = with_operator(state, number, Operator::Confirming(polled));
                next.push((Step::Pause(number), after));
            }
            Action::End(end) => {
                let outcome = reported_outcome(&end);
                self.finish(state, number, Step::End(number, end), outcome, next);
            }
            Action::Call(call) => {
                for call_outcome in [
                    CallOutcome::Answered,
                    CallOutcome::Lost,
                    CallOutcome::AnswerLost,
                    CallOutcome::Late,
                ] {
                    self.call(state, number, polled, call, call_outcome, next);
                }
            }
        }
    }

    fn finish(
        &self,
        state: &State,
        number: usize,
        step: Step,
        outcome: ReportedOutcome,
        next: &mut Next,
    ) {
        next.push((step, with_operator(state, number, Operator::Finished(outcome))));
    }

    fn call(
        &self,
        state: &State,
        number: usize,
        polled: u16,
        call: u16,
        call_outcome: CallOutcome,
        next: &mut Next,
    ) {
        let traits = self.transition_cache.traits(call);
        let mut after = *state;
        let reply = match call_outcome {
            CallOutcome::Answered => self.take_effect(&mut after, number, call),
            CallOutcome::AnswerLost if !traits.is_read => {
                self.take_effect(&mut after, number, call);
                Reply::Lost
            }
            CallOutcome::Late if !traits.is_read => {
                let Some(free) = after.late.iter_mut().find(|late| late.is_none()) else { return };
                *free = Some((number as u8, call));
                after.late.sort_unstable();
                Reply::Lost
            }
            CallOutcome::Lost => Reply::Lost,
            CallOutcome::AnswerLost | CallOutcome::Late => return,
        };
        let changes = !traits.is_read && !traits.on_plan_record;
        let repeats = reply == Reply::Lost && changes && !self.has(Safeguard::ReadBack);
        after.operators[number] = match repeats {
            true => Operator::Repeating { confirmation: polled, call },
            false => Operator::Confirming(self.transition_cache.answer(polled, reply)),
        };
        next.push((Step::Call(number, call, call_outcome), after));
    }

    /// Applies a call of an operator to the platform's objects and returns the platform's answer.
    fn take_effect(&self, state: &mut State, number: usize, call: u16) -> Reply {
        let traits = self.transition_cache.traits(call);
        let record_owner = self.record_owner(state, call);
        let object = match record_owner {
            Some(plan) => state.plans[plan].record,
            None => state.service,
        };
        let notes = record_owner.is_some_and(|plan| plan != number) && !traits.is_read;
        if notes && !self.has(Safeguard::Note) {
            return Reply::Took(state.revision);
        }
        let changes = !traits.is_read && !traits.on_plan_record;
        let any_version = changes && !self.has(Safeguard::BaseVersion);
        let stored = match changes && !self.has(Safeguard::PlanId) {
            true => {
                self.transition_cache.call_number(without_plan_id(self.transition_cache.call(call)))
            }
            false => call,
        };
        let present = self.transition_cache.version(object);
        let Effect { reply, object, changed } =
            self.transition_cache.apply_call(stored, object, state.revision, any_version);
        if !changed {
            return reply;
        }
        state.revision += 1;
        match record_owner {
            Some(plan) => state.plans[plan].record = object,
            None => {
                state.service = object;
                state.plans[number].effects += 1;
                state.applied_to_wrong_version |= present != u64::from(state.plans[number].base);
            }
        }
        reply
    }

    /// Returns the number of the plan whose record a call addresses; `None` for the service.
    fn record_owner(&self, state: &State, call: u16) -> Option<usize> {
        let is_record = |plan: &PlanState| {
            plan.record.is_some_and(|record| self.transition_cache.is_about(call, record))
        };
        state.plans.iter().position(is_record)
    }

    /// Retries an update with the version that the service has now, without reading it first. Only
    /// without [`Safeguard::ReadBack`].
    fn repeat(&self, state: &State, number: usize, confirmation: u16, call: u16, next: &mut Next) {
        let call = self.transition_cache.call(call);
        let expected_version = self.transition_cache.version(state.service);
        let verb = match call.verb {
            Verb::Put { body, .. } => Verb::Put { expected_version, body },
            Verb::Delete { .. } => Verb::Delete { expected_version },
            Verb::Get => Verb::Get,
        };
        let call = self.transition_cache.call_number(Call { verb, ..call });
        let mut after = *state;
        let reply = self.take_effect(&mut after, number, call);
        after.operators[number] =
            Operator::Confirming(self.transition_cache.answer(confirmation, reply));
        next.push((Step::Call(number, call, CallOutcome::Answered), after));
    }

    fn arrival_steps(&self, state: &State, next: &mut Next) {
        for slot in 0..MAX_LATE {
            let Some((number, call)) = state.late[slot] else { continue };
            let mut after = *state;
            after.late[slot] = None;
            after.late.sort_unstable();
            self.take_effect(&mut after, usize::from(number), call);
            next.push((Step::Arrive(usize::from(number), call), after));
        }
    }
}

fn stored(kind: ObjectKind, name: &str, version: u8, body: Value) -> StoredObject {
    let version = u64::from(version);
    StoredObject { kind, name: name.to_owned(), version, deleted: false, body }
}

fn base_version(plan: &Plan) -> u8 {
    plan.base_versions().next().expect("the plan changes the service").version as u8
}

fn with_operator(state: &State, number: usize, operator: Operator) -> State {
    let mut after = *state;
    after.operators[number] = operator;
    after
}

fn without_plan_id(mut call: Call) -> Call {
    if let Verb::Put { body: Value::Object(fields), .. } = &mut call.verb {
        fields.remove("plan");
    }
    call
}

fn reported_outcome(end: &End) -> ReportedOutcome {
    match end {
        End::Applied { .. } => ReportedOutcome::Applied,
        End::Superseded { steps_done: 0, .. } => ReportedOutcome::Superseded,
        _ => ReportedOutcome::Other,
    }
}

fn describe_call(call: &Call) -> String {
    let object = format!("{} `{}`", call.kind.name(), call.name);
    match call.verb {
        Verb::Get => format!("read {object}"),
        Verb::Put { expected_version, .. } => {
            format!("update version {expected_version} of {object}")
        }
        Verb::Delete { expected_version } => {
            format!("remove version {expected_version} of {object}")
        }
    }
}

impl Model for PlansModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let body = json!({
            "read_kinds": [],
            "classes": [
                { "name": "high", "weight": 8, "goal_ms": 50 },
                { "name": "low", "weight": 1, "goal_ms": 400 },
            ],
        });
        let service = stored(ObjectKind::Service, SERVICE, 1, body);
        State {
            revision: 1,
            service: Some(self.transition_cache.object_number(service)),
            plans: [PlanState::default(); OPERATORS],
            operators: [Operator::Idle; OPERATORS],
            late: [None; MAX_LATE],
            applied_to_wrong_version: false,
        }
    }

    fn steps(&self, state: &State, next: &mut Next) {
        for number in 0..OPERATORS {
            match state.operators[number] {
                Operator::Idle => self.plan(state, number, next),
                Operator::Confirming(confirmation) => {
                    self.confirmation_steps(state, number, confirmation, next);
                }
                Operator::Repeating { confirmation, call } => {
                    self.repeat(state, number, confirmation, call, next);
                }
                Operator::Finished(_) => {}
            }
        }
        self.arrival_steps(state, next);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.applied_to_wrong_version {
            return Some("a plan took effect on a version that it was not made for");
        }
        for (plan, operator) in state.plans.iter().zip(&state.operators) {
            match (operator, plan.effects) {
                (_, 2..) => return Some("a plan took effect twice"),
                (Operator::Finished(ReportedOutcome::Applied), 0) => {
                    return Some("a plan is told to be applied that did not take effect");
                }
                (Operator::Finished(ReportedOutcome::Superseded), 1) => {
                    return Some("a plan is told to be superseded that took effect");
                }
                (Operator::Finished(ReportedOutcome::Untouched), 1) => {
                    return Some("an operator is told that nothing was touched, but it was");
                }
                _ => {}
            }
        }
        None
    }

    fn describe_step(&self, step: &Step) -> String {
        match step {
            Step::Call(_, call, _) | Step::Arrive(_, call) => {
                format!("{step}: {}", describe_call(&self.transition_cache.call(*call)))
            }
            step => step.to_string(),
        }
    }

    fn describe(&self, state: &State) -> String {
        let service = state.service.map(|number| self.transition_cache.object(number));
        let shown = service.map_or("no service".to_owned(), |object| {
            let by = step::last_plan(&object);
            let weight = &object.body["classes"][1]["weight"];
            format!("service version {}, weight {weight}, by `{by}`", object.version)
        });
        let effects: Vec<u8> = state.plans.iter().map(|plan| plan.effects).collect();
        let late = state.late.iter().flatten().count();
        let outcomes = state.operators.map(|operator| match operator {
            Operator::Finished(outcome) => format!("{outcome:?}"),
            Operator::Idle => "idle".to_owned(),
            Operator::Confirming(_) | Operator::Repeating { .. } => "busy".to_owned(),
        });
        format!("{shown}; effects {effects:?}; late updates {late}; operators {outcomes:?}")
    }
}
