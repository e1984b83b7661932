//! Transfer of large configuration versions over links that need several seconds for them.
//!
//! Guards against a timeout on the whole response instead of on progress: a large response over a slow link
//! was then cancelled and requested again without end, so that no version ever arrived.

mod control_support;

use std::net::SocketAddr;

use control_support::Cluster;
use control_support::FIRST_PRIMARY;
use control_support::Proxy;
use control_support::settings;
use control_support::wait_until;
use serde_json::json;
use skylark_core::version::objects::ObjectKind;
use skylark_objects::ObjectStore;
use skylark_objects::http::HttpStore;
use skylark_soak::relay::Relay;
use skylark_standin::deployment::fault::Fault;

/// The number of read kinds added to the service, which make the configuration about 600 KB large.
const READ_KINDS: u64 = 15_000;

/// The bandwidth of the slow link in bytes per second: the configuration takes more than 2 s.
const SLOW_LINK_BYTES_PER_S: u64 = 250_000;

/// The interval between exchanges of proxies in milliseconds, longer than any test.
const NO_EXCHANGE_MS: u64 = 60_000;

/// The platform's response time in milliseconds, longer than any caller waits.
const STALLED_CALL_MS: u64 = 3_600_000;

/// Starts the stand-ins and one proxy, and waits until the proxy has applied a large configuration.
async fn start_with_large_configuration() -> Cluster {
    let cluster =
        Cluster::start_with_exchange_interval(&[("vm-1", "medina")], NO_EXCHANGE_MS).await;
    cluster.wait_for_primary(FIRST_PRIMARY).await;
    let store = &cluster.deployment.platform().platform().store;
    let current = store.get(ObjectKind::Service, "loans-db").expect("the service exists");
    let mut body = current.body.clone();
    for number in 0..READ_KINDS {
        let kinds = body["read_kinds"].as_array_mut().expect("read kinds are a list");
        kinds.push(json!({ "name": format!("kind-{number}"), "max_age_ms": 5_000 }));
    }
    let put = store.put(ObjectKind::Service, "loans-db", current.version, body);
    let revision = put.expect("there is no concurrent writer");
    wait_until("the large version is applied", async || {
        (cluster.proxies[0].status().await.revision >= revision).then_some(())
    })
    .await;
    cluster
}

async fn slow_link(target: SocketAddr) -> SocketAddr {
    let link = Relay::start_slow(target, SLOW_LINK_BYTES_PER_S).await;
    link.expect("a loopback port is free").address
}

/// The platform responds immediately, but the transfer of the response takes seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_platform_response_is_read_completely_over_a_slow_link() {
    let cluster = start_with_large_configuration().await;
    let platform = slow_link(cluster.deployment.platform().address()).await;
    let store = HttpStore::new(&platform.to_string(), "medina");
    let snapshot = store.snapshot().await.expect("a response that makes progress is not cancelled");
    assert!(snapshot.objects.len() > 1);
}

/// A proxy starts while the platform does not respond, and its only configured peer is behind a slow link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_version_is_loaded_from_a_peer_over_a_slow_link() {
    let cluster = start_with_large_configuration().await;
    cluster.inject(Fault::PlatformSlow { slow_ms: STALLED_CALL_MS }).await;
    let peer = slow_link(cluster.proxies[0].handle.control_address()).await;
    let platform = cluster.deployment.platform().address();
    let started = Proxy::start(settings("vm-4", "medina", platform, &[peer], NO_EXCHANGE_MS)).await;
    wait_until("the new proxy is ready", async || started.status().await.ready.then_some(())).await;
}
