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
    // The two new members fence and open a term without the only one that holds the write.
    two_members_added_at_once: Some("one-member");
    // A process that missed two changes acknowledges what the new members never heard of.
    process_with_a_set_two_changes_old: Some("known-set");
    // Old writes are not yet at the new members when the old set's quorums stop to count.
    set_settled_before_it_holds_the_writes: Some("settled-record");
    // Votes given before a change count towards a quorum of the set after it.
    votes_counted_by_another_set: Some("one-set");
    // A member confirmed a write, rewound it, and after two removals is a quorum alone.
    old_report_counted_by_a_smaller_set: Some("fresh-reports");
}
