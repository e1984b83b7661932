//! The quota model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "quota";
    every_safeguard_on: None;
    // Two allocators each grant the whole limit.
    allocators_with_the_whole_limit: Some("divide");
    // A restarted process has lost the record of what it granted just before.
    full_bucket_after_a_restart: Some("start-part");
    // VMs with the old list still ask the replaced allocator, while the others ask its successor.
    successor_grants_without_a_pause: Some("take-over-pause");
    // Grants of a long period are kept and used at one moment.
    grants_kept_for_later: Some("no-stock");
}
