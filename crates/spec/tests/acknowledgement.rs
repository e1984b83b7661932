//! The acknowledgement model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "acknowledgement";
    every_safeguard_on: None;
    // The old primary and a replica with a log of the old term "confirm" what the new primary lacks.
    confirmation_of_another_term: Some("confirmation-term");
    // One raised member lets the old primary go on with the other two.
    fence_at_one_member: Some("fence-majority");
    // An old primary's unacknowledged tail is as long as the log that holds the acknowledged write.
    longest_log_leads: Some("term-first");
    // A member that an unfinished attempt raised looks newer than those that hold the write.
    highest_raised_term_leads: Some("record-term");
    // An older term's record that a majority holds is overwritten by a log of a newer term.
    older_record_acknowledged: Some("own-term");
    // Two drivers share a member's vote and promote two members.
    two_drivers_in_one_term: Some("one-driver");
    // A driver starts again, forgets whom it promoted, and its old votes count again.
    driver_keeps_its_name: Some("new-name");
    // No answer to a promotion does not mean that it did not happen.
    second_candidate_in_one_term: Some("one-candidate");
}
