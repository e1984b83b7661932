//! Consistency of sessions that move between proxies without a token, and the graceful stop of a proxy.
//!
//! A member's homes are the proxies that connect to it. The primary's homes record the position of each
//! session's last write; other proxies ask them for it as the floor, the lowest log position that a
//! target must have applied to serve the session's reads.

mod control_support;

use control_support::Cluster;
use control_support::FIRST_PRIMARY;
use control_support::GROUP;
use control_support::Proxy;
use control_support::TEST_TIMEOUT;
use control_support::wait_until;
use skylark_proxy::process::peer::api;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::client;
use skylark_standin::deployment::fault::Fault;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Declares one asynchronous test for each function of `cases`.
macro_rules! session_tests {
    ($($name:ident)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                cases::$name().await;
            }
        )*
    };
}

session_tests! {
    roaming_session_reads_its_own_writes
    restarted_home_answers_for_sessions_it_has_not_seen
    write_without_session_raises_no_session_floor
    isolated_home_answers_no_floor_request
    stop_cuts_no_transaction
    stopping_proxy_is_home_to_nothing
}

mod cases {
    use super::*;

    const HOUR_US: u64 = 3_600_000_000;

    /// A session alternately writes at one proxy and reads at another while replicas apply records late. Each
    /// read may be served by a replica and must return the preceding write.
    pub async fn roaming_session_reads_its_own_writes() {
        let cluster = Cluster::start().await;
        create_table(&cluster).await;
        for target in ["loans-1-depot", "loans-1-sakiet"] {
            cluster.inject(lag_fault(target, 30_000)).await;
        }
        let mut clients = Vec::new();
        for proxy in &cluster.proxies {
            clients.push(connect(proxy, "desk-7").await);
        }
        for round in 0..30 {
            let writer = &clients[round % 3];
            writer.simple_query(&format!("INSERT INTO chairs VALUES ({round})")).await.unwrap();
            let reader = &clients[(round + 1) % 3];
            reader.simple_query("SET skylark.read_kind = 'history'").await.unwrap();
            let rows = reader.simple_query("SELECT id FROM chairs").await.unwrap();
            assert_eq!(row_count(&rows), round + 1);
            reader.simple_query("SET skylark.read_kind = ''").await.unwrap();
        }
    }

    /// A session wrote through a home that then died, and its successor has no record of the session. The
    /// successor must not answer that the session wrote nothing: it obtains the primary's current position
    /// with a barrier and answers with that.
    pub async fn restarted_home_answers_for_sessions_it_has_not_seen() {
        let mut cluster = Cluster::start().await;
        create_table(&cluster).await;
        cluster.inject(lag_fault("loans-1-depot", HOUR_US)).await;
        let writer = connect(&cluster.proxies[0], "desk-7").await;
        writer.simple_query("INSERT INTO chairs VALUES (1)").await.unwrap();
        let written = cluster.member(FIRST_PRIMARY).log;
        drop(cluster.proxies.remove(0));
        let successor = cluster.add("vm-4", "medina").await;
        let (address, name) = (successor.handle.control_address(), successor.vm.clone());
        cluster.register_proxies();
        let client =
            client::open(&address.to_string(), TEST_TIMEOUT).expect("the address is valid");
        let answer = wait_until("the successor answers", async || {
            client.peer_floor(floor_request(&name)).await.ok()
        })
        .await;
        assert!(answer.position >= written, "{} is below {written}", answer.position);
    }

    /// A caller without a session identity writes through one of the primary's two homes, while replicas
    /// apply late. Both homes know that no identified session wrote this record, so that the floor of
    /// identified sessions stays below it. Otherwise every write would keep all identified sessions from
    /// reading at replicas.
    pub async fn write_without_session_raises_no_session_floor() {
        let placements =
            [("vm-1", "medina"), ("vm-4", "medina"), ("vm-2", "depot"), ("vm-3", "sakiet")];
        let cluster = Cluster::start_with_placements(&placements).await;
        cluster.wait_for_primary(FIRST_PRIMARY).await;
        for proxy in &cluster.proxies {
            wait_until("the proxy tracks the group", async || {
                proxy.group().await.filter(|group| group.tracked)
            })
            .await;
        }
        create_table(&cluster).await;
        for target in ["loans-1-depot", "loans-1-sakiet"] {
            cluster.inject(lag_fault(target, HOUR_US)).await;
        }
        let writer = connect_without_session(&cluster.proxies[0]).await;
        writer.simple_query("INSERT INTO chairs VALUES (1)").await.unwrap();
        // A home's first answer covers all writes from before the home began to track the group.
        let first_write = cluster.member(FIRST_PRIMARY).log;
        let homes: Vec<_> = cluster.proxies[..2].iter().map(control_client).collect();
        for home in &homes {
            wait_until("the home answers", async || {
                home.peer_floor(floor_request("vm-2")).await.ok()
            })
            .await;
        }
        writer.simple_query("INSERT INTO chairs VALUES (2)").await.unwrap();
        assert!(cluster.member(FIRST_PRIMARY).log > first_write);
        let answer = homes[0].peer_floor(floor_request("vm-2")).await.expect("the home answers");
        assert!(answer.position <= first_write, "{} is above {first_write}", answer.position);
        wait_until("the other home knows that the write has no session", async || {
            let answer = homes[1].peer_floor(floor_request("vm-2")).await.ok()?;
            (answer.position <= first_write).then_some(())
        })
        .await;
    }

