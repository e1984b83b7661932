//! Large versions of the configuration over links that need seconds for them.
//!
//! What arrives slowly was taken for what does not arrive: an answer had to be whole within the time that
//! a short one takes. It was given up, asked for anew, and given up again, so that over such a link
//! no version ever came, however long one waited.

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

/// How many kinds of read the service of a test has: some 600 KB.
const READ_KINDS: u64 = 15_000;

/// What the slow link carries, in bytes a second: the whole takes more than 2 s.
const SLOW_LINK_BYTES_PER_S: u64 = 250_000;

/// So long that no exchange between proxies takes place during a test, in milliseconds.
const NO_EXCHANGE_MS: u64 = 60_000;

/// How long the platform takes for a call, in milliseconds: nobody waits for that.
const STALLED_CALL_MS: u64 = 3_600_000;

/// The stand-ins with one proxy, and a configuration that is large.
async fn start_with_large_configuration() -> Cluster {
    let cluster =
        Cluster::start_with_exchange_interval(&[("vm-1", "medina")], NO_EXCHANGE_MS).await;
    cluster.wait_for_primary(FIRST_PRIMARY).await;
    let store = &cluster.deployment.platform().platform().store;
    let current = store.get(ObjectKind::Service, "loans-db").expect("the service is there");
    let mut body = current.body.clone();
    for number in 0..READ_KINDS {
        let kinds = body["read_kinds"].as_array_mut().expect("kinds are a list");
        kinds.push(json!({ "name": format!("kind-{number}"), "max_age_ms": 5_000 }));
    }
    let put = store.put(ObjectKind::Service, "loans-db", current.version, body);
    let revision = put.expect("nobody else writes it");
    wait_until("the large version is in force", async || {
        (cluster.proxies[0].status().await.revision >= revision).then_some(())
    })
    .await;
    cluster
}

async fn slow_link(target: SocketAddr) -> SocketAddr {
    let link = Relay::start_slow(target, SLOW_LINK_BYTES_PER_S).await;
    link.expect("loopback has free ports").address
}

/// The platform answers at once, and its answer needs seconds on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_platform_response_is_read_completely_over_a_slow_link() {
    let cluster = start_with_large_configuration().await;
    let platform = slow_link(cluster.deployment.platform().address()).await;
    let store = HttpStore::new(&platform.to_string(), "medina");
    let snapshot = store.snapshot().await.expect("some of it comes all the time");
    assert!(snapshot.objects.len() > 1);
}

/// A proxy starts while the platform is silent, and the only peer that it knows is behind a slow link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_first_version_is_loaded_from_a_peer_over_a_slow_link() {
    let cluster = start_with_large_configuration().await;
    cluster.inject(Fault::PlatformSlow { slow_ms: STALLED_CALL_MS }).await;
    let peer = slow_link(cluster.proxies[0].handle.control_address()).await;
    let platform = cluster.deployment.platform().address();
    let started = Proxy::start(settings("vm-4", "medina", platform, &[peer], NO_EXCHANGE_MS)).await;
    wait_until("the new proxy is ready", async || started.status().await.ready.then_some(())).await;
}
