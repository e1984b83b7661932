//! Tests of confirmations against a store in memory, with lost answers and concurrent operators.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use skylark_core::version::objects::LeadRecord;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::plan::Plan;
use skylark_core::version::plan::call::Answer;
use skylark_core::version::plan::call::Call;
use skylark_core::version::plan::call::End;
use skylark_core::version::plan::call::Next;
use skylark_core::version::plan::call::Progress;
use skylark_core::version::plan::call::Verb;
use skylark_core::version::plan::confirmation::Confirmation;
use skylark_core::version::plan::intent::Intent;
use skylark_core::version::plan::planner;
use skylark_core::version::plan::record::PlanRecord;
use skylark_core::version::plan::step;
use skylark_core::version::plan::step::Step;

const BASE: &str = include_str!("cases/plan/base.json");
/// An upper bound on the actions of any confirmation in these tests.
const MAX_ACTIONS: usize = 100;

/// A fault of a call to the store.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    /// The call does not reach the store.
    LostBefore,
    /// The answer is lost after the change took effect.
    LostAfter,
}

/// The platform's objects, and a log of every change that was applied.
struct Store {
    snapshot: Snapshot,
    writes: Vec<(ObjectKind, String, String)>,
}

impl Store {
    fn new() -> Store {
        let snapshot = serde_json::from_str(BASE).expect("base.json is a snapshot");
        Store { snapshot, writes: Vec::new() }
    }

    fn get(&self, kind: ObjectKind, name: &str) -> Option<&StoredObject> {
        let mut objects = self.snapshot.objects.iter().filter(|object| !object.deleted);
        objects.find(|object| object.kind == kind && object.name == name)
    }

    fn lead(&self, group: &str) -> LeadRecord {
        let object = self.get(ObjectKind::Lead, group).expect("the group has a lead record");
        serde_json::from_value(object.body.clone()).expect("a lead record")
    }

    fn call(&mut self, call: &Call) -> Answer {
        let version = self.get(call.kind, &call.name).map_or(0, |object| object.version);
        let (expected_version, body) = match &call.verb {
            Verb::Get => {
                let found = self.get(call.kind, &call.name).cloned();
                return found.map_or(Answer::Missing, Answer::Found);
            }
            Verb::Put { expected_version, body } => (*expected_version, Some(body.clone())),
            Verb::Delete { expected_version } => (*expected_version, None),
        };
        if version != expected_version {
            return Answer::Conflict;
        }
        let answer = self.change(call.kind, &call.name, body);
        if let Some(object) = self.get(call.kind, &call.name) {
            let by = step::last_plan(object).to_owned();
            self.writes.push((call.kind, call.name.clone(), by));
        }
        answer
    }

    /// Changes an object without a version check, like another writer.
    fn change(&mut self, kind: ObjectKind, name: &str, body: Option<serde_json::Value>) -> Answer {
        self.snapshot.revision += 1;
        let version = self.snapshot.revision;
        self.snapshot.objects.retain(|object| (object.kind, &*object.name) != (kind, name));
        if let Some(body) = body {
            let object =
                StoredObject { kind, name: name.to_owned(), version, deleted: false, body };
            self.snapshot.objects.push(object);
        }
        Answer::Took { version }
    }

    fn propose(&mut self, intent: &Intent) -> Plan {
        let plan = planner::plan(intent, &self.snapshot).expect("the intent gives a plan");
        let body = PlanRecord::proposed(plan.clone()).to_body();
        self.call(&Call {
            kind: ObjectKind::Plan,
            name: plan.id.clone(),
            verb: Verb::Put { expected_version: 0, body },
        });
        plan
    }

    /// Returns how often a plan changed an object of the configuration.
    fn writes_of(&self, plan: &Plan) -> usize {
        self.writes.iter().filter(|(_, _, by)| *by == plan.id).count()
    }

