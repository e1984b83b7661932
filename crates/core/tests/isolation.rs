//! Tests of the detection of isolation from the other availability zones.

use std::sync::Arc;

use skylark_core::process::isolation;
use skylark_core::process::isolation::CUT_OFF_US;
use skylark_core::process::isolation::MIN_FAILURE_US;
use skylark_core::process::isolation::OtherZoneTarget;
use skylark_core::process::isolation::SUSPECT_US;
use skylark_core::process::isolation::ZoneReachability;

const NOW_US: u64 = 10_000_000;

fn fails(for_us: u64) -> OtherZoneTarget {
    OtherZoneTarget { answered_us: NOW_US - for_us, failed_since_us: Some(NOW_US - for_us) }
}

fn answers() -> OtherZoneTarget {
    OtherZoneTarget { answered_us: NOW_US - 1_000, failed_since_us: None }
}

fn unused() -> OtherZoneTarget {
    OtherZoneTarget { answered_us: 0, failed_since_us: None }
}

macro_rules! verdicts {
    ($($(#[$doc:meta])* $name:ident: $targets:expr, $zone:literal => $verdict:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let zone_is_cut = $zone == "cut zone";
            assert_eq!(isolation::is_isolated(&$targets, zone_is_cut, NOW_US), $verdict);
        })*
    };
}

verdicts! {
    no_other_zone_is_no_isolation: [], "zone" => false;
    all_fail: [fails(MIN_FAILURE_US), fails(MIN_FAILURE_US)], "zone" => true;
    not_yet_for_long: [fails(MIN_FAILURE_US - 1), fails(MIN_FAILURE_US)], "zone" => false;
    one_failing_target_is_not_enough: [fails(MIN_FAILURE_US), unused()], "zone" => false;
    one_answers: [fails(MIN_FAILURE_US), fails(MIN_FAILURE_US), answers()], "zone" => false;
    unused_targets_do_not_count: [fails(MIN_FAILURE_US), fails(MIN_FAILURE_US), unused()], "zone" => true;
    /// The process serves no callers, so it has no results of its own.
    its_zone_is_cut_off: [unused(), unused()], "cut zone" => true;
    /// The watchers of its zone may be isolated while the process itself is not.
    process_reaches_other_zones_itself: [answers(), fails(MIN_FAILURE_US)], "cut zone" => false;
}

/// Returns the state of a watcher for two other zones that were probed this long ago without an
/// answer; `None` if the zone answers.
fn reach(silent_us: [Option<u64>; 2]) -> ZoneReachability {
    let zones: [Arc<str>; 2] = ["a".into(), "b".into()];
    let mut reach = ZoneReachability::default();
    reach.set_zones(&zones);
    for (zone, silent_us) in zones.iter().zip(silent_us) {
        reach.asked(zone, NOW_US - silent_us.unwrap_or_default());
        if silent_us.is_none() {
            reach.answered(zone);
        }
    }
    reach
}

macro_rules! reaches {
    ($($name:ident: $silent_us:expr => $suspect:literal, $cut_off:literal;)*) => {
        $(#[test]
        fn $name() {
            let reach = reach($silent_us);
            assert_eq!(reach.is_suspect(NOW_US), $suspect);
            assert_eq!(reach.is_cut_off(NOW_US), $cut_off);
        })*
    };
}

reaches! {
    all_answer: [None, None] => false, false;
    one_zone_is_lost: [Some(CUT_OFF_US), None] => false, false;
    all_are_silent_for_a_moment: [Some(SUSPECT_US - 1), Some(CUT_OFF_US)] => false, false;
    all_are_silent_for_a_while: [Some(SUSPECT_US), Some(CUT_OFF_US)] => true, false;
    all_are_silent_for_long: [Some(CUT_OFF_US), Some(CUT_OFF_US)] => true, true;
}

#[test]
fn without_other_zones_nobody_is_cut_off() {
    assert!(!ZoneReachability::default().is_cut_off(NOW_US));
}

#[test]
fn a_zone_that_is_no_longer_listed_does_not_count() {
    let mut reach = reach([Some(CUT_OFF_US), None]);
    reach.set_zones(&["a".into()]);
    assert!(reach.is_cut_off(NOW_US));
}

/// The silence is measured from the first unanswered probe.
#[test]
fn repeated_probe_keeps_the_start_of_the_silence() {
    let mut reach = reach([Some(CUT_OFF_US), Some(CUT_OFF_US)]);
    reach.asked("a", NOW_US);
    assert!(reach.is_cut_off(NOW_US));
    reach.answered("a");
    assert!(!reach.is_cut_off(NOW_US));
}
