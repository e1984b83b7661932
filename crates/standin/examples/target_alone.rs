//! Measures a stand-in target by itself: point reads and single-row writes of stock clients, and
//! the time until a replica's notice of a write, and the rewind of a member that rejoins.
//!
//! `cargo run --release -p skylark-standin --example target_alone -- CONNECTIONS SECONDS`

use std::env;
use std::error::Error;
use std::future;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_standin::network::Network;
use skylark_standin::target::options::TargetOptions;
use skylark_standin::target::server::TargetServer;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_postgres::AsyncMessage;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

const GROUP: &str = "loans";
const ROWS: i64 = 10_000;
const COMMITS: usize = 2_000;
const REWOUND_RECORDS: u64 = 100;
const SERVER_THREADS: usize = 4;
const CLIENT_THREADS: usize = 4;

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

fn main() -> Outcome<()> {
    let mut arguments = env::args().skip(1);
    let connections: usize = arguments.next().map_or(Ok(16), |text| text.parse())?;
    let seconds: u64 = arguments.next().map_or(Ok(3), |text| text.parse())?;
    let servers = threads(SERVER_THREADS)?;
    let clients = threads(CLIENT_THREADS)?;
    let members = servers.block_on(group())?;
    let run = Duration::from_secs(seconds);
    clients.block_on(fill(&members[0]))?;
    let mut out = io::stdout();
    for (name, sql) in [
        ("point reads", "SELECT place FROM chairs WHERE id = $1"),
        ("writes", "UPDATE chairs SET place = 'depot' WHERE id = $1"),
    ] {
        let latencies_us = clients.block_on(load(&members[0], sql, connections, run))?;
        let rate = latencies_us.len() as u64 / seconds;
        report(&mut out, &format!("{name}, {rate}/s"), &latencies_us)?;
    }
    let (answers_us, notices_us) = clients.block_on(confirmations(&members, COMMITS))?;
    report(&mut out, "one write after another, answered", &answers_us)?;
    report(&mut out, "the same until a replica's notice", &notices_us)?;
    let log = members[0].target().status().log;
    let rejoin_us = clients.block_on(rejoin(&members, REWOUND_RECORDS))?;
    writeln!(out, "rewind of {REWOUND_RECORDS} records in a log of {}: {rejoin_us} us", log.index)?;
    Ok(())
}

fn threads(count: usize) -> io::Result<runtime::Runtime> {
    runtime::Builder::new_multi_thread().worker_threads(count).enable_all().build()
}

async fn group() -> Outcome<Vec<TargetServer>> {
    let network = Network::new();
    let mut members = Vec::new();
    for place in 1..=3 {
        let options = TargetOptions::new(&format!("{GROUP}-{place}"), GROUP, "zone-a");
        members.push(TargetServer::start(options, &network).await?);
    }
    let term = Term(1);
    members[0].target().raise_term(term, "example");
    members[0].target().promote(term, "example");
    for member in &members[1..] {
        member.target().follow(term, members[0].address());
    }
    Ok(members)
}

async fn client(server: &TargetServer) -> Outcome<Client> {
    let address = server.address();
    let config = format!("host={} port={} user=u dbname={GROUP}", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn fill(server: &TargetServer) -> Outcome<()> {
    let client = client(server).await?;
    client.batch_execute("CREATE TABLE chairs (id BIGINT PRIMARY KEY, place TEXT)").await?;
    let statement = client.prepare("INSERT INTO chairs VALUES ($1, 'clinic')").await?;
    for id in 0..ROWS {
        client.execute(&statement, &[&id]).await?;
    }
    Ok(())
}

/// The latencies of all statements, in microseconds.
async fn load(
    server: &TargetServer,
    sql: &'static str,
    connections: usize,
    run: Duration,
) -> Outcome<Vec<u64>> {
    let next = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        let client = client(server).await?;
        let next = Arc::clone(&next);
        tasks.spawn(async move {
            let statement = client.prepare(sql).await?;
            let end = Instant::now() + run;
            let mut latencies_us = Vec::new();
            while Instant::now() < end {
                let id = (next.fetch_add(7919, Ordering::Relaxed) % ROWS as u64) as i64;
                let start = Instant::now();
                client.query(&statement, &[&id]).await?;
                latencies_us.push(start.elapsed().as_micros() as u64);
            }
            Outcome::Ok(latencies_us)
        });
    }
    let mut all = Vec::new();
    while let Some(latencies_us) = tasks.join_next().await {
        all.extend(latencies_us??);
    }
    Ok(all)
}

/// The time from sending a write until its answer and until a replica's notice of it, each as the
/// client sees it.
async fn confirmations(members: &[TargetServer], count: usize) -> Outcome<(Vec<u64>, Vec<u64>)> {
    let client = client(&members[0]).await?;
    let statement = client.prepare("UPDATE chairs SET place = 'clinic' WHERE id = 1").await?;
    let mut notices = listen(&members[1]).await?;
    let mut answers_us = Vec::with_capacity(count);
    let mut notices_us = Vec::with_capacity(count);
    let first = members[0].target().status().log.index;
    for written in 1..=count as u64 {
        let start = Instant::now();
        client.execute(&statement, &[]).await?;
        answers_us.push(start.elapsed().as_micros() as u64);
        while notices.recv().await.is_some_and(|status| status.log.index < first + written) {}
        notices_us.push(start.elapsed().as_micros() as u64);
    }
    Ok((answers_us, notices_us))
}

/// The notices of a member's status.
async fn listen(server: &TargetServer) -> Outcome<mpsc::UnboundedReceiver<MemberStatus>> {
    let address = server.address();
    let config =
        format!("host={} port={} user=u dbname=group_control", address.ip(), address.port());
    let (client, mut connection) = tokio_postgres::connect(&config, NoTls).await?;
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Some(Ok(message)) = future::poll_fn(|cx| connection.poll_message(cx)).await {
            let AsyncMessage::Notification(notice) = message else { continue };
            let Ok(status) = serde_json::from_str(notice.payload()) else { return };
            if sender.send(status).is_err() {
                return;
            }
        }
    });
    client.simple_query("LISTEN group_status").await?;
    // The connection ends with its client, so this one stays until the program ends.
    std::mem::forget(client);
    Ok(receiver)
}

/// The time that a member takes to rejoin behind a fork `records` back, in microseconds.
async fn rejoin(members: &[TargetServer], records: u64) -> Outcome<u64> {
    let old = &members[0];
    let client = client(old).await?;
    let statement = client.prepare("UPDATE chairs SET place = 'clinic' WHERE id = 1").await?;
    let term = old.target().status().raised_term.next();
    for member in &members[1..] {
        let log = old.target().status().log;
        member.target().subscribe().wait_for(|status| status.log == log).await?;
        member.target().raise_term(term, "example");
    }
    for _ in 0..records {
        client.execute(&statement, &[]).await?;
    }
    let new = &members[1];
    new.target().promote(term, "example");
    let start = Instant::now();
    old.target().follow(term, new.address());
    let log = new.target().status().log;
    old.target().subscribe().wait_for(|status| status.applied == log).await?;
    Ok(start.elapsed().as_micros() as u64)
}

fn report(out: &mut io::Stdout, name: &str, samples_us: &[u64]) -> io::Result<()> {
    let mut sorted = samples_us.to_vec();
    sorted.sort_unstable();
    let at = |share: f64| sorted.get((sorted.len() as f64 * share) as usize).copied().unwrap_or(0);
    writeln!(out, "{name}: p50 {} us, p99 {} us", at(0.5), at(0.99))
}
