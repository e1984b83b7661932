//! Relays an answer from a target to the caller as raw bytes.
//!
//! Only message headers are parsed. A run of consecutive messages that need no handling is written from
//! the read buffer as one slice, so rows are neither decoded nor copied. The relay stops at messages
//! that the proxy has to handle and reports them as [`RelayEvent`]s.

use std::io;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use postgres_protocol::message::backend;
use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::connection::frames;
use crate::connection::frames::FrameHeader;
use crate::connection::reply::Replies;
use crate::connection::reply::Reply;
use crate::connection::socket;
use crate::connection::target_connection::TargetConnection;

/// The largest message that is buffered in full to be parsed.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The size up to which output is buffered, to be written together with what follows.
const MAX_PENDING_BYTES: usize = 8 << 10;

/// The size up to which an answer is held back in the proxy. The rest of a longer one remains unread,
/// which stops the target by flow control.
const MAX_HELD_BYTES: usize = 64 << 10;

/// An event that the relay reports to its user.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RelayEvent {
    /// A commit that wrote data, with the text of its position. The user decides whether to hold back
    /// what follows.
    Commit(String),
    /// The other proxy reports which target served the request.
    Served(String),
    /// A complete ErrorResponse, not forwarded yet.
    Error(BytesMut),
    /// An ErrorResponse to a request of the prelude.
    PreludeError(BytesMut),
    /// ReadyForQuery with its transaction status, not forwarded yet.
    Ready(u8),
    /// All replies of a batch without a Sync have arrived.
    Flushed,
    /// The target expects COPY data or sends it. Carries the message type.
    Copy(u8),
    /// The held part of the answer reached its size limit, so the commit must be confirmed before
    /// relaying continues.
    HoldLimitReached,
}

/// The reason that relaying failed.
#[derive(Debug)]
pub enum RelayError {
    /// The connection to the target broke, or the target violated the protocol.
    Target(io::Error),
    /// The connection to the caller broke, or the caller is too slow.
    Caller(io::Error),
}

/// The state of relaying one answer.
#[derive(Debug)]
pub struct Relay<'a> {
    caller: &'a TcpStream,
    stall_timeout: Duration,
    /// Output to be written before the run.
    pending: BytesMut,
    /// The length of the run: input that was scanned and can be forwarded.
    run_bytes: usize,
    /// The number of bytes of the current message that were not scanned yet.
    frame_left_bytes: usize,
    /// The number of outstanding ReadyForQuery messages that answer the prelude.
    prelude_ready: u32,
    replies: Option<Replies>,
    holding: bool,
    /// Whether results are forwarded as they arrive. Otherwise small ones are buffered: in a batch the
    /// commit arrives after the results, and a success that the caller has already seen could not be
    /// retracted.
    eager: bool,
    has_result: bool,
    /// Whether a write to the caller was started and not completed.
    flushing: bool,
    /// Whether any part of the answer was sent to the caller.
    pub sent_to_caller: bool,
    /// Whether any part of the answer was received.
    pub answer_begun: bool,
}

