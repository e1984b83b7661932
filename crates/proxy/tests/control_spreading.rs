//! Distribution of configuration versions and VM lists between complete proxies, and the control address:
//! health, readiness, calls and metrics.

mod control_support;

use control_support::Cluster;
use control_support::FIRST_PRIMARY;
use control_support::GROUP;
use control_support::PEER_INTERVAL_MS;
use control_support::Proxy;
use control_support::TEST_TIMEOUT;
use control_support::settings;
use control_support::wait_until;
use jsonrpsee::core::client::ClientT;
use skylark_core::version::objects::ObjectKind;
use skylark_proxy::process::peer::api;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::client;
use skylark_standin::deployment::fault::Fault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;

/// Declares one asynchronous test for each function of `cases`.
macro_rules! spreading_tests {
    ($($name:ident)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                cases::$name().await;
            }
        )*
    };
}

spreading_tests! {
    two_proxies_of_a_zone_watch_for_the_others
    zone_without_the_platform_gets_versions_from_other_zones
    proxy_starts_from_peers_while_the_platform_is_down
    proxy_without_a_version_is_not_ready
    drained_vm_reports_not_ready
    lower_revision_is_refused
    unknown_group_and_bad_calls_are_refused
    leaving_target_is_marked_by_every_tracking_proxy
    dead_proxy_loses_its_homes_while_the_list_lags
    metrics_reach_the_statsd_server
}

mod cases {
    use super::*;

    /// Of four proxies in one zone, two watch the platform. An operator's change reaches the other two
    /// through the watchers' offers.
    pub async fn two_proxies_of_a_zone_watch_for_the_others() {
        let placements = ["vm-1", "vm-2", "vm-3", "vm-4"].map(|vm| (vm, "medina"));
        // With exchanges disabled by a long interval, only offers can distribute the change.
        let cluster = Cluster::start_with_exchange_interval(&placements, 60_000).await;
        wait_until("two of four proxies watch the platform", async || {
            let mut watching = 0;
            for proxy in &cluster.proxies {
                watching += usize::from(proxy.status().await.watching);
            }
            (watching == 2).then_some(())
        })
        .await;
        for max_age_ms in [100, 200, 300] {
            let revision = cluster.set_max_age(max_age_ms);
            for proxy in &cluster.proxies {
                wait_until("the change is applied", async || {
                    let published = proxy.handle.published().load_full();
                    let service = published.topology.services.first()?;
                    let in_force = service.read_kinds[0].max_age_ms == max_age_ms;
                    (in_force && published.topology.revision >= revision).then_some(())
                })
                .await;
            }
        }
    }

    /// The platform refuses one zone's calls, so the zone's watchers receive no changes. An exchange with a
    /// proxy of another zone shows the higher revision, and the side with the lower one pulls it.
    pub async fn zone_without_the_platform_gets_versions_from_other_zones() {
        let cluster = Cluster::start().await;
        cluster.inject(Fault::PlatformRefusesZone { zone: "depot".to_owned(), on: true }).await;
        let revision = cluster.set_max_age(100);
        for proxy in &cluster.proxies {
            wait_until("the change is applied", async || {
                (proxy.status().await.revision >= revision).then_some(())
            })
            .await;
        }
    }

    /// A VM is replaced while the platform is down. Its proxy fetches the highest version from the peers in
    /// its settings, becomes ready, and learns the primary too.
    pub async fn proxy_starts_from_peers_while_the_platform_is_down() {
        // With exchanges disabled by a long interval, the version can only come from the requests at startup.
        let placements = [("vm-1", "medina"), ("vm-2", "depot"), ("vm-3", "sakiet")];
        let mut cluster = Cluster::start_with_exchange_interval(&placements, 60_000).await;
        cluster.wait_for_primary(FIRST_PRIMARY).await;
        let revision = cluster.proxies[0].status().await.revision;
        cluster.inject(Fault::PlatformDown { on: true }).await;
        let started = cluster.add("vm-4", "depot").await;
        wait_until("the new proxy is ready and knows the primary", async || {
            let status = started.status().await;
            let leader = started.leader().await?;
            (status.ready && status.revision == revision && leader.0 == FIRST_PRIMARY).then_some(())
        })
        .await;
    }

