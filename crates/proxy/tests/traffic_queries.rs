//! What callers can ask: simple queries, transactions, errors, and what the proxy answers itself.

use traffic_support::World;

mod traffic_support;

cases! {
    /// A write and a read go through, and the token is reported.
    a_write_and_a_read_go_through {
        let world = World::start().await;
        let mut client = world.client().await;
        client.query("CREATE TABLE chairs (id INT, name TEXT)").await.ok();
        let written = client.query("INSERT INTO chairs VALUES (1, 'blue')").await;
        assert_eq!(written.ok().tags, ["INSERT 0 1"]);
        assert_eq!(client.token.as_deref(), Some("loans:1/3"));
        let read = client.query("SELECT name FROM chairs").await;
        assert_eq!(read.value(), "blue");
    }
}
