//! The spreading model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "spreading";
    every_safeguard_on: None;
    // A snapshot that was sent earlier arrives later and reverts an accepted change.
    last_arrival_wins: Some("highest-wins");
    // A process that missed one change applies only the next one and reports that change's revision.
    changes_with_a_gap: Some("changes-lead-on");
    // The first peer that answers was partitioned and has outdated settings.
    first_answer_taken: Some("several-peers");
}
