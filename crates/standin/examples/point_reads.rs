//! Measures a stand-in target by itself: point reads and single-row writes of stock clients, and
//! the time from a commit's answer to the replicas' notices.
//!
//! `cargo run --release -p skylark-standin --example point_reads -- CONNECTIONS SECONDS`

use std::env;
use std::error::Error;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use skylark_core::log_position::LogPosition;
use skylark_standin::network::Network;
use skylark_standin::target::Target;
use skylark_standin::target::options::TargetOptions;
use skylark_standin::target::server::TargetServer;
use tokio::runtime;
use tokio::task::JoinSet;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

const GROUP: &str = "loans";
const ROWS: i64 = 10_000;
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
        report(&mut out, name, &latencies_us, run)?;
    }
    let delays_us = clients.block_on(confirmations(&members, 2_000))?;
    report(&mut out, "commit answered to majority held", &delays_us, run)?;
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
    let term = LogPosition::new(1, 1).term;
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

/// The time from the answer of a commit until one replica, and so a majority, holds it.
async fn confirmations(members: &[TargetServer], count: usize) -> Outcome<Vec<u64>> {
    let client = client(&members[0]).await?;
    let statement = client.prepare("UPDATE chairs SET place = 'clinic' WHERE id = 1").await?;
    let replica: &Arc<Target> = members[1].target();
    let mut statuses = replica.subscribe();
    let mut delays_us = Vec::with_capacity(count);
    for _ in 0..count {
        client.execute(&statement, &[]).await?;
        let answered = Instant::now();
        let wanted = members[0].target().status().log;
        statuses.wait_for(|status| status.log >= wanted).await?;
        delays_us.push(answered.elapsed().as_micros() as u64);
    }
    Ok(delays_us)
}

fn report(out: &mut io::Stdout, name: &str, samples_us: &[u64], run: Duration) -> io::Result<()> {
    let mut sorted = samples_us.to_vec();
    sorted.sort_unstable();
    let at = |share: f64| sorted.get((sorted.len() as f64 * share) as usize).copied().unwrap_or(0);
    let rate = sorted.len() as f64 / run.as_secs_f64();
    writeln!(out, "{name}: {rate:.0}/s, p50 {} us, p99 {} us", at(0.5), at(0.99))
}
