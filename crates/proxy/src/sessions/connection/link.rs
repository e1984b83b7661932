//! A connection to a target.
//!
//! It tracks the session values and prepared statements that the target holds for this connection, so that
//! switching to another caller sends only the differences.

use std::fmt;
use std::io;
use std::marker::PhantomData;
use std::sync::Arc;
use std::thread;
use std::thread::ThreadId;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use skylark_core::FastMap;
use skylark_core::ids::ClassId;
use skylark_core::log_position::LogPosition;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::Stage;
use skylark_core::request::statement::Prepared;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TransactionStatus;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::pooled_connection::PooledConnection;
use crate::connection::socket;
use crate::connection::target_connection::OpenError;
use crate::sessions::codec;
use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::codec::TargetMessage;
use crate::sessions::connection::messages;
use crate::sessions::connection::reply::End;
use crate::sessions::connection::reply::LostReply;
use crate::sessions::connection::reply::Reply;

/// The capacity of the input buffer that an idle connection keeps, in bytes.
const MAX_IDLE_INPUT_BYTES: usize = 4 << 10;

/// How long a send may make no progress. It is far above a round trip and far below the time limits of
/// statements.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a connection is idle before keepalive probes are sent, and the interval of the probes. Without
/// them a connection that died without a reset would lose the next request.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// How long sent data may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How many statements are prepared on one connection before it is reset, which bounds its memory.
const MAX_PREPARED: usize = 256;

/// The parameters of a connection's start-up message.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TargetLogin {
    /// The service that the target must belong to.
    pub service: Arc<str>,
    /// The id that the target must have, because its address may have been reassigned to another target.
    pub target_id: Arc<str>,
    /// The name of this process's VM, which is the user of connections without an organisation.
    pub vm: Arc<str>,
    /// Whether the other end is a proxy, which receives the user with the statements instead of at start-up.
    pub to_proxy: bool,
    /// Timeout for the TCP handshake, in milliseconds; `None` if only the whole start-up has a timeout.
    pub tcp_connect_ms: Option<u64>,
}

/// The class of a unit of work, and for how long a proxy may keep it waiting for admission to the target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Precedence {
    /// The class.
    pub class: ClassId,
    /// When the work has to be sent to the target, in microseconds.
    pub wait_until_us: u64,
    /// The current time, in microseconds.
    pub now_us: u64,
}

/// A connection to a target, or to a proxy that forwards to the target, after its start-up.
pub struct StatementLink<C> {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    /// The transaction status in the last complete reply.
    status: TransactionStatus,
    /// The user under which statements run. It is fixed at start-up for a target, and set by a message for a
    /// proxy.
    user: Option<Arc<str>>,
    to_proxy: bool,
    /// Until when the other proxy may keep the unit of work waiting; `None` if it does not queue by class.
    admission_until_us: Option<u64>,
    /// How many replies are outstanding.
    awaited: u32,
    values: Vec<(Box<str>, Box<str>)>,
    prepared: FastMap<Prepared, u32>,
    next_prepared: u32,
    reactor_thread: ThreadId,
    codec: PhantomData<C>,
}

impl<C> fmt::Debug for StatementLink<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StatementLink")
            .field("status", &self.status)
            .field("awaited", &self.awaited)
            .finish_non_exhaustive()
    }
}

