//! The repetition model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "repetition";
    every_safeguard_on: None;
    // The write ran, its answer was lost, and the write is sent again.
    write_resent_after_a_lost_answer: Some("lost-answer");
    // The connection breaks after the request was sent, and the request runs after the caller was refused.
    connection_breaks_after_sending: Some("sent-stage");
    // The home reports "outcome unknown", and the caller's proxy treats it as a refusal.
    unknown_outcome_treated_as_a_refusal: Some("home-claim");
}
