//! A caller's connection.
//!
//! Statements of one connection run in sequence. An idle connection holds no buffers, so that thousands of
//! idle sessions need little memory.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::statement::TransactionStatus;
use skylark_core::version::organisations::KeyDigest;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::connection::socket;
use crate::process::counters::Event;
use crate::request::refusal::Refusal;
use crate::sessions::codec::CallerMessage;
use crate::sessions::codec::Codec;
use crate::sessions::codec::CodecError;
use crate::sessions::codec::TargetMessage;
use crate::sessions::connection::messages;
use crate::sessions::connection::messages::ReadError;
use crate::sessions::connection::session::Session;
use crate::sessions::connection::session::SessionState;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::stop;
use crate::sessions::process::stop::StopPhase;
use crate::sessions::process::stop::StopState;
use crate::sessions::request::execute;
use crate::sessions::request::execute::Answer;
use crate::sessions::request::transaction;

/// An event that wakes a caller's task.
enum Wake {
    /// A complete message of this length is at the start of the input.
    Message(usize),
    /// The message is too long, malformed or incomplete for too long.
    Broken(ErrorKind),
    /// The caller was idle inside a transaction for too long.
    IdleInTransaction,
    /// The caller closed the connection, or the connection has to be closed.
    End,
}

/// A caller's connection.
struct Caller<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    began: Instant,
    stop: watch::Receiver<StopState>,
    keys_withdrawn: watch::Receiver<u64>,
}

/// Returns when a connection that runs no statement is closed; `None` while the process serves.
///
/// Outside a transaction the time is measured from the start of closing or of the session, whichever is
/// later, and not from the last request: a caller that is never idle for long would otherwise stay connected
/// until the process ends.
fn close_at(state: StopState, is_idle: bool, began: Instant, spread: Duration) -> Option<Instant> {
    let closing_since = state.closing_since?;
    match state.phase {
        StopPhase::Serving | StopPhase::NotReady => None,
        StopPhase::Last => Some(closing_since),
        StopPhase::Ending if !is_idle => Some(closing_since),
        StopPhase::ClosingIdle | StopPhase::Ending => {
            is_idle.then(|| closing_since.max(began) + spread)
        }
    }
}

/// Serves one caller until its connection closes.
pub async fn serve<C>(gateway: Arc<Gateway<C>>, stream: TcpStream)
where
    C: Codec,
{
    if super::link::set_keepalive(&stream).is_err() {
        return;
    }
    let stop = gateway.stop.subscribe();
    let keys_withdrawn = gateway.keys_withdrawn.subscribe();
    let (input, output) = (BytesMut::new(), BytesMut::new());
    gateway.sessions.fetch_add(1, Ordering::Relaxed);
    gateway.counters.event(Event::CallersAccepted);
    let mut caller =
        Caller { gateway, stream, input, output, began: Instant::now(), stop, keys_withdrawn };
    if let Some(mut session) = caller.open_session().await {
        caller.serve_session(&mut session).await;
        if let SessionState::Open(open) = session.state {
            transaction::roll_back(open);
        }
    }
    caller.gateway.sessions.fetch_sub(1, Ordering::Relaxed);
    caller.gateway.counters.event(Event::CallersEnded);
}

