//! `confirm`: runs the state machine [`Confirmation`], making its calls to the platform.

use std::time::Duration;

use serde_json::json;
use skylark_core::version::plan::call::Answer;
use skylark_core::version::plan::call::Call;
use skylark_core::version::plan::call::End;
use skylark_core::version::plan::call::Next;
use skylark_core::version::plan::call::Progress;
use skylark_core::version::plan::call::Verb;
use skylark_core::version::plan::confirmation::Confirmation;
use skylark_core::version::plan::record::PlanRecord;
use skylark_objects::ObjectStore;
use skylark_objects::StoreError;
use tokio::time;
use tokio::time::Instant;

use crate::failure::Failure;
use crate::report::Report;

/// The duration of a [`Next::Pause`], after an unanswered call or while a step waits.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The number of consecutive unanswered calls after which a confirmation that has changed nothing fails.
const MAX_UNANSWERED_CALLS: u32 = 3;

/// Confirms the plan with this id.
///
/// Fails after `timeout`, or earlier if several calls in a row are not answered and nothing has changed yet.
/// Repeating the call with the same id is safe, also after a failure and concurrently.
pub async fn run<S>(store: &S, id: &str, timeout: Duration) -> Result<Report, Failure>
where
    S: ObjectStore,
{
    let mut confirmation = Confirmation::new(id);
    let deadline = Instant::now() + timeout;
    let mut unanswered_calls = 0;
    let mut last_error = String::new();
    loop {
        match confirmation.next_action() {
            Next::End(end) => return report(id, end, &confirmation),
            Next::Pause => time::sleep(RETRY_PAUSE).await,
            Next::Call(call) => {
                let answer = match make_call(store, call).await {
                    Ok(answer) => answer,
                    Err(StoreError::NoAnswer(reason)) => {
                        last_error = reason;
                        Answer::Lost
                    }
                    Err(error) => {
                        let reason = error.to_string();
                        return Err(stop_failure(id, &confirmation, StopReason::Refused(reason)));
                    }
                };
                unanswered_calls = if answer == Answer::Lost { unanswered_calls + 1 } else { 0 };
                confirmation.answer(answer);
            }
        }
        let unchanged = confirmation.progress() == Progress::Untouched;
        if Instant::now() >= deadline || (unchanged && unanswered_calls >= MAX_UNANSWERED_CALLS) {
            let stop = if unanswered_calls > 0 {
                StopReason::Lost(last_error)
            } else {
                StopReason::TimedOut
            };
            return Err(stop_failure(id, &confirmation, stop));
        }
    }
}

/// Makes one call. Returns an error if the state machine has no [`Answer`] for the result.
async fn make_call<S>(store: &S, call: Call) -> Result<Answer, StoreError>
where
    S: ObjectStore,
{
    let (kind, name) = (call.kind, &*call.name);
    let answer = match call.verb {
        Verb::Get => store.get(kind, name).await.map(Answer::Found),
        Verb::Put { expected_version, body } => {
            let put = store.put(kind, name, expected_version, body).await;
            put.map(|put| Answer::Took { version: put.version })
        }
        Verb::Delete { expected_version } => {
            let deleted = store.delete(kind, name, expected_version).await;
            deleted.map(|deleted| Answer::Took { version: deleted.version })
        }
    };
    match answer {
        Err(StoreError::Conflict { .. }) => Ok(Answer::Conflict),
        Err(StoreError::NotFound) => Ok(Answer::Missing),
        answer => answer,
    }
}

fn report(id: &str, end: End, confirmation: &Confirmation) -> Result<Report, Failure> {
    let steps = confirmation.record().map_or(0, |record| record.plan.steps.len());
    match end {
        End::Applied { already } => {
            let when = if already { "was in force already" } else { "is in force" };
            let text = format!("plan {id} {when}: {steps} of {steps} steps are done\n");
            let json = json!({ "id": id, "in_force": true, "already": already, "steps": steps });
            Ok(Report::success(text, json))
        }
        End::Superseded { steps_done, cause } => {
            Err(Failure::Superseded { id: id.to_owned(), steps_done, steps, cause })
        }
        End::Unknown { cause } => Err(Failure::OutcomeUnknown { id: id.to_owned(), cause }),
        End::NoPlan => Err(Failure::UnknownPlan { id: id.to_owned() }),
        End::BadRecord { reason } => Err(Failure::PlatformRefused { reason }),
    }
}

/// The reason for stopping a confirmation before the state machine has ended.
enum StopReason {
    /// The platform does not answer.
    Lost(String),
    /// The platform refused a call.
    Refused(String),
    /// The time limit was reached while a step waited for others.
    TimedOut,
}

fn stop_failure(id: &str, confirmation: &Confirmation, stop: StopReason) -> Failure {
    let id = id.to_owned();
    let reason = match &stop {
        StopReason::Lost(reason) => format!("the platform does not answer: {reason}"),
        StopReason::Refused(reason) => reason.clone(),
        StopReason::TimedOut => "the time is up".to_owned(),
    };
    match (confirmation.progress(), stop) {
        (Progress::Unanswered, _) => Failure::OutcomeUnknown { id, cause: reason },
        (Progress::Unfinished, stop) => unfinished(id, confirmation.record(), stop, reason),
        (Progress::Untouched, StopReason::Refused(reason)) => Failure::PlatformRefused { reason },
        (Progress::Untouched, StopReason::Lost(reason)) => Failure::PlatformDown { reason },
        (Progress::Untouched, StopReason::TimedOut) => Failure::PlatformDown { reason },
    }
}

fn unfinished(
    id: String,
    record: Option<&PlanRecord>,
    stop: StopReason,
    reason: String,
) -> Failure {
    let steps_done = record.map_or(0, |record| record.steps_done);
    let steps = record.map_or(0, |record| record.plan.steps.len());
    let next = record.and_then(|record| record.plan.steps.get(steps_done));
    let waits_for = match (stop, next) {
        (StopReason::TimedOut, Some(step)) => step.to_string(),
        _ => reason,
    };
    Failure::Unfinished { id, steps_done, steps, waits_for }
}
