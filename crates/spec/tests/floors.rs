//! The floors model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "floors";
    every_safeguard_on: None;
    // The write is acknowledged after the barrier read the primary's end and before the session asks.
    lookup_joins_a_barrier_under_way: Some("barrier");
    // An isolated old primary knows nothing of the write, and a holder beside it believes it.
    old_primary_answers_the_barrier: Some("barrier-majority");
    // A holder that just started counts the write as one that it has recorded.
    holder_counts_what_it_did_not_see: Some("beginning");
    // The floor is right, and an old primary answers the read all the same.
    old_primary_answers_the_read: Some("primary-floor");
    // A replica that lags answers.
    any_member_answers: Some("floor");
}
