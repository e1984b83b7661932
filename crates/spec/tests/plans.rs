//! The plans model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "plans";
    every_safeguard_on: None;
    // A plan overwrites a change that its operator never saw.
    update_on_any_version: Some("base-version");
    // The update took effect, its answer was lost, and the retry overwrites a change made in between.
    blind_retry: Some("read-back");
    // The update took effect and its answer was lost. The new version does not show who wrote it, so the
    // plan is reported as superseded.
    change_without_a_plan_id: Some("plan-id");
    // The update took effect and was overwritten before its operator read the object.
    overwritten_without_a_note: Some("note");
}
