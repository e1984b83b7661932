//! Startup of a proxy, and configuration changes, while the platform is slow or does not respond.

mod control_support;

use control_support::Cluster;
use control_support::FIRST_PRIMARY;
use control_support::PEER_INTERVAL_MS;
use control_support::Proxy;
use control_support::TEST_TIMEOUT;
use control_support::settings;
use control_support::wait_until;
use skylark_proxy::process::control::first_version;
use skylark_proxy::process::control::first_version::StartBackoff;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::client;
use skylark_standin::deployment::fault::Fault;

/// Every call to the platform takes longer than the initial timeout, and no peer has a version yet. With a
/// fixed timeout the proxy would retry forever and never become ready. The timeout grows until a call
/// completes; the platform serves exactly one snapshot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxy_starts_while_the_platform_is_slow() {
    let deployment = control_support::deployment().await;
    let slow = Fault::PlatformSlow { slow_ms: 2_500 };
    deployment.inject(&slow).await.expect("the fault's target exists");
    let platform = deployment.platform().address();
    let proxy = Proxy::start(settings("vm-1", "medina", platform, &[], PEER_INTERVAL_MS)).await;
    let address = proxy.handle.control_address().to_string();
    let client = client::open(&address, TEST_TIMEOUT).expect("the address is valid");
    wait_until("the proxy is ready", async || {
        client.health().await.ok().filter(|report| report.ready)
    })
    .await;
    assert_eq!(deployment.platform().platform().counters.snapshots.get(), 1);
}

/// The platform takes an hour to respond, and a peer has a version. Calls to the platform delay the startup
/// by no more than the initial timeout. Exchanges are disabled by a long interval, so that the version can
/// only come from the requests at startup.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxy_starts_from_peers_while_the_platform_is_slow() {
    let mut cluster = Cluster::start_with_exchange_interval(&[("vm-1", "medina")], 60_000).await;
    cluster.wait_for_primary(FIRST_PRIMARY).await;
    let revision = cluster.proxies[0].status().await.revision;
    cluster.inject(Fault::PlatformSlow { slow_ms: 3_600_000 }).await;
    let started = cluster.add("vm-4", "medina").await;
    wait_until("the new proxy is ready", async || {
        let status = started.status().await;
        (status.ready && status.revision == revision).then_some(())
    })
    .await;
}

/// Operators change the configuration while the platform takes 3 s for each call, longer than the timeout of
/// ordinary calls. Idle watches are cancelled 2 s after their wait and restarted; a watch that starts after a
/// change is answered within its wait, so the change is applied.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_arrive_while_the_platform_is_slow() {
    let cluster = Cluster::start().await;
    cluster.wait_for_primary(FIRST_PRIMARY).await;
    cluster.inject(Fault::PlatformSlow { slow_ms: 3_000 }).await;
    // A watch that started before the platform slowed down may deliver the first change, so two are made.
    for max_age_ms in [701, 702] {
        let revision = cluster.set_max_age(max_age_ms);
        for proxy in &cluster.proxies {
            wait_until("the change is applied", async || {
                (proxy.status().await.revision >= revision).then_some(())
            })
            .await;
        }
    }
}

/// A proxy finds no version because the platform does not respond, and each call times out.
/// 1. The timeouts double up to the maximum, so that a slow platform gets the time it needs.
/// 2. Calls become rare: with a fixed timeout of 2 s and a pause of 0.5 s a process would make about 130
///    calls within five minutes.
/// 3. The pauses are jittered by a seed, so that processes don't call in step.
#[test]
fn timeouts_grow_and_calls_become_rare_during_a_long_start() {
    const FIVE_MINUTES_MS: u64 = 300_000;
    let mut pause_sequences = Vec::new();
    for seed in 0..50 {
        let mut pace = StartBackoff::new(seed, 500);
        let (mut now_ms, mut limits, mut pauses) = (0, Vec::new(), Vec::new());
        while now_ms < FIVE_MINUTES_MS {
            limits.push(pace.timeout_ms());
            now_ms += pace.timeout_ms();
            pauses.push(pace.record_failure());
            now_ms += pauses[pauses.len() - 1];
        }
        assert_eq!(limits[..6], [2_000, 4_000, 8_000, 16_000, 30_000, 30_000]);
        assert!(limits.len() <= 13, "{} calls", limits.len());
        for (call_index, &pause_ms) in pauses.iter().enumerate() {
            let max_pause_ms = (500 << call_index.min(10)).min(first_version::MAX_PAUSE_MS);
            assert!(
                (max_pause_ms / 2..=max_pause_ms).contains(&pause_ms),
                "pause of {pause_ms} ms after call {call_index}"
            );
        }
        pause_sequences.push(pauses);
    }
    pause_sequences.sort();
    pause_sequences.dedup();
    assert_eq!(pause_sequences.len(), 50);
}
