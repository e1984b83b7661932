//! The quota model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "quota";
    every_safeguard_on: None;
    // Two allocators grant the whole limit each.
    allocators_with_the_whole_limit: Some("divide");
    // A process starts again and has forgotten what it granted just before.
    a_full_bucket_after_a_restart: Some("start-part");
    // The allocator that was replaced is asked by VMs with the old list, and its successor by the others.
    a_successor_that_grants_at_once: Some("take-over-pause");
    // What was granted over a long time runs at one moment.
    grants_kept_for_later: Some("no-stock");
}
