//! At-most-once execution: a request that may have run is not repeated, and a request that is refused as "not
//! run" did not run.

use std::time::Duration;

use skylark_core::log_position::LogPosition;
use skylark_proxy::connection::limits::TrafficLimits;
use skylark_proxy::process::control_handle::ControlEvent;
use skylark_proxy::process::control_handle::TargetEvidence;
use traffic_support::Cluster;
use traffic_support::SETTLE_TIME;
use traffic_support::Setup;
use traffic_support::client::Client;
use traffic_support::eventually;

mod traffic_support;

async fn start_with_table(limits: TrafficLimits) -> (Cluster, Client) {
    let cluster = Cluster::start_with(Setup { limits, ..Setup::default() }).await;
    let mut client = cluster.client().await;
    client.query("CREATE TABLE chairs (id INT)").await.ok();
    cluster.wait_applied_published(LogPosition::new(1, 2)).await;
    (cluster, client)
}

async fn rows(cluster: &Cluster) -> String {
    cluster.client().await.query("SELECT count(*) FROM chairs").await.value().to_owned()
}

cases! {
    /// The connection to the target breaks after a write ran, and its response is lost.
    /// 1. The target runs the insert, and its response is held back.
    /// 2. The connection is closed.
    /// 3. The caller gets "outcome unknown" once, and the table has one row: the insert was not repeated.
    a_write_whose_answer_is_lost_is_not_repeated {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        cluster.relays[0].hold_responses(true);
        let commits = || cluster.targets[0].target().counters().commits.get();
        let before = commits();
        client.send("INSERT INTO chairs VALUES (1)").await;
        eventually("the target has run the statement", || commits() > before).await;
        cluster.relays[0].close_connections().await;
        let lost = client.answer().await;
        assert_eq!((lost.error().sqlstate.as_str(), lost.error().detail.as_str()),
            ("08007", "outcome unknown"));
        assert_eq!(lost.status, None);
        assert_eq!(cluster.proxy().counter("refused.answer_lost"), 1);
        let snapshot = cluster.proxy().counters.snapshot();
        let retries: u64 =
            snapshot.iter().filter(|(name, _)| name.starts_with("retry.")).map(|(_, n)| n).sum();
        assert_eq!(retries, 0);
        let broken = |event: &ControlEvent| {
            matches!(event, ControlEvent::TargetFailed { evidence: TargetEvidence::Broken, .. })
        };
        let reported = || cluster.proxy().control_events.lock().iter().any(broken);
        eventually("the failure is reported to the control thread", reported).await;
        cluster.relays[0].hold_responses(false);
        assert_eq!(rows(&cluster).await, "1");
    }

    /// A SELECT whose response is lost is not repeated either, unless it is declared as a read: it may call a
    /// function that writes.
    an_undeclared_read_is_not_repeated {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        cluster.relays[0].hold_responses(true);
        let reads = || cluster.targets[0].target().counters().reads.get();
        let before = reads();
        client.send("SELECT 1").await;
        eventually("the target has run the statement", || reads() > before).await;
        cluster.relays[0].close_connections().await;
        assert_eq!(client.answer().await.error().detail, "outcome unknown");
    }

    /// A declared read whose connection breaks is retried on another target, and the caller sees one
    /// response.
    a_declared_read_is_retried_on_another_target {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        client.query("SET skylark.read_kind = 'lookup'").await.ok();
        client.query("SELECT 1").await.ok();
        for relay in &cluster.relays[1..] {
            relay.hold_responses(true);
        }
        client.send("SELECT 'once'").await;
        tokio::time::sleep(SETTLE_TIME).await;
        for relay in &cluster.relays[1..] {
            relay.refuse(true).await;
        }
        let answer = client.answer().await;
        assert_eq!((answer.value(), answer.rows.len()), ("once", 1));
        assert!(cluster.proxy().counter("retry.read_lost") >= 1);
        assert_eq!(client.query("SHOW skylark.last_target").await.value(), "loans-1");
    }

    /// Callers read while a replica's process is down and the control thread has not detected it.
    /// 1. The replica resets its connections and refuses new ones.
    /// 2. The first reads fail there and are retried on another target.
    /// 3. Later reads skip the replica: if each tried it first, they would exhaust the retry budget, and
    ///    reads would be refused although another replica is idle.
    reads_skip_a_target_that_refuses_connections {
        let limits = TrafficLimits { retry_budget_percent: 0, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        client.query("SET skylark.read_kind = 'lookup'").await.ok();
        client.query("SELECT 1").await.ok();
        cluster.relays[1].refuse(true).await;
        for _ in 0..300 {
            assert_eq!(client.query("SELECT 'fine'").await.value(), "fine");
        }
        assert_eq!(cluster.proxy().counter("refused.retry_budget_spent"), 0);
    }

    /// A write is sent to a primary that was just replaced, which refuses it without running it.
    /// 1. Another member leads in term 2, which the proxy does not know yet.
    /// 2. The old primary responds with 25006.
    /// 3. The proxy waits until the new primary is published and sends it the write, which runs once.
    a_write_refused_by_the_old_primary_goes_to_the_new_one {
        let limits = TrafficLimits { primary_wait_ms: 5_000, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        cluster.make_primary(1, 2);
        client.send("INSERT INTO chairs VALUES (1)").await;
        eventually("the refusal is counted", || cluster.proxy().counter("retry.not_primary") == 1).await;
        cluster.proxy().publish_leader(1, 2);
        client.answer().await.ok();
        assert_eq!(client.token.as_deref(), Some("loans:2/4"));
        assert_eq!(rows(&cluster).await, "1");
        let not_primary = |event: &ControlEvent| {
            matches!(event, ControlEvent::TargetFailed { evidence: TargetEvidence::NotPrimary, .. })
        };
        let reported = || cluster.proxy().control_events.lock().iter().any(not_primary);
        eventually("the failure is reported to the control thread", reported).await;
    }

    /// No new primary is elected in time: the write is refused as "not run", and did not run.
    a_write_without_a_primary_is_refused_as_not_run {
        let limits = TrafficLimits { primary_wait_ms: 50, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        for server in &cluster.targets {
            server.target().raise_term(skylark_core::log_position::Term(2), "nobody");
        }
        let refused = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("25006", "not run"));
        assert_eq!(refused.status, Some('I'));
        cluster.proxy().publish(|published| published.groups[0].leader = None);
        let refused = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("57P03", "not run"));
        cluster.make_primary(0, 3);
        cluster.proxy().publish_leader(0, 3);
        assert_eq!(rows(&cluster).await, "0");
    }

    /// No connection to the target can be opened, so nothing was sent, and the write is refused as "not run".
    a_write_to_an_unreachable_target_is_refused_as_not_run {
        let limits = TrafficLimits { primary_wait_ms: 50, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        cluster.relays[0].refuse(true).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let refused = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("08001", "not run"));
        assert!(cluster.proxy().counter("retry.connect_failed") >= 1);
    }

    /// If a transaction's connection breaks before the COMMIT was sent, the transaction is rolled back, the
    /// caller gets "not run", and its own connection stays open. After the COMMIT was sent, the outcome is
    /// unknown.
    a_lost_transaction_is_rolled_back_or_unknown {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        client.query("BEGIN").await.ok();
        client.query("INSERT INTO chairs VALUES (1)").await.ok();
        cluster.relays[0].close_connections().await;
        let lost = client.query("INSERT INTO chairs VALUES (2)").await;
        assert_eq!((lost.error().sqlstate.as_str(), lost.error().detail.as_str()),
            ("40001", "not run"));
        assert_eq!(lost.status, Some('I'));
        assert_eq!(rows(&cluster).await, "0");
        client.query("BEGIN").await.ok();
        client.query("INSERT INTO chairs VALUES (3)").await.ok();
        cluster.relays[0].hold_responses(true);
        client.send("COMMIT").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cluster.relays[0].close_connections().await;
        assert_eq!(client.answer().await.error().detail, "outcome unknown");
        cluster.relays[0].hold_responses(false);
        assert_eq!(rows(&cluster).await, "1");
    }

    /// A leaving primary refuses new transactions as "not run", and completes open ones.
    a_leaving_target_gets_no_new_work {
        let limits = TrafficLimits { primary_wait_ms: 50, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        client.query("BEGIN").await.ok();
        client.query("INSERT INTO chairs VALUES (1)").await.ok();
        cluster.targets[0].target().set_leaving(true);
        let mut other = cluster.client().await;
        let refused = other.query("INSERT INTO chairs VALUES (2)").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("57P03", "not run"));
        client.query("INSERT INTO chairs VALUES (3)").await.ok();
        client.query("COMMIT").await.ok();
        cluster.targets[0].target().set_leaving(false);
        assert_eq!(rows(&cluster).await, "2");
    }

    /// The retry budget bounds the retries sent to a failing primary: once it is exhausted, requests are
    /// refused without a retry.
    a_spent_retry_budget_refuses_requests_as_not_run {
        let limits = TrafficLimits {
            primary_wait_ms: 0,
            retry_budget_percent: 0,
            ..TrafficLimits::default()
        };
        let (cluster, mut client) = start_with_table(limits).await;
        for server in &cluster.targets {
            server.target().raise_term(skylark_core::log_position::Term(2), "nobody");
        }
        for _ in 0..60 {
            let refused = client.query("INSERT INTO chairs VALUES (1)").await;
            assert_eq!(refused.error().detail, "not run");
        }
        assert_eq!(cluster.proxy().counter("retry.not_primary"), 50);
        assert_eq!(cluster.proxy().counter("refused.retry_budget_spent"), 10);
    }
}
