//! A PostgreSQL connection to a target, or to another proxy that forwards to it.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::thread;
use std::thread::ThreadId;
use std::time::Duration;

use bytes::BytesMut;
use postgres_protocol::message::backend;
use postgres_protocol::message::frontend;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::frames;
use crate::connection::frames::FrameHeader;
use crate::connection::pooled_connection::PooledConnection;
use crate::connection::prepared::PreparedOnConnection;
use crate::connection::socket;

/// The largest message accepted from a target during start-up.
const MAX_CONTROL_FRAME_BYTES: usize = 1 << 20;

/// The start-up parameters of a connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Login {
    /// The group, sent as the database name.
    pub database: String,
    /// `ZONE/VM` of this proxy.
    pub application_name: String,
    /// The name of this proxy's VM if the other end is a proxy; `None` for a target.
    pub forwarded_by: Option<String>,
}

/// The user name that the proxy uses on targets.
const TARGET_USER: &str = "skylark";

/// The reason that a connection could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// Connecting failed, or the connection broke.
    Io(io::Error),
    /// The start-up did not complete within the time limit.
    TimedOut,
    /// The other end refused the connection with this SQLSTATE.
    Refused(String),
    /// The other end requires an unsupported authentication method or violates the protocol.
    Unsupported,
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::Io(error) => write!(f, "connection failed: {error}"),
            OpenError::TimedOut => f.write_str("start-up timed out"),
            OpenError::Refused(sqlstate) => write!(f, "refused with {sqlstate}"),
            OpenError::Unsupported => {
                f.write_str("unsupported authentication method or protocol violation")
            }
        }
    }
}

/// The key that authorizes cancelling a running request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct CancelKey {
    /// The process id.
    pub process_id: i32,
    /// The secret key.
    pub secret: i32,
}

/// A connection that completed its start-up.
#[derive(Debug)]
pub struct TargetConnection {
    /// The socket.
    pub stream: TcpStream,
    /// Buffered input.
    pub input: BytesMut,
    /// The transaction status in the last ReadyForQuery.
    pub status: u8,
    /// The number of outstanding ReadyForQuery messages.
    pub awaited_ready: u32,
    /// Whether messages were sent without a subsequent Sync.
    pub needs_sync: bool,
    /// Whether the session may differ from a new one.
    pub session_changed: bool,
    /// The statements prepared under shared names.
    pub prepared: PreparedOnConnection,
    /// The key for cancel requests to the other end.
    pub cancel_key: CancelKey,
    /// The thread whose event loop the stream is registered with.
    registered_on: ThreadId,
}

impl PooledConnection for TargetConnection {
    type Login = Login;

    async fn open(
        address: &str,
        login: &Login,
        _user: Option<&Arc<str>>,
        timeout: Duration,
    ) -> Result<TargetConnection, OpenError> {
        match time::timeout(timeout, connect_and_start(address, login)).await {
            Ok(opened) => opened,
            Err(_) => Err(OpenError::TimedOut),
        }
    }

    /// Always true: all connections log in as the same user, and the session's state is applied with
    /// each transaction.
    fn serves(&self, _user: Option<&Arc<str>>) -> bool {
        true
    }

    fn is_on_current_thread(&self) -> bool {
        self.registered_on == thread::current().id()
    }

    /// A stream registered with another thread's event loop works as well, but each wake-up would cross
    /// threads.
    fn move_to_current_thread(self) -> io::Result<TargetConnection> {
        if self.is_on_current_thread() {
            return Ok(self);
        }
        let stream = TcpStream::from_std(self.stream.into_std()?)?;
        Ok(TargetConnection { stream, registered_on: thread::current().id(), ..self })
    }

    /// A request sent on a connection that the other end closed while it was idle would have an unknown
    /// outcome, although it never ran.
    fn is_healthy(&mut self) -> bool {
        self.input.is_empty() && socket::is_open_without_input(&self.stream)
    }

    fn is_idle(&self) -> bool {
        self.status == frames::STATUS_IDLE
            && self.awaited_ready == 0
            && !self.needs_sync
            && self.input.is_empty()
    }

    fn needs_reset(&self) -> bool {
        self.session_changed
    }

