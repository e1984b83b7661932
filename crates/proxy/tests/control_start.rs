//! A proxy that starts while the platform is slow or answers nothing.

mod control_support;

use control_support::Cluster;
use control_support::FIRST_PRIMARY;
use control_support::PATIENCE;
use control_support::PEER_INTERVAL_MS;
use control_support::Proxy;
use control_support::settings;
use control_support::until;
use skylark_proxy::process::control::first_version;
use skylark_proxy::process::control::first_version::StartBackoff;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::client;
use skylark_standin::deployment::fault::Fault;

/// Every call to the platform takes longer than the first limit of a call, and no peer has a
/// version yet. A client that always gave up after that limit would ask for ever and never be
/// ready. The limit grows until a call has its time; the platform serves one snapshot.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxy_starts_while_the_platform_is_slow() {
    let deployment = control_support::deployment().await;
    let slow = Fault::PlatformSlow { slow_ms: 2_500 };
    deployment.inject(&slow).await.expect("the fault names what is there");
    let platform = deployment.platform().address();
    let proxy = Proxy::start(settings("vm-1", "medina", platform, &[], PEER_INTERVAL_MS)).await;
    let address = proxy.handle.control_address().to_string();
    let client = client::open(&address, PATIENCE).expect("the address is right");
    until("the proxy is ready", async || client.health().await.ok().filter(|it| it.ready)).await;
    assert_eq!(deployment.platform().platform().counters.snapshots.get(), 1);
}

/// The platform answers nothing in any time that matters, and a peer has a version. Long calls to the
/// platform hold the start up no longer than the first limit. Without exchanges only the
/// questions at the start can bring the version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proxy_starts_from_peers_while_the_platform_is_slow() {
    let mut cluster = Cluster::start_exchanging(&[("vm-1", "medina")], 60_000).await;
    cluster.until_led_by_all(FIRST_PRIMARY).await;
    let revision = cluster.proxies[0].status().await.revision;
    cluster.inject(Fault::PlatformSlow { slow_ms: 3_600_000 }).await;
    let started = cluster.add("vm-4", "medina").await;
    until("the new proxy is ready", async || {
        let status = started.status().await;
        (status.ready && status.revision == revision).then_some(())
    })
    .await;
}

/// Operators change the configuration while the platform takes 3 s for each call, longer than the
/// limit of ordinary calls. Idle watches are given up 2 s after their wait and begun again; one that
/// begins after a change is answered within its wait, so the change comes into force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_arrive_while_the_platform_is_slow() {
    let cluster = Cluster::start().await;
    cluster.until_led_by_all(FIRST_PRIMARY).await;
    cluster.inject(Fault::PlatformSlow { slow_ms: 3_000 }).await;
    // The watches that were under way when the platform slowed down may still deliver once.
    for max_age_ms in [701, 702] {
        let revision = cluster.set_max_age(max_age_ms);
        for proxy in &cluster.proxies {
            until("the change is in force", async || {
                (proxy.status().await.revision >= revision).then_some(())
            })
            .await;
        }
    }
}

/// A proxy finds no version while the platform is silent. Each call ends by its limit. 1. The limits
/// double up to the highest one, so that a slow platform gets the time it needs. 2. The calls of a
/// process become few: with the fixed limit of 2 s and the pause of 0.5 s there were some 130 within
/// five minutes. 3. Processes don't call in step.
#[test]
fn calls_of_a_long_start_grow_and_become_few() {
    const FIVE_MINUTES_MS: u64 = 300_000;
    let mut starts = Vec::new();
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
        for (place, &pause_ms) in pauses.iter().enumerate() {
            let most_ms = (500 << place.min(10)).min(first_version::MAX_PAUSE_MS);
            assert!((most_ms / 2..=most_ms).contains(&pause_ms), "{pause_ms} at {place}");
        }
        starts.push(pauses);
    }
    starts.sort();
    starts.dedup();
    assert_eq!(starts.len(), 50);
}
