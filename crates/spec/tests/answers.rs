//! The answers model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "answers";
    every_safeguard_on: None;
    // A caller abandons its request, and the next caller on the connection reads the late answer.
    connection_reused_without_draining: Some("drain");
    // A cancel request arrives after the answer was read, and cancels the next caller's statement.
    connection_reused_after_cancel: Some("close-after-cancel");
}
