//! Tests that positions are prefetched for services that are read often, and not more often than useful.

use quickcheck::quickcheck;
use skylark_core::request::position_demand::MIN_READS;
use skylark_core::request::position_demand::PositionDemand;
use skylark_core::request::position_demand::SPACING_US;
use skylark_core::request::position_demand::WINDOW_US;

/// The interval at which the test checks whether to prefetch.
const CHECK_INTERVAL_US: u64 = 100_000;

/// Returns the number of prefetches within `span_us`, with a read at each of these times. `arrives` is
/// whether prefetches succeed.
fn prefetches(serves_peers: bool, reads_us: &[u64], span_us: u64, arrives: bool) -> usize {
    let (mut demand, mut newest_us, mut prefetches) = (PositionDemand::default(), None, 0);
    for now_us in (0..span_us).step_by(CHECK_INTERVAL_US as usize) {
        let due = reads_us
            .iter()
            .filter(|read_us| (now_us..now_us + CHECK_INTERVAL_US).contains(*read_us));
        due.for_each(|read_us| demand.record_need(*read_us));
        if demand.start_prefetch(serves_peers, newest_us, now_us + CHECK_INTERVAL_US) {
            prefetches += 1;
            newest_us = arrives.then_some(now_us + CHECK_INTERVAL_US);
        }
    }
    prefetches
}

/// A process that reads each of 300 services once in 23 s would otherwise send eight requests per read.
#[test]
fn rare_reads_cause_no_prefetch() {
    assert_eq!(prefetches(false, &[1_000_000, 24_000_000, 47_000_000], 60_000_000, true), 0);
}

#[test]
fn frequent_reads_cause_a_prefetch_each_half_second() {
    let reads_us: Vec<u64> = (0..100).map(|number| number * 100_000).collect();
    let prefetches = prefetches(false, &reads_us, 10_000_000, true);
    assert!((18..=20).contains(&prefetches), "{prefetches} in ten seconds");
}

#[test]
fn a_process_that_serves_peers_prefetches_after_one_request() {
    let prefetches = prefetches(true, &[0], 60_000_000, true);
    assert!((7..=8).contains(&prefetches), "{prefetches} in {WINDOW_US} us");
}

/// The primary is unreachable. Failing prefetches must not be repeated faster than successful ones;
/// otherwise each VM sends ten requests per second.
#[test]
fn failing_prefetches_are_not_more_frequent() {
    let reads_us: Vec<u64> = (0..100).map(|number| number * 100_000).collect();
    let prefetches = prefetches(false, &reads_us, 10_000_000, false);
    assert!(prefetches as u64 <= 10_000_000 / SPACING_US, "{prefetches} in ten seconds");
}

quickcheck! {
    /// At most one prefetch starts in each half second of the windows after reads: at most four per read,
    /// where two reads are needed to start prefetching.
    fn prefetches_are_bounded_by_reads(reads: Vec<u16>, serves_peers: bool) -> bool {
        let mut reads_us: Vec<u64> = reads.iter().map(|read| u64::from(*read) * 1_000).collect();
        reads_us.sort_unstable();
        let prefetches = prefetches(serves_peers, &reads_us, 70_000_000, true);
        let needed = if serves_peers { reads.len() } else { reads.len().saturating_sub(MIN_READS - 1) };
        prefetches <= needed * (WINDOW_US / SPACING_US) as usize
    }
}
