//! The phases of a gap are read from what proxies log, in the proxies' own words.

use skylark_bench::embedded::decisions::Decision;
use skylark_bench::gap::phases;
use skylark_bench::gap::phases::Phases;
use skylark_core::log_position::Term;
use skylark_core::process::failover::Cause;
use skylark_core::process::failover::Step;
use skylark_proxy::process::decisions;

fn decision(at_us: u64, vm: &str, step: Step, term: u64) -> Decision {
    let stepped = decisions::Decision::Stepped { step, term: Term(term) };
    Decision {
        at_us,
        vm: vm.to_owned(),
        group: "loans-1".to_owned(),
        decision: stepped.to_string(),
        reason: stepped.reason().to_owned(),
    }
}

#[test]
fn phases_follow_the_driver_that_won() {
    let log = [
        decision(300, "sfax-1", Step::Started(Cause::Suspected), 0),
        decision(310, "sfax-2", Step::Started(Cause::Suspected), 0),
        decision(320, "sfax-2", Step::Claimed, 2),
        decision(330, "sfax-1", Step::Lost, 2),
        decision(340, "sfax-2", Step::Fenced, 2),
        decision(345, "sfax-2", Step::Promoted, 2),
        decision(370, "sfax-2", Step::Opened, 2),
    ];
    let expected =
        Phases { detect_us: 210, agree_us: 10, fence_us: 20, promote_us: 30, route_us: 5 };
    assert_eq!(phases::split(&log, 100, 375), Some(expected));
}

#[test]
fn change_that_its_driver_did_not_finish_shows_no_phases() {
    let log = [
        decision(300, "sfax-1", Step::Started(Cause::Suspected), 0),
        decision(320, "sfax-1", Step::ClaimSkipped, 2),
        decision(340, "sfax-1", Step::Fenced, 2),
    ];
    assert_eq!(phases::split(&log, 100, 375), None);
}
