//! Departed members that a promotion can and can't do without.

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
fn a_departed_member_is_needed_while_nothing_shows_that_the_primary_led_on() {
    let mut departures = departed_at(1_000);
    departures.update_floors(|_| None, 2_000);
    assert_eq!(departures.required().count(), 1);
    assert_eq!(departures.floor(), LogPosition::default());
}

#[test]
fn a_later_position_of_the_primary_takes_its_place() {
    let mut departures = departed_at(1_000);
    departures.update_floors(|left_us| (left_us <= 1_500).then(|| LogPosition::new(2, 40)), 2_000);
    assert_eq!(departures.required().count(), 0);
    assert_eq!(departures.floor(), LogPosition::new(2, 40));
}

#[test]
fn a_member_that_is_listed_again_never_left() {
    let mut departures = departed_at(1_000);
    departures.member_returned("i-3");
    assert_eq!(departures.required().count(), 0);
}

/// One that is needed is remembered for as long as it takes.
#[test]
fn only_what_is_not_needed_is_forgotten() {
    let mut departures = departed_at(1_000);
    departures.update_floors(|_| None, u64::MAX);
    assert_eq!(departures.required().count(), 1);
    departures.update_floors(|_| Some(LogPosition::new(1, 1)), u64::MAX);
    assert_eq!(departures.floor(), LogPosition::default());
}

/// A replica that died before the process started took commits along, and the other one receives
/// nothing. What the primary had after the start takes the place of what the process can't know.
#[test]
fn what_left_before_the_start_is_covered_by_the_primarys_next_position() {
    let mut departures = Departures::<&str>::started_at(1_000);
    assert!(!departures.may_promote(2_000));
    departures.update_floors(|left_us| (left_us <= 1_500).then(|| LogPosition::new(2, 40)), 2_000);
    assert!(departures.may_promote(2_000));
    assert_eq!(departures.floor(), LogPosition::new(2, 40));
}

/// The primary died with all processes, so nobody has a position of it. The group is led again in the end.
#[test]
fn a_process_that_hears_nothing_of_the_primary_waits_for_a_while_only() {
    let mut departures = Departures::<&str>::started_at(1_000);
    departures.update_floors(|_| None, 2_000);
    assert!(!departures.may_promote(999 + UNKNOWN_PRIMARY_WAIT_US));
    assert!(departures.may_promote(1_000 + UNKNOWN_PRIMARY_WAIT_US));
}
