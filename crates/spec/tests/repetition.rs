//! The repetition model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "repetition";
    every_safeguard_on: None;
    // The write ran, its answer was lost, and it is sent again.
    lost_answer_sent_again: Some("lost-answer");
    // The connection breaks after the request went out, and it runs after the caller was refused.
    broken_after_sending: Some("sent-stage");
    // The home says "outcome unknown", and the caller's proxy takes it for a refusal.
    refusal_of_a_home: Some("home-claim");
}
