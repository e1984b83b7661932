//! Forwarding of requests between proxies. Only a target's homes connect to it, so the proxy that a caller is
//! connected to, the entry, forwards requests for other targets to one of their homes.

use postgres_protocol::message::frontend;
use skylark_core::log_position::LogPosition;
use skylark_proxy::connection::limits::TrafficLimits;
use traffic_support::Cluster;
use traffic_support::SETTLE_TIME;
use traffic_support::Setup;
use traffic_support::client::Client;
use traffic_support::eventually;
use traffic_support::fault_relay::FaultRelay;

mod traffic_support;

/// Returns a setup in which proxy 0 is home to no member, and proxies 1 and 2 are both home to all.
fn entry_and_two_homes() -> Setup {
    Setup { homes: vec![vec![], vec![0, 1, 2], vec![0, 1, 2]], ..Setup::default() }
}

cases! {
    /// A caller at a proxy that is home to no member writes, reads and sees its own writes.
    an_entry_forwards_to_a_home {
        let cluster = Cluster::start_with(entry_and_two_homes()).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        assert_eq!(client.query("INSERT INTO chairs VALUES (1)").await.ok().tags, ["INSERT 0 1"]);
        assert_eq!(client.token.as_deref(), Some("loans:1/3"));
        client.query("SET skylark.read_kind = 'lookup'").await.ok();
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "1");
        let target = client.query("SHOW skylark.last_target").await.value().to_owned();
        assert!(target.starts_with("loans-"), "{target}");
        client.query("RESET skylark.read_kind").await.ok();
        assert_eq!(client.query("BEGIN").await.status, Some('T'));
        client.query("INSERT INTO chairs VALUES (2)").await.ok();
        assert_eq!(client.query("COMMIT").await.ok().status, Some('I'));
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "2");
        let failed = client.query("SELECT * FROM nothing").await;
        assert_eq!(failed.status, Some('I'));
        assert_eq!(failed.errors.len(), 1);
        assert!(cluster.proxy().counter("forwards.sent") >= 6);
    }

    /// A proxy that is home to the replicas only forwards the requests that must go to the primary.
    a_home_of_replicas_forwards_writes {
        let setup = Setup { homes: vec![vec![1, 2], vec![0]], ..Setup::default() };
        let cluster = Cluster::start_with(setup).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        client.query("SET skylark.read_kind = 'lookup'").await.ok();
        let forwarded = cluster.proxy().counter("forwards.sent");
        client.query("SELECT count(*) FROM chairs").await.ok();
        assert_eq!(cluster.proxy().counter("forwards.sent"), forwarded, "the read is not forwarded");
        assert_eq!(cluster.proxies[1].counter("forwards.received"), 1);
    }

    /// The home holds the success of a commit back until it is confirmed. The entry therefore relays no
    /// unconfirmed success, and relays "outcome unknown" if the confirmation times out.
    a_forwarded_commit_is_confirmed_at_the_home {
        let limits = TrafficLimits { confirm_ms: 100, ..TrafficLimits::default() };
        let cluster = Cluster::start_with(Setup { limits, ..entry_and_two_homes() }).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        for replica in &cluster.targets[1..] {
            let lag = skylark_standin::target::options::Lag { hold_us: 3_600_000_000, apply_us: 0 };
            replica.target().set_lag(lag);
        }
        let lost = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!((lost.error().sqlstate.as_str(), lost.error().detail.as_str()),
            ("08007", "outcome unknown"));
        assert_eq!((lost.tags.len(), lost.status), (0, None));
    }

    /// One home has stopped and refuses connections. Nothing was sent to it, so the request goes to the other
    /// home.
    an_unreachable_home_is_skipped {
        let cluster = Cluster::start_with(entry_and_two_homes()).await;
        cluster.proxies[1].server_task.abort();
        eventually("the proxy has stopped", || cluster.proxies[1].server_task.is_finished()).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        assert!(cluster.proxy().counter("retry.connect_failed") >= 1);
        assert_eq!(cluster.proxies[2].counter("forwards.received"), 1);
    }

    /// The only home accepts no connection for a moment, as during its start or on a busy machine. Nothing was
    /// sent to it and no other home is left, but it accepts connections again long before the request's
    /// deadline. The request waits for it and is not refused.
    an_unreachable_only_home_is_waited_for {
        let limits = TrafficLimits { primary_wait_ms: 20_000, deadline_ms: 20_000, ..TrafficLimits::default() };
        let setup = Setup { homes: vec![vec![], vec![0, 1, 2]], limits, ..Setup::default() };
        let cluster = Cluster::start_with(setup).await;
        let relay = FaultRelay::start(cluster.proxies[1].address).await;
        relay.refuse(true).await;
        cluster.proxy().publish(|published| {
            let mut topology = (*published.topology).clone();
            let home = topology.vm_id(&traffic_support::vm_name(1)).expect("listed");
            topology.vms[home.index()].address = relay.address().to_string();
            published.topology = topology.into();
        });
        let mut client = cluster.client().await;
        client.send("CREATE TABLE chairs (id INT)").await;
        eventually("the connection to the home failed", || {
            cluster.proxy().counter("connections.failed") >= 1
        })
        .await;
        relay.refuse(false).await;
        client.answer().await.ok();
        assert_eq!(cluster.proxies[1].counter("forwards.received"), 1);
    }

    /// A proxy has just started and knows the members of the group, but no VM that is home to them yet. The
    /// request waits until it does and is not refused.
    unknown_homes_are_waited_for {
        let limits = TrafficLimits { primary_wait_ms: 20_000, deadline_ms: 20_000, ..TrafficLimits::default() };
        let cluster = Cluster::start_with(Setup { limits, ..entry_and_two_homes() }).await;
        let homes = cluster.proxy().slot.load().homes.clone();
        cluster.proxy().publish(|published| published.homes = vec![Vec::new(); 3]);
        let mut client = cluster.client().await;
        client.send("CREATE TABLE chairs (id INT)").await;
        eventually("the request waits", || cluster.proxy().counter("waits.home") == 1).await;
        cluster.proxy().publish(|published| published.homes = homes);
        client.answer().await.ok();
    }

    /// A stopping home refuses forwarded requests as "not run", and the entry sends them to the other home.
    a_stopping_home_is_skipped {
        let cluster = Cluster::start_with(entry_and_two_homes()).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        cluster.proxies[1].publish(|published| published.stopping = true);
        eventually("the proxy has stopped", || cluster.proxies[1].server_task.is_finished()).await;
        for id in 0..5 {
            client.query(&format!("INSERT INTO chairs VALUES ({id})")).await.ok();
        }
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "5");
    }

    /// The connection to the target breaks after a forwarded write ran.
    /// 1. The entry forwards an insert, and the target's response is held back.
    /// 2. The home's connection to the target is closed.
    /// 3. The caller gets "outcome unknown", and no other home runs the insert again.
    a_forwarded_write_is_not_repeated {
        let cluster = Cluster::start_with(entry_and_two_homes()).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        cluster.relays[0].hold_responses(true);
        client.send("INSERT INTO chairs VALUES (1)").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cluster.relays[0].close_connections().await;
        let lost = client.answer().await;
        assert_eq!(lost.error().detail, "outcome unknown");
        cluster.relays[0].hold_responses(false);
        let mut other = Client::connect(cluster.proxies[2].address, &[]).await;
        assert_eq!(other.query("SELECT count(*) FROM chairs").await.value(), "1");
    }

    /// Two proxies that each believe the other to be the only home don't forward a request to each other
    /// endlessly.
    hops_are_bounded {
        let cluster = Cluster::start_with(entry_and_two_homes()).await;
        for proxy in &cluster.proxies[1..] {
            // Each proxy's published homes name only the other one.
            let other = if proxy.address == cluster.proxies[1].address { 2 } else { 1 };
            proxy.publish(|published| {
                let other = published.topology.vm_id(&traffic_support::vm_name(other)).expect("listed");
                published.homes = vec![vec![other]; 3];
            });
        }
        let refused = cluster.client().await.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("57P03", "not run"));
        assert!(refused.error().message.contains("forwarded too often"), "{refused:?}");
        // The entry forwards to both proxies, and each of them forwards once.
        let sent = cluster.proxies.iter().map(|proxy| proxy.counter("forwards.sent")).sum::<u64>();
        assert_eq!(sent, 4);
    }

    /// The deadline is forwarded: the home itself times the request out, by the time that the entry left.
    a_deadline_is_forwarded {
        let cluster = Cluster::start_with(entry_and_two_homes()).await;
        let mut client = cluster.client().await;
        client.query("SELECT 1").await.ok();
        client.query("SET skylark.deadline_ms = 500").await.ok();
        cluster.relays[0].hold_responses(true);
        let lost = client.query("SELECT 2").await;
        assert_eq!(lost.error().sqlstate, "57014");
        let at_homes = || {
            let homes = cluster.proxies[1..].iter();
            homes.map(|proxy| proxy.counter("refused.answer_timed_out")).sum::<u64>()
        };
        eventually("the home times the request out", || at_homes() == 1).await;
    }

    /// The caller's settings, class and session identity are forwarded with each transaction, and don't leak
    /// to other callers on the same connection between proxies.
    session_state_is_forwarded_with_each_transaction {
        let cluster = Cluster::start_with(entry_and_two_homes()).await;
        let mut first = cluster.client().await;
        let mut second = cluster.client().await;
        let default = second.query("SHOW search_path").await.value().to_owned();
        first.query("SET search_path = 'mine'").await.ok();
        first.query("SET skylark.session = 'clerk'").await.ok();
        for _ in 0..3 {
            assert_eq!(first.query("SHOW search_path").await.value(), "mine");
            assert_eq!(second.query("SHOW search_path").await.value(), default);
        }
        first.query("CREATE TABLE chairs (id INT)").await.ok();
        assert_eq!(cluster.floors.lock()["clerk"], LogPosition::new(1, 2));
    }

    /// A transaction that arrives over a connection between proxies without its context is refused as "not
    /// run", since it would run without its session's floor.
    a_forwarded_request_needs_its_context {
        let cluster = Cluster::start().await;
        let parameters = [("skylark.forwarded", "vm-9")];
        let mut peer = Client::connect(cluster.proxy().address, &parameters).await;
        frontend::query("SELECT 1", &mut peer.output).expect("a query");
        peer.flush().await;
        let refused = peer.answer().await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("08P01", "not run"));
        assert_eq!(refused.status, None);
    }
}
