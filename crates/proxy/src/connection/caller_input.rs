//! Splits a caller's input into protocol messages.
//!
//! No buffer is kept between messages, so an idle caller costs no more than its socket and its session.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::frames::FrameHeader;
use crate::connection::socket;

/// A complete message of a caller.
#[derive(Clone, Debug)]
pub struct CallerMessage {
    /// The type byte.
    pub tag: u8,
    /// The complete frame, header included.
    pub frame: Bytes,
}

impl CallerMessage {
    /// Returns the body of the message.
    pub fn body(&self) -> &[u8] {
        &self.frame[crate::connection::frames::HEADER_BYTES..]
    }
}

/// The reason that no message can be read.
#[derive(Debug)]
pub enum InputError {
    /// The caller closed the connection.
    Closed,
    /// Reading from the connection failed.
    Broken(io::Error),
    /// The message exceeds the size limit.
    TooLarge,
    /// The caller sent part of a message and nothing more within the time limit.
    Stalled,
    /// The input is not a valid frame.
    BadFrame,
}

/// The buffered input of one caller.
#[derive(Debug, Default)]
pub struct CallerInput {
    buffer: BytesMut,
}

impl CallerInput {
    /// Creates the input with bytes that were read earlier.
    pub fn new(buffer: BytesMut) -> CallerInput {
        CallerInput { buffer }
    }

    /// Returns whether unread bytes are buffered.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Frees the buffer if it is empty.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Returns the next message, waiting for its rest if part of it has arrived; `None` if nothing has
    /// arrived yet.
    ///
    /// Fails with [`InputError::Stalled`] if the caller sends nothing more of a message for
    /// `stall_timeout`.
    pub async fn next(
        &mut self,
        stream: &TcpStream,
        limit_bytes: usize,
        stall_timeout: Duration,
    ) -> Result<Option<CallerMessage>, InputError> {
        loop {
            if let Some(message) = self.take_message(limit_bytes)? {
                return Ok(Some(message));
            }
            match socket::try_read(stream, &mut self.buffer) {
                Ok(Some(0)) => return Err(InputError::Closed),
                Ok(Some(_)) => continue,
                Ok(None) if self.buffer.is_empty() => return Ok(None),
                Ok(None) => match time::timeout(stall_timeout, stream.readable()).await {
                    Ok(ready) => ready.map_err(InputError::Broken)?,
                    Err(_) => return Err(InputError::Stalled),
                },
                Err(error) => return Err(InputError::Broken(error)),
            }
        }
    }

    fn take_message(&mut self, limit_bytes: usize) -> Result<Option<CallerMessage>, InputError> {
        let header = FrameHeader::parse(&self.buffer).map_err(|_| InputError::BadFrame)?;
        let Some(header) = header else { return Ok(None) };
        if header.frame_bytes > limit_bytes {
            return Err(InputError::TooLarge);
        }
        if self.buffer.len() < header.frame_bytes {
            return Ok(None);
        }
        let frame = self.buffer.split_to(header.frame_bytes).freeze();
        Ok(Some(CallerMessage { tag: header.tag, frame }))
    }
}
