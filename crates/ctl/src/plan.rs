//! `plan`: computes a plan for an intent and stores it in the platform, unconfirmed.

use serde::Deserialize;
use serde_json::json;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::plan::Plan;
use skylark_core::version::plan::intent::Intent;
use skylark_core::version::plan::planner;
use skylark_core::version::plan::record::PlanRecord;
use skylark_core::version::plan::record::PlanState;
use skylark_objects::ObjectStore;
use skylark_objects::StoreError;

use crate::failure::Failure;
use crate::report::Report;
use crate::store;

/// The maximum number of plans that the platform keeps. Every snapshot contains all plans, so their number
/// has to be bounded.
const MAX_STORED_PLANS: usize = 256;

/// The maximum number of old plans that one command removes.
const MAX_REMOVED_PLANS: usize = 8;

/// The maximum number of attempts to store a plan if no answer is received.
const MAX_STORE_ATTEMPTS: usize = 3;

pub(crate) async fn run<S>(store: &S, intent: &Intent) -> Result<Report, Failure>
where
    S: ObjectStore,
{
    let snapshot = store.snapshot().await.map_err(Failure::from_store_error)?;
    let plan = planner::plan(intent, &snapshot).map_err(Failure::NoPlan)?;
    store_record(store, &plan).await?;
    remove_old_plans(store, &snapshot).await;
    let text = format!(
        "{plan}Nothing has changed yet. To put the plan in force: skylarkctl confirm {}\n",
        plan.id
    );
    Ok(Report::success(text, json!({ "plan": plan })))
}

/// Stores the plan's record unless it is already stored.
async fn store_record<S>(store: &S, plan: &Plan) -> Result<(), Failure>
where
    S: ObjectStore,
{
    let record = PlanRecord::proposed(plan.clone());
    let mut last_error = String::new();
    for _ in 0..MAX_STORE_ATTEMPTS {
        match store.put(ObjectKind::Plan, &plan.id, 0, record.to_body()).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Conflict { .. }) => return compare_with_stored(store, plan).await,
            // The record may have been stored. The next attempt then conflicts and compares the records.
            Err(StoreError::NoAnswer(reason)) => last_error = reason,
            Err(error) => return Err(Failure::from_store_error(error)),
        }
    }
    Err(Failure::PlatformDown { reason: last_error })
}

/// Checks that the record stored under the plan's id is of the same plan. The id is a hash of the plan, so
/// another plan under the same id is a hash collision.
async fn compare_with_stored<S>(store: &S, plan: &Plan) -> Result<(), Failure>
where
    S: ObjectStore,
{
    let stored = store::get(store, ObjectKind::Plan, &plan.id).await?;
    let stored = stored.and_then(|object| PlanRecord::deserialize(&object.body).ok());
    match stored {
        Some(record) if record.plan == *plan => Ok(()),
        _ => Err(Failure::PlatformRefused {
            reason: format!("another object is stored as plan {}", plan.id),
        }),
    }
}

/// Removes the oldest plans beyond the bound, except those that are being confirmed. Errors are ignored
/// because the next command tries again.
async fn remove_old_plans<S>(store: &S, snapshot: &Snapshot)
where
    S: ObjectStore,
{
    let stored = snapshot.objects.iter().filter(|object| !object.deleted);
    let mut plans: Vec<&StoredObject> =
        stored.filter(|object| object.kind == ObjectKind::Plan).collect();
    plans.sort_by_key(|object| object.version);
    let surplus = plans.len().saturating_sub(MAX_STORED_PLANS).min(MAX_REMOVED_PLANS);
    let old = plans.into_iter().filter(|object| !is_being_confirmed(object));
    for object in old.take(surplus) {
        let _ = store.delete(ObjectKind::Plan, &object.name, object.version).await;
    }
}

fn is_being_confirmed(object: &StoredObject) -> bool {
    let record = PlanRecord::deserialize(&object.body);
    record.is_ok_and(|record| record.state == PlanState::Confirmed)
}