    /// Reads the answer to its end, rolls back an open transaction and resets the session. A remaining
    /// answer would be delivered to the next caller.
    async fn recover(&mut self, timeout: Duration) -> io::Result<()> {
        match time::timeout(timeout, self.drain_and_reset()).await {
            Ok(done) => done,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    async fn terminate(&mut self, timeout: Duration) -> io::Result<()> {
        let mut request = BytesMut::new();
        frontend::terminate(&mut request);
        let closing = async {
            self.send(&request).await?;
            while self.read_more().await.is_ok() {
                self.input.clear();
            }
            Ok(())
        };
        match time::timeout(timeout, closing).await {
            Ok(closed) => closed,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

impl TargetConnection {
    async fn drain_and_reset(&mut self) -> io::Result<()> {
        let mut request = BytesMut::new();
        if self.needs_sync {
            frontend::sync(&mut request);
            self.needs_sync = false;
            self.awaited_ready += 1;
            self.send(&request).await?;
        }
        self.drain().await?;
        request.clear();
        if self.status != frames::STATUS_IDLE {
            frontend::query("ROLLBACK", &mut request)?;
            self.awaited_ready += 1;
        }
        frontend::query("DISCARD ALL", &mut request)?;
        self.awaited_ready += 1;
        self.send(&request).await?;
        self.prepared.clear();
        self.drain().await?;
        if !self.is_idle() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.session_changed = false;
        Ok(())
    }

    async fn send(&self, bytes: &[u8]) -> io::Result<()> {
        // The time limit on the whole recovery, set by the function's caller, ends a stall sooner.
        socket::write_all(&self.stream, bytes, Duration::from_secs(60)).await
    }

    /// Reads and drops messages until no ReadyForQuery is outstanding.
    async fn drain(&mut self) -> io::Result<()> {
        while self.awaited_ready > 0 {
            let skipped = self.skip_frame().await?;
            if skipped.tag == backend::READY_FOR_QUERY_TAG {
                self.awaited_ready -= 1;
            }
        }
        Ok(())
    }

    /// Reads and drops one message of any size. Updates the status from a ReadyForQuery.
    async fn skip_frame(&mut self) -> io::Result<FrameHeader> {
        let header = loop {
            let parsed = FrameHeader::parse(&self.input);
            if let Some(header) = parsed.map_err(|_| io::ErrorKind::InvalidData)? {
                break header;
            }
            self.read_more().await?;
        };
        let mut left = header.frame_bytes;
        while self.input.len() < left {
            if header.tag != backend::READY_FOR_QUERY_TAG {
                left -= self.input.len();
                self.input.clear();
            }
            self.read_more().await?;
        }
        let end = self.input.split_to(left);
        if header.tag == backend::READY_FOR_QUERY_TAG {
            self.status = end.last().copied().unwrap_or(0);
        }
        Ok(header)
    }

    async fn read_more(&mut self) -> io::Result<()> {
        match socket::read_some(&self.stream, &mut self.input).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }
}

async fn connect_and_start(address: &str, login: &Login) -> Result<TargetConnection, OpenError> {
    let stream = TcpStream::connect(address).await.map_err(OpenError::Io)?;
    stream.set_nodelay(true).map_err(OpenError::Io)?;
    let mut connection = TargetConnection {
        stream,
        input: BytesMut::new(),
        status: 0,
        awaited_ready: 1,
        needs_sync: false,
        session_changed: false,
        prepared: PreparedOnConnection::default(),
        cancel_key: CancelKey::default(),
        registered_on: thread::current().id(),
    };
    let mut parameters = vec![
        ("user", TARGET_USER),
        ("database", login.database.as_str()),
        ("application_name", login.application_name.as_str()),
    ];
    if let Some(vm) = &login.forwarded_by {
        parameters.push(("skylark.forwarded", vm));
    }
    let mut request = BytesMut::new();
    frontend::startup_message(parameters, &mut request).map_err(OpenError::Io)?;
    connection.send(&request).await.map_err(OpenError::Io)?;
    while connection.awaited_ready > 0 {
        let frame = next_frame(&mut connection).await?;
        handle_startup_frame(&mut connection, &frame)?;
    }
    Ok(connection)
}

async fn next_frame(connection: &mut TargetConnection) -> Result<BytesMut, OpenError> {
    loop {
        let header = FrameHeader::parse(&connection.input).map_err(|_| OpenError::Unsupported)?;
        match header {
            Some(header) if header.frame_bytes > MAX_CONTROL_FRAME_BYTES => {
                return Err(OpenError::Unsupported);
            }
            Some(header) if header.frame_bytes <= connection.input.len() => {
                return Ok(connection.input.split_to(header.frame_bytes));
            }
            _ => connection.read_more().await.map_err(OpenError::Io)?,
        }
    }
}

fn handle_startup_frame(connection: &mut TargetConnection, frame: &[u8]) -> Result<(), OpenError> {
    let body = &frame[frames::HEADER_BYTES..];
    match frame[0] {
        backend::AUTHENTICATION_TAG if body == [0, 0, 0, 0] => Ok(()),
        backend::PARAMETER_STATUS_TAG | backend::NOTICE_RESPONSE_TAG => Ok(()),
        backend::BACKEND_KEY_DATA_TAG => {
            let [a, b, c, d, e, f, g, h] = body else { return Err(OpenError::Unsupported) };
            connection.cancel_key = CancelKey {
                process_id: i32::from_be_bytes([*a, *b, *c, *d]),
                secret: i32::from_be_bytes([*e, *f, *g, *h]),
            };
            Ok(())
        }
        backend::READY_FOR_QUERY_TAG => {
            connection.status = body.first().copied().unwrap_or(0);
            connection.awaited_ready = 0;
            Ok(())
        }
        backend::ERROR_RESPONSE_TAG => {
            let sqlstate = frames::error_field(frame, b'C').unwrap_or("").to_owned();
            Err(OpenError::Refused(sqlstate))
        }
        _ => Err(OpenError::Unsupported),
    }
}
