//! The extended query protocol: prepared statements survive a change of pooled connection, and batches are
//! answered in order even if the proxy adds or omits messages on the way to the target.

use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;
use skylark_core::log_position::LogPosition;
use skylark_proxy::connection::limits::TrafficLimits;
use skylark_standin::target::options::Lag;
use tokio_postgres::NoTls;
use traffic_support::Cluster;
use traffic_support::GROUP;
use traffic_support::Setup;
use traffic_support::client::Answer;
use traffic_support::client::Client;

mod traffic_support;

async fn connect_tokio_postgres(cluster: &Cluster) -> tokio_postgres::Client {
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(cluster.proxy().address.port()).user("desk").dbname(GROUP);
    let (client, connection) = config.connect(NoTls).await.expect("the client connects");
    tokio::spawn(connection);
    client
}

async fn start_with_connections(connections: u32, limits: TrafficLimits) -> Cluster {
    let cluster =
        Cluster::start_with(Setup { connections, slots: 2, limits, ..Setup::default() }).await;
    let mut client = cluster.client().await;
    client.query("CREATE TABLE chairs (id INT, name TEXT)").await.ok();
    cluster.wait_applied_published(LogPosition::new(1, 2)).await;
    cluster
}

fn parse(client: &mut Client, name: &str, sql: &str) {
    frontend::parse(name, sql, [], &mut client.output).expect("a parse");
}

fn bind_text(client: &mut Client, portal: &str, statement: &str, value: Option<&str>) {
    let bound = frontend::bind(
        portal,
        statement,
        [],
        value,
        |value, out| {
            out.extend_from_slice(value.as_bytes());
            Ok(IsNull::No)
        },
        [],
        &mut client.output,
    );
    assert!(bound.is_ok(), "a bind");
}

fn execute(client: &mut Client, portal: &str) {
    frontend::execute(portal, 0, &mut client.output).expect("an execute");
}

async fn sync(client: &mut Client) -> Answer {
    frontend::sync(&mut client.output);
    client.flush().await;
    client.answer().await
}

async fn run(client: &mut Client, statement: &str, value: Option<&str>) -> Answer {
    bind_text(client, "", statement, value);
    execute(client, "");
    sync(client).await
}

