//! A target of the typed protocol: its listener and its connections.
//!
//! Each connection runs statements on the target's member of a [`Group`]. When the target stops or
//! restarts, its connections are closed without a message, and open transactions are rolled back.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::request::retry::Effect;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use skylark_core::request::statement::TransactionStatus;
use skylark_platform::lines;
use skylark_platform::lines::Lines;
use skylark_proxy::sessions::codec::Codec;
use skylark_proxy::sessions::codec::Query;
use skylark_proxy::sessions::codec::TargetMessage;
use skylark_proxy::sessions::codec::TargetRequest;
use skylark_proxy::sessions::codec::TargetStatus;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::typed::group::Committed;
use crate::typed::group::Group;
use crate::typed::group::Run;

/// The maximum size of a request, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A listening target. Clones refer to the same target.
#[derive(Clone, Debug)]
pub struct Database {
    /// The group that the target belongs to.
    pub group: Arc<Group>,
    /// The index of the target among the group's members.
    pub member: usize,
    /// The address that the target listens on.
    pub address: SocketAddr,
    /// The address to register in the store: that of a relay in front of the target, or `address`.
    pub announced: SocketAddr,
}

impl Database {
    /// Starts a target on a free loopback port. Fails if it can't listen.
    pub async fn start(group: &Arc<Group>, member: usize) -> io::Result<Database> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let group = Arc::clone(group);
        let database = Database { group, member, address, announced: address };
        tokio::spawn(database.clone().accept(listener));
        Ok(database)
    }

    /// Returns the target's id as configured for its group.
    pub fn id(&self) -> Arc<str> {
        Arc::clone(&self.group.options.members[self.member].0)
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if !self.group.member(self.member).alive {
                // To the caller, a connection closed at once is equivalent to a refused one.
                continue;
            }
            let connection = Connection::new(self.clone(), stream);
            tokio::spawn(connection.serve());
        }
    }
}

/// The state of the transaction on a connection. `write_term` is the term in which the target led when
/// a read-write transaction began; it is none for a read-only one.
#[derive(Clone, Debug)]
enum TransactionState {
    Inactive,
    Active { write_term: Option<u64>, writes: Vec<(String, String)> },
    Failed,
}

struct Connection {
    database: Database,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    user: String,
    transaction: TransactionState,
    values: FastMap<String, String>,
    prepared: FastMap<String, (Effect, String)>,
    start: u32,
}

/// The reason why a connection ends: it was closed or a request was invalid, or the answer to a
/// statement is to be lost.
enum ConnectionEnd {
    Closed,
    AnswerLost,
}

type Outcome = Result<Answer, TargetError>;

/// The answer to a successful request. The proof consists of the target's id and the statement's id for
/// reads, writes and commits, and is `-` for all other requests.
struct Answer {
    rows: Vec<String>,
    proof: String,
}

impl Answer {
    fn empty() -> Answer {
        Answer { rows: Vec::new(), proof: "-".to_owned() }
    }
}

impl Connection {
    fn new(database: Database, stream: TcpStream) -> Connection {
        let start = database.group.member(database.member).start;
        Connection {
            database,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            user: String::new(),
            transaction: TransactionState::Inactive,
            values: FastMap::default(),
            prepared: FastMap::default(),
            start,
        }
    }

    async fn serve(mut self) {
        let (group, member) = (Arc::clone(&self.database.group), self.database.member);
        group.change(member, |state| state.connections += 1);
        let mut changes = group.changes();
        let start = self.start;
        let stopped = async {
            loop {
                let state = group.member(member);
                if !state.alive || state.start != start {
                    return;
                }
                // Waiting can't fail, because the group owns the sender.
                let _ = changes.changed().await;
            }
        };
        tokio::select! {
            // However serving ends, the stream is dropped and the open transaction rolled back.
            _ = self.serve_requests() => (),
            () = stopped => (),
        }
        group.change(member, |state| state.connections = state.connections.saturating_sub(1));
    }

