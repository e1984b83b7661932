//! The acknowledgement model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "acknowledgement";
    every_safeguard_on: None;
    // A deposed primary and a replica with a log of the old term confirm a write that the new primary lacks.
    confirmation_of_another_term: Some("confirmation-term");
    // With only one member raised, the old primary still acknowledges writes with the others.
    fence_at_one_member: Some("fence-majority");
    // An old primary's log with an unacknowledged tail is as long as the log that holds the acknowledged
    // write.
    longest_log_leads: Some("term-first");
    // A member that an unfinished attempt raised appears newer than the members that hold the write.
    highest_raised_term_leads: Some("record-term");
    // A record of an older term that a majority holds is overwritten by a log of a newer term.
    older_record_acknowledged: Some("own-term");
    // Two drivers share a member's vote and promote two members in one term.
    two_drivers_in_one_term: Some("one-driver");
    // A restarted driver does not know which member it promoted, and the votes for its old name count again.
    driver_keeps_its_name: Some("new-name");
    // A promotion whose answer was lost may have taken place, and the driver promotes another member.
    second_candidate_in_one_term: Some("one-candidate");
    // The two new members are fenced and open a term without the only member that holds the write.
    two_members_added_at_once: Some("one-member");
    // A process that missed two changes acknowledges a write that the new members never received.
    process_with_a_set_two_changes_old: Some("known-set");
    // Earlier writes have not reached the new members when quorums of the old set are no longer required.
    set_settled_before_it_holds_the_writes: Some("settled-record");
    // Votes that were given before a change of the member set count towards a quorum of the set after it.
    votes_counted_by_another_set: Some("one-set");
    // A member confirmed a write, then truncated it, and forms a quorum alone after two removals.
    old_report_counted_by_a_smaller_set: Some("fresh-reports");
}
