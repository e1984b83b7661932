//! The messages of a caller, cut from the bytes as they come.
//!
//! Between messages no buffer is held: an idle caller costs its socket and its session only.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::frames::FrameHeader;
use crate::connection::socket;

/// A whole message of a caller.
#[derive(Clone, Debug)]
pub struct CallerMessage {
    /// The type.
    pub tag: u8,
    /// The frame with its header.
    pub frame: Bytes,
}

impl CallerMessage {
    /// What follows the header.
    pub fn body(&self) -> &[u8] {
        &self.frame[crate::connection::frames::HEADER_BYTES..]
    }
}

/// Why no message comes.
#[derive(Debug)]
pub enum InputError {
    /// The caller closed the connection.
    Closed,
    /// The connection broke.
    Broken(io::Error),
    /// The message is larger than the limit.
    TooLarge,
    /// The caller began a message and does not go on.
    Stalled,
    /// The bytes are no message.
    BadFrame,
}

/// The input of one caller.
#[derive(Debug, Default)]
pub struct CallerInput {
    buffer: BytesMut,
}

impl CallerInput {
    /// Input that begins with bytes read earlier.
    pub fn new(buffer: BytesMut) -> CallerInput {
        CallerInput { buffer }
    }

    /// Whether bytes of a message are there already.
    pub fn has_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the buffer while nothing is in it.
    pub fn shrink(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// The next message if it is there whole or was begun; `None` when nothing of it came yet.
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
