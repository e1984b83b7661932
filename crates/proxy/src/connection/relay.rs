//! Passing an answer from a target to the caller as raw bytes.
//!
//! Only the headers of the messages are read. A run of messages that need no attention is written
//! out of the read buffer as one slice, so rows are neither decoded nor copied. The relay stops at
//! the messages that mean something to the proxy and hands them to its user as [`Notice`]s.

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

/// The largest message that must be read whole to be understood.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Up to this size a run before a notice is kept to be written together with what follows.
const MAX_PENDING_BYTES: usize = 8 << 10;

/// Up to this size an answer that is held back is kept; a longer one stays with the target.
const MAX_HELD_BYTES: usize = 64 << 10;

/// What the relay stops at.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RelayEvent {
    /// A commit that wrote something, with the position's text. What follows is held back.
    Commit(String),
    /// The other proxy says who served the request.
    Served(String),
    /// An ErrorResponse, whole; not passed on yet.
    Error(BytesMut),
    /// An ErrorResponse to a request of the proxy's own.
    PreludeError(BytesMut),
    /// ReadyForQuery, not passed on yet.
    Ready(u8),
    /// All replies of a batch without a Sync came.
    Flushed,
    /// The target waits for COPY data, or sends some.
    Copy(u8),
    /// So much of the answer is held back that the position must be confirmed first.
    HoldLimitReached,
}

/// Why the relay can't go on.
#[derive(Debug)]
pub enum RelayError {
    /// The connection to the target broke.
    Target(io::Error),
    /// The connection to the caller broke, or the caller is too slow.
    Caller(io::Error),
}

/// An answer on its way.
#[derive(Debug)]
pub struct Relay<'a> {
    caller: &'a TcpStream,
    stall_timeout: Duration,
    /// Written before the run: small pieces that were cut out of the input.
    pending: BytesMut,
    /// How much of the target's input was looked at and may be passed on.
    run_bytes: usize,
    /// How much of the message under way is still to come.
    frame_left_bytes: usize,
    /// ReadyForQuery of the proxy's own requests before the caller's.
    prelude_ready: u32,
    replies: Option<Replies>,
    holding: bool,
    /// Results are passed on as they come. Otherwise small ones wait for what follows: in a batch
    /// the commit comes after the results, and a success that the caller saw before it could not
    /// be taken back.
    eager: bool,
    has_result: bool,
    /// A write to the caller was begun and not ended.
    flushing: bool,
    /// Whether any of the answer went to the caller.
    pub sent_to_caller: bool,
    /// Whether any of the answer came.
    pub answer_begun: bool,
}

impl<'a> Relay<'a> {
    /// An answer to a simple query (`replies` is `None`) or to a batch. The answers of
    /// `prelude_ready` requests of the proxy's own come first and are dropped. `eager` is for what
    /// can't commit.
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

    /// Whether the caller has part of a message, so that nothing but its rest can follow.
    pub fn is_within_frame(&self) -> bool {
        self.flushing || (self.sent_to_caller && self.frame_left_bytes > 0)
    }

    /// Whether something of the answer waits to be written.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// From here on the answer is kept back until [`Relay::finish`] or [`Relay::release_held`].
    pub fn hold(&mut self) {
        self.holding = true;
    }

    /// Passes on what was held back.
    pub async fn release_held(
        &mut self,
        connection: &mut TargetConnection,
    ) -> Result<(), RelayError> {
        self.holding = false;
        self.flush(connection).await
    }

    /// Adds a message of the proxy's own where the answer is now.
    pub fn append(&mut self, connection: &mut TargetConnection, bytes: &[u8]) {
        self.buffer_run(connection);
        self.pending.extend_from_slice(bytes);
    }

    /// What is left to be written once the answer is complete; the connection can be given back.
    pub fn finish(mut self, connection: &mut TargetConnection) -> BytesMut {
        self.buffer_run(connection);
        self.pending
    }

    /// Passes the answer on up to the next notice. `unsent` is what the target still has to get: it
    /// is written while the answer is read, since a target that can't get rid of its answer reads no
    /// further.
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
        let all_came = self.replies.as_ref().is_some_and(Replies::is_empty);
        all_came && self.prelude_ready == 0 && self.frame_left_bytes == 0
    }

    /// Waits until the target can be read from or written to, and does so.
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

    /// Looks at the messages that are there.
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

    /// Handles a message that is there whole.
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
            // Nobody who listens keeps this connection.
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
            // Another proxy's token speaks of that proxy's session, not of this caller's.
            _ if name.starts_with("skylark.") => Ok(None),
            _ => {
                self.pending.extend_from_slice(&frame);
                Ok(None)
            }
        }
    }

    /// Cuts the message that follows the run out of the input. The run is kept, or written if large.
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

/// The parameter that carries a commit's position.
pub const COMMIT_PARAMETER: &str = "group.commit";

/// The parameter with which a proxy tells another who served the request.
pub const SERVED_PARAMETER: &str = "skylark.served";

/// Messages that are passed on as they come, however large.
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