impl<C> StatementLink<C>
where
    C: Codec,
{
    /// Appends a request to the output of the next [`StatementLink::send`].
    pub fn push(&mut self, query: &Query<'_>) {
        C::encode_query(query, &mut self.output);
        self.awaited += 1;
    }

    /// Sets the user of the following statements. It has no effect on a connection to a target, whose user is
    /// fixed at start-up.
    pub fn set_user(&mut self, user: Option<&Arc<str>>) {
        if self.to_proxy && self.user.as_ref() != user {
            C::encode_on_behalf(user.map_or("", |user| user), &mut self.output);
            self.user = user.cloned();
        }
    }

    /// Sets the class of the next unit of work and for how long the other proxy may keep it waiting, if that
    /// proxy queues by class. It has no effect on a connection to a target.
    pub fn set_precedence(&mut self, precedence: Option<Precedence>) {
        self.admission_until_us = None;
        if let Some(Precedence { class, wait_until_us, now_us }) =
            precedence.filter(|_| self.to_proxy)
        {
            let wait_ms = wait_until_us.saturating_sub(now_us).div_ceil(1_000);
            C::encode_precedence(class.0, wait_ms, &mut self.output);
            self.admission_until_us = Some(wait_until_us);
        }
    }

    /// Returns until when the other proxy may keep the unit of work waiting; `None` if the connection leads to
    /// a target, or if the other proxy does not queue by class.
    pub fn admission_until_us(&self) -> Option<u64> {
        self.admission_until_us
    }

    /// Sends the pushed requests. After an error the connection is unusable.
    pub async fn send(&mut self) -> Result<(), LostReply> {
        let sent = socket::write_all(&self.stream, &self.output, SEND_TIMEOUT).await;
        self.output.clear();
        // Part of the request may have been sent, so the target may have run it.
        sent.map_err(|error| LostReply { failure: failure_of(&error), stage: Stage::Sent })
    }

    /// Receives the next reply.
    pub async fn next_reply(&mut self, until: Instant) -> Result<Reply, LostReply> {
        match time::timeout_at(until.into(), self.read_reply()).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(error)) => Err(LostReply { failure: failure_of(&error), stage: Stage::Sent }),
            Err(_) => Err(LostReply { failure: Failure::TimedOut, stage: Stage::Sent }),
        }
    }

    /// Sends one request and receives its reply.
    pub async fn ask(&mut self, query: &Query<'_>, until: Instant) -> Result<Reply, LostReply> {
        self.push(query);
        self.exchange(until).await
    }

    /// Sends the pushed requests and receives the first reply.
    pub async fn exchange(&mut self, until: Instant) -> Result<Reply, LostReply> {
        self.send().await?;
        self.next_reply(until).await
    }

    /// Returns the transaction status in the last complete reply.
    pub fn status(&self) -> TransactionStatus {
        self.status
    }

    /// Pushes the requests that make the target's session equal to the caller's, and returns the number of
    /// their replies. No statement may be sent before these succeeded, because it would run with another
    /// caller's values.
    pub fn push_session(
        &mut self,
        values: &[(Box<str>, Box<str>)],
        needed: Option<&Prepared>,
    ) -> u32 {
        let before = self.awaited;
        let has_foreign_value =
            self.values.iter().any(|(name, _)| !values.iter().any(|(n, _)| n == name));
        let is_full = self.prepared.len() >= MAX_PREPARED
            && needed.is_some_and(|needed| !self.prepared.contains_key(needed));
        // Inside a transaction the values are kept: its caller can only add to them.
        if (has_foreign_value || is_full) && self.status == TransactionStatus::Idle {
            self.push(&Query::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if !self.values.iter().any(|known| known.0 == *name && known.1 == *value) {
                self.push_own(Statement::Set { name, value });
                self.values.retain(|known| known.0 != *name);
                self.values.push((name.clone(), value.clone()));
            }
        }
        if let Some(needed) = needed.filter(|needed| !self.prepared.contains_key(needed)) {
            let number = self.next_prepared;
            self.next_prepared += 1;
            let name = codec::shared_name(needed.as_shape(), number);
            self.push_own(Statement::Prepare { name: &name, prepared: needed.as_shape() });
            self.prepared.insert(needed.clone(), number);
        }
        self.awaited - before
    }

    /// Pushes a statement that the target refuses if its log ends before `at_least`. The position of an empty
    /// log is left out: it requires nothing and has no encoding.
    pub fn push_statement(
        &mut self,
        id: Option<&str>,
        at_least: Option<LogPosition>,
        statement: Statement<'_>,
    ) {
        let at_least = at_least.filter(|position| *position > LogPosition::default());
        self.push(&Query::Statement { id, at_least, statement });
    }

    /// Pushes the `BEGIN` of a transaction that is opened for the statement `id`. Only a proxy receives the
    /// identifier, which it logs if it refuses the `BEGIN`.
    pub fn push_begin(
        &mut self,
        id: Option<&str>,
        at_least: Option<LogPosition>,
        begin: Statement<'_>,
    ) {
        self.push_statement(id.filter(|_| self.to_proxy), at_least, begin);
    }

    /// Pushes a statement issued by the proxy itself.
    pub fn push_own(&mut self, statement: Statement<'_>) {
        self.push_statement(None, None, statement);
    }

    /// Returns the name of a prepared statement on this connection; `None` if it is not prepared here.
    pub fn prepared_name(&self, prepared: &Prepared) -> Option<String> {
        let number = self.prepared.get(prepared)?;
        Some(codec::shared_name(prepared.as_shape(), *number))
    }

    /// Marks the target's session state as unknown, so that the next caller's is sent in full.
    pub fn forget_session(&mut self) {
        // No caller has a value of this name, so the next use resets the session.
        self.values = vec![("".into(), "".into())];
        self.prepared.clear();
    }

    async fn read_reply(&mut self) -> io::Result<Reply> {
        let mut rows = BytesMut::new();
        let mut first_row = Box::<str>::from("");
        let mut end = None;
        loop {
            let message = self.next_message().await?;
            let decoded = C::decode_target(&message).map_err(|_| io::ErrorKind::InvalidData)?;
            match decoded {
                TargetMessage::Row(text) => {
                    if rows.is_empty() {
                        first_row = text.into();
                    }
                    C::encode_answer(&decoded, &mut rows);
                }
                TargetMessage::Complete { proof } => {
                    end = Some(End::Complete { proof: proof.into() });
                }
                TargetMessage::Error { error, text } => {
                    end = Some(End::Error { error, text: text.into() });
                }
                TargetMessage::Ready { status, position } => {
                    let end = end.ok_or(io::ErrorKind::InvalidData)?;
                    self.status = status;
                    self.awaited = self.awaited.saturating_sub(1);
                    return Ok(Reply { rows, first_row, end, status, position });
                }
            }
        }
    }

    async fn next_message(&mut self) -> io::Result<BytesMut> {
        let length = messages::read_message::<C>(&self.stream, &mut self.input).await?;
        Ok(self.input.split_to(length))
    }

    async fn begin_session(&mut self, login: &TargetLogin) -> Result<(), OpenError> {
        let mut startup = BytesMut::new();
        let user = self.user.as_ref().unwrap_or(&login.vm);
        C::encode_startup(&login.service, user, &login.target_id, &mut startup);
        socket::write_all(&self.stream, &startup, SEND_TIMEOUT).await.map_err(OpenError::Io)?;
        let message = self.next_message().await.map_err(OpenError::Io)?;
        match C::decode_target(&message) {
            Ok(TargetMessage::Ready { .. }) => Ok(()),
            Ok(TargetMessage::Error { error, .. }) => {
                let sqlstate = String::from_utf8_lossy(&error.sqlstate()).into_owned();
                Err(OpenError::Refused(sqlstate))
            }
            _ => Err(OpenError::Unsupported),
        }
    }

    /// Receives the outstanding replies and rolls back an open transaction.
    async fn drain_and_roll_back(&mut self) -> io::Result<()> {
        while self.awaited > 0 {
            self.read_reply().await?;
        }
        if self.status != TransactionStatus::Idle {
            self.push_own(Statement::Rollback);
            socket::write_all(&self.stream, &self.output, SEND_TIMEOUT).await?;
            self.output.clear();
            self.read_reply().await?;
        }
        match self.is_idle() {
            true => Ok(()),
            false => Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

impl<C> PooledConnection for StatementLink<C>
where
    C: Codec,
{
    type Login = TargetLogin;

    async fn open(
        address: &str,
        login: &TargetLogin,
        user: Option<&Arc<str>>,
        timeout: Duration,
    ) -> Result<StatementLink<C>, OpenError> {
        let opening = async {
            let handshake = TcpStream::connect(address);
            let connected = match login.tcp_connect_ms.map(Duration::from_millis) {
                Some(limit) => {
                    time::timeout(limit, handshake).await.map_err(|_| OpenError::TimedOut)?
                }
                None => handshake.await,
            };
            let stream = connected.map_err(OpenError::Io)?;
            set_keepalive(&stream).map_err(OpenError::Io)?;
            let mut link = StatementLink {
                stream,
                input: BytesMut::new(),
                output: BytesMut::new(),
                status: TransactionStatus::Idle,
                user: user.filter(|_| !login.to_proxy).cloned(),
                to_proxy: login.to_proxy,
                admission_until_us: None,
                awaited: 0,
                values: Vec::new(),
                prepared: FastMap::default(),
                next_prepared: 0,
                reactor_thread: thread::current().id(),
                codec: PhantomData,
            };
            link.begin_session(login).await?;
            Ok(link)
        };
        time::timeout(timeout, opening).await.unwrap_or(Err(OpenError::TimedOut))
    }

    fn serves(&self, user: Option<&Arc<str>>) -> bool {
        self.to_proxy || user.is_none() || self.user.as_ref() == user
    }

    fn is_on_current_thread(&self) -> bool {
        self.reactor_thread == thread::current().id()
    }

    fn move_to_current_thread(self) -> io::Result<StatementLink<C>> {
        if self.is_on_current_thread() {
            return Ok(self);
        }
        let stream = TcpStream::from_std(self.stream.into_std()?)?;
        Ok(StatementLink { stream, reactor_thread: thread::current().id(), ..self })
    }

    fn is_healthy(&mut self) -> bool {
        if self.input.is_empty() && self.input.capacity() > MAX_IDLE_INPUT_BYTES {
            self.input = BytesMut::new();
        }
        self.input.is_empty() && socket::is_open_without_input(&self.stream)
    }

    fn is_idle(&self) -> bool {
        self.status == TransactionStatus::Idle && self.awaited == 0 && self.input.is_empty()
    }

    /// Never needs a reset: the target's session state is tracked, and replaced for the next caller.
    fn needs_reset(&self) -> bool {
        false
    }

    async fn recover(&mut self, timeout: Duration) -> io::Result<()> {
        match time::timeout(timeout, self.drain_and_roll_back()).await {
            Ok(done) => done,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    async fn terminate(&mut self, timeout: Duration) -> io::Result<()> {
        let mut goodbye = BytesMut::new();
        C::encode_terminate(&mut goodbye);
        socket::write_all(&self.stream, &goodbye, timeout).await
    }
}

/// Disables Nagle's algorithm, and enables keepalive probes and a limit on unacknowledged data, so that a
/// peer that disappears without closing the connection is detected.
pub fn set_keepalive(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_TIME);
    socket.set_tcp_keepalive(&keepalive.with_retries(2))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

fn failure_of(error: &io::Error) -> Failure {
    match error.kind() {
        io::ErrorKind::TimedOut => Failure::TimedOut,
        _ => Failure::Broken,
    }
}
