//! Limits on callers: each has its own refusal and counter, and other callers are not affected. Also the
//! graceful stop.

use std::time::Duration;

use postgres_protocol::message::frontend;
use skylark_proxy::connection::limits::TrafficLimits;
use tokio::io::AsyncWriteExt;
use traffic_support::Cluster;
use traffic_support::SETTLE_TIME;
use traffic_support::Setup;
use traffic_support::client::Client;
use traffic_support::eventually;

mod traffic_support;

async fn start_with_limits<F>(change: F) -> Cluster
where
    F: FnOnce(&mut TrafficLimits),
{
    let mut limits = TrafficLimits::default();
    change(&mut limits);
    Cluster::start_with(Setup { limits, connections: 2, slots: 2, ..Setup::default() }).await
}

cases! {
    /// A message whose header announces more bytes than the limit is refused before its body arrives, and the
    /// connection is closed. A batch counts with the total of its messages.
    an_oversized_message_is_refused {
        let cluster = start_with_limits(|limits| limits.message_bytes = 10_000).await;
        let mut client = cluster.client().await;
        client.query(&format!("SELECT '{}'", "x".repeat(9_000))).await.ok();
        client.output.extend_from_slice(b"Q\x7f\xff\xff\xff");
        client.flush().await;
        let refused = client.answer().await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.status), ("54000", None));
        assert_eq!(refused.error().detail, "not run");
        let mut client = cluster.client().await;
        for _ in 0..20 {
            let text = format!("SELECT '{}'", "x".repeat(900));
            frontend::parse("", &text, [], &mut client.output).expect("a parse");
        }
        client.flush().await;
        assert_eq!(client.answer().await.error().sqlstate, "54000", "a batch counts as a whole");
        assert_eq!(cluster.proxy().counter("refused.message_too_large"), 2);
    }

    /// A caller that is idle in a transaction for too long is disconnected, its transaction is rolled back,
    /// and the connection to the target serves other callers.
    an_idle_transaction_is_ended {
        let cluster = start_with_limits(|limits| limits.idle_in_transaction_ms = 100).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        client.query("BEGIN").await.ok();
        client.query("INSERT INTO chairs VALUES (1)").await.ok();
        let ended = client.answer().await;
        assert_eq!((ended.error().sqlstate.as_str(), ended.status), ("25P03", None));
        assert_eq!(ended.error().detail, "not run");
        let mut other = cluster.client().await;
        assert_eq!(other.query("SELECT count(*) FROM chairs").await.value(), "0");
        assert_eq!(cluster.proxy().counter("refused.idle_in_transaction"), 1);
    }

    /// A caller that does not complete a message in time gets an error and is disconnected. A caller that is
    /// idle between messages is not.
    a_slow_sender_is_closed {
        let cluster = start_with_limits(|limits| limits.slow_sender_ms = 50).await;
        let mut idle = cluster.client().await;
        let mut client = cluster.client().await;
        client.stream.write_all(b"Q\0\0").await.expect("sent");
        let closed = client.answer().await;
        assert_eq!((closed.error().sqlstate.as_str(), closed.status), ("57014", None));
        tokio::time::sleep(SETTLE_TIME).await;
        idle.query("SELECT 1").await.ok();
        assert_eq!(cluster.proxy().counter("refused.caller_too_slow"), 1);
    }

    /// A caller that does not read its response is disconnected, and the connection to the target is freed.
    a_slow_reader_is_closed {
        let cluster = start_with_limits(|limits| limits.slow_reader_ms = 100).await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE wide (text TEXT)").await.ok();
        let text = "x".repeat(1_000_000);
        for _ in 0..30 {
            client.query(&format!("INSERT INTO wide VALUES ('{text}')")).await.ok();
        }
        client.send("SELECT text FROM wide").await;
        let counted = || cluster.proxy().counter("refused.caller_too_slow") == 1;
        eventually("the caller is disconnected", counted).await;
        let mut other = cluster.client().await;
        other.query("SELECT 1").await.ok();
    }

    /// Connections are limited for the process and for each user.
    connections_are_bounded {
        let cluster = start_with_limits(|limits| {
            limits.connections = 3;
            limits.connections_per_user = 2;
        })
        .await;
        let address = cluster.proxy().address;
        let first = cluster.client().await;
        let second = cluster.client().await;
        let (_, refused) = Client::try_connect(address, &[]).await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.status), ("53300", None));
        let third = Client::connect(address, &[("user", "depot")]).await;
        let (_, refused) = Client::try_connect(address, &[("user", "clinic")]).await;
        assert_eq!(refused.error().sqlstate, "53300");
        assert_eq!(refused.error().hint, "retry after 1000 ms");
        drop((first, second, third));
        eventually("the callers have ended", || cluster.proxy().counter("callers.ended") == 3).await;
        cluster.client().await;
        assert_eq!(cluster.proxy().counter("refused.too_many_connections"), 2);
    }

    /// Connections that don't finish their start-up are limited in number and time, and callers that have
    /// finished it are not affected.
    half_open_connections_are_bounded {
        let cluster = start_with_limits(|limits| {
            limits.half_open = 20;
            limits.startup_ms = 400;
        })
        .await;
        let address = cluster.proxy().address;
        let mut bystander = cluster.client().await;
        let mut flood = Vec::new();
        for _ in 0..60 {
            flood.push(Client::connect_raw(address).await);
        }
        let refused = || cluster.proxy().counter("refused.too_many_connections");
        eventually("the connections beyond the limit are closed", || refused() == 40).await;
        bystander.query("SELECT 1").await.ok();
        let timed_out = || cluster.proxy().counter("refused.startup_timed_out") == 20;
        eventually("the others time out", timed_out).await;
        let ended = flood[59].answer().await;
        assert_eq!(ended.error().sqlstate, "08P01");
        assert_eq!(flood[0].answer().await.types, "", "the oldest is closed without an error");
        cluster.client().await.query("SELECT 1").await.ok();
    }

    /// A flood of connections that send nothing must not block callers.
    /// 1. The flood takes all slots for connections in their start-up, and none of them has timed out yet.
    /// 2. A caller connects.
    /// 3. The oldest connection of the flood is closed to free its slot, and the caller is served.
    a_half_open_flood_does_not_block_callers {
        let cluster = start_with_limits(|limits| {
            limits.half_open = 20;
            limits.startup_ms = 60_000;
        })
        .await;
        let mut flood = Vec::new();
        for _ in 0..60 {
            flood.push(Client::connect_raw(cluster.proxy().address).await);
        }
        for _ in 0..3 {
            cluster.client().await.query("SELECT 1").await.ok();
        }
        assert_eq!(cluster.proxy().counter("refused.startup_timed_out"), 0);
    }

    /// The queue of a target is bounded: of its 8 places one class gets at most 5, and one user at most 4 of
    /// these. A request whose deadline passes in the queue is removed. Both are refused as "not run", and did
    /// not run.
    the_queue_is_bounded {
        let cluster = start_with_limits(|limits| limits.queue_length = 8).await;
        let mut holders = Vec::new();
        for _ in 0..2 {
            let mut holder = cluster.client().await;
            holder.query("BEGIN").await.ok();
            holders.push(holder);
        }
        let mut waiting = Vec::new();
        for _ in 0..4 {
            let mut client = cluster.client().await;
            client.send("SELECT 1").await;
            waiting.push(client);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let refused = cluster.client().await.query("SELECT 1").await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.error().detail.as_str()),
            ("53000", "not run"));
        assert!(refused.error().hint.starts_with("retry after"), "{refused:?}");
        for holder in &mut holders {
            holder.query("COMMIT").await.ok();
        }
        for mut client in waiting {
            assert_eq!(client.answer().await.value(), "1");
        }
        for holder in &mut holders {
            holder.query("BEGIN").await.ok();
        }
        let mut late = cluster.client().await;
        late.query("SET skylark.deadline_ms = 100").await.ok();
        let refused = late.query("SELECT 1").await;
        assert_eq!(refused.error().detail, "not run");
        assert_eq!(refused.error().sqlstate, "53000");
        assert_eq!(refused.status, Some('I'));
    }

    /// The process stops while one caller is idle, one has an open transaction and one waits for a statement.
    /// 1. The idle caller gets an error that asks it to reconnect.
    /// 2. The transaction continues to its COMMIT, and the statement to its response; both complete.
    /// 3. New callers are refused because the process is stopping.
    a_stop_interrupts_no_request {
        let cluster = start_with_limits(|_| ()).await;
        let mut idle = cluster.client().await;
        let mut open = cluster.client().await;
        let mut running = cluster.client().await;
        open.query("CREATE TABLE chairs (id INT)").await.ok();
        open.query("BEGIN").await.ok();
        cluster.relays[0].hold_responses(true);
        running.send("INSERT INTO chairs VALUES (1)").await;
        tokio::time::sleep(SETTLE_TIME).await;
        cluster.proxy().publish(|published| published.stopping = true);
        let notice = idle.answer().await;
        assert_eq!((notice.error().sqlstate.as_str(), notice.status), ("57P01", None));
        assert_eq!(notice.error().detail, "not run");
        let (_, refused) = Client::try_connect(cluster.proxy().address, &[]).await;
        assert_eq!(refused.error().sqlstate, "57P01");
        assert!(!cluster.proxy().server_task.is_finished());
        cluster.relays[0].hold_responses(false);
        running.answer().await.ok();
        assert_eq!(running.answer().await.error().sqlstate, "57P01");
        open.query("INSERT INTO chairs VALUES (2)").await.ok();
        open.query("COMMIT").await.ok();
        assert_eq!(open.answer().await.error().sqlstate, "57P01");
        eventually("the process ends", || cluster.proxy().server_task.is_finished()).await;
    }

    /// A transaction that is open at the end of the grace period does not keep the process from stopping.
    a_stop_ends_open_transactions_after_the_grace_period {
        let cluster = start_with_limits(|limits| limits.stop_grace_ms = 100).await;
        let mut open = cluster.client().await;
        open.query("BEGIN").await.ok();
        cluster.proxy().publish(|published| published.stopping = true);
        eventually("the process ends", || cluster.proxy().server_task.is_finished()).await;
    }
}