    /// Executes one action of a confirmation. Returns its result once it has ended.
    fn act(&mut self, confirmation: &mut Confirmation, fault: Fault) -> Option<End> {
        match confirmation.next_action() {
            Next::Call(call) => {
                let reached = fault != Fault::LostBefore;
                let answer = if reached { self.call(&call) } else { Answer::Lost };
                let lost = fault != Fault::None;
                confirmation.answer(if lost { Answer::Lost } else { answer });
                None
            }
            Next::Pause => None,
            Next::End(end) => Some(end),
        }
    }

    /// Executes actions until the next call changes an object of the configuration.
    fn act_until_change(&mut self, confirmation: &mut Confirmation) {
        for _ in 0..MAX_ACTIONS {
            let mut ahead = confirmation.clone();
            if let Next::Call(call) = ahead.next_action()
                && call.kind != ObjectKind::Plan
                && call.verb != Verb::Get
            {
                return;
            }
            assert_eq!(self.act(confirmation, Fault::None), None);
        }
        panic!("the confirmation changes nothing");
    }

    fn finish(&mut self, confirmation: &mut Confirmation) -> End {
        let mut ends = (0..MAX_ACTIONS).map(|_| self.act(confirmation, Fault::None));
        ends.find_map(|end| end).expect("the confirmation ends")
    }
}

fn weight(weight: u32) -> Intent {
    Intent::SetWeight { service: "s".to_owned(), class: "low".to_owned(), weight }
}

fn drain(target: &str) -> Intent {
    Intent::DrainTarget { target: target.to_owned() }
}

const APPLIED: End = End::Applied { already: false };

fn superseded_after(end: &End) -> Option<usize> {
    match end {
        End::Superseded { steps_done, .. } => Some(*steps_done),
        _ => None,
    }
}

#[test]
fn lost_answer_after_effect() {
    // Failure: the confirmation gets no answer and makes a change twice.
    // 1. The update is applied. 2. Its answer is lost. 3. The operator's tool reads the object, which
    // contains the plan's id, so the change is recognised and not repeated.
    let mut store = Store::new();
    let plan = store.propose(&weight(2));
    let mut confirmation = Confirmation::new(&plan.id);
    store.act_until_change(&mut confirmation);
    store.act(&mut confirmation, Fault::LostAfter);
    assert_eq!(confirmation.progress(), Progress::Unanswered);
    assert_eq!(store.finish(&mut confirmation), APPLIED);
    assert_eq!(store.writes_of(&plan), 1);
}

#[test]
fn platform_goes_down_after_a_step() {
    // Failure: the operator's tool reports that nothing was changed, but the change is in force.
    // 1. The update is applied and answered. 2. The platform goes down, so the step is not recorded.
    // A tool that stops there, or restarts and reads the record once, must not report "untouched".
    let mut store = Store::new();
    let plan = store.propose(&weight(2));
    let mut confirmation = Confirmation::new(&plan.id);
    store.act_until_change(&mut confirmation);
    assert_eq!(confirmation.progress(), Progress::Untouched);
    store.act(&mut confirmation, Fault::None);
    assert_eq!(confirmation.progress(), Progress::Unfinished);
    store.act(&mut confirmation, Fault::LostBefore);
    assert_eq!(confirmation.progress(), Progress::Unfinished);
    let mut again = Confirmation::new(&plan.id);
    store.act(&mut again, Fault::None);
    assert_eq!(again.progress(), Progress::Unanswered);
    assert_eq!(store.finish(&mut again), APPLIED);
    assert_eq!(store.writes_of(&plan), 1);
}

#[test]
fn lost_call_before_effect() {
    // The update never reaches the store. The object still has the base version, so it is safe to send
    // the update again, and it is applied once.
    let mut store = Store::new();
    let plan = store.propose(&weight(2));
    let mut confirmation = Confirmation::new(&plan.id);
    store.act_until_change(&mut confirmation);
    store.act(&mut confirmation, Fault::LostBefore);
    assert_eq!(store.finish(&mut confirmation), APPLIED);
    assert_eq!(store.writes_of(&plan), 1);
    assert_eq!(
        store.finish(&mut Confirmation::new(&plan.id)),
        End::Applied { already: true },
        "a second confirmation changes nothing"
    );
}

