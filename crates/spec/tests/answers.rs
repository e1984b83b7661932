//! The answers model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "answers";
    every_safeguard_on: None;
    // A caller gives up, and the next one on the connection reads the late answer.
    connection_used_again_at_once: Some("drain");
    // A cancel request overtaken by the answer hits the next caller's statement.
    connection_used_again_after_cancel: Some("close-after-cancel");
}