    async fn serve_requests(&mut self) -> Result<(), ConnectionEnd> {
        self.startup().await?;
        loop {
            let message = self.read_message().await?;
            let request = Lines::decode_request(&message).map_err(|_| ConnectionEnd::Closed)?;
            match request {
                TargetRequest::Terminate
                | TargetRequest::Startup { .. }
                | TargetRequest::OnBehalf { .. }
                | TargetRequest::Precedence { .. } => {
                    return Err(ConnectionEnd::Closed);
                }
                TargetRequest::Query(query) => {
                    let late_by = self.late_order(&query);
                    if let Some(late_by) = late_by {
                        time::sleep(late_by).await;
                    }
                    let outcome = self.run(&query).await?;
                    if late_by.is_some() {
                        return Err(ConnectionEnd::AnswerLost);
                    }
                    self.answer(outcome).await?;
                }
            }
        }
    }

    /// Draws the delay of an order that gets no answer; none for other requests and orders served at once.
    fn late_order(&self, query: &Query<'_>) -> Option<Duration> {
        match query {
            Query::Pause { .. } | Query::Resume { .. } | Query::StepDown { .. } => {
                self.database.group.late_order()
            }
            Query::Reset
            | Query::Status
            | Query::ImmediateStatus
            | Query::Position { .. }
            | Query::Statement { .. } => None,
        }
    }

    async fn startup(&mut self) -> Result<(), ConnectionEnd> {
        let message = self.read_message().await?;
        let Ok(TargetRequest::Startup { service, user, target_id }) =
            Lines::decode_request(&message)
        else {
            return Err(ConnectionEnd::Closed);
        };
        self.user = user.to_owned();
        let group = &self.database.group;
        let is_right_target = service == &*group.options.service
            && (target_id.is_empty() || target_id == &*self.database.id());
        let is_over_limit =
            group.member(self.database.member).connections > group.options.max_connections;
        let error = match () {
            _ if !is_right_target => Some(TargetError::Misrouted),
            _ if is_over_limit => Some(TargetError::TooManyConnections),
            _ => None,
        };
        if let Some(error) = error {
            self.push_error(error);
            self.flush().await?;
            return Err(ConnectionEnd::Closed);
        }
        self.push_ready();
        self.flush().await
    }

    async fn run(&mut self, query: &Query<'_>) -> Result<Outcome, ConnectionEnd> {
        let group = Arc::clone(&self.database.group);
        let member = self.database.member;
        match query {
            Query::Reset => {
                self.values.clear();
                self.prepared.clear();
                Ok(Ok(Answer::empty()))
            }
            Query::Status | Query::ImmediateStatus => Ok(Ok(self.status())),
            Query::StepDown { term } => {
                group.step_down(member, *term);
                Ok(Ok(self.status()))
            }
            Query::Position { .. } => Ok(Err(TargetError::Malformed)),
            Query::Pause { term } => {
                group.pause(member, *term);
                Ok(Ok(self.status()))
            }
            Query::Resume { .. } => {
                group.change(member, |state| state.paused_term = 0);
                Ok(Ok(self.status()))
            }
            Query::Statement { id, at_least, statement } => {
                if at_least.is_some_and(|position| group.applied(member) < position) {
                    return Ok(Err(TargetError::Lagging));
                }
                self.statement(id.unwrap_or(""), statement).await
            }
        }
    }