#[test]
fn racing_operators() {
    // Two operators plan on the same state and confirm. Both compare the base versions before either
    // of them writes. One update is applied; the other plan is reported as superseded, and none of its
    // changes is in force.
    let mut store = Store::new();
    let first = store.propose(&weight(2));
    let second = store.propose(&weight(3));
    let mut of_first = Confirmation::new(&first.id);
    let mut of_second = Confirmation::new(&second.id);
    store.act_until_change(&mut of_first);
    store.act_until_change(&mut of_second);
    assert_eq!(store.finish(&mut of_second), APPLIED);
    assert_eq!(superseded_after(&store.finish(&mut of_first)), Some(0));
    assert_eq!((store.writes_of(&first), store.writes_of(&second)), (0, 1));
}

#[test]
fn overwritten_before_the_object_is_read() {
    // Failure: an applied plan is reported as superseded. 1. The first operator's change is applied, and
    // its answer is lost. 2. Before the first tool reads the object, a second operator plans on the new
    // state and confirms, so that the object contains only the second plan's id. A confirmation that
    // overwrites the change of another plan therefore marks it as done in that plan's record first.
    let mut store = Store::new();
    let first = store.propose(&weight(2));
    let mut of_first = Confirmation::new(&first.id);
    store.act_until_change(&mut of_first);
    store.act(&mut of_first, Fault::LostAfter);
    let second = store.propose(&weight(3));
    assert_eq!(store.finish(&mut Confirmation::new(&second.id)), APPLIED);
    assert_eq!(store.finish(&mut of_first), APPLIED);
    assert_eq!((store.writes_of(&first), store.writes_of(&second)), (1, 1));
}

#[test]
fn same_plan_confirmed_twice_at_once() {
    // Two operators confirm the same plan concurrently. Both get the result that it is applied, and the
    // object is changed once.
    let mut store = Store::new();
    let plan = store.propose(&weight(2));
    let mut one = Confirmation::new(&plan.id);
    let mut other = Confirmation::new(&plan.id);
    store.act_until_change(&mut one);
    store.act_until_change(&mut other);
    assert_eq!(store.finish(&mut one), APPLIED);
    assert_eq!(store.finish(&mut other), APPLIED);
    assert_eq!(store.writes_of(&plan), 1);
}

#[test]
fn stale_plan_changes_nothing() {
    // Between plan and confirmation another operator drains another member of the group. Only the base
    // version of the plan's last step is outdated, but applying the first step would move the primary in
    // vain. The comparison of all base versions rejects the plan before its first step.
    let mut store = Store::new();
    let plan = store.propose(&drain("g-a"));
    let other = store.propose(&drain("g-b"));
    assert_eq!(store.finish(&mut Confirmation::new(&other.id)), APPLIED);
    let end = store.finish(&mut Confirmation::new(&plan.id));
    assert_eq!(superseded_after(&end), Some(0));
    assert_eq!(store.writes_of(&plan), 0);
    assert_eq!(store.lead("g").wanted, "");
}

#[test]
fn failover_between_plan_and_confirmation() {
    // A failover between plan and confirmation replaces the primary that the plan moves. No step of the
    // plan is applied.
    let mut store = Store::new();
    let plan = store.propose(&drain("g-a"));
    let lead = LeadRecord { primary: "g-c".to_owned(), ..store.lead("g") };
    store.change(ObjectKind::Lead, "g", serde_json::to_value(lead).ok());
    let end = store.finish(&mut Confirmation::new(&plan.id));
    assert_eq!(superseded_after(&end), Some(0));
    assert_eq!(store.writes_of(&plan), 0);
}

/// Writes the lead record like a driver that has moved the primary to the requested member, if there is one.
fn drive(store: &mut Store) {
    let lead = store.lead("g");
    if lead.wanted.is_empty() {
        return;
    }
    let done = LeadRecord { primary: lead.wanted.clone(), wanted: String::new(), ..lead };
    store.change(ObjectKind::Lead, "g", serde_json::to_value(done).ok());
}

