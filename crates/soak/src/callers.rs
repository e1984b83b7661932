//! Callers that write and read items of their own, and check what they are told.
//!
//! Each write has data that no other has, so that the log tells afterwards what became of it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use skylark_platform::lines::Lines;
use skylark_proxy::sessions::codec::Codec;
use skylark_proxy::sessions::codec::Query;
use skylark_proxy::sessions::codec::TargetMessage;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::organisations::Organisations;

/// How long a caller waits for an answer before it gives its connection up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The pause after a refusal or a lost connection.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What a proxy says to an unknown key.
const DENIED: &[u8] = b"DENIED";

/// What callers present as a key where there are no organisations.
const NO_KEY: &str = "soak";

/// The largest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The errors that promise that nothing is kept.
const NOT_APPLIED_ERRORS: [TargetError; 6] = [
    TargetError::Busy,
    TargetError::Aborted,
    TargetError::Lagging,
    TargetError::ReadOnly,
    TargetError::Misrouted,
    TargetError::TooManyConnections,
];

/// What callers were told.
#[derive(Debug, Default)]
pub struct Observations {
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
    pub observations: Arc<Mutex<Observations>>,
    /// Whose keys they use, if there are organisations.
    pub organisations: Option<Arc<Organisations>>,
    /// Whether it goes on.
    pub is_running: watch::Receiver<bool>,
}

/// What became of one statement.
enum Outcome {
    Done(Option<String>),
    Failed(TargetError),
    /// No whole answer.
    Lost,
}

/// What a caller remembers of its writes.
#[derive(Debug, Default)]
struct CallerState {
    /// The number of its last write.
    sequence: u64,
    /// The last write that was acknowledged.
    acknowledged: u64,
    /// How many reads were sent.
    reads: u64,
    /// Writes whose outcome is unknown. They may take effect late, after later ones.
    in_doubt: BTreeSet<u64>,
}

struct Connection {
    stream: TcpStream,
    input: BytesMut,
    /// The data of the last write that was acknowledged on it.
    floor: u64,
}

impl Caller {
    /// Writes and reads until it is told to end.
    pub async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut state = CallerState::default();
        while *self.is_running.borrow() {
            let database = if rng.random_bool(0.5) { "primary-db" } else { "own-db" };
            let proxy = self.proxies[rng.random_range(0..self.proxies.len())];
            let key = match &self.organisations {
                Some(organisations) => organisations.key_of(self.number),
                None => NO_KEY.to_owned(),
            };
            let Some(mut connection) = open(proxy, database, &key).await else {
                time::sleep(RETRY_PAUSE).await;
                continue;
            };
            for _ in 0..rng.random_range(1..40) {
                let is_usable = match rng.random_range(0..10) {
                    0..3 => self.write(&mut connection, &mut state).await,
                    3..5 => self.transaction(&mut connection, &mut state).await,
                    _ => {
                        let floor = match database {
                            "primary-db" => state.acknowledged,
                            _ => connection.floor,
                        };
                        self.read(&mut connection, floor, &mut state).await
                    }
                };
                if !is_usable || !*self.is_running.borrow() {
                    break;
                }
            }
        }
    }

    fn data(&self, sequence: u64) -> String {
        format!("c{}-{sequence}", self.number)
    }

    async fn write(&self, connection: &mut Connection, state: &mut CallerState) -> bool {
        state.sequence += 1;
        let sequence = state.sequence;
        let (number, data) = (self.number, self.data(sequence));
        let arguments = format!("item{number} {data}");
        let id = format!("w{number}x{sequence}");
        let outcome = connection.run(&id, Statement::Write { arguments: &arguments }).await;
        self.record_outcome(outcome, connection, state, true).await
    }

    async fn transaction(&self, connection: &mut Connection, state: &mut CallerState) -> bool {
        state.sequence += 1;
        let sequence = state.sequence;
        let (number, data) = (self.number, self.data(sequence));
        let arguments = format!("item{number} {data}");
        let id = format!("t{number}x{sequence}");
        if !matches!(
            connection.run(&id, Statement::Begin { read_only: false }).await,
            Outcome::Done(_)
        ) {
            return false;
        }
        let wrote = connection.run(&id, Statement::Write { arguments: &arguments }).await;
        if !matches!(wrote, Outcome::Done(_)) {
            // Its commit was never sent, so nothing may be kept, whatever was said.
            self.observations.lock().denied.insert(data);
            let ended = connection.run(&id, Statement::Rollback).await;
            return matches!(ended, Outcome::Done(_));
        }
        let outcome = connection.run(&id, Statement::Commit).await;
        self.record_outcome(outcome, connection, state, false).await
    }

    /// Writes down what a commit was told. Returns whether the connection goes on.
    async fn record_outcome(
        &self,
        outcome: Outcome,
        connection: &mut Connection,
        state: &mut CallerState,
        is_autocommit: bool,
    ) -> bool {
        let sequence = state.sequence;
        let data = self.data(sequence);
        match outcome {
            Outcome::Done(_) => {
                self.observations.lock().acknowledged.insert(data);
                state.acknowledged = sequence;
                connection.floor = sequence;
                true
            }
            Outcome::Failed(error) => {
                if NOT_APPLIED_ERRORS.contains(&error) {
                    self.observations.lock().denied.insert(data);
                } else {
                    state.in_doubt.insert(sequence);
                }
                time::sleep(RETRY_PAUSE).await;
                is_autocommit
            }
            Outcome::Lost => {
                state.in_doubt.insert(sequence);
                false
            }
        }
    }

    async fn read(&self, connection: &mut Connection, floor: u64, state: &mut CallerState) -> bool {
        state.reads += 1;
        let item = format!("item{}", self.number);
        let id = format!("r{}x{}", self.number, state.reads);
        match connection.run(&id, Statement::Read { item: &item }).await {
            Outcome::Done(row) => {
                self.check(&row.unwrap_or_default(), floor, state);
                true
            }
            Outcome::Failed(_) => {
                time::sleep(RETRY_PAUSE).await;
                true
            }
            Outcome::Lost => false,
        }
    }

    /// A read shows the caller's own item, no older than it has to see.
    fn check(&self, row: &str, floor: u64, state: &CallerState) {
        let mut observations = self.observations.lock();
        observations.reads += 1;
        let prefix = format!("c{}-", self.number);
        let seen = match row {
            "" => Some(0),
            _ => row.strip_prefix(&prefix).and_then(|sequence| sequence.parse::<u64>().ok()),
        };
        match seen {
            None => {
                observations.violations.push(format!("crossed: caller {} read {row}", self.number))
            }
            Some(seen) if seen < floor && !state.in_doubt.contains(&seen) => {
                let number = self.number;
                observations
                    .violations
                    .push(format!("stale: caller {number} read {seen} after {floor}"));
            }
            Some(_) => (),
        }
    }
}

