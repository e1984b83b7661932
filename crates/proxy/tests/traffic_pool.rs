//! Isolation of callers that share pooled connections: no transaction, response or session setting of one
//! caller reaches another.

use std::time::Duration;

use postgres_protocol::message::frontend;
use skylark_proxy::connection::limits::TrafficLimits;
use traffic_support::Cluster;
use traffic_support::SETTLE_TIME;
use traffic_support::Setup;
use traffic_support::client::Client;
use traffic_support::eventually;

mod traffic_support;

/// Starts a cluster whose targets accept one connection each, so that consecutive callers use the same one.
async fn start_with_one_connection(limits: TrafficLimits) -> (Cluster, Client) {
    let cluster =
        Cluster::start_with(Setup { connections: 1, slots: 1, limits, ..Setup::default() }).await;
    let mut client = cluster.client().await;
    client.query("CREATE TABLE chairs (id INT)").await.ok();
    (cluster, client)
}

cases! {
    /// A caller disconnects in an open transaction, and the next caller gets its pooled connection.
    /// 1. The first caller inserts without committing.
    /// 2. Its socket closes.
    /// 3. The transaction is rolled back before the connection is reused, so the second caller does not see
    ///    the insert and commits only its own.
    a_disconnected_caller_leaves_no_transaction {
        let (cluster, mut first) = start_with_one_connection(TrafficLimits::default()).await;
        first.query("BEGIN").await.ok();
        first.query("INSERT INTO chairs VALUES (1)").await.ok();
        drop(first);
        let mut second = cluster.client().await;
        assert_eq!(second.query("SELECT count(*) FROM chairs").await.value(), "0");
        second.query("INSERT INTO chairs VALUES (2)").await.ok();
        assert_eq!(second.query("SELECT sum(id) FROM chairs").await.value(), "2");
        assert_eq!(cluster.proxy().counter("answers.drained"), 1);
    }

    /// A caller disconnects while its response is outstanding, and another caller sends a request
    /// immediately.
    /// 1. The target's response to the first caller is held back.
    /// 2. The first caller closes its socket.
    /// 3. The response arrives late.
    /// 4. The second caller gets its own response, on the drained or on another connection.
    a_late_answer_reaches_no_other_caller {
        let limits = TrafficLimits { drain_ms: 10_000, ..TrafficLimits::default() };
        let (cluster, mut first) = start_with_one_connection(limits).await;
        first.query("SELECT 'warm'").await.ok();
        cluster.relays[0].hold_responses(true);
        first.query_and_disconnect("SELECT 'of the first'").await;
        let mut second = cluster.client().await;
        second.send("SELECT 'of the second'").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cluster.relays[0].hold_responses(false);
        let answer = second.answer().await;
        assert_eq!(answer.value(), "of the second");
        assert_eq!(answer.rows.len(), 1);
    }

    /// A statement exceeds its deadline, and its late response must not be taken for that of the next
    /// request.
    /// 1. The response is held back past the deadline.
    /// 2. The caller gets "outcome unknown" and its connection is closed.
    /// 3. The late response is drained, and the next caller gets its own.
    an_answer_after_the_deadline_reaches_nobody {
        let limits = TrafficLimits { drain_ms: 10_000, ..TrafficLimits::default() };
        let (cluster, mut first) = start_with_one_connection(limits).await;
        first.query("SET skylark.deadline_ms = 100").await.ok();
        cluster.relays[0].hold_responses(true);
        let lost = first.query("SELECT 'late'").await;
        assert_eq!(lost.error().sqlstate, "57014");
        assert_eq!(lost.error().detail, "outcome unknown");
        assert_eq!(lost.status, None);
        cluster.relays[0].hold_responses(false);
        let mut second = cluster.client().await;
        assert_eq!(second.query("SELECT 'mine'").await.value(), "mine");
        assert_eq!(cluster.proxy().counter("refused.answer_timed_out"), 1);
    }

    /// A pooled connection whose outstanding response can't be drained in time is closed instead of reused.
    a_connection_that_is_not_drained_in_time_is_closed {
        // The target still counts the closed connection for a moment and refuses the next one until then.
        let limits =
            TrafficLimits { drain_ms: 50, primary_wait_ms: 10_000, ..TrafficLimits::default() };
        let (cluster, mut first) = start_with_one_connection(limits).await;
        cluster.relays[0].hold_responses(true);
        first.query("SET skylark.deadline_ms = 50").await.ok();
        first.query("SELECT 'late'").await;
        eventually("the connection is closed", || cluster.proxy().counter("answers.cut") == 1).await;
        cluster.relays[0].hold_responses(false);
        let mut second = cluster.client().await;
        assert_eq!(second.query("SELECT 'mine'").await.value(), "mine");
    }

    /// A caller's settings of the target's parameters apply on each connection that it uses, and to no other
    /// caller.
    /// 1. The first caller sets a parameter.
    /// 2. The second caller uses the same connection and sees the default.
    /// 3. The first caller sees its own value again.
    session_settings_follow_their_caller {
        let (cluster, mut first) = start_with_one_connection(TrafficLimits::default()).await;
        let mut second = cluster.client().await;
        let default = second.query("SHOW search_path").await.value().to_owned();
        first.query("SET search_path = 'mine'").await.ok();
        assert_eq!(second.query("SHOW search_path").await.value(), default);
        assert_eq!(first.query("SHOW search_path").await.value(), "mine");
        assert_eq!(second.query("SHOW search_path").await.value(), default);
        assert!(cluster.proxy().counter("connections.reset") >= 2);
    }

    /// A cancel request affects only the request of the caller whose key it has, and no later one on the same
    /// connection.
    /// 1. The first caller's statement waits for its response; a cancel request with its key is forwarded.
    /// 2. A cancel request with the key of an idle caller or with a wrong secret is ignored.
    a_cancel_affects_only_its_own_request {
        let (cluster, mut first) = start_with_one_connection(TrafficLimits::default()).await;
        let second = cluster.client().await;
        cluster.relays[0].hold_responses(true);
        first.send("SELECT 'running'").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cancel(&cluster, second.cancel_key).await;
        cancel(&cluster, (first.cancel_key.0, first.cancel_key.1 ^ 1)).await;
        let first_proxy = &cluster.proxy();
        eventually("both cancel requests are ignored", || first_proxy.counter("cancels.ignored") == 2).await;
        cancel(&cluster, first.cancel_key).await;
        eventually("the cancel request is forwarded", || first_proxy.counter("cancels.forwarded") == 1).await;
        cluster.relays[0].hold_responses(false);
        first.answer().await;
        // The cancel may still take effect on the cancelled connection, so the next request uses another one.
        let closed = || first_proxy.counter("connections.closed") >= 1;
        eventually("the cancelled connection is closed", closed).await;
        assert_eq!(first.query("SELECT 'next'").await.value(), "next");
    }

    /// Many callers that share few connections, some of which disconnect early, each get the responses to
    /// their own requests.
    callers_get_only_their_own_answers {
        let cluster = Cluster::start_with(Setup { connections: 2, slots: 2, ..Setup::default() }).await;
        let mut callers = Vec::new();
        for caller in 0..16 {
            let address = cluster.proxy().address;
            callers.push(tokio::spawn(async move {
                let mut client = Client::connect(address, &[]).await;
                for number in 0..50 {
                    let text = format!("{caller}-{number}");
                    let answer = client.query(&format!("SELECT '{text}'")).await;
                    assert_eq!(answer.value(), text);
                    if number % 10 == caller % 10 {
                        client.query_and_disconnect("SELECT 'abandoned'").await;
                        client = Client::connect(address, &[]).await;
                    }
                }
            }));
        }
        for caller in callers {
            caller.await.expect("the caller got its own responses");
        }
    }

    /// A target closed its idle connections, and the next write must not end with "outcome unknown".
    /// 1. The pool has a connection that the target closed.
    /// 2. A caller writes.
    /// 3. The proxy detects the closed connection before it sends anything, so the write runs on a new one.
    a_connection_closed_while_idle_is_replaced {
        let (cluster, mut client) = start_with_one_connection(TrafficLimits::default()).await;
        client.query("SELECT 1").await.ok();
        cluster.relays[0].close_connections().await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        client.query("INSERT INTO chairs VALUES (1)").await.ok();
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "1");
    }
}

async fn cancel(cluster: &Cluster, cancel_key: (i32, i32)) {
    let mut client = Client::connect_raw(cluster.proxy().address).await;
    frontend::cancel_request(cancel_key.0, cancel_key.1, &mut client.output);
    client.flush().await;
}
