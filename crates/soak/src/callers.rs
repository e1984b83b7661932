//! Callers that write and read items and check the answers.
//!
//! Each caller writes and reads one item that no other caller uses. The data of each write is unique, so that
//! the primary's log shows after the run whether the write was applied.

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
use skylark_standin::typed::group::Group;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::organisations::Organisations;

/// The time limit of a connection attempt and of an answer. After it, the caller closes the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The pause after an error or a failed connection attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The error code of a proxy's answer to an unknown key.
const DENIED: &[u8] = b"DENIED";

/// The key that callers present if the run has no organisations.
const NO_KEY: &str = "soak";

/// The maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The errors that guarantee that the write was not applied.
const NOT_APPLIED_ERRORS: [TargetError; 6] = [
    TargetError::Busy,
    TargetError::Aborted,
    TargetError::Lagging,
    TargetError::ReadOnly,
    TargetError::Misrouted,
    TargetError::TooManyConnections,
];

/// The answers that callers received, and the violations that they found in them.
#[derive(Debug, Default)]
pub struct Observations {
    /// The data of writes that were acknowledged.
    pub acknowledged: BTreeSet<String>,
    /// The data of writes that were reported as not applied, or whose commit was not sent.
    pub denied: BTreeSet<String>,
    /// The number of answered reads.
    pub reads: u64,
    /// Descriptions of answered reads that violate a guarantee.
    pub violations: Vec<String>,
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    /// The caller's number, which is part of its item's name and of its statements' ids and data.
    pub number: usize,
    /// The proxies that it connects to, chosen at random for each connection.
    pub proxies: Vec<SocketAddr>,
    /// The observations of all callers.
    pub observations: Arc<Mutex<Observations>>,
    /// The databases that it uses in turn: one whose reads go to the primary, and one for reads of the caller's
    /// own writes.
    pub databases: [Arc<str>; 2],
    /// The group of targets behind the databases, which learns of each acknowledged write.
    pub group: Arc<Group>,
    /// The organisations whose keys callers use, if the run has any.
    pub organisations: Option<Arc<Organisations>>,
    /// Whether the caller continues. It ends when this becomes false.
    pub is_running: watch::Receiver<bool>,
}

/// The outcome of one statement.
enum Outcome {
    Done(Option<String>),
    Failed(TargetError),
    /// No complete answer was received.
    Lost,
}

/// A caller's state, which is kept across its connections.
#[derive(Debug, Default)]
struct CallerState {
    /// The sequence number of the last write.
    sequence: u64,
    /// The sequence number of the last acknowledged write.
    acknowledged: u64,
    /// The number of reads that were sent.
    reads: u64,
    /// The sequence numbers of writes whose outcome is unknown. They may be applied late, after writes with
    /// higher numbers.
    in_doubt: BTreeSet<u64>,
}

struct Connection {
    stream: TcpStream,
    input: BytesMut,
    /// The sequence number of the last write that was acknowledged on this connection; zero if none was.
    floor: u64,
}

impl Caller {
    /// Opens connections, and writes and reads on them, until `is_running` becomes false.
    pub async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut state = CallerState::default();
        while *self.is_running.borrow() {
            let reads_primary = rng.random_bool(0.5);
            let [primary_db, own_db] = &self.databases;
            let database = if reads_primary { primary_db } else { own_db };
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
                        let floor = match reads_primary {
                            true => state.acknowledged,
                            false => connection.floor,
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
            // The commit was never sent, so the write must not be applied, whatever the answer was.
            self.observations.lock().denied.insert(data);
            let ended = connection.run(&id, Statement::Rollback).await;
            return matches!(ended, Outcome::Done(_));
        }
        let outcome = connection.run(&id, Statement::Commit).await;
        self.record_outcome(outcome, connection, state, false).await
    }

    /// Records the outcome of a commit. Returns whether the connection can still be used.
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
                self.group.confirm(&data);
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

    /// Checks that a read returned the caller's item with a write that is not older than `floor`. An older
    /// write is valid only if its outcome is unknown, because it may have been applied after newer ones.
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

/// Opens a session with a key. Returns `None` if the connection fails or the proxy refuses the session.
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
    format!("STARTUP {database} {key}\r\n")
}

/// Returns whether a proxy refuses a session because it does not know the key. Returns false if no answer is
/// received.
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