cases! {
    /// Clients of a standard library prepare statements, bind binary parameters and use transactions. More
    /// callers than connections use the same statements.
    tokio_postgres_clients_share_few_connections {
        let cluster = start_with_connections(2, TrafficLimits::default()).await;
        let mut callers = Vec::new();
        for caller in 0..8_i32 {
            let mut client = connect_tokio_postgres(&cluster).await;
            callers.push(tokio::spawn(async move {
                let insert = "INSERT INTO chairs VALUES ($1, $2)";
                let insert = client.prepare(insert).await.expect("prepares");
                let select = "SELECT name FROM chairs WHERE id = $1";
                let select = client.prepare(select).await.expect("prepares");
                for number in 0..10 {
                    let id = caller * 100 + number;
                    let name = format!("chair {id}");
                    let transaction = client.transaction().await.expect("begins");
                    let inserted = transaction.execute(&insert, &[&id, &name]).await;
                    assert_eq!(inserted.expect("inserts"), 1);
                    transaction.commit().await.expect("commits");
                    let row = client.query_one(&select, &[&id]).await.expect("selects");
                    assert_eq!(row.get::<_, String>(0), name);
                }
                let failed = client.query("SELECT * FROM nothing", &[]).await;
                assert!(failed.expect_err("no table").code().is_some());
                let transaction = client.transaction().await.expect("begins");
                transaction.execute(&insert, &[&-1, &"gone"]).await.expect("inserts");
                transaction.rollback().await.expect("rolls back");
            }));
        }
        for caller in callers {
            caller.await.expect("the caller ends well");
        }
        let client = connect_tokio_postgres(&cluster).await;
        let row = client.query_one("SELECT count(*) FROM chairs", &[]).await.expect("counts");
        assert_eq!(row.get::<_, i64>(0), 80);
    }

    /// A caller's prepared statement works on a connection on which it was not prepared.
    /// 1. The caller prepares a statement on the only connection.
    /// 2. The connection is closed.
    /// 3. The next Bind goes to a new connection, on which the proxy first prepares the statement. The caller
    ///    sees only the responses to its own messages.
    a_statement_survives_its_connection {
        let cluster = start_with_connections(1, TrafficLimits::default()).await;
        let mut client = cluster.client().await;
        parse(&mut client, "pick", "SELECT $1::text");
        assert_eq!(sync(&mut client).await.ok().types, "1Z");
        cluster.relays[0].close_connections().await;
        let answer = run(&mut client, "pick", Some("a")).await;
        assert_eq!((answer.value(), answer.types.as_str()), ("a", "2DCZ"));
        assert_eq!(run(&mut client, "pick", Some("b")).await.value(), "b");
        assert_eq!(cluster.proxy().counter("statements.prepared_again"), 1);
    }

    /// Statement names are local to a caller: two callers use one name for different statements, and two
    /// names for the same statement.
    statement_names_are_local_to_a_caller {
        let cluster = start_with_connections(1, TrafficLimits::default()).await;
        let mut first = cluster.client().await;
        let mut second = cluster.client().await;
        parse(&mut first, "s", "SELECT 'first'");
        sync(&mut first).await.ok();
        parse(&mut second, "s", "SELECT 'second'");
        parse(&mut second, "t", "SELECT 'first'");
        assert_eq!(sync(&mut second).await.ok().types, "11Z");
        assert_eq!(run(&mut first, "s", None).await.value(), "first");
        assert_eq!(run(&mut second, "s", None).await.value(), "second");
        assert_eq!(run(&mut second, "t", None).await.value(), "first");
        frontend::close(b'S', "s", &mut second.output).expect("a close");
        assert_eq!(sync(&mut second).await.ok().types, "3Z");
        assert_eq!(run(&mut second, "s", None).await.error().sqlstate, "26000");
        assert_eq!(run(&mut first, "s", None).await.value(), "first");
        first.query("DEALLOCATE ALL").await.ok();
        assert_eq!(run(&mut first, "s", None).await.error().sqlstate, "26000");
    }

    /// A caller's unnamed statement lasts until its next unnamed Parse, even if another caller prepares its
    /// own on the same connection in between.
    the_unnamed_statement_survives_other_callers {
        let cluster = start_with_connections(1, TrafficLimits::default()).await;
        let mut client = cluster.client().await;
        parse(&mut client, "", "SELECT $1::text");
        frontend::describe(b'S', "", &mut client.output).expect("a describe");
        assert_eq!(sync(&mut client).await.ok().types, "1tTZ");
        let mut other = cluster.client().await;
        parse(&mut other, "", "SELECT 'other'");
        assert_eq!(sync(&mut other).await.ok().types, "1Z");
        let answer = run(&mut client, "", Some("mine")).await;
        assert_eq!((answer.value(), answer.types.as_str()), ("mine", "2DCZ"));
        assert_eq!(run(&mut other, "", None).await.value(), "other");
    }

    /// The number of prepared statements on a connection is bounded; the proxy closes the oldest one without
    /// the caller noticing. The number per caller is bounded too, and exceeding it is refused.
    statements_on_a_connection_are_bounded {
        let limits = TrafficLimits {
            prepared_per_connection: 4,
            prepared_per_caller: 20,
            ..TrafficLimits::default()
        };
        let cluster = start_with_connections(1, limits).await;
        let mut client = cluster.client().await;
        for round in 0..3 {
            for number in 0..20 {
                let name = format!("s{number}");
                if round == 0 {
                    parse(&mut client, &name, &format!("SELECT '{number}'"));
                }
                bind_text(&mut client, "", &name, None);
                execute(&mut client, "");
                let answer = sync(&mut client).await;
                assert_eq!(answer.value(), number.to_string());
                assert_eq!(answer.types, if round == 0 { "12DCZ" } else { "2DCZ" });
            }
        }
        parse(&mut client, "one too many", "SELECT 1");
        let refused = sync(&mut client).await;
        assert_eq!((refused.error().sqlstate.as_str(), refused.status), ("0A000", Some('I')));
    }

    /// An error in a batch skips its remaining messages, and the statements in them are not prepared.
    an_error_skips_the_rest_of_the_batch {
        let cluster = start_with_connections(1, TrafficLimits::default()).await;
        let mut client = cluster.client().await;
        parse(&mut client, "bad", "SELECT FROM WHERE");
        parse(&mut client, "good", "SELECT 'good'");
        bind_text(&mut client, "", "good", None);
        execute(&mut client, "");
        let answer = sync(&mut client).await;
        assert_eq!((answer.types.as_str(), answer.status), ("EZ", Some('I')));
        parse(&mut client, "good", "SELECT 'good'");
        sync(&mut client).await.ok();
        assert_eq!(run(&mut client, "good", None).await.value(), "good");
        // Repeats the check with messages that are flushed one by one.
        parse(&mut client, "worse", "SELECT FROM WHERE");
        frontend::flush(&mut client.output);
        client.flush().await;
        assert_eq!(client.answer_until('E').await.types, "E");
        bind_text(&mut client, "", "good", None);
        execute(&mut client, "");
        assert_eq!(sync(&mut client).await.types, "Z");
        assert_eq!(run(&mut client, "good", None).await.value(), "good");
    }

    /// Flushed messages are answered before the Sync, and run on one connection in one transaction.
    flushed_messages_are_answered_at_once {
        let cluster = start_with_connections(2, TrafficLimits::default()).await;
        let mut client = cluster.client().await;
        parse(&mut client, "put", "INSERT INTO chairs VALUES (1, $1)");
        frontend::flush(&mut client.output);
        client.flush().await;
        assert_eq!(client.answer_until('1').await.types, "1");
        bind_text(&mut client, "p", "put", Some("x"));
        execute(&mut client, "p");
        frontend::flush(&mut client.output);
        client.flush().await;
        assert_eq!(client.answer_until('C').await.types, "2C");
        let mut other = cluster.client().await;
        assert_eq!(other.query("SELECT count(*) FROM chairs").await.value(), "0");
        sync(&mut client).await.ok();
        assert_eq!(other.query("SELECT count(*) FROM chairs").await.value(), "1");
    }

    /// A batch outside a transaction commits at its Sync, and its success is held back until it is confirmed.
    /// 1. No replica receives records.
    /// 2. The CommandComplete of both inserts arrives before the commit's position.
    /// 3. The caller sees no success, and "outcome unknown" at the end.
    a_batch_is_held_back_until_confirmed {
        let limits = TrafficLimits { confirm_ms: 100, ..TrafficLimits::default() };
        let cluster = start_with_connections(1, limits).await;
        for replica in &cluster.targets[1..] {
            replica.target().set_lag(Lag { hold_us: 3_600_000_000, apply_us: 0 });
        }
        cluster.relays[0].split_commits();
        let mut client = cluster.client().await;
        parse(&mut client, "", "INSERT INTO chairs VALUES (1, 'x')");
        bind_text(&mut client, "", "", None);
        execute(&mut client, "");
        let lost = run(&mut client, "", None).await;
        assert_eq!((lost.tags.len(), lost.status), (0, None));
        assert_eq!(lost.error().detail, "outcome unknown");
    }

    /// Statements that the proxy answers itself also work in batches, mixed with statements that a target
    /// answers.
    parameters_work_in_batches {
        let cluster = start_with_connections(1, TrafficLimits::default()).await;
        let client = connect_tokio_postgres(&cluster).await;
        client.execute("SET skylark.read_kind = 'lookup'", &[]).await.expect("sets");
        let row = client.query_one("SHOW skylark.read_kind", &[]).await.expect("shows");
        assert_eq!(row.get::<_, String>(0), "lookup");
        let bad = client.execute("SET skylark.read_kind = 'other'", &[]).await;
        assert_eq!(bad.expect_err("refused").code().expect("a code").code(), "22023");
        let row = client.query_one("SELECT count(*) FROM chairs", &[]).await.expect("counts");
        assert_eq!(row.get::<_, i64>(0), 0);
        let row = client.query_one("SHOW skylark.last_target", &[]).await.expect("shows");
        assert_ne!(row.get::<_, String>(0), "loans-1", "the declared read goes to a replica");
        let copy = client.execute("COPY chairs FROM STDIN", &[]).await;
        assert_eq!(copy.expect_err("refused").code().expect("a code").code(), "0A000");
        let mut raw = cluster.client().await;
        parse(&mut raw, "vm", "SHOW skylark.vm");
        bind_text(&mut raw, "", "vm", None);
        execute(&mut raw, "");
        parse(&mut raw, "", "SELECT 'target'");
        bind_text(&mut raw, "", "", None);
        execute(&mut raw, "");
        let answer = sync(&mut raw).await;
        assert_eq!(answer.rows, [[Some("vm-0".to_owned())], [Some("target".to_owned())]]);
        assert_eq!(answer.types, "12DC12DCZ");
    }

    /// The statements of a forwarded batch are prepared on the home's connection to the target.
    batches_are_forwarded {
        let setup = Setup { homes: vec![vec![], vec![0, 1, 2]], connections: 2, ..Setup::default() };
        let cluster = Cluster::start_with(setup).await;
        cluster.client().await.query("CREATE TABLE chairs (id INT, name TEXT)").await.ok();
        let mut client = connect_tokio_postgres(&cluster).await;
        let insert = client.prepare("INSERT INTO chairs VALUES ($1, $2)").await.expect("prepares");
        for id in 0..5_i32 {
            client.execute(&insert, &[&id, &"x"]).await.expect("inserts");
        }
        let transaction = client.transaction().await.expect("begins");
        transaction.execute(&insert, &[&5, &"x"]).await.expect("inserts");
        transaction.commit().await.expect("commits");
        let row = client.query_one("SELECT count(*) FROM chairs", &[]).await.expect("counts");
        assert_eq!(row.get::<_, i64>(0), 6);
    }

    /// A large batch whose responses exceed all buffers does not deadlock, because the proxy reads the
    /// target's responses while it still sends the rest of the batch.
    a_large_batch_does_not_deadlock {
        let cluster = start_with_connections(1, TrafficLimits::default()).await;
        let mut client = cluster.client().await;
        let text = "x".repeat(20_000);
        for _ in 0..400 {
            parse(&mut client, "", "SELECT $1::text");
            bind_text(&mut client, "", "", Some(&text));
            execute(&mut client, "");
        }
        frontend::sync(&mut client.output);
        let output = client.output.split();
        let (mut read, mut write) = client.stream.into_split();
        let sending = tokio::spawn(async move {
            tokio::io::AsyncWriteExt::write_all(&mut write, &output).await.expect("sent");
            write
        });
        let mut received = 0;
        let mut buffer = vec![0; 1 << 16];
        while received < 400 * 20_000 {
            let read = tokio::io::AsyncReadExt::read(&mut read, &mut buffer).await.expect("read");
            assert!(read > 0, "the response is complete");
            received += read;
        }
        sending.await.expect("all was sent");
    }
}
