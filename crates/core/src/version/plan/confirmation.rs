//! The confirmation of a plan, as a state machine over the platform's answers.
//!
//! A plan is stored as the object `plan/ID`, a [`PlanRecord`]. Its confirmation
//! 1. compares the version of every object that the plan changes with the plan's base versions,
//! 2. marks the record as confirmed,
//! 3. applies the steps in order: each step is one conditional update of one object at the plan's base
//!    version, whose new body contains the plan's id, followed by one update of the progress in the
//!    record.
//!
//! **Lost answers.** An update without an answer is not repeated before the object is read. If the object
//! contains the plan's id, the update was applied. If it still has the base version, the update was not
//! applied. Otherwise another change was made in between, and this plan's change may have been applied and
//! overwritten. To make this decidable, a confirmation that is about to overwrite another plan's change first
//! marks the step as done in the record of that plan. A record without the mark proves that the plan was
//! superseded before the step.
//!
//! **Resuming.** The record contains the whole state, and the steps are idempotent. So any operator can run
//! the confirmation again, and several can run it concurrently.

use std::mem;

use serde::Deserialize;

use crate::version::objects::ObjectKind;
use crate::version::objects::StoredObject;
use crate::version::plan::call::Answer;
use crate::version::plan::call::Call;
use crate::version::plan::call::End;
use crate::version::plan::call::Next;
use crate::version::plan::call::Progress;
use crate::version::plan::call::Verb;
use crate::version::plan::record::PlanRecord;
use crate::version::plan::record::PlanState;
use crate::version::plan::step::Step;
use crate::version::plan::step::Verdict;
use crate::version::plan::step::last_plan;

/// The state of the confirmation. Each stage except `Ended` makes a call and waits for its answer.
#[derive(Clone, PartialEq, Debug)]
enum Stage {
    ReadRecord,
    CheckBase {
        index: usize,
    },
    WriteRecord {
        next: PlanRecord,
    },
    ReadObject,
    /// Reads the record of the plan `other`, whose change `write` is about to overwrite.
    ReadOverwrittenPlan {
        other: String,
        write: Call,
    },
    /// Marks the overwritten step as done in the record of its plan, then does `write`.
    MarkOverwrittenPlan {
        mark: Call,
        write: Call,
    },
    WriteObject {
        write: Call,
    },
    /// Reads this plan's record again for a mark that the confirmation of another plan may have made.
    RecheckRecord {
        cause: String,
    },
    /// Reads the record of the plan that changed an object which this plan removes.
    ReadConflictingPlan {
        conflicting: String,
        cause: String,
    },
    Ended(End),
}

/// The confirmation of one plan.
#[derive(Clone, PartialEq, Debug)]
pub struct Confirmation {
    id: String,
    stage: Stage,
    /// The record and its version, as last read or written.
    record: Option<(u64, PlanRecord)>,
    pause: bool,
    /// Whether an update of an object was sent and its answer is outstanding.
    in_flight: bool,
    /// Whether an update of an object got no answer, and it is still unknown whether it was applied.
    unanswered: bool,
    /// Whether a step is known to be applied. The record contains this only after its own update, and
    /// the platform may become unreachable in between.
    step_applied: bool,
}

impl Confirmation {
    /// Creates the confirmation of the plan with this id.
    pub fn new(id: &str) -> Confirmation {
        Confirmation {
            id: id.to_owned(),
            stage: Stage::ReadRecord,
            record: None,
            pause: false,
            in_flight: false,
            unanswered: false,
            step_applied: false,
        }
    }

    /// Returns the record as last read or written.
    pub fn record(&self) -> Option<&PlanRecord> {
        self.record.as_ref().map(|(_, record)| record)
    }

    /// Returns the progress, for a caller that stops the confirmation here.
    pub fn progress(&self) -> Progress {
        let steps_done = self.record().map_or(0, |record| record.steps_done);
        match (self.in_flight || self.unanswered, self.step_applied || steps_done > 0) {
            (true, _) => Progress::Unanswered,
            (false, false) => Progress::Untouched,
            (false, true) => Progress::Unfinished,
        }
    }

    /// Returns the next action.
    pub fn next_action(&mut self) -> Next {
        if mem::take(&mut self.pause) {
            return Next::Pause;
        }
        self.in_flight = matches!(self.stage, Stage::WriteObject { .. });
        match &self.stage {
            Stage::ReadRecord | Stage::RecheckRecord { .. } => Next::Call(get_plan(&self.id)),
            Stage::CheckBase { index } => Next::Call(self.get_object(*index)),
            Stage::WriteRecord { next } => {
                Next::Call(put_record(&self.id, self.record_version(), next))
            }
            Stage::ReadObject => Next::Call(self.get_object(self.own().steps_done)),
            Stage::ReadOverwrittenPlan { other, .. } => Next::Call(get_plan(other)),
            Stage::ReadConflictingPlan { conflicting, .. } => Next::Call(get_plan(conflicting)),
            Stage::MarkOverwrittenPlan { mark, .. } => Next::Call(mark.clone()),
            Stage::WriteObject { write } => Next::Call(write.clone()),
            Stage::Ended(end) => Next::End(end.clone()),
        }
    }

