//! Tests of departed members: which of them a promotion requires.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::process::departures::Departures;
use skylark_core::process::departures::UNKNOWN_PRIMARY_WAIT_US;

fn departed_at(left_us: u64) -> Departures<&'static str> {
    let mut departures = Departures::started_at(0);
    departures.member_left(&Arc::from("i-3"), "record", left_us);
    departures
}

#[test]
fn departed_member_is_required_without_a_later_position() {
    let mut departures = departed_at(1_000);
    departures.update_floors(|_| None, 2_000);
    assert_eq!(departures.required().count(), 1);
    assert_eq!(departures.floor(), LogPosition::default());
}

#[test]
fn later_position_makes_the_member_dispensable() {
    let mut departures = departed_at(1_000);
    departures.update_floors(|left_us| (left_us <= 1_500).then(|| LogPosition::new(2, 40)), 2_000);
    assert_eq!(departures.required().count(), 0);
    assert_eq!(departures.floor(), LogPosition::new(2, 40));
}

#[test]
fn member_listed_again_is_not_departed() {
    let mut departures = departed_at(1_000);
    departures.member_returned("i-3");
    assert_eq!(departures.required().count(), 0);
}

/// A required member is never forgotten.
#[test]
fn only_dispensable_members_are_forgotten() {
    let mut departures = departed_at(1_000);
    departures.update_floors(|_| None, u64::MAX);
    assert_eq!(departures.required().count(), 1);
    departures.update_floors(|_| Some(LogPosition::new(1, 1)), u64::MAX);
    assert_eq!(departures.floor(), LogPosition::default());
}

/// A replica that died before the process started may have held commits that the other one lacks. A
/// position that the primary had after the start makes up for the unknown departures.
#[test]
fn later_position_covers_departures_before_the_start() {
    let mut departures = Departures::<&str>::started_at(1_000);
    assert!(!departures.may_promote(2_000));
    departures.update_floors(|left_us| (left_us <= 1_500).then(|| LogPosition::new(2, 40)), 2_000);
    assert!(departures.may_promote(2_000));
    assert_eq!(departures.floor(), LogPosition::new(2, 40));
}

/// The primary died with all processes, so no process knows a position of it. The group must get a
/// primary in the end.
#[test]
fn process_without_a_position_waits_for_a_limited_time() {
    let mut departures = Departures::<&str>::started_at(1_000);
    departures.update_floors(|_| None, 2_000);
    assert!(!departures.may_promote(999 + UNKNOWN_PRIMARY_WAIT_US));
    assert!(departures.may_promote(1_000 + UNKNOWN_PRIMARY_WAIT_US));
}
