//! Tests of what a confirmation tracker may keep through a change of the member set.

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::acknowledgement::Acknowledgement;
use skylark_core::process::acknowledgement::StallSettings;
use skylark_core::process::member_set::MemberSet;

fn names(members: &[&str]) -> Vec<String> {
    members.iter().map(|&name| name.to_owned()).collect()
}

fn report(role: Role, log: LogPosition) -> MemberStatus {
    let raised_by = String::new();
    MemberStatus { role, raised_term: log.term, raised_by, log, applied: log, leaving: false }
}

// Guards against the acknowledgement of a lost write. `a` leads, runs the write, and is partitioned
// from this process; `b` and `c` open the next term without it, and `a` rewinds the write. Then `c`
// and `b` leave the group. The earlier report of `a` would be a quorum of the remaining set,
// although that set never held the write (`skylark-spec`, `acknowledgement --without
// fresh-reports`).
#[test]
fn a_report_from_before_a_change_is_no_quorum_of_a_smaller_set() {
    let first = MemberSet::new(1, names(&["a", "b", "c"])).expect("three members");
    let second = first.successor(2, names(&["a", "b"])).expect("one left");
    let mut tracker = Acknowledgement::new(first, StallSettings::default());
    let write = LogPosition::new(1, 2);
    assert_eq!(tracker.report(0, 0, &report(Role::Primary, write)), None);

    tracker.change_members(second.clone());
    tracker.settle_members();
    let mut settled = second;
    settled.settle();
    let third = settled.successor(3, names(&["a"])).expect("one left");
    tracker.change_members(third);
    tracker.settle_members();

    assert!(tracker.confirmed() < write, "{} is taken for confirmed", tracker.confirmed());
    assert_eq!(tracker.verify(), Vec::new());

    // A report that the member sends now counts.
    let opened = report(Role::Primary, LogPosition::new(3, 2));
    assert_eq!(tracker.report(0, 0, &opened), Some(opened.log));
    assert_eq!(opened.raised_term, Term(3));
}