    async fn statement(
        &mut self,
        id: &str,
        statement: &Statement<'_>,
    ) -> Result<Outcome, ConnectionEnd> {
        if matches!(self.transaction, TransactionState::Failed) && *statement != Statement::Rollback
        {
            return Ok(Err(TargetError::Malformed));
        }
        match statement {
            Statement::Begin { read_only } => Ok(self.begin(*read_only)),
            Statement::Rollback => {
                self.transaction = TransactionState::Inactive;
                Ok(Ok(Answer::empty()))
            }
            Statement::Commit => self.commit(id).await,
            Statement::Read { item } => self.read(id, format!("READ {item}"), item),
            Statement::Write { arguments } => {
                self.write(id, format!("WRITE {arguments}"), arguments).await
            }
            Statement::Set { name, value } => {
                self.values.insert((*name).to_owned(), (*value).to_owned());
                Ok(Ok(Answer::empty()))
            }
            Statement::Prepare { name, prepared } => {
                let shape = (prepared.effect, prepared.shape.to_owned());
                self.prepared.insert((*name).to_owned(), shape);
                Ok(Ok(Answer::empty()))
            }
            Statement::Close { name } => {
                self.prepared.remove(*name);
                Ok(Ok(Answer::empty()))
            }
            Statement::Execute { name, arguments } => {
                let Some((effect, shape)) = self.prepared.get(*name).cloned() else {
                    return Ok(Err(TargetError::UnknownPrepared));
                };
                let text = format!("EXECUTE {shape} {arguments}");
                match effect {
                    Effect::Read => self.read(id, text, arguments),
                    Effect::Write | Effect::Commit => self.write(id, text, arguments).await,
                }
            }
        }
    }

    fn begin(&mut self, read_only: bool) -> Outcome {
        let group = &self.database.group;
        let led = group.term_led_by(self.database.member);
        if !read_only && led.is_none() {
            return Err(TargetError::ReadOnly);
        }
        let write_term = led.filter(|_| !read_only);
        self.transaction = TransactionState::Active { write_term, writes: Vec::new() };
        Ok(Answer::empty())
    }

    /// Returns whether the target no longer leads in the term in which the open read-write transaction
    /// began.
    fn lost_lead(&self) -> bool {
        let group = &self.database.group;
        match &self.transaction {
            TransactionState::Active { write_term: Some(term), .. } => {
                group.term_led_by(self.database.member) != Some(*term)
            }
            _ => false,
        }
    }

    fn read(&mut self, id: &str, text: String, item: &str) -> Result<Outcome, ConnectionEnd> {
        if self.lost_lead() {
            self.transaction = TransactionState::Failed;
            return Ok(Err(TargetError::ReadOnly));
        }
        let row = self.database.group.read(self.database.member, item);
        self.record_run(id, text)?;
        Ok(Ok(Answer { rows: vec![row], proof: self.proof(id) }))
    }

    async fn write(
        &mut self,
        id: &str,
        text: String,
        arguments: &str,
    ) -> Result<Outcome, ConnectionEnd> {
        let (item, data) = arguments.split_once(' ').unwrap_or((arguments, ""));
        let write = (item.to_owned(), data.to_owned());
        if self.lost_lead() {
            self.transaction = TransactionState::Failed;
            return Ok(Err(TargetError::ReadOnly));
        }
        match &mut self.transaction {
            TransactionState::Active { write_term: None, .. } => {
                self.transaction = TransactionState::Failed;
                Ok(Err(TargetError::ReadOnly))
            }
            TransactionState::Active { writes, .. } => {
                writes.push(write);
                self.record_run(id, text)?;
                Ok(Ok(Answer { rows: Vec::new(), proof: self.proof(id) }))
            }
            TransactionState::Inactive | TransactionState::Failed => {
                let committed = self.commit_writes(vec![write]).await;
                if committed.is_ok() {
                    self.record_run(id, text)?;
                }
                Ok(committed.map(|()| Answer { rows: Vec::new(), proof: self.proof(id) }))
            }
        }
    }

    async fn commit(&mut self, id: &str) -> Result<Outcome, ConnectionEnd> {
        let transaction = std::mem::replace(&mut self.transaction, TransactionState::Inactive);
        let TransactionState::Active { writes, .. } = transaction else {
            return Ok(Err(TargetError::Malformed));
        };
        let committed = match writes.is_empty() {
            true => Ok(()),
            false => self.commit_writes(writes).await,
        };
        if committed.is_ok() {
            self.record_run(id, "COMMIT".to_owned())?;
        }
        Ok(committed.map(|()| Answer { rows: Vec::new(), proof: self.proof(id) }))
    }

