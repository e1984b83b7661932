//! The driver model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "driver";
    every_safeguard_on: None;
    // A paused process and its replacement use the same driver name, so votes for one count for the other.
    two_drivers_with_one_name: Some("new-name");
}