    /// Handles the answer to the call that [`Confirmation::next_action`] returned.
    pub fn answer(&mut self, answer: Answer) {
        self.in_flight = false;
        let stage = mem::replace(&mut self.stage, Stage::ReadRecord);
        self.stage = match answer {
            Answer::Lost => self.on_lost(stage),
            answer => self.on_answer(stage, answer),
        };
    }

    /// A lost read is repeated; after a lost write the object is read first.
    fn on_lost(&mut self, stage: Stage) -> Stage {
        self.pause = true;
        match stage {
            Stage::WriteRecord { .. } => Stage::ReadRecord,
            Stage::MarkOverwrittenPlan { .. } => Stage::ReadObject,
            Stage::WriteObject { .. } => {
                self.unanswered = true;
                Stage::ReadObject
            }
            unchanged => unchanged,
        }
    }

    fn on_answer(&mut self, stage: Stage, answer: Answer) -> Stage {
        match (stage, answer) {
            (Stage::ReadRecord, answer) => self.on_record(answer),
            (Stage::CheckBase { index }, answer) => self.on_base(index, answer),
            (Stage::WriteRecord { next }, Answer::Took { version }) => {
                self.on_record_written(version, next)
            }
            (Stage::WriteRecord { .. }, _) => Stage::ReadRecord,
            (Stage::ReadObject, answer) => self.on_object(answer),
            (Stage::ReadOverwrittenPlan { other, write }, answer) => {
                on_overwritten_plan(other, write, answer)
            }
            (Stage::MarkOverwrittenPlan { write, .. }, Answer::Took { .. }) => {
                Stage::WriteObject { write }
            }
            (Stage::MarkOverwrittenPlan { .. }, _) => Stage::ReadObject,
            (Stage::WriteObject { .. }, Answer::Took { .. }) => self.step_done(),
            (Stage::WriteObject { .. }, _) => Stage::ReadObject,
            (Stage::RecheckRecord { cause }, answer) => self.on_rechecked_record(cause, answer),
            (Stage::ReadConflictingPlan { cause, .. }, answer) => {
                self.on_conflicting_plan(cause, answer)
            }
            (Stage::Ended(end), _) => Stage::Ended(end),
        }
    }

    fn on_record(&mut self, answer: Answer) -> Stage {
        let first_reading = self.record.is_none();
        let (version, record) = match read_record(answer) {
            Ok(Some(read)) => read,
            Ok(None) => return Stage::Ended(End::NoPlan),
            Err(reason) => return Stage::Ended(End::BadRecord { reason }),
        };
        let state = record.state;
        let steps_done = record.steps_done;
        let cause = record.cause.clone();
        self.record = Some((version, record));
        // An earlier run may have sent an update that is not in the record.
        self.unanswered |= first_reading && state == PlanState::Confirmed && steps_done == 0;
        match state {
            PlanState::Proposed => self.check_base(0),
            PlanState::Confirmed => Stage::ReadObject,
            PlanState::Done => Stage::Ended(End::Applied { already: first_reading }),
            PlanState::Superseded => Stage::Ended(End::Superseded { steps_done, cause }),
        }
    }

    /// Continues with the first step from `index` on that changes an object.
    fn check_base(&self, index: usize) -> Stage {
        let steps = self.own().plan.steps.iter().enumerate().skip(index);
        let mut changes = steps.filter(|(_, step)| matches!(step, Step::Change(_)));
        match changes.next() {
            Some((index, _)) => Stage::CheckBase { index },
            None => Stage::WriteRecord { next: self.own().advanced(0) },
        }
    }

    fn on_base(&mut self, index: usize, answer: Answer) -> Stage {
        let current = found(answer);
        let step = &self.own().plan.steps[index];
        match step.judge(&self.id, current.as_ref()) {
            Verdict::Superseded { version, by } => {
                // This update expects the version of the record in which it is still `Proposed`, so
                // no run of this plan has changed an object.
                let next = self.own().superseded(cause(step, version, &by));
                Stage::WriteRecord { next }
            }
            Verdict::Done | Verdict::Write { .. } | Verdict::Wait => self.check_base(index + 1),
        }
    }

    fn on_record_written(&mut self, version: u64, next: PlanRecord) -> Stage {
        let stage = match next.state {
            PlanState::Proposed | PlanState::Confirmed => Stage::ReadObject,
            PlanState::Done => Stage::Ended(End::Applied { already: false }),
            PlanState::Superseded => Stage::Ended(End::Superseded {
                steps_done: next.steps_done,
                cause: next.cause.clone(),
            }),
        };
        self.record = Some((version, next));
        stage
    }

