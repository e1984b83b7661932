//! Callers of a process that is cut off or stops are let go one after the other.

use std::collections::BTreeSet;
use std::time::Duration;

use skylark_proxy::sessions::process::stop;

/// How many sessions a VM of a large fleet has.
const SESSIONS: u64 = 96;

/// The longest that a caller of a VM that is cut off is kept: half of the time between two questions of the
/// balancer.
const CUT_OFF_LIMIT: Duration = Duration::from_millis(500);

fn closing_delays(is_stopping: bool) -> Vec<Duration> {
    (0..SESSIONS).map(|session| stop::closing_spread(session, is_stopping)).collect()
}

/// A zone is cut off, and nothing that its callers need is reached from there. Others can serve them, and each
/// moment until they go is one of refusals.
#[test]
fn callers_of_an_isolated_process_are_closed_quickly() {
    let (cut_off, stopping) = (closing_delays(false), closing_delays(true));
    assert!(cut_off.iter().all(|spread| *spread < CUT_OFF_LIMIT));
    assert!(cut_off.iter().zip(&stopping).all(|(cut_off, stopping)| cut_off <= stopping));
}

/// They come back to the other VMs at different moments.
#[test]
fn callers_are_closed_at_different_times() {
    for is_stopping in [true, false] {
        let delays: BTreeSet<Duration> = closing_delays(is_stopping).into_iter().collect();
        assert!(delays.len() > 32, "{} moments", delays.len());
    }
}
