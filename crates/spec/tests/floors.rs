//! The floors model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "floors";
    every_safeguard_on: None;
    // The write is acknowledged after the barrier read the end of the primary's log and before the session
    // asks.
    lookup_joins_a_running_barrier: Some("barrier");
    // An isolated old primary lacks the write, and the holder relies on the status of that primary alone.
    old_primary_answers_the_barrier: Some("barrier-majority");
    // A holder that just started counts the write as accounted for, although it did not record it.
    holder_accounts_for_unseen_writes: Some("beginning");
    // The floor is correct, but an old primary answers the read although its log does not cover the floor.
    old_primary_answers_the_read: Some("primary-floor");
    // A lagging replica answers the read.
    any_member_answers: Some("floor");
}
