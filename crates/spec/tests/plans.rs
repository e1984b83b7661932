//! The plans model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "plans";
    every_safeguard_on: None;
    // A plan overwrites a change that its operator never saw.
    update_on_any_version: Some("base-version");
    // The update took, its answer was lost, and it is sent again over whatever came between.
    blind_repetition: Some("read-back");
    // The operator finds a new version, can't tell whose it is, and is told of a rival.
    change_without_an_id: Some("plan-id");
    // The update took and was overwritten before its operator looked.
    overwritten_without_a_note: Some("note");
}