impl<C> Caller<C>
where
    C: Codec,
{
    /// Reads the first message and opens the session. Returns `None` if the caller is rejected or
    /// disconnects.
    async fn open_session(&mut self) -> Option<Session<C>> {
        let first = time::timeout(limits::STARTUP_LIMIT, self.read_message_len()).await;
        let length = match first {
            Ok(Ok(Some(length))) => length,
            Ok(Ok(None)) => return None,
            Ok(Err(kind)) => return self.reject(kind).await,
            Err(_) => return self.reject(ErrorKind::StartupTimedOut).await,
        };
        let message = self.input.split_to(length);
        let Ok(CallerMessage::Startup { database, key }) = C::decode_caller(&message) else {
            return self.reject(ErrorKind::ProtocolViolation).await;
        };
        let (key, route) = (KeyDigest::of(key), self.gateway.route(database));
        // The key is checked first, so that a caller without a valid key can't find out which databases
        // exist.
        if let Err(kind) = self.gateway.principal(key, route.as_deref()) {
            return self.reject(kind).await;
        }
        if route.is_none() {
            return self.reject(ErrorKind::UnknownGroup).await;
        }
        let session = Session::new(database, key, self.gateway.next_session());
        self.push_ready(TransactionStatus::Idle);
        self.flush().await.then_some(session)
    }

    async fn reject(&mut self, kind: ErrorKind) -> Option<Session<C>> {
        self.gateway.counters.refusal(kind);
        if let Some(left_out) =
            self.gateway.log_budget.take("rejected", self.gateway.clock.now_us())
        {
            slog::info!(self.gateway.log, "connection rejected";
                "kind" => kind.answer().name, "left_out" => left_out);
        }
        C::encode_refusal(&Refusal::from(kind), &mut self.output);
        if self.flush().await {
            socket::linger(&mut self.stream).await;
        }
        None
    }

    async fn serve_session(&mut self, session: &mut Session<C>) {
        loop {
            match self.wait(session).await {
                Wake::End => return,
                Wake::Broken(kind) => {
                    self.reject(kind).await;
                    return;
                }
                Wake::IdleInTransaction => {
                    self.gateway.counters.refusal(ErrorKind::IdleInTransaction);
                    let failed = SessionState::Failed(ErrorKind::IdleInTransaction);
                    if let SessionState::Open(open) = std::mem::replace(&mut session.state, failed)
                    {
                        transaction::roll_back(open);
                    }
                }
                Wake::Message(length) => {
                    if !Box::pin(self.handle_message(session, length)).await {
                        return;
                    }
                }
            }
        }
    }

    /// Waits for the next message.
    async fn wait(&mut self, session: &Session<C>) -> Wake {
        if self.input.is_empty() {
            self.input = BytesMut::new();
            self.output = BytesMut::new();
            if let Some(wake) = self.wait_until_readable(session).await {
                return wake;
            }
        }
        match time::timeout(limits::SLOW_SENDER_TIMEOUT, self.read_message_len()).await {
            Ok(Ok(Some(length))) => Wake::Message(length),
            Ok(Ok(None)) => Wake::End,
            Ok(Err(kind)) => Wake::Broken(kind),
            Err(_) => Wake::Broken(ErrorKind::CallerTooSlow),
        }
    }

    /// Waits until the socket is readable. Returns the event that ended the wait instead, if any.
    async fn wait_until_readable(&mut self, session: &Session<C>) -> Option<Wake> {
        let is_pinned = matches!(&session.state, SessionState::Open(open) if open.pinned.is_some());
        let idle = self.gateway.transaction_idle().filter(|_| is_pinned);
        // Longer than any process runs, so there is no time limit.
        let idle = idle.unwrap_or(Duration::from_secs(86_400));
        let is_idle = matches!(session.state, SessionState::Idle);
        let stop = &mut self.stop;
        let (began, gateway) = (self.began, &self.gateway);
        let stopped = async {
            loop {
                let state = *stop.borrow_and_update();
                let change = stop.changed();
                let spread = stop::closing_spread(session.number, gateway.is_stopping());
                match close_at(state, is_idle, began, spread) {
                    // The sender is never dropped before this task ends, so this is always a change.
                    None => drop(change.await),
                    Some(at) => tokio::select! {
                        () = time::sleep_until(at.into()) => return,
                        _ = change => (),
                    },
                }
            }
        };
        let keys_withdrawn = &mut self.keys_withdrawn;
        let key_withdrawn = async {
            loop {
                // The sender is never dropped before this task ends, so this is always a change.
                let _ = keys_withdrawn.changed().await;
                if is_idle && !gateway.knows_key(session) {
                    gateway.counters.event(Event::KeysWithdrawn);
                    return;
                }
            }
        };
        let read = async {
            loop {
                self.stream.readable().await?;
                // Readiness can be spurious. Waiting for the rest of a message at this point would miss a
                // stop and the timeout of an idle transaction.
                if let Some(count) = socket::try_read(&self.stream, &mut self.input)? {
                    return io::Result::Ok(count);
                }
            }
        };
        tokio::select! {
            biased;
            read = read => match read {
                Ok(1..) => None,
                Ok(0) | Err(_) => Some(Wake::End),
            },
            () = stopped => Some(Wake::End),
            () = key_withdrawn => Some(Wake::End),
            () = time::sleep(idle), if is_pinned => Some(Wake::IdleInTransaction),
        }
    }

    /// Reads until the input starts with a complete message and returns its length; `None` if the stream
    /// ends.
    async fn read_message_len(&mut self) -> Result<Option<usize>, ErrorKind> {
        match messages::read_message::<C>(&self.stream, &mut self.input).await {
            Ok(length) => Ok(Some(length)),
            Err(ReadError::Ended | ReadError::Broken(_)) => Ok(None),
            Err(ReadError::Codec(CodecError::TooLong)) => Err(ErrorKind::MessageTooLarge),
            Err(ReadError::Codec(CodecError::Malformed)) => Err(ErrorKind::ProtocolViolation),
        }
    }

    /// Handles one message and sends the reply. Returns whether the session continues.
    async fn handle_message(&mut self, session: &mut Session<C>, length: usize) -> bool {
        let arrived_us = self.gateway.clock.now_us();
        let message = self.input.split_to(length);
        let (id, statement) = match C::decode_caller(&message) {
            Ok(CallerMessage::Query { id, statement }) => (id, statement),
            Ok(CallerMessage::Terminate) => return false,
            Ok(CallerMessage::Startup { .. }) | Err(_) => {
                let refusal = Refusal::from(ErrorKind::ProtocolViolation);
                self.gateway.counters.refusal(refusal.kind);
                C::encode_refusal(&refusal, &mut self.output);
                self.push_ready(session.status());
                return self.flush().await;
            }
        };
        let answer = execute::run(&self.gateway, session, id, statement, arrived_us).await;
        self.push_answer(&answer);
        let is_key_revoked =
            matches!(&answer, Answer::Refused(it) if it.kind == ErrorKind::UnknownKey);
        if is_key_revoked {
            if self.flush().await {
                socket::linger(&mut self.stream).await;
            }
            return false;
        }
        self.push_ready(session.status());
        self.flush().await
    }

    fn push_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Done => {
                C::encode_answer(&TargetMessage::Complete { proof: "-" }, &mut self.output);
            }
            Answer::Refused(refusal) => C::encode_refusal(refusal, &mut self.output),
            Answer::Reply(reply) => reply.encode::<C>(&mut self.output),
        }
    }

    fn push_ready(&mut self, status: TransactionStatus) {
        C::encode_answer(&TargetMessage::Ready { status, position: None }, &mut self.output);
    }

    async fn flush(&mut self) -> bool {
        let written =
            socket::write_all(&self.stream, &self.output, limits::SLOW_READER_TIMEOUT).await;
        self.output.clear();
        written.is_ok()
    }
}
