//! Pooled connections never carry one caller's work, answer or session over to another.

use std::time::Duration;

use postgres_protocol::message::frontend;
use skylark_proxy::connection::limits::TrafficLimits;
use traffic_support::Cluster;
use traffic_support::SETTLE_TIME;
use traffic_support::Setup;
use traffic_support::client::Client;
use traffic_support::eventually;

mod traffic_support;

/// A world whose targets accept one connection, so that callers follow each other on it.
async fn start_with_one_connection(limits: TrafficLimits) -> (Cluster, Client) {
    let cluster =
        Cluster::start_with(Setup { connections: 1, slots: 1, limits, ..Setup::default() }).await;
    let mut client = cluster.client().await;
    client.query("CREATE TABLE chairs (id INT)").await.ok();
    (cluster, client)
}

cases! {
    /// A caller dies in the middle of its transaction, and the next caller gets its connection.
    /// 1. The first inserts without committing. 2. Its socket closes. 3. The connection is rolled
    /// back before anybody else has it, so the second sees nothing and commits only its own work.
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

    /// A caller goes away while its answer is under way, and another one asks at once.
    /// 1. The target's answer to the first is held up. 2. The first closes its socket. 3. The answer
    /// comes late. 4. The second caller gets its own answer, on the drained or another connection.
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

    /// A statement passes its deadline, and its late answer must not meet the next request.
    /// 1. The answer is held up past the deadline. 2. The caller is told that the outcome is unknown,
    /// and its connection ends. 3. The late answer is drained; the next caller gets its own.
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

    /// A connection whose answer does not end in time is closed, not handed on.
    a_connection_that_is_not_drained_in_time_is_closed {
        // The target counts the closed connection for a moment, and tells the next one to wait.
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

    /// A caller's settings of the target's parameters follow it from connection to connection, and
    /// no other caller has them.
    /// 1. The first sets a parameter. 2. The second uses the same connection and sees the default.
    /// 3. The first sees its own value again.
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

    /// A cancel hits the request that it is meant for, and no later one on the same connection.
    /// 1. The first caller's statement waits for its answer; a cancel with its key is passed on.
    /// 2. A cancel with the key of an idle caller, or with a wrong secret, is not.
    a_cancel_hits_only_its_own_request {
        let (cluster, mut first) = start_with_one_connection(TrafficLimits::default()).await;
        let second = cluster.client().await;
        cluster.relays[0].hold_responses(true);
        first.send("SELECT 'running'").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cancel(&cluster, second.cancel_key).await;
        cancel(&cluster, (first.cancel_key.0, first.cancel_key.1 ^ 1)).await;
        let counters = &cluster.proxy();
        eventually("both are ignored", || counters.counter("cancels.ignored") == 2).await;
        cancel(&cluster, first.cancel_key).await;
        eventually("the cancel is passed on", || counters.counter("cancels.forwarded") == 1).await;
        cluster.relays[0].hold_responses(false);
        first.answer().await;
        // The cancelled connection may still be hit, so the next request has another one.
        let closed = || counters.counter("connections.closed") >= 1;
        eventually("the cancelled connection is closed", closed).await;
        assert_eq!(first.query("SELECT 'next'").await.value(), "next");
    }

    /// Many callers on few connections each get the answers to their own questions.
    answers_never_cross {
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
            caller.await.expect("the caller got its own answers");
        }
    }

    /// A target closed its idle connections; the next write meets a dead one before it is sent.
    /// 1. The pool holds a connection that the target closed. 2. A caller writes. 3. The dead
    /// connection is noticed before anything is sent, so the write runs on a new one, not "unknown".
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