#[test]
fn interrupted_drain_of_a_primary_is_resumed() {
    // An operator drains a primary, and the tool dies while the primary moves: the target is no longer
    // the primary, but still gets reads. A second operator confirms the same plan. The move is not
    // requested again, and the drain is applied.
    let mut store = Store::new();
    let plan = store.propose(&drain("g-a"));
    let mut first = Confirmation::new(&plan.id);
    store.act_until_change(&mut first);
    store.act(&mut first, Fault::None);
    for _ in 0..6 {
        assert_eq!(store.act(&mut first, Fault::None), None, "the move is awaited");
    }
    assert_eq!(first.progress(), Progress::Unfinished);
    drive(&mut store);
    assert_eq!(store.finish(&mut Confirmation::new(&plan.id)), APPLIED);
    assert_eq!(store.writes.iter().filter(|(kind, ..)| *kind == ObjectKind::Group).count(), 1);
    let group = store.get(ObjectKind::Group, "g").expect("the group is there");
    assert_eq!(group.body["members"][0]["drain"], true);
}

#[test]
fn superseded_while_the_primary_moves() {
    // While the primary moves, another operator drains another member. Draining the first target too
    // would leave no majority. Its step is not applied, because the group no longer has the base version
    // of the plan. The result is that only the move is in force.
    let mut store = Store::new();
    let plan = store.propose(&drain("g-a"));
    let other = store.propose(&drain("g-b"));
    let mut confirmation = Confirmation::new(&plan.id);
    store.act_until_change(&mut confirmation);
    store.act(&mut confirmation, Fault::None);
    assert_eq!(store.finish(&mut Confirmation::new(&other.id)), APPLIED);
    drive(&mut store);
    assert_eq!(superseded_after(&store.finish(&mut confirmation)), Some(2));
    let group = store.get(ObjectKind::Group, "g").expect("the group is there");
    assert_eq!(group.body["members"][0].get("drain"), None);
}

#[test]
fn cancelled_move_is_superseded() {
    // The driver aborts the move and clears the requested primary. The confirmation must not wait
    // forever, and must not drain a target that is still the primary.
    let mut store = Store::new();
    let plan = store.propose(&drain("g-a"));
    let mut confirmation = Confirmation::new(&plan.id);
    store.act_until_change(&mut confirmation);
    store.act(&mut confirmation, Fault::None);
    let lead = LeadRecord { wanted: String::new(), ..store.lead("g") };
    store.change(ObjectKind::Lead, "g", serde_json::to_value(lead).ok());
    assert_eq!(superseded_after(&store.finish(&mut confirmation)), Some(1));
}

fn removal() -> Intent {
    Intent::RemoveGroup { group: "g".to_owned() }
}

#[test]
fn removal_against_a_change_of_the_same_version() {
    // One operator removes a group, another drains a member of it. The drain is applied first. A removed
    // object contains no plan id, but the conflicting plan changed the version that was to be removed, so the
    // removal was not applied.
    let mut store = Store::new();
    let plan = store.propose(&removal());
    let conflicting = store.propose(&drain("g-b"));
    let mut confirmation = Confirmation::new(&plan.id);
    store.act_until_change(&mut confirmation);
    assert_eq!(store.finish(&mut Confirmation::new(&conflicting.id)), APPLIED);
    assert_eq!(superseded_after(&store.finish(&mut confirmation)), Some(0));
}

#[test]
fn removed_group_added_again_before_the_object_is_read() {
    // The removal is applied and its answer is lost. Another operator adds the group again before the tool
    // reads the object. Which plan removed the group can't be proved, so the result is `Unknown`, and
    // the new group is not touched.
    let mut store = Store::new();
    let plan = store.propose(&removal());
    let mut confirmation = Confirmation::new(&plan.id);
    let old = store.get(ObjectKind::Group, "g").expect("the group is there").body.clone();
    store.act_until_change(&mut confirmation);
    store.act(&mut confirmation, Fault::LostAfter);
    let spec = serde_json::from_value(old).expect("a group");
    let again = store.propose(&Intent::AddGroup { group: "g".to_owned(), spec });
    assert_eq!(store.finish(&mut Confirmation::new(&again.id)), APPLIED);
    assert!(matches!(store.finish(&mut confirmation), End::Unknown { .. }));
    assert!(store.get(ObjectKind::Group, "g").is_some());
}