impl<'a> Relay<'a> {
    /// Creates the relay of the answer to a simple query (`replies` is `None`) or to a batch.
    ///
    /// The answers to the prelude, up to its `prelude_ready` ReadyForQuery messages, come first and are
    /// dropped. `eager` may be set only for requests that can't commit.
    pub fn new(
        caller: &'a TcpStream,
        stall_timeout: Duration,
        prelude_ready: u32,
        replies: Option<Replies>,
        eager: bool,
    ) -> Relay<'a> {
        Relay {
            caller,
            stall_timeout,
            pending: BytesMut::new(),
            run_bytes: 0,
            frame_left_bytes: 0,
            prelude_ready,
            replies,
            holding: false,
            eager,
            has_result: false,
            flushing: false,
            sent_to_caller: false,
            answer_begun: false,
        }
    }

    /// Returns whether the caller received part of a message, so that only the rest of it can follow.
    pub fn is_within_frame(&self) -> bool {
        self.flushing || (self.sent_to_caller && self.frame_left_bytes > 0)
    }

    /// Returns whether output is buffered.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Holds the answer back from here on, until [`Relay::finish`] or [`Relay::release_held`].
    pub fn hold(&mut self) {
        self.holding = true;
    }

    /// Forwards the held part of the answer and stops holding.
    pub async fn release_held(
        &mut self,
        connection: &mut TargetConnection,
    ) -> Result<(), RelayError> {
        self.holding = false;
        self.flush(connection).await
    }

    /// Appends a message at the current point of the answer.
    pub fn append(&mut self, connection: &mut TargetConnection, bytes: &[u8]) {
        self.buffer_run(connection);
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the output that is not written yet. The answer is complete and the connection can be
    /// returned to its pool.
    pub fn finish(mut self, connection: &mut TargetConnection) -> BytesMut {
        self.buffer_run(connection);
        self.pending
    }

    /// Relays the answer up to the next event.
    ///
    /// `unsent` is the part of the request that the target has not received. It is written while the
    /// answer is read: a target that can't send its answer stops reading requests.
    pub async fn next(
        &mut self,
        connection: &mut TargetConnection,
        unsent: &mut &[u8],
    ) -> Result<RelayEvent, RelayError> {
        loop {
            if let Some(relay_event) = self.scan(connection).await? {
                return Ok(relay_event);
            }
            let awaits_ready = connection.awaited_ready > 0;
            if !awaits_ready && unsent.is_empty() && self.is_flushed() {
                return Ok(RelayEvent::Flushed);
            }
            if self.holding && self.run_bytes + self.pending.len() > MAX_HELD_BYTES {
                return Ok(RelayEvent::HoldLimitReached);
            }
            let small = self.run_bytes + self.pending.len() < MAX_PENDING_BYTES;
            let waits_for_more = small && !(self.eager && self.has_result);
            if !self.holding && !waits_for_more {
                self.flush(connection).await?;
            }
            self.exchange(connection, unsent).await.map_err(RelayError::Target)?;
        }
    }

    fn is_flushed(&self) -> bool {
        let all_received = self.replies.as_ref().is_some_and(Replies::is_empty);
        all_received && self.prelude_ready == 0 && self.frame_left_bytes == 0
    }

    /// Waits until the target's socket is readable or writable, then reads and writes.
    async fn exchange(
        &mut self,
        connection: &mut TargetConnection,
        unsent: &mut &[u8],
    ) -> io::Result<()> {
        let interest = match unsent.is_empty() {
            true => Interest::READABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        let ready = connection.stream.ready(interest).await?;
        if ready.is_writable() && !unsent.is_empty() {
            match connection.stream.try_write(unsent) {
                Ok(written) => *unsent = &unsent[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                Err(error) => return Err(error),
            }
        }
        if ready.is_readable() || ready.is_read_closed() {
            match socket::try_read(&connection.stream, &mut connection.input)? {
                Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(_) => self.answer_begun |= self.prelude_ready == 0,
                None => (),
            }
        }
        Ok(())
    }

    /// Scans the buffered input for messages.
    async fn scan(
        &mut self,
        connection: &mut TargetConnection,
    ) -> Result<Option<RelayEvent>, RelayError> {
        loop {
            self.append_local_replies(connection);
            let rest = &connection.input[self.run_bytes..];
            if self.frame_left_bytes > 0 {
                let passed = self.frame_left_bytes.min(rest.len());
                self.frame_left_bytes -= passed;
                self.run_bytes += passed;
                if self.frame_left_bytes > 0 {
                    return Ok(None);
                }
                continue;
            }
            let header = FrameHeader::parse(rest).map_err(|_| bad_frame())?;
            let Some(header) = header else { return Ok(None) };
            if is_streamed(header.tag) && self.prelude_ready == 0 {
                self.has_result = true;
                self.frame_left_bytes = header.frame_bytes;
                continue;
            }
            if rest.len() < header.frame_bytes {
                return match header.frame_bytes {
                    0..=MAX_EVENT_BYTES => Ok(None),
                    _ => Err(bad_frame()),
                };
            }
            if let Some(relay_event) = self.handle_frame(connection, header).await? {
                return Ok(Some(relay_event));
            }
        }
    }

    fn append_local_replies(&mut self, connection: &mut TargetConnection) {
        let at_boundary = self.frame_left_bytes == 0 && self.prelude_ready == 0;
        while let Some(local) = match (&mut self.replies, at_boundary) {
            (Some(replies), true) => replies.take_local(),
            _ => None,
        } {
            self.append(connection, &local);
        }
    }

    /// Handles a message that is buffered in full.
    async fn handle_frame(
        &mut self,
        connection: &mut TargetConnection,
        header: FrameHeader,
    ) -> Result<Option<RelayEvent>, RelayError> {
        if self.prelude_ready > 0 {
            let frame = self.split_frame(connection, header);
            if header.tag == backend::READY_FOR_QUERY_TAG {
                self.prelude_ready -= 1;
                connection.awaited_ready -= 1;
            }
            self.answer_begun |= self.prelude_ready == 0 && !connection.input.is_empty();
            let is_error = header.tag == backend::ERROR_RESPONSE_TAG;
            return Ok(is_error.then_some(RelayEvent::PreludeError(frame)));
        }
        match header.tag {
            backend::READY_FOR_QUERY_TAG => {
                let frame = self.split_frame_after_run(connection, header).await?;
                let status = frame.last().copied().unwrap_or(0);
                connection.awaited_ready -= 1;
                connection.status = status;
                Ok(Some(RelayEvent::Ready(status)))
            }
            backend::ERROR_RESPONSE_TAG => {
                let frame = self.split_frame_after_run(connection, header).await?;
                if let Some(replies) = &mut self.replies {
                    replies.clear();
                }
                Ok(Some(RelayEvent::Error(frame)))
            }
            backend::PARAMETER_STATUS_TAG => self.handle_parameter_status(connection, header).await,
            // Asynchronous notifications are dropped: no caller owns a pooled connection, so none can
            // be listening.
            backend::NOTIFICATION_RESPONSE_TAG => {
                self.split_frame_after_run(connection, header).await?;
                Ok(None)
            }
            tag @ (backend::COPY_IN_RESPONSE_TAG | backend::COPY_OUT_RESPONSE_TAG | b'W') => {
                self.split_frame_after_run(connection, header).await?;
                Ok(Some(RelayEvent::Copy(tag)))
            }
            tag => {
                self.handle_reply(connection, header, tag).await?;
                Ok(None)
            }
        }
    }

    async fn handle_reply(
        &mut self,
        connection: &mut TargetConnection,
        header: FrameHeader,
        tag: u8,
    ) -> Result<(), RelayError> {
        let reply = self.replies.as_mut().and_then(|replies| replies.complete(tag));
        match &reply {
            Some(Reply::Parse { id }) | Some(Reply::InjectedParse { id }) => {
                connection.prepared.insert(*id);
            }
            _ => (),
        }
        if reply.is_some_and(|reply| reply.is_injected()) {
            self.split_frame_after_run(connection, header).await?;
            return Ok(());
        }
        self.has_result |= ends_statement(tag);
        self.run_bytes += header.frame_bytes;
        Ok(())
    }

    async fn handle_parameter_status(
        &mut self,
        connection: &mut TargetConnection,
        header: FrameHeader,
    ) -> Result<Option<RelayEvent>, RelayError> {
        let frame = self.split_frame_after_run(connection, header).await?;
        let (name, value) = frames::parse_parameter_status(&frame).ok_or_else(bad_frame)?;
        match name {
            COMMIT_PARAMETER => Ok(Some(RelayEvent::Commit(value.to_owned()))),
            SERVED_PARAMETER => Ok(Some(RelayEvent::Served(value.to_owned()))),
            // The token reported by another proxy describes that proxy's session, not this caller's.
            _ if name.starts_with("skylark.") => Ok(None),
            _ => {
                self.pending.extend_from_slice(&frame);
                Ok(None)
            }
        }
    }

    /// Splits the message after the run off the input. The run is buffered, or written if it is large.
    async fn split_frame_after_run(
        &mut self,
        connection: &mut TargetConnection,
        header: FrameHeader,
    ) -> Result<BytesMut, RelayError> {
        if self.run_bytes > MAX_PENDING_BYTES && !self.holding {
            self.flush(connection).await?;
        }
        self.buffer_run(connection);
        Ok(self.split_frame(connection, header))
    }

    fn split_frame(&mut self, connection: &mut TargetConnection, header: FrameHeader) -> BytesMut {
        connection.input.split_to(header.frame_bytes)
    }

    fn buffer_run(&mut self, connection: &mut TargetConnection) {
        self.pending.extend_from_slice(&connection.input[..self.run_bytes]);
        connection.input.advance(self.run_bytes);
        self.run_bytes = 0;
    }

    async fn flush(&mut self, connection: &mut TargetConnection) -> Result<(), RelayError> {
        if self.pending.is_empty() && self.run_bytes == 0 {
            return Ok(());
        }
        self.sent_to_caller = true;
        self.flushing = true;
        let run = &connection.input[..self.run_bytes];
        let written = socket::write_both(self.caller, &self.pending, run, self.stall_timeout).await;
        written.map_err(RelayError::Caller)?;
        self.flushing = false;
        self.pending.clear();
        connection.input.advance(self.run_bytes);
        self.run_bytes = 0;
        Ok(())
    }
}

/// The parameter in which a target reports the position of a commit.
pub const COMMIT_PARAMETER: &str = "group.commit";

/// The parameter in which a proxy reports the target that served a forwarded request.
pub const SERVED_PARAMETER: &str = "skylark.served";

/// Returns whether messages of this type are forwarded while they arrive, regardless of their size.
fn is_streamed(tag: u8) -> bool {
    matches!(tag, backend::DATA_ROW_TAG | backend::NOTICE_RESPONSE_TAG)
}

fn ends_statement(tag: u8) -> bool {
    matches!(
        tag,
        backend::COMMAND_COMPLETE_TAG
            | backend::EMPTY_QUERY_RESPONSE_TAG
            | backend::PORTAL_SUSPENDED_TAG
    )
}

fn bad_frame() -> RelayError {
    RelayError::Target(io::ErrorKind::InvalidData.into())
}
