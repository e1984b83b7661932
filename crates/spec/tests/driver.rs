//! The driver model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "driver";
    every_safeguard_on: None;
    // A process that was paused and its replacement use one name, and share their votes.
    two_drivers_of_one_name: Some("new-name");
}