    /// A proxy that reaches neither the platform nor a peer has no configuration. It reports to the load
    /// balancer that it is not ready, and becomes ready without intervention once the platform is back.
    pub async fn proxy_without_a_version_is_not_ready() {
        let deployment = control_support::deployment().await;
        let down = |on| Fault::PlatformDown { on };
        deployment.inject(&down(true)).await.expect("the fault's target exists");
        let platform = deployment.platform().address();
        let proxy = Proxy::start(settings("vm-1", "medina", platform, &[], PEER_INTERVAL_MS)).await;
        let client = control_client(&proxy);
        let health = client.health().await.expect("a running proxy answers");
        assert_eq!(health, api::Health { ready: false, stopping: false, leaving: false });
        client.peer_snapshot().await.expect_err("the proxy has no version");
        assert_eq!(http_status(&proxy, "/health").await, 200);
        assert_eq!(http_status(&proxy, "/ready").await, 500);
        deployment.inject(&down(false)).await.expect("the fault's target exists");
        wait_until("the proxy is ready", async || {
            client.health().await.ok().filter(|report| report.ready)
        })
        .await;
        assert_eq!(http_status(&proxy, "/ready").await, 200);
    }

    /// An operator drains a VM. Its readiness check returns status 500, so that the load balancer sends it no
    /// new callers; callers that connect nevertheless are served. After the drain is cancelled the check
    /// returns 200.
    pub async fn drained_vm_reports_not_ready() {
        let cluster = Cluster::start().await;
        let proxy = &cluster.proxies[1];
        let store = &cluster.deployment.platform().platform().store;
        let mut version = 0;
        for (drain, code) in [(true, 500), (false, 200)] {
            let body = serde_json::json!({ "drain": drain });
            version = store
                .put(ObjectKind::VmSpec, "vm-2", version, body)
                .expect("there is no concurrent writer");
            wait_until("the readiness check reflects the drain", async || {
                (http_status(proxy, "/ready").await == code).then_some(())
            })
            .await;
            assert_eq!(http_status(proxy, "/health").await, 200);
            let config = format!(
                "host=127.0.0.1 port={} user=test dbname={GROUP}",
                proxy.handle.listen_address().port(),
            );
            let connected = tokio_postgres::connect(&config, tokio_postgres::NoTls).await;
            let (caller, connection) = connected.expect("a drained VM accepts callers");
            let connection_task = tokio::spawn(connection);
            let table = format!("CREATE TABLE drained_{drain} (id INTEGER)");
            caller.simple_query(&table).await.expect("a drained VM serves callers");
            connection_task.abort();
        }
    }

    /// A proxy that was partitioned offers its configuration, which is older than the applied one and has a
    /// longer staleness bound. The offer is rejected and the applied version stays.
    pub async fn lower_revision_is_refused() {
        let cluster = Cluster::start().await;
        let old = cluster.deployment.platform().platform().store.snapshot();
        let revision = cluster.set_max_age(100);
        let proxy = &cluster.proxies[0];
        wait_until("the change is applied", async || {
            (proxy.status().await.revision >= revision).then_some(())
        })
        .await;
        let in_force = proxy.status().await.revision;
        let offer = api::Offer {
            vm: "vm-2".to_owned(),
            base_revision: 0,
            revision: old.revision,
            objects: old.objects,
            vms: None,
        };
        let answer = control_client(proxy).peer_offer(offer).await.expect("offers are answered");
        assert!(answer.revision >= in_force);
        let published = proxy.handle.published().load_full();
        assert_eq!(published.topology.services[0].read_kinds[0].max_age_ms, 100);
    }