    fn on_object(&mut self, answer: Answer) -> Stage {
        let current = found(answer);
        let step = &self.own().plan.steps[self.own().steps_done];
        let (kind, name) = step.object();
        match step.judge(&self.id, current.as_ref()) {
            Verdict::Done => self.step_done(),
            Verdict::Wait => {
                self.pause = true;
                Stage::ReadObject
            }
            Verdict::Write { expected_version, body } => {
                let verb = match body {
                    Some(body) => Verb::Put { expected_version, body },
                    None => Verb::Delete { expected_version },
                };
                let write = Call { kind, name: name.to_owned(), verb };
                match current.as_ref().map_or("", last_plan) {
                    "" => Stage::WriteObject { write },
                    other => Stage::ReadOverwrittenPlan { other: other.to_owned(), write },
                }
            }
            Verdict::Superseded { version, by } => {
                let cause = cause(step, version, &by);
                let removes = matches!(step, Step::Change(change) if change.removes());
                if removes {
                    Stage::ReadConflictingPlan { conflicting: by, cause }
                } else {
                    Stage::RecheckRecord { cause }
                }
            }
        }
    }

    fn step_done(&mut self) -> Stage {
        self.unanswered = false;
        self.step_applied = true;
        let own = self.own();
        Stage::WriteRecord { next: own.advanced(own.steps_done + 1) }
    }

    /// Decides whether the conflicting change was made before this plan's step or after it: a mark in the
    /// record means after it.
    fn on_rechecked_record(&mut self, cause: String, answer: Answer) -> Stage {
        let steps_done = self.own().steps_done;
        let (version, record) = match read_record(answer) {
            Ok(Some(read)) => read,
            Ok(None) => return Stage::Ended(End::NoPlan),
            Err(reason) => return Stage::Ended(End::BadRecord { reason }),
        };
        if record.state != PlanState::Confirmed || record.steps_done > steps_done {
            return Stage::ReadRecord;
        }
        let next = record.superseded(cause);
        self.record = Some((version, record));
        Stage::WriteRecord { next }
    }

    /// A removed object contains no plan id, so it is unknown which plan removed it. If a conflicting plan
    /// changed the version that this plan removes, this plan did not remove it.
    fn on_conflicting_plan(&mut self, cause: String, answer: Answer) -> Stage {
        let own = &self.own().plan.steps[self.own().steps_done];
        let Step::Change(change) = own else { return Stage::RecheckRecord { cause } };
        let conflicting = read_record(answer).ok().flatten();
        let changed_same_version = conflicting.is_some_and(|(_, conflicting)| {
            let mut bases = conflicting.plan.base_versions();
            bases.any(|base| {
                (base.kind, base.name) == (change.kind(), change.name())
                    && base.version == change.base_version()
            })
        });
        if changed_same_version {
            Stage::RecheckRecord { cause }
        } else {
            Stage::Ended(End::Unknown { cause })
        }
    }

    fn own(&self) -> &PlanRecord {
        &self.record.as_ref().expect("the record is read before anything else").1
    }

    fn record_version(&self) -> u64 {
        self.record.as_ref().map_or(0, |(version, _)| *version)
    }

    fn get_object(&self, index: usize) -> Call {
        let (kind, name) = self.own().plan.steps[index].object();
        Call { kind, name: name.to_owned(), verb: Verb::Get }
    }
}

fn get_plan(id: &str) -> Call {
    Call { kind: ObjectKind::Plan, name: id.to_owned(), verb: Verb::Get }
}

fn put_record(id: &str, expected_version: u64, record: &PlanRecord) -> Call {
    let verb = Verb::Put { expected_version, body: record.to_body() };
    Call { kind: ObjectKind::Plan, name: id.to_owned(), verb }
}

fn found(answer: Answer) -> Option<StoredObject> {
    match answer {
        Answer::Found(object) if !object.deleted => Some(object),
        _ => None,
    }
}

fn read_record(answer: Answer) -> Result<Option<(u64, PlanRecord)>, String> {
    let Some(object) = found(answer) else { return Ok(None) };
    match PlanRecord::deserialize(&object.body) {
        Ok(record) => Ok(Some((object.version, record))),
        Err(error) => Err(error.to_string()),
    }
}

/// Marks the change of another plan as done in its record before `write` overwrites that change.
fn on_overwritten_plan(other: String, write: Call, answer: Answer) -> Stage {
    let Ok(Some((version, record))) = read_record(answer) else {
        // Records are removed long after their plan ended, so no confirmation depends on this one.
        return Stage::WriteObject { write };
    };
    match record.marked_done(write.kind, &write.name) {
        Some(marked_done) => {
            let mark = put_record(&other, version, &marked_done);
            Stage::MarkOverwrittenPlan { mark, write }
        }
        None => Stage::WriteObject { write },
    }
}

fn cause(step: &Step, version: u64, by: &str) -> String {
    let (kind, name) = step.object();
    let kind = kind.name();
    let state = match version {
        0 => format!("{kind} `{name}` does not exist"),
        version => format!("{kind} `{name}` has version {version}"),
    };
    match (step, by) {
        (Step::AwaitPrimary { to, .. }, _) => {
            format!("the wish that `{to}` leads was withdrawn; {state}")
        }
        (Step::Change(_), "") => state,
        (Step::Change(_), by) => format!("{state}, changed by plan {by}"),
    }
}
