//! Delays after which a partitioned or stopping process closes its callers' connections.

use std::collections::BTreeSet;
use std::time::Duration;

use skylark_proxy::sessions::process::stop;

/// The number of sessions of a VM in a large fleet.
const SESSIONS: u64 = 96;

/// The longest time until a partitioned VM closes a caller's connection: half of the load balancer's health
/// check interval.
const ISOLATED_LIMIT: Duration = Duration::from_millis(500);

fn closing_delays(is_stopping: bool) -> Vec<Duration> {
    (0..SESSIONS).map(|session| stop::closing_spread(session, is_stopping)).collect()
}

/// A partitioned zone can't serve its callers but other zones can, and until the connections are closed every
/// request is refused. They are therefore closed sooner than at a stop.
#[test]
fn callers_of_an_isolated_process_are_closed_quickly() {
    let (isolated, stopping) = (closing_delays(false), closing_delays(true));
    assert!(isolated.iter().all(|delay| *delay < ISOLATED_LIMIT));
    assert!(isolated.iter().zip(&stopping).all(|(isolated, stopping)| isolated <= stopping));
}

/// Callers reconnect to the other VMs at different times instead of all at once.
#[test]
fn callers_are_closed_at_different_times() {
    for is_stopping in [true, false] {
        let delays: BTreeSet<Duration> = closing_delays(is_stopping).into_iter().collect();
        assert!(delays.len() > 32, "{} distinct delays", delays.len());
    }
}