    /// Calls with an unknown group, an unknown method or wrong parameters get an error, and the proxy keeps
    /// serving.
    pub async fn unknown_group_and_bad_calls_are_refused() {
        let cluster = Cluster::start().await;
        let client = control_client(&cluster.proxies[0]);
        let refusal = client.explain("none".to_owned()).await.expect_err("no such group");
        assert!(refusal.to_string().contains("no group has this name"), "{refusal}");
        let unknown: Result<String, _> = client.request("nothing", [1]).await;
        unknown.expect_err("no such method");
        let wrong: Result<api::PeerVersion, _> = client.request("peer_version", ["text"]).await;
        wrong.expect_err("a string is not a version");
        assert!(client.explain(GROUP.to_owned()).await.is_ok());
    }

    /// A target reports in its status that it is leaving, while the group's object does not say so. Every
    /// proxy that tracks the group marks the member as leaving, and clears the mark when the target stays.
    pub async fn leaving_target_is_marked_by_every_tracking_proxy() {
        let cluster = Cluster::start().await;
        for on in [true, false] {
            cluster.inject(Fault::LeaveTarget { target: "loans-1-depot".to_owned(), on }).await;
            for proxy in &cluster.proxies {
                wait_until("the member's leaving state is published", async || {
                    let group = proxy.group().await?;
                    let mut members = group.members.iter();
                    members
                        .find(|member| member.target == "loans-1-depot" && member.leaving == on)?;
                    Some(())
                })
                .await;
            }
        }
    }

    /// A VM dies and stays on the platform's VM list. Calls to it fail, and the other proxies choose homes
    /// without it, so that no request is sent to it while the list is out of date.
    pub async fn dead_proxy_loses_its_homes_while_the_list_lags() {
        let placements =
            [("vm-1", "medina"), ("vm-2", "depot"), ("vm-3", "sakiet"), ("vm-4", "sakiet")];
        let mut cluster = Cluster::start_with_placements(&placements).await;
        cluster.wait_for_primary(FIRST_PRIMARY).await;
        let is_listed_as_home = async |proxy: &Proxy| {
            let group = proxy.group().await?;
            let mut homes = group.members.iter().flat_map(|member| &member.homes);
            Some(homes.any(|home| home == "vm-3"))
        };
        for proxy in &cluster.proxies {
            wait_until("the proxy is listed as a home", async || {
                is_listed_as_home(proxy).await.filter(|is_listed| *is_listed)
            })
            .await;
        }
        drop(cluster.proxies.remove(2));
        for proxy in &cluster.proxies {
            wait_until("the dead proxy is not listed as a home", async || {
                is_listed_as_home(proxy).await.filter(|is_listed| !is_listed)
            })
            .await;
        }
    }

    /// Metrics are sent to the configured StatsD server as datagrams, each tagged with the VM and the zone.
    pub async fn metrics_reach_the_statsd_server() {
        let server = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
        let deployment = control_support::deployment().await;
        let platform = deployment.platform().address();
        let mut settings = settings("vm-1", "medina", platform, &[], PEER_INTERVAL_MS);
        settings.metrics.statsd_address = server.local_addr().ok();
        settings.metrics.interval_ms = 50;
        let _proxy = Proxy::start(settings).await;
        let mut datagram = [0; 2048];
        wait_until("the gauge platform_answers is 1", async || {
            let count = server.recv(&mut datagram).await.ok()?;
            let text = std::str::from_utf8(&datagram[..count]).ok()?;
            let line = "skylark.control.platform_answers:1|g|#vm:vm-1,zone:medina";
            text.lines().any(|metric| metric == line).then_some(())
        })
        .await;
    }

    /// Returns the status code of an HTTP GET at the control address, as a load balancer sends it.
    async fn http_status(proxy: &Proxy, path: &str) -> u16 {
        let address = proxy.handle.control_address();
        let mut stream =
            TcpStream::connect(address).await.expect("the control address accepts connections");
        let request =
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("the answer is text");
        let code = answer.split(' ').nth(1).and_then(|code| code.parse().ok());
        code.expect("the answer starts with a status line")
    }

    fn control_client(proxy: &Proxy) -> jsonrpsee::http_client::HttpClient {
        let address = proxy.handle.control_address().to_string();
        client::open(&address, TEST_TIMEOUT).expect("the address is valid")
    }
}
