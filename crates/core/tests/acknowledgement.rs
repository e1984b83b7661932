//! Tests of the confirmation tracker and the member set.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::acknowledgement::Acknowledgement;
use skylark_core::process::acknowledgement::StallSettings;
use skylark_core::process::member_set::MemberMask;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::member_set::MemberSetError;

fn names(count: usize) -> Vec<String> {
    (0..count).map(|member| format!("target{member}")).collect()
}

fn tracker(count: usize) -> Acknowledgement {
    let members = MemberSet::new(1, names(count)).expect("distinct names");
    Acknowledgement::new(members, StallSettings::default())
}

fn status(role: Role, raised: u64, term: u64, index: u64) -> MemberStatus {
    let log = LogPosition::new(term, index);
    MemberStatus {
        role,
        raised_term: Term(raised),
        raised_by: String::new(),
        log,
        applied: log,
        leaving: false,
    }
}

/// A record is confirmed once one of two replicas holds it besides the primary, and only up to the
/// position that both hold.
#[test]
fn majority_confirms_what_both_hold() {
    let mut tracker = tracker(3);
    assert_eq!(tracker.report(0, 0, &status(Role::Primary, 1, 1, 9)), None);
    let confirmed = tracker.report(0, 2, &status(Role::Replica, 1, 1, 7));
    assert_eq!(confirmed, Some(LogPosition::new(1, 7)));
    assert_eq!(tracker.report(0, 2, &status(Role::Replica, 1, 1, 7)), None);
}

/// A write of term 1 reached target0 alone before target0 was partitioned; target2 led term 2 and
/// failed with a record of its own. target0 then leads term 3, and target1 copies the old record
/// from it, but not yet the record that opens term 3. Two members hold the write, but target2's log
/// is higher than target1's and could still replace it, so the write must not be acknowledged.
#[test]
fn record_of_an_older_term_copied_later_confirms_nothing() {
    let mut tracker = tracker(3);
    tracker.report(0, 0, &status(Role::Primary, 1, 1, 5));
    tracker.report(0, 0, &status(Role::Primary, 3, 3, 6));
    assert_eq!(tracker.report(0, 1, &status(Role::Replica, 3, 1, 5)), None);
    assert_eq!(tracker.confirmed(), LogPosition::default());
    let confirmed = tracker.report(0, 1, &status(Role::Replica, 3, 3, 6));
    assert_eq!(confirmed, Some(LogPosition::new(3, 6)));
}

/// A member fenced by a later term still holds records of the old primary, which keeps writing. Its
/// later reports must confirm nothing of the old term.
#[test]
fn fenced_member_confirms_nothing_more() {
    let mut tracker = tracker(3);
    tracker.report(0, 1, &status(Role::Replica, 1, 1, 5));
    tracker.report(0, 1, &status(Role::Fenced, 2, 1, 6));
    let confirmed = tracker.report(0, 0, &status(Role::Primary, 1, 1, 9));
    assert_eq!(confirmed, Some(LogPosition::new(1, 5)));
}

/// The tracker reports a stall while a majority is silent, fenced, or does not take records.
#[test]
fn stall_is_seen() {
    let term = Term(1);
    let mut tracker = tracker(3);
    assert!(tracker.stalled(0, 0, term));
    tracker.report(0, 0, &status(Role::Primary, 1, 1, 5));
    tracker.report(0, 1, &status(Role::Replica, 1, 1, 5));
    assert!(!tracker.stalled(400_000, 0, term));
    assert!(tracker.stalled(400_001, 0, term));
    // The next write of an idle group does not make it stalled, however long it was idle.
    tracker.report(9_000_000, 1, &status(Role::Replica, 1, 1, 5));
    tracker.report(9_000_000, 0, &status(Role::Primary, 1, 1, 6));
    assert!(!tracker.stalled(9_400_000, 0, term));
    tracker.report(9_300_000, 0, &status(Role::Primary, 1, 1, 7));
    tracker.report(9_300_000, 1, &status(Role::Replica, 1, 1, 5));
    assert!(tracker.stalled(9_400_001, 0, term));
    tracker.report(9_300_001, 1, &status(Role::Replica, 1, 1, 6));
    assert!(!tracker.stalled(9_400_001, 0, term));
    tracker.report(9_400_001, 1, &status(Role::Fenced, 2, 1, 6));
    assert!(tracker.stalled(9_400_001, 0, term));
}

/// A group grows from three to four members. Two old members are no quorum of the new set. Two old
/// members and the new one are a quorum, since every quorum of the old set shares a member with
/// them.
#[test]
fn quorum_of_a_changed_set_meets_those_of_the_old() {
    let old = MemberSet::new(1, names(3)).expect("distinct names");
    let mut grown = old.successor(2, names(4)).expect("one member more");
    assert!(!grown.is_quorum(MemberMask::from_iter([0, 1])));
    assert!(grown.is_quorum(MemberMask::from_iter([0, 1, 3])));
    let mut shrunk = grown.successor(3, names(3)).expect("one member less");
    assert!(!shrunk.is_quorum(MemberMask::from_iter([0, 1])));
    shrunk.settle();
    assert!(shrunk.is_quorum(MemberMask::from_iter([0, 1])));
    grown.settle();
    let replaced = vec!["target0".into(), "target1".into(), "target9".into()];
    assert_eq!(old.successor(2, replaced), Err(MemberSetError::ChangesMoreThanOne));
    assert_eq!(old.successor(1, names(4)), Err(MemberSetError::NotNewer));
}

/// Any quorum of a set and any quorum of the next version share a member, for all sizes up to six
/// and all subsets.
#[test]
fn quorums_of_neighbouring_sets_share_a_member() {
    for count in 1..7 {
        let old = MemberSet::new(1, names(count)).expect("distinct names");
        let mut new = old.successor(2, names(count + 1)).expect("one member more");
        new.settle();
        for a in 0..1_u32 << count {
            for b in 0..1_u32 << (count + 1) {
                let mask = |bits: u32| (0..=count).filter(move |member| bits & (1 << member) != 0);
                let both = old.is_quorum(mask(a).collect()) && new.is_quorum(mask(b).collect());
                assert!(!both || a & b != 0, "{count} members: {a:b} and {b:b}");
            }
        }
    }
}

/// For any reports in any order, a confirmed position was reported by a majority in its own term,
/// and never decreases.
#[test]
fn confirmed_positions_are_proven_by_reports() {
    fn proven(reports: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut tracker = tracker(3);
        let mut seen: Vec<(usize, MemberStatus)> = Vec::new();
        for (now_us, &(member, raised, term, index)) in reports.iter().enumerate() {
            let member = usize::from(member % 3);
            let raised = u64::from(raised % 4);
            let term = u64::from(term % 4).min(raised);
            let report = status(Role::Replica, raised, term, u64::from(index % 8));
            let before = tracker.confirmed();
            tracker.report(now_us as u64, member, &report);
            seen.push((member, report));
            let confirmed = tracker.confirmed();
            let confirming: MemberMask = seen
                .iter()
                .filter(|(_, status)| status.confirms(confirmed))
                .map(|(member, _)| *member)
                .collect();
            let is_proven = confirmed == LogPosition::default() || confirming.count() >= 2;
            if !is_proven || confirmed < before || !tracker.verify().is_empty() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 1))
        .tests(2_000)
        .quickcheck(proven as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}
