//! The spreading model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "spreading";
    every_safeguard_on: None;
    // A snapshot that was sent earlier arrives later and takes an accepted change back.
    last_arrival_wins: Some("highest-wins");
    // A process that missed one change takes the next one alone and claims its revision.
    changes_with_a_gap: Some("changes-lead-on");
    // The first peer that answers is one that was cut off.
    first_answer_taken: Some("several-peers");
}
