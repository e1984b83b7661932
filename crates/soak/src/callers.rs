//! Callers that write and read items of their own, and check what they are told.
//!
//! Each write has data that no other has, so that the log tells afterwards what became of it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

/// How long a caller waits for an answer before it gives its connection up.
const PATIENCE: Duration = Duration::from_millis(4_000);

/// The pause after a refusal or a lost connection.
const PAUSE: Duration = Duration::from_millis(50);

/// The codes that promise that nothing is kept.
const PROMISES: [&str; 6] = ["BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"];

/// What callers were told.
#[derive(Debug, Default)]
pub struct Told {
    /// The data of writes that were acknowledged.
    pub acknowledged: BTreeSet<String>,
    /// The data of writes that were said not to have run.
    pub denied: BTreeSet<String>,
    /// How many reads were answered.
    pub reads: u64,
    /// Promises that were seen broken.
    pub violations: Vec<String>,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    /// Its number, which names its item.
    pub number: usize,
    /// The proxies it may connect to.
    pub proxies: Vec<SocketAddr>,
    /// What all callers were told.
    pub told: Arc<Mutex<Told>>,
    /// Whether it goes on.
    pub goes_on: watch::Receiver<bool>,
}

/// What became of one statement.
enum Outcome {
    Done(Option<String>),
    Failed(String),
    /// No whole answer.
    Lost,
}

/// What a caller remembers of its writes.
#[derive(Debug, Default)]
struct Memory {
    /// The number of its last write.
    sequence: u64,
    /// The last write that was acknowledged.
    acknowledged: u64,
    /// Writes whose outcome is unknown. They may take effect late, after later ones.
    in_doubt: BTreeSet<u64>,
}

struct Connection {
    stream: BufReader<TcpStream>,
    /// The data of the last write that was acknowledged on it.
    floor: u64,
}

impl Caller {
    /// Writes and reads until it is told to end.
    pub async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut memory = Memory::default();
        while *self.goes_on.borrow() {
            let database = if rng.random_bool(0.5) { "primary-db" } else { "own-db" };
            let proxy = self.proxies[rng.random_range(0..self.proxies.len())];
            let Some(mut connection) = open(proxy, database).await else {
                time::sleep(PAUSE).await;
                continue;
            };
            for _ in 0..rng.random_range(1..40) {
                let went_on = match rng.random_range(0..10) {
                    0..3 => self.write(&mut connection, &mut memory).await,
                    3..5 => self.transaction(&mut connection, &mut memory).await,
                    _ => {
                        let floor = match database {
                            "primary-db" => memory.acknowledged,
                            _ => connection.floor,
                        };
                        self.read(&mut connection, floor, &memory).await
                    }
                };
                if !went_on || !*self.goes_on.borrow() {
                    break;
                }
            }
        }
    }

    fn data(&self, sequence: u64) -> String {
        format!("c{}-{sequence}", self.number)
    }

    async fn write(&self, connection: &mut Connection, memory: &mut Memory) -> bool {
        memory.sequence += 1;
        let sequence = memory.sequence;
        let (number, data) = (self.number, self.data(sequence));
        let id = format!("w{number}x{sequence}");
        let outcome = connection.run(&id, &format!("WRITE item{number} {data}")).await;
        self.account(outcome, connection, memory, true).await
    }

    async fn transaction(&self, connection: &mut Connection, memory: &mut Memory) -> bool {
        memory.sequence += 1;
        let sequence = memory.sequence;
        let (number, data) = (self.number, self.data(sequence));
        let id = format!("t{number}x{sequence}");
        if !matches!(connection.run(&id, "BEGIN").await, Outcome::Done(_)) {
            return false;
        }
        let wrote = connection.run(&id, &format!("WRITE item{number} {data}")).await;
        if !matches!(wrote, Outcome::Done(_)) {
            // Its commit was never sent, so nothing may be kept, whatever was said.
            self.told.lock().denied.insert(data);
            let ended = connection.run(&id, "ROLLBACK").await;
            return matches!(ended, Outcome::Done(_));
        }
        let outcome = connection.run(&id, "COMMIT").await;
        self.account(outcome, connection, memory, false).await
    }

    /// Writes down what a commit was told. Returns whether the connection goes on.
    async fn account(
        &self,
        outcome: Outcome,
        connection: &mut Connection,
        memory: &mut Memory,
        is_single: bool,
    ) -> bool {
        let sequence = memory.sequence;
        let data = self.data(sequence);
        match outcome {
            Outcome::Done(_) => {
                self.told.lock().acknowledged.insert(data);
                memory.acknowledged = sequence;
                connection.floor = sequence;
                true
            }
            Outcome::Failed(code) => {
                if PROMISES.contains(&code.as_str()) {
                    self.told.lock().denied.insert(data);
                } else {
                    memory.in_doubt.insert(sequence);
                }
                time::sleep(PAUSE).await;
                is_single
            }
            Outcome::Lost => {
                memory.in_doubt.insert(sequence);
                false
            }
        }
    }

    async fn read(&self, connection: &mut Connection, floor: u64, memory: &Memory) -> bool {
        let number = self.number;
        match connection.run("r", &format!("READ item{number}")).await {
            Outcome::Done(row) => {
                self.check(&row.unwrap_or_default(), floor, memory);
                true
            }
            Outcome::Failed(_) => {
                time::sleep(PAUSE).await;
                true
            }
            Outcome::Lost => false,
        }
    }

    /// A read shows the caller's own item, no older than it has to see.
    fn check(&self, row: &str, floor: u64, memory: &Memory) {
        let mut told = self.told.lock();
        told.reads += 1;
        let own = format!("c{}-", self.number);
        let seen = match row {
            "" => Some(0),
            _ => row.strip_prefix(&own).and_then(|sequence| sequence.parse::<u64>().ok()),
        };
        match seen {
            None => told.violations.push(format!("crossed: caller {} read {row}", self.number)),
            Some(seen) if seen < floor && !memory.in_doubt.contains(&seen) => {
                let number = self.number;
                told.violations.push(format!("stale: caller {number} read {seen} after {floor}"));
            }
            Some(_) => (),
        }
    }
}

async fn open(proxy: SocketAddr, database: &str) -> Option<Connection> {
    let stream = time::timeout(PATIENCE, TcpStream::connect(proxy)).await.ok()?.ok()?;
    let mut connection = Connection { stream: BufReader::new(stream), floor: 0 };
    match connection.exchange(&format!("STARTUP {database} soak")).await {
        Outcome::Done(_) => Some(connection),
        Outcome::Failed(_) | Outcome::Lost => None,
    }
}

impl Connection {
    async fn run(&mut self, id: &str, text: &str) -> Outcome {
        self.exchange(&format!("QUERY {id} {text}")).await
    }

    async fn exchange(&mut self, line: &str) -> Outcome {
        match time::timeout(PATIENCE, self.try_exchange(line)).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) | Err(_) => Outcome::Lost,
        }
    }

    async fn try_exchange(&mut self, line: &str) -> Option<Outcome> {
        self.stream.write_all(format!("{line}\r\n").as_bytes()).await.ok()?;
        let (mut row, mut code) = (None, None);
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line).await.ok()? == 0 {
                return None;
            }
            let (word, rest) = line.trim_end().split_once(' ').unwrap_or((line.trim_end(), ""));
            match word {
                "ROW" => row = Some(rest.to_owned()),
                "ERROR" => code = Some(rest.split(' ').next().unwrap_or("").to_owned()),
                "READY" => return Some(code.map_or(Outcome::Done(row), Outcome::Failed)),
                _ => (),
            }
        }
    }
}