    async fn commit_writes(&self, writes: Vec<(String, String)>) -> Result<(), TargetError> {
        match self.database.group.commit(self.database.member, writes).await {
            Committed::Acknowledged(_) => Ok(()),
            Committed::NotLeading => Err(TargetError::ReadOnly),
        }
    }

    fn proof(&self, id: &str) -> String {
        format!("{}.{id}", self.database.id())
    }

    fn record_run(&self, id: &str, text: String) -> Result<(), ConnectionEnd> {
        let values = self.values.iter().map(|(name, value)| (name.clone(), value.clone()));
        let mut values: Vec<(String, String)> = values.collect();
        values.sort();
        let (id, user) = (id.to_owned(), self.user.clone());
        let at = Instant::now();
        let run = Run { target: self.database.id(), id, user, text, values, at };
        match self.database.group.record_run(self.database.member, run) {
            true => Ok(()),
            false => Err(ConnectionEnd::AnswerLost),
        }
    }

    fn status(&self) -> Answer {
        let (group, member) = (&self.database.group, self.database.member);
        let status = TargetStatus {
            is_primary: group.term_led_by(member).is_some(),
            term: group.term_known_to(member),
            received: group.received(member),
            paused_term: group.member(member).paused_term,
        };
        Answer { rows: vec![lines::encode_status(&status)], proof: "-".to_owned() }
    }

    async fn answer(&mut self, outcome: Outcome) -> Result<(), ConnectionEnd> {
        match outcome {
            Ok(answer) => {
                for row in &answer.rows {
                    Lines::encode_answer(&TargetMessage::Row(row), &mut self.output);
                }
                let complete = TargetMessage::Complete { proof: &answer.proof };
                Lines::encode_answer(&complete, &mut self.output);
            }
            Err(error) => {
                if !matches!(self.transaction, TransactionState::Inactive) {
                    self.transaction = TransactionState::Failed;
                }
                self.push_error(error);
            }
        }
        self.push_ready();
        self.flush().await
    }

    fn push_error(&mut self, error: TargetError) {
        let text = format!("{} {}", lines::encode_error(error), self.database.id());
        Lines::encode_answer(&TargetMessage::Error { error, text: &text }, &mut self.output);
    }

    fn push_ready(&mut self) {
        let status = match self.transaction {
            TransactionState::Inactive => TransactionStatus::Idle,
            TransactionState::Active { .. } => TransactionStatus::Open,
            TransactionState::Failed => TransactionStatus::Failed,
        };
        let applied = self.database.group.applied(self.database.member);
        let position = (applied != LogPosition::default()).then_some(applied);
        Lines::encode_answer(&TargetMessage::Ready { status, position }, &mut self.output);
    }

    async fn read_message(&mut self) -> Result<BytesMut, ConnectionEnd> {
        loop {
            let found = Lines::message_len(&self.input, MAX_MESSAGE_BYTES);
            if let Some(length) = found.map_err(|_| ConnectionEnd::Closed)? {
                self.wait_while_silent().await;
                return Ok(self.input.split_to(length));
            }
            if self.stream.read_buf(&mut self.input).await.map_err(|_| ConnectionEnd::Closed)? == 0
            {
                return Err(ConnectionEnd::Closed);
            }
        }
    }

    async fn flush(&mut self) -> Result<(), ConnectionEnd> {
        self.wait_while_silent().await;
        let written = self.stream.write_all(&self.output).await;
        self.output.clear();
        written.map_err(|_| ConnectionEnd::Closed)
    }

    /// Waits while the target is set to exchange no bytes with callers.
    async fn wait_while_silent(&self) {
        let mut changes = self.database.group.changes();
        while self.database.group.member(self.database.member).silent {
            // Waiting can't fail, because the group owns the sender.
            let _ = changes.changed().await;
        }
    }
}
