//! When a process counts as cut off from other availability zones.

use skylark_core::process::isolation;
use skylark_core::process::isolation::FAILING_US;
use skylark_core::process::isolation::OtherZoneTarget;

const NOW_US: u64 = 10_000_000;

fn fails(for_us: u64) -> OtherZoneTarget {
    OtherZoneTarget { answered_us: NOW_US - for_us, failed_since_us: Some(NOW_US - for_us) }
}

fn answers() -> OtherZoneTarget {
    OtherZoneTarget { answered_us: NOW_US - 1_000, failed_since_us: None }
}

fn unasked() -> OtherZoneTarget {
    OtherZoneTarget { answered_us: 0, failed_since_us: None }
}

macro_rules! verdicts {
    ($($(#[$doc:meta])* $name:ident: $targets:expr => $verdict:literal;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(isolation::is_isolated(&$targets, NOW_US), $verdict);
        })*
    };
}

verdicts! {
    nobody_outside_is_no_isolation: [] => false;
    all_fail: [fails(FAILING_US), fails(FAILING_US)] => true;
    not_yet_for_long: [fails(FAILING_US - 1), fails(FAILING_US)] => false;
    one_alone_says_nothing: [fails(FAILING_US), unasked()] => false;
    one_answers: [fails(FAILING_US), fails(FAILING_US), answers()] => false;
    unasked_ones_don_t_count: [fails(FAILING_US), fails(FAILING_US), unasked()] => true;
}
