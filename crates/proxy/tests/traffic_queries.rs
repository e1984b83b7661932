//! The callers' interface: start-up, simple queries, transactions, errors, and the parameters that the proxy
//! answers itself.

use postgres_protocol::IsNull;
use postgres_protocol::message::frontend;
use skylark_core::log_position::LogPosition;
use traffic_support::Cluster;
use traffic_support::client::Client;

mod traffic_support;

cases! {
    /// A write and a read succeed, and the write's token is reported as a parameter.
    a_write_and_a_read_go_through {
        let cluster = Cluster::start().await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT, name TEXT)").await.ok();
        let written = client.query("INSERT INTO chairs VALUES (1, 'blue')").await;
        assert_eq!(written.ok().tags, ["INSERT 0 1"]);
        assert_eq!(client.token.as_deref(), Some("loans:1/3"));
        let read = client.query("SELECT name FROM chairs").await;
        assert_eq!(read.value(), "blue");
        assert_eq!(client.query("SHOW skylark.last_target").await.value(), "loans-1");
        assert_eq!(client.query("SHOW skylark.last_reason").await.value(), "primary");
    }

    /// A session that moves between proxies continues with the token that a connection last reported.
    /// 1. The session writes on this connection, which reports its token.
    /// 2. It writes at another proxy and sets the newer token here with SET, in a batch, or at the start-up.
    /// 3. The connection has to report the newer token too. Otherwise the session continues with the older
    ///    one, and its next read may miss the newer write.
    a_token_set_by_the_caller_is_reported {
        let cluster = Cluster::start().await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        client.query("SET skylark.token = 'loans:1/7'").await.ok();
        assert_eq!(client.token.as_deref(), Some("loans:1/7"));
        frontend::parse("", "SET skylark.token = 'loans:1/9'", [], &mut client.output).expect("a parse");
        let values: [(); 0] = [];
        let bound =
            frontend::bind("", "", [], values, |(), _| Ok(IsNull::Yes), [], &mut client.output);
        assert!(bound.is_ok(), "a bind");
        frontend::execute("", 0, &mut client.output).expect("an execute");
        frontend::sync(&mut client.output);
        client.flush().await;
        client.answer().await.ok();
        assert_eq!(client.token.as_deref(), Some("loans:1/9"));
        let startup_parameters = [("skylark.token", "loans:1/9")];
        let client = Client::connect(cluster.proxy().address, &startup_parameters).await;
        assert_eq!(client.token.as_deref(), Some("loans:1/9"));
    }

    /// A transaction keeps its connection until it ends. An error fails the transaction, and a ROLLBACK ends
    /// it.
    transactions_and_errors_pass_through {
        let cluster = Cluster::start().await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT PRIMARY KEY)").await.ok();
        assert_eq!(client.query("BEGIN").await.status, Some('T'));
        assert_eq!(client.query("INSERT INTO chairs VALUES (1)").await.ok().status, Some('T'));
        let mut other = cluster.client().await;
        assert_eq!(other.query("SELECT count(*) FROM chairs").await.value(), "0");
        let failed = client.query("INSERT INTO chairs VALUES (1)").await;
        assert_eq!((failed.error().sqlstate.as_str(), failed.status), ("23505", Some('E')));
        assert_eq!(client.query("ROLLBACK").await.ok().status, Some('I'));
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "0");
        client.query("BEGIN").await.ok();
        client.query("INSERT INTO chairs VALUES (2)").await.ok();
        assert_eq!(client.query("COMMIT").await.ok().status, Some('I'));
        assert_eq!(other.query("SELECT count(*) FROM chairs").await.value(), "1");
    }

    /// Several requests that are sent together are answered in order.
    pipelined_queries_are_answered_in_order {
        let cluster = Cluster::start().await;
        let mut client = cluster.client().await;
        for number in 0..20 {
            let sql = format!("SELECT {number}");
            postgres_protocol::message::frontend::query(&sql, &mut client.output).expect("a query");
        }
        client.flush().await;
        for number in 0..20 {
            assert_eq!(client.answer().await.value(), number.to_string());
        }
    }

    /// A large response is relayed completely.
    a_large_answer_passes_whole {
        let cluster = Cluster::start().await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE wide (id INT, text TEXT)").await.ok();
        let text = "x".repeat(100_000);
        for id in 0..30 {
            client.query(&format!("INSERT INTO wide VALUES ({id}, '{text}')")).await.ok();
        }
        let all = client.query("SELECT text FROM wide ORDER BY id").await;
        assert_eq!(all.ok().rows.len(), 30);
        assert!(all.rows.iter().all(|row| row[0].as_deref() == Some(text.as_str())));
    }

    /// A read with a declared kind goes to a replica, and the session's parameters show the target and the
    /// reason.
    declared_reads_go_to_replicas {
        let cluster = Cluster::start().await;
        let mut client = cluster.client().await;
        client.query("CREATE TABLE chairs (id INT)").await.ok();
        cluster.wait_applied_published(LogPosition::new(1, 2)).await;
        client.query("SET skylark.read_kind = 'lookup'").await.ok();
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "0");
        let served = client.query("SHOW skylark.last_target").await.value().to_owned();
        assert!(["loans-2", "loans-3"].contains(&served.as_str()), "{served}");
        assert_eq!(client.query("SHOW skylark.last_reason").await.value(), "replica");
        // A statement that writes goes to the primary, even if a read kind is set.
        client.query("INSERT INTO chairs VALUES (1)").await.ok();
        assert_eq!(client.query("SHOW skylark.last_target").await.value(), "loans-1");
        // The session sees its own write immediately, at any target.
        assert_eq!(client.query("SELECT count(*) FROM chairs").await.value(), "1");
        client.query("BEGIN READ ONLY").await.ok();
        client.query("SELECT count(*) FROM chairs").await.ok();
        client.query("COMMIT").await.ok();
        client.query("RESET skylark.read_kind").await.ok();
        client.query("SELECT 1").await.ok();
        assert_eq!(client.query("SHOW skylark.last_target").await.value(), "loans-1");
    }

    /// The proxy's parameters can be set at start-up, by the `options` parameter and by SET. The error of a
    /// rejected value says why.
    parameters_are_answered_by_the_proxy {
        let cluster = Cluster::start().await;
        let parameters = [
            ("skylark.class", "urgent"),
            ("options", "-c skylark.read_kind=lookup --skylark.session=clerk\\ 7"),
        ];
        let mut client = Client::connect(cluster.proxy().address, &parameters).await;
        assert_eq!(client.query("SHOW skylark.class").await.value(), "urgent");
        assert_eq!(client.query("show Skylark.Read_Kind;").await.value(), "lookup");
        assert_eq!(client.query("SHOW skylark.session").await.value(), "clerk 7");
        assert_eq!(client.query("SHOW skylark.vm").await.value(), "vm-0");
        assert_eq!(client.query("SHOW skylark.term").await.value(), "1");
        assert_eq!(client.query("SHOW skylark.revision").await.value(), "7");
        client.query("SET skylark.token TO 'loans:1/1,other:4/5'").await.ok();
        assert_eq!(client.query("SHOW skylark.token").await.value(), "other:4/5,loans:1/1");
        assert_eq!(client.token.as_deref(), Some("other:4/5,loans:1/1"));
        client.query("SET skylark.deadline_ms = 700").await.ok();
        assert_eq!(client.query("SHOW skylark.deadline_ms").await.value(), "700");
        for bad in [
            "SET skylark.read_kind = 'lookups'",
            "SET skylark.class = 'other'",
            "SET skylark.token = 'loans'",
            "SET skylark.deadline_ms = 'soon'",
            "SET skylark.vm = 'vm-9'",
            "SET skylark.forward = '{}'",
            "SHOW skylark.nothing",
        ] {
            let refused = client.query(bad).await;
            assert_eq!(refused.error().sqlstate, "22023", "{bad}");
            assert_eq!(refused.error().detail, "not run");
            assert_eq!(refused.status, Some('I'));
        }
        let unknown = client.query("SET skylark.read_kind = 'lookups'").await;
        assert!(unknown.error().message.contains("lookup, fresh"), "{unknown:?}");
        client.query("DISCARD ALL").await.ok();
        assert_eq!(client.query("SHOW skylark.class").await.value(), "urgent");
        assert_eq!(client.query("SHOW skylark.deadline_ms").await.value(), "");
    }

    /// COPY, function calls, and messages that mix a SET of a proxy parameter with other statements are
    /// refused as "not run".
    unsupported_features_are_refused {
        let cluster = Cluster::start().await;
        let mut client = cluster.client().await;
        for sql in ["COPY chairs FROM STDIN", "SELECT 1; COPY chairs TO STDOUT"] {
            let refused = client.query(sql).await;
            assert_eq!(refused.error().sqlstate, "0A000", "{sql}");
            assert_eq!(refused.error().detail, "not run");
        }
        let mixed = client.query("SET skylark.class = 'main'; DELETE FROM chairs").await;
        assert_eq!(mixed.error().sqlstate, "0A000");
        client.output.extend_from_slice(b"F\0\0\0\x0e\0\0\0\x01\0\0\0\0\0\0");
        client.flush().await;
        assert_eq!(client.answer().await.error().sqlstate, "0A000");
        assert_eq!(client.query("SELECT 1").await.value(), "1");
        assert_eq!(cluster.proxy().counter("refused.unsupported"), 4);
    }

    /// An invalid start-up gets an error and its connection is closed. Other callers are not affected.
    bad_startups_get_a_clear_error {
        let cluster = Cluster::start().await;
        let mut bystander = cluster.client().await;
        let address = cluster.proxy().address;
        let cases = [
            (("database", "nothing"), "3D000"),
            (("client_encoding", "LATIN1"), "22023"),
            (("replication", "true"), "0A000"),
            (("skylark.read_kind", "nothing"), "22023"),
            (("skylark.nothing", "1"), "22023"),
            (("options", "-z"), "22023"),
        ];
        for (parameter, sqlstate) in cases {
            let (_, refused) = Client::try_connect(address, &[parameter]).await;
            assert_eq!(refused.error().sqlstate, sqlstate, "{parameter:?}");
            assert_eq!(refused.status, None, "the connection is closed");
        }
        for packet in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            &[0, 0, 0, 8, 0, 2, 0, 0],
            &[0, 0, 0, 12, 0, 3, 0, 0, b'u', b's', b'e', b'r'],
            &[0, 0, 0, 3, 0, 3, 0, 0],
        ] {
            let mut client = Client::connect_raw(address).await;
            client.output.extend_from_slice(packet);
            client.flush().await;
            assert_eq!(client.answer().await.error().sqlstate, "08P01", "{packet:?}");
        }
        assert_eq!(bystander.query("SELECT 1").await.value(), "1");
    }

    /// A request for TLS is answered with `N`, and the start-up continues without encryption.
    encryption_is_declined {
        use tokio::io::AsyncReadExt;
        let cluster = Cluster::start().await;
        let mut client = Client::connect_raw(cluster.proxy().address).await;
        postgres_protocol::message::frontend::ssl_request(&mut client.output);
        client.flush().await;
        assert_eq!(client.stream.read_u8().await.expect("one byte"), b'N');
        let parameters = [("user", "desk"), ("database", "loans")];
        let startup = postgres_protocol::message::frontend::startup_message(
            parameters,
            &mut client.output,
        );
        startup.expect("no zero bytes");
        client.flush().await;
        client.answer().await.ok();
    }
}
