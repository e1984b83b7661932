//! Acknowledgement of commits only after a majority has confirmed them, and read-your-writes consistency of
//! sessions.

use std::time::Duration;

use skylark_core::log_position::LogPosition;
use skylark_proxy::connection::limits::TrafficLimits;
use skylark_standin::target::options::Lag;
use traffic_support::Cluster;
use traffic_support::SETTLE_TIME;
use traffic_support::Setup;
use traffic_support::client::Client;

mod traffic_support;

/// A replication lag of one hour, so that no record is replicated within a test.
const REPLICATION_STOPPED: Lag = Lag { hold_us: 3_600_000_000, apply_us: 0 };

async fn start_with_table(limits: TrafficLimits) -> (Cluster, Client) {
    let cluster = Cluster::start_with(Setup { limits, ..Setup::default() }).await;
    let mut client = cluster.client().await;
    client.query("CREATE TABLE chairs (id INT)").await.ok();
    for index in 0..3 {
        cluster.wait_applied(index, LogPosition::new(1, 2)).await;
    }
    (cluster, client)
}

fn stop_replication(cluster: &Cluster) {
    for replica in &cluster.targets[1..] {
        replica.target().set_lag(REPLICATION_STOPPED);
    }
}

cases! {
    /// A caller commits while no replica receives records, and must not see a success.
    /// 1. The primary runs and commits the write.
    /// 2. No majority confirms it before the timeout.
    /// 3. The caller gets "outcome unknown" and its connection is closed, since the commit may still be
    ///    durable.
    a_commit_without_confirmation_ends_unknown {
        let limits = TrafficLimits { confirm_ms: 100, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        stop_replication(&cluster);
        let lost = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!(lost.tags, [""; 0], "no success is reported");
        assert_eq!(lost.error().sqlstate, "08007");
        assert_eq!(lost.error().detail, "outcome unknown");
        assert_eq!(lost.error().severity, "FATAL");
        assert_eq!(lost.status, None);
        assert_eq!(cluster.proxy().counter("refused.not_confirmed"), 1);
        assert_eq!(cluster.proxy().counter("writes.acknowledged"), 1, "only the table's creation");
    }

    /// The target reports a commit at a position that can't be parsed.
    /// 1. The primary commits.
    /// 2. Without the position, the proxy can't tell whether the commit is confirmed.
    /// 3. The caller gets "outcome unknown": after a success, the next primary might lack the write.
    a_commit_at_an_unreadable_position_ends_unknown {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        cluster.relays[0].garble_commits();
        let lost = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!(lost.tags, [""; 0], "no success is reported");
        assert_eq!((lost.error().sqlstate.as_str(), lost.status), ("08007", None));
        assert_eq!(lost.error().detail, "outcome unknown");
    }

    /// An unconfirmed commit also ends with "outcome unknown" if it is the COMMIT of a transaction or belongs
    /// to several statements in one message.
    explicit_commits_are_held_back_too {
        let limits = TrafficLimits { confirm_ms: 100, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        stop_replication(&cluster);
        client.query("BEGIN").await.ok();
        client.query("INSERT INTO chairs VALUES (1)").await.ok();
        let lost = client.query("COMMIT").await;
        assert_eq!((lost.tags.len(), lost.error().detail.as_str()), (0, "outcome unknown"));
        let mut client = cluster.client().await;
        let lost = client.query("INSERT INTO chairs VALUES (2); INSERT INTO chairs VALUES (3)").await;
        assert_eq!((lost.status, lost.error().detail.as_str()), (None, "outcome unknown"));
    }

    /// The success is sent once a majority has the record, and not before.
    a_success_waits_for_the_majority {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        stop_replication(&cluster);
        client.send("INSERT INTO chairs VALUES (1)").await;
        let early = tokio::time::timeout(SETTLE_TIME, client.answer()).await;
        assert!(early.is_err(), "answered before the confirmation: {early:?}");
        cluster.targets[1].target().set_lag(Lag::default());
        client.answer().await.ok();
    }

    /// A position of a newer term is confirmed while a commit of the old term waits.
    /// 1. The old primary commits in term 1.
    /// 2. The others elect a primary in term 2, whose first record has the same index.
    /// 3. Its confirmation does not cover the old record, so the caller gets "outcome unknown" immediately.
    a_confirmation_of_another_term_does_not_count {
        let limits = TrafficLimits { confirm_ms: 60_000, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        stop_replication(&cluster);
        client.send("INSERT INTO chairs VALUES (1)").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cluster.proxy().live.confirmed.send_replace(LogPosition::new(2, 3));
        let lost = client.answer().await;
        assert_eq!(lost.error().detail, "outcome unknown");
    }

    /// While a group's confirmations are stalled, its writes are refused before they run and its reads are
    /// served.
    a_stalled_group_refuses_writes_as_not_run {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        cluster.proxy().publish(|published| published.groups[0].stalled = true);
        for sql in ["INSERT INTO chairs VALUES (1)", "BEGIN"] {
            let refused = client.query(sql).await;
            assert_eq!(refused.error().sqlstate, "57P03", "{sql}");
            assert_eq!(refused.error().detail, "not run");
            assert_eq!(refused.error().hint, "retry after 500 ms");
            assert_eq!(refused.status, Some('I'));
        }
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "0");
        assert_eq!(cluster.proxy().counter("refused.confirmations_stalled"), 2);
    }

    /// A planned change of primary delays writes. If it takes longer than the limit, they are refused as "not
    /// run".
    a_planned_move_delays_writes {
        let limits = TrafficLimits { primary_wait_ms: 100, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        cluster.proxy().publish(|published| published.groups[0].moving = true);
        let refused = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("57P03", "not run"));
        assert_eq!(cluster.proxy().counter("refused.primary_moving"), 1);
        cluster.proxy().publish(|published| published.groups[0].moving = false);
        client.query("INSERT INTO chairs VALUES (1)").await.ok();
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "1");
    }

    /// A session that wrote in term 2 reads through a proxy that still believes in the primary of term 1.
    /// 1. The old primary is partitioned and still answers reads.
    /// 2. It lacks the session's write.
    /// 3. The read is refused as "not run", whether its floor comes from a token or from the session's
    ///    identity. A session without writes is served.
    an_old_primary_does_not_serve_a_newer_session {
        let limits = TrafficLimits { floor_wait_ms: 50, ..TrafficLimits::default() };
        let (cluster, mut client) = start_with_table(limits).await;
        client.query("SELECT 1").await.ok();
        client.query("SET skylark.token = 'loans:2/9'").await.ok();
        let refused = client.query("SELECT count(*) FROM chairs").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("57P03", "not run"));
        cluster.floors.lock().insert("clerk".to_owned(), LogPosition::new(2, 9));
        let mut roaming = cluster.client().await;
        roaming.query("SET skylark.session = 'clerk'").await.ok();
        let refused = roaming.query("SELECT count(*) FROM chairs").await;
        assert_eq!(refused.error().detail, "not run");
        assert_eq!(cluster.proxy().counter("refused.floor_unreachable"), 2);
        assert_eq!(cluster.client().await.query("SELECT count(*) FROM chairs").await.value(), "0");
    }

    /// A session without a token writes on one connection and immediately reads on another.
    /// 1. The write's position is recorded under the session's identity before its success is sent.
    /// 2. The replica that receives records applies them late.
    /// 3. The read waits for it or goes to the primary, and sees the write.
    a_session_with_an_identity_sees_its_writes_elsewhere {
        let (cluster, mut writer) = start_with_table(TrafficLimits::default()).await;
        cluster.targets[1].target().set_lag(Lag { hold_us: 0, apply_us: 200_000 });
        cluster.targets[2].target().set_lag(REPLICATION_STOPPED);
        let mut reader = cluster.client().await;
        for client in [&mut writer, &mut reader] {
            client.query("SET skylark.session = 'clerk'").await.ok();
        }
        reader.query("SET skylark.read_kind = 'lookup'").await.ok();
        for count in 1..4 {
            writer.query("INSERT INTO chairs VALUES (1)").await.ok();
            let read = reader.query("SELECT count(*) FROM chairs").await;
            assert_eq!(read.value(), count.to_string());
        }
        assert_eq!(cluster.floors.lock()["clerk"], LogPosition::new(1, 5));
    }

    /// A read with a staleness bound goes to the primary if the age of no replica is known. If the primary's
    /// is unknown too, the read is refused as "not run".
    a_read_without_a_member_of_known_age_is_refused {
        let (cluster, mut client) = start_with_table(TrafficLimits::default()).await;
        client.query("SET skylark.read_kind = 'fresh'").await.ok();
        client.query("SET skylark.deadline_ms = 400").await.ok();
        client.query("SELECT 1").await.ok();
        cluster.proxy().muted.lock().extend([1, 2]);
        tokio::time::sleep(Duration::from_millis(150)).await;
        client.query("SELECT 1").await.ok();
        assert_eq!(client.query("SHOW skylark.last_target").await.value(), "loans-1");
        cluster.proxy().muted.lock().insert(0);
        tokio::time::sleep(Duration::from_millis(150)).await;
        let refused = client.query("SELECT 1").await;
        assert_eq!(refused.error().detail, "not run");
        assert_eq!(refused.error().sqlstate, "57P03");
    }

    /// The group's confirmations stall while a write is queued.
    /// 1. A transaction uses the only connection.
    /// 2. The write is queued.
    /// 3. The confirmations stall.
    /// 4. The write leaves the queue and is refused as "not run": if it were sent, its outcome would be
    ///    unknown.
    a_queued_write_is_checked_again {
        let cluster = Cluster::start_with(Setup { connections: 1, slots: 1, ..Setup::default() }).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        client.query("BEGIN").await.ok();
        let mut waiting = cluster.client().await;
        waiting.send("INSERT INTO chairs VALUES (1)").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cluster.proxy().publish(|published| published.groups[0].stalled = true);
        client.query("ROLLBACK").await.ok();
        let refused = waiting.answer().await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("57P03", "not run"));
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "0");
    }
}