    /// A home is partitioned from the majority, while the other members may continue in a new term. It can't
    /// know what the session wrote there, so it answers floor requests with an error.
    pub async fn isolated_home_answers_no_floor_request() {
        let cluster = Cluster::start().await;
        cluster.inject(Fault::IsolateZone { zone: "medina".to_owned(), on: true }).await;
        wait_until("the partitioned proxy detects the lost majority", async || {
            cluster.proxies[0].group().await.filter(|group| group.stalled)
        })
        .await;
        let address = cluster.proxies[0].handle.control_address().to_string();
        let client = client::open(&address, TEST_TIMEOUT).expect("the address is valid");
        client
            .peer_floor(floor_request("vm-2"))
            .await
            .expect_err("no barrier succeeds without a majority");
    }

    /// A proxy is asked to stop while a caller has an open transaction. It publishes that it is stopping, new
    /// callers are refused, and the transaction still commits.
    pub async fn stop_cuts_no_transaction() {
        let mut cluster = Cluster::start().await;
        create_table(&cluster).await;
        let caller = connect(&cluster.proxies[1], "desk-7").await;
        cluster.query_ok(&caller, "BEGIN").await;
        cluster.query_ok(&caller, "INSERT INTO chairs VALUES (1)").await;
        let stopping = cluster.proxies.remove(1);
        let config = connection_string(&stopping, "desk-8");
        let published = std::sync::Arc::clone(stopping.handle.published());
        let stopped = tokio::spawn(stopping.handle.stop());
        wait_until("the proxy publishes that it is stopping", async || {
            published.load().stopping.then_some(())
        })
        .await;
        let refused = tokio_postgres::connect(&config, NoTls).await;
        let refusal = refused.err().expect("a stopping proxy refuses callers");
        assert_eq!(refusal.code().map(|code| code.code()), Some("57P01"), "{refusal}");
        caller.simple_query("COMMIT").await.unwrap();
        drop(caller);
        stopped.await.expect("the proxy stops");
        let reader = connect(&cluster.proxies[0], "desk-9").await;
        let rows = reader.simple_query("SELECT id FROM chairs").await.unwrap();
        assert_eq!(row_count(&rows), 1);
    }

    /// A stopping proxy announces this to its peers long before the platform removes it from the VM list. The
    /// other proxies immediately choose homes without it.
    pub async fn stopping_proxy_is_home_to_nothing() {
        let mut cluster = Cluster::start().await;
        let stopping = cluster.proxies.remove(2);
        let caller = connect(&stopping, "desk-7").await;
        create_table(&cluster).await;
        caller.simple_query("BEGIN").await.unwrap();
        caller.simple_query("INSERT INTO chairs VALUES (1)").await.unwrap();
        let stopped = tokio::spawn(stopping.handle.stop());
        for proxy in &cluster.proxies {
            wait_until("the stopping proxy is home to nothing", async || {
                let group = proxy.group().await?;
                let mut homes = group.members.iter().flat_map(|member| &member.homes);
                (!homes.any(|home| home == "vm-3")).then_some(())
            })
            .await;
        }
        caller.simple_query("COMMIT").await.unwrap();
        drop(caller);
        stopped.await.expect("the proxy stops");
    }

    async fn create_table(cluster: &Cluster) {
        let client = connect(&cluster.proxies[0], "setup").await;
        cluster.run_setup_statement(&client, "CREATE TABLE chairs (id INTEGER)").await;
    }

    fn lag_fault(target: &str, apply_us: u64) -> Fault {
        Fault::LagTarget { target: target.to_owned(), hold_us: 0, apply_us }
    }

    fn floor_request(vm: &str) -> api::FloorQuestion {
        api::FloorQuestion {
            vm: vm.to_owned(),
            revision: 0,
            group: GROUP.to_owned(),
            session: "desk-7".to_owned(),
        }
    }

    fn connection_string(proxy: &Proxy, session: &str) -> String {
        format!(
            "host=127.0.0.1 port={} user=clerk dbname={GROUP} options='-c skylark.session={session}'",
            proxy.handle.listen_address().port(),
        )
    }

    fn control_client(proxy: &Proxy) -> jsonrpsee::http_client::HttpClient {
        let address = proxy.handle.control_address().to_string();
        client::open(&address, TEST_TIMEOUT).expect("the address is valid")
    }

    async fn connect(proxy: &Proxy, session: &str) -> Client {
        connect_with(&connection_string(proxy, session)).await
    }

    async fn connect_without_session(proxy: &Proxy) -> Client {
        let port = proxy.handle.listen_address().port();
        connect_with(&format!("host=127.0.0.1 port={port} user=clerk dbname={GROUP}")).await
    }

    async fn connect_with(config: &str) -> Client {
        let connected = tokio_postgres::connect(config, NoTls).await;
        let (client, connection) = connected.expect("the proxy accepts callers");
        tokio::spawn(async move {
            let _ = connection.await;
        });
        client
    }

    fn row_count(messages: &[SimpleQueryMessage]) -> usize {
        let is_row = |message: &&SimpleQueryMessage| matches!(message, SimpleQueryMessage::Row(_));
        messages.iter().filter(is_row).count()
    }
}
