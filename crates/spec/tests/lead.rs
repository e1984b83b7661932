//! The lead model, with every safeguard on and with each one off.

mod checks;

checks::cases! {
    "lead";
    every_safeguard_on: None;
    // A replica reports that it knows of no later term, then receives a commit of one, and then the read
    // arrives.
    report_from_before_the_read: Some("fresh-word");
    // A replica reports that it knows of no later term, then receives a commit of one. The read arrives
    // before the report does.
    report_in_flight_during_the_read: Some("asked-time");
    // The replica that confirmed the successor's commit restarted and lost the record of it.
    restarted_member: Some("kept-log");
    // The successor's commit was confirmed by a member that is not on the list yet.
    member_not_on_the_list: Some("complete-list");
    // The successor's commit was confirmed by a member that has left.
    departed_member: Some("departed");
}
