//! Tests of the failure detector.

use quickcheck::Gen;
use quickcheck::QuickCheck;

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::detection::DetectionSettings;
use skylark_core::process::detection::Evidence;
use skylark_core::process::detection::PrimaryDetector;
use skylark_core::process::detection::Suspicion;
use skylark_core::process::detection::Verdict;
use skylark_core::process::member_set::MemberSet;

const MS: u64 = 1_000;

fn members() -> MemberSet {
    let names = (0..3).map(|member| format!("target{member}")).collect();
    MemberSet::new(1, names).expect("distinct names")
}

fn detector() -> PrimaryDetector {
    PrimaryDetector::new(DetectionSettings::default(), 0, 0, Term(1), 3)
}

fn replica(index: u64) -> MemberStatus {
    let log = LogPosition::new(1, index);
    MemberStatus {
        role: Role::Replica,
        raised_term: Term(1),
        raised_by: String::new(),
        log,
        applied: log,
        leaving: false,
    }
}

/// The primary's process is killed: connections are reset and the reconnect is refused. It must be
/// suspected without a timeout.
#[test]
fn killed_primary_is_suspected_at_once() {
    let mut detector = detector();
    detector.evidence(MS, Evidence::Answered { round_trip_us: 3_000 });
    detector.evidence(10 * MS, Evidence::Broken);
    detector.evidence(10 * MS, Evidence::Broken);
    assert_eq!(detector.verdict(10 * MS, &members()), Verdict::Trusted);
    detector.evidence(11 * MS, Evidence::Refused);
    let suspected = Verdict::Suspected(Suspicion::ConnectionsFail);
    assert_eq!(detector.verdict(11 * MS, &members()), suspected);
    detector.evidence(12 * MS, Evidence::Heard);
    assert_eq!(detector.verdict(12 * MS, &members()), Verdict::Trusted);
}

/// The primary's VM hangs: it is suspected once the silence exceeds the timeout.
#[test]
fn silent_primary_is_suspected_after_the_timeout() {
    let mut detector = detector();
    detector.evidence(100 * MS, Evidence::Heard);
    assert_eq!(detector.due_us(), 400 * MS + 1);
    assert_eq!(detector.verdict(400 * MS, &members()), Verdict::Trusted);
    let suspected = Verdict::Suspected(Suspicion::Silent);
    assert_eq!(detector.verdict(400 * MS + 1, &members()), suspected);
}

/// The primary stays silent and can't be replaced, as in an isolated zone. The due time must not
/// stay in the past: the timer would fire continuously and occupy the control thread.
#[test]
fn timer_is_spaced_while_the_silence_lasts() {
    let mut detector = detector();
    let due_us = detector.due_us();
    detector.timer(due_us, due_us);
    assert_eq!(detector.verdict(due_us, &members()), Verdict::Suspected(Suspicion::Silent));
    assert_eq!(detector.due_us(), due_us + 50 * MS);
}

/// Round trips of 100 ms with a deviation of 80 ms increase the timeout, up to its limit.
#[test]
fn slow_links_stretch_the_timeout() {
    let mut detector = detector();
    for step in 0..50 {
        let round_trip_us = if step % 2 == 0 { 20 * MS } else { 180 * MS };
        detector.evidence(step * 200 * MS, Evidence::Answered { round_trip_us });
    }
    assert!((700 * MS..1_500 * MS).contains(&detector.timeout_us()), "{}", detector.timeout_us());
    for step in 50..90 {
        detector.evidence(step * 200 * MS, Evidence::Answered { round_trip_us: 5_000 * MS });
    }
    assert_eq!(detector.timeout_us(), 2_000 * MS);
}

/// The proxy is paused for five seconds. All primaries look silent when it resumes; if it ignored
/// the delay of its own timer, it would depose every one of them.
#[test]
fn own_pause_causes_no_suspicion() {
    let mut detector = detector();
    detector.evidence(100 * MS, Evidence::Heard);
    detector.timer(5_150 * MS, 150 * MS);
    assert_eq!(detector.verdict(5_150 * MS, &members()), Verdict::Trusted);
    // The silence before and after the pause still counts.
    let suspected = Verdict::Suspected(Suspicion::Silent);
    assert_eq!(detector.verdict(5_401 * MS, &members()), suspected);
}

/// Only this proxy is partitioned from the primary, whose replicas still receive records. Deposing
/// the primary would stop writes for all others. When the records stop as well, the primary is
/// suspected.
#[test]
fn primary_that_others_reach_is_not_suspected() {
    let mut detector = detector();
    detector.evidence(0, Evidence::Heard);
    for step in 0..50 {
        detector.report(step * 10 * MS, 1, &replica(step));
    }
    assert_eq!(detector.verdict(500 * MS, &members()), Verdict::Withheld(Suspicion::Silent));
    let suspected = Verdict::Suspected(Suspicion::Silent);
    assert_eq!(detector.verdict(800 * MS, &members()), suspected);
}

/// Records in transit when the primary died arrive at a replica after the connections broke. They
/// do not show that the primary works.
#[test]
fn records_in_transit_are_no_evidence() {
    let mut detector = detector();
    detector.report(0, 1, &replica(1));
    detector.evidence(10 * MS, Evidence::Heard);
    detector.evidence(11 * MS, Evidence::Broken);
    detector.evidence(12 * MS, Evidence::Refused);
    detector.report(14 * MS, 1, &replica(2));
    let suspected = Verdict::Suspected(Suspicion::ConnectionsFail);
    assert_eq!(detector.verdict(15 * MS, &members()), suspected);
}

/// For random evidence the invariants hold, and a primary that has just answered is trusted.
#[test]
fn random_evidence_keeps_the_invariants() {
    fn holds(steps: Vec<(u8, u16)>) -> bool {
        let mut detector = detector();
        let mut now_us = 0;
        for (kind, by_us) in steps {
            let due_us = now_us;
            now_us += u64::from(by_us);
            match kind % 6 {
                0 => detector.timer(now_us, due_us),
                1 => detector.report(now_us, 1, &replica(now_us)),
                2 => detector.evidence(now_us, Evidence::Broken),
                3 => detector.evidence(now_us, Evidence::Refused),
                4 => detector.evidence(now_us, Evidence::TimedOut),
                _ => {
                    let round_trip_us = u64::from(by_us);
                    detector.evidence(now_us, Evidence::Answered { round_trip_us });
                    if detector.verdict(now_us, &members()) != Verdict::Trusted {
                        return false;
                    }
                }
            }
            if !detector.verify(now_us).is_empty() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 1))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}