/// Opens a session with a key, if the proxy takes it.
async fn open(proxy: SocketAddr, database: &str, key: &str) -> Option<Connection> {
    let mut connection = connect(proxy).await?;
    match connection.exchange(startup_message(database, key).as_bytes()).await {
        Outcome::Done(_) => Some(connection),
        Outcome::Failed(_) | Outcome::Lost => None,
    }
}

async fn connect(proxy: SocketAddr) -> Option<Connection> {
    let stream = time::timeout(ANSWER_TIMEOUT, TcpStream::connect(proxy)).await.ok()?.ok()?;
    Some(Connection { stream, input: BytesMut::new(), floor: 0 })
}

fn startup_message(database: &str, key: &str) -> String {
    format!("STARTUP {database} {key}\n")
}

/// Whether a proxy refuses a session because it does not know the key.
pub async fn is_denied(proxy: SocketAddr, key: &str) -> bool {
    let refused = async {
        let mut connection = connect(proxy).await?;
        connection.stream.write_all(startup_message("primary-db", key).as_bytes()).await.ok()?;
        let message = connection.next_message().await?;
        Some(message.windows(DENIED.len()).any(|part| part == DENIED))
    };
    time::timeout(ANSWER_TIMEOUT, refused).await.is_ok_and(|denied| denied.unwrap_or(false))
}

impl Connection {
    async fn run(&mut self, id: &str, statement: Statement<'_>) -> Outcome {
        let query = Query::Statement { id: Some(id), at_least: None, statement };
        let mut request = BytesMut::new();
        Lines::encode_query(&query, &mut request);
        self.exchange(&request).await
    }

    async fn exchange(&mut self, request: &[u8]) -> Outcome {
        match time::timeout(ANSWER_TIMEOUT, self.try_exchange(request)).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) | Err(_) => Outcome::Lost,
        }
    }

    async fn try_exchange(&mut self, request: &[u8]) -> Option<Outcome> {
        self.stream.write_all(request).await.ok()?;
        let (mut row, mut failed) = (None, None);
        loop {
            let message = self.next_message().await?;
            match Lines::decode_target(&message).ok()? {
                TargetMessage::Row(text) => row = Some(text.to_owned()),
                TargetMessage::Error { error, .. } => failed = Some(error),
                TargetMessage::Complete { .. } => (),
                TargetMessage::Ready { .. } => {
                    return Some(failed.map_or(Outcome::Done(row), Outcome::Failed));
                }
            }
        }
    }

    async fn next_message(&mut self) -> Option<BytesMut> {
        loop {
            if let Some(length) = Lines::message_len(&self.input, MAX_MESSAGE_BYTES).ok()? {
                return Some(self.input.split_to(length));
            }
            if self.stream.read_buf(&mut self.input).await.ok()? == 0 {
                return None;
            }
        }
    }
}