/// One event of a random run.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// An operator's tool executes one action.
    Act(usize, Fault),
    /// An operator's tool restarts with the newest plan.
    Restart(usize),
    /// An operator creates and confirms a plan on the current state.
    Plan(usize, u32),
    /// A driver writes the lead record.
    Drive,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let operator = usize::arbitrary(g) % OPERATORS;
        match u8::arbitrary(g) % 16 {
            0 => Event::Restart(operator),
            1 => Event::Plan(operator, u32::arbitrary(g) % 5),
            2 => Event::Drive,
            3 => Event::Act(operator, Fault::LostBefore),
            4 | 5 => Event::Act(operator, Fault::LostAfter),
            _ => Event::Act(operator, Fault::None),
        }
    }
}

const OPERATORS: usize = 3;
const RUNS: u64 = 400;
const EVENTS: usize = 120;

fn random_intent(choice: u32) -> Intent {
    match choice {
        0 => drain("g-a"),
        1 => drain("g-b"),
        2 => Intent::MovePrimary { group: "g".to_owned(), to: Some("g-c".to_owned()) },
        choice => weight(choice),
    }
}

/// Proposes a plan if the intent can be planned in the current state.
fn try_propose(store: &mut Store, choice: u32) -> Option<Plan> {
    let intent = random_intent(choice);
    planner::plan(&intent, &store.snapshot).ok().map(|_| store.propose(&intent))
}

fn run_events(events: &[Event]) -> usize {
    let mut store = Store::new();
    let mut plans: Vec<Plan> = Vec::new();
    let mut operators: Vec<Option<Confirmation>> = vec![None; OPERATORS];
    for event in events {
        match *event {
            Event::Act(operator, fault) => {
                if let Some(confirmation) = &mut operators[operator] {
                    store.act(confirmation, fault);
                }
            }
            Event::Restart(operator) => {
                if let Some(plan) = plans.last() {
                    operators[operator] = Some(Confirmation::new(&plan.id));
                }
            }
            Event::Plan(operator, choice) => {
                if let Some(plan) = try_propose(&mut store, choice) {
                    operators[operator] = Some(Confirmation::new(&plan.id));
                    plans.push(plan);
                }
            }
            Event::Drive => drive(&mut store),
        }
    }
    verify(&mut store, &plans);
    plans.len()
}

/// Checks, without further faults, that the result of every plan's confirmation matches the changes that were
/// written.
fn verify(store: &mut Store, plans: &[Plan]) {
    for plan in plans {
        let end = finish_with_driver(store, &plan.id);
        let steps_done = match end {
            End::Applied { .. } => plan.steps.len(),
            End::Superseded { steps_done, .. } => steps_done,
            end => panic!("{plan} ends as {end:?}"),
        };
        let done = plan.steps[..steps_done].iter();
        let expected = done.filter(|step| matches!(step, Step::Change(_))).count();
        assert_eq!(store.writes_of(plan), expected, "changes written by {plan}");
    }
}

fn finish_with_driver(store: &mut Store, id: &str) -> End {
    let mut confirmation = Confirmation::new(id);
    for _ in 0..MAX_ACTIONS {
        if let Some(end) = store.act(&mut confirmation, Fault::None) {
            return end;
        }
        drive(store);
    }
    panic!("the confirmation of {id} does not end");
}

#[test]
fn random_confirmations_report_the_actual_result() {
    // Three operators plan and confirm changes of the same objects. Calls and answers are lost, tools
    // restart, and drivers write in between. Afterwards each plan is confirmed again: the result is
    // `Applied` if and only if its changes were written, each exactly once.
    let mut plans = 0;
    for seed in 0..RUNS {
        let mut g = Gen::from_size_and_seed(EVENTS, seed);
        let events: Vec<Event> = (0..EVENTS).map(|_| Event::arbitrary(&mut g)).collect();
        plans += run_events(&events);
    }
    assert!(plans as u64 > RUNS, "the runs make plans");
}
