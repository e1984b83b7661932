//! Reading complete messages from a stream.

use std::io;

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::connection::socket;
use crate::sessions::codec::Codec;
use crate::sessions::codec::CodecError;
use crate::sessions::process::limits;

/// A failure to read a message.
#[derive(Debug)]
pub enum ReadError {
    /// The received bytes are not a valid message.
    Codec(CodecError),
    /// The stream was closed before the message was complete.
    Ended,
    /// The stream failed.
    Broken(io::Error),
}

impl From<ReadError> for io::Error {
    fn from(reason: ReadError) -> io::Error {
        match reason {
            ReadError::Codec(_) => io::ErrorKind::InvalidData.into(),
            ReadError::Ended => io::ErrorKind::UnexpectedEof.into(),
            ReadError::Broken(error) => error,
        }
    }
}

/// Reads until `input` starts with a complete message, and returns the message's length.
///
/// # Errors
///
/// [`ReadError`] if no valid message can be read.
pub async fn read_message<C>(stream: &TcpStream, input: &mut BytesMut) -> Result<usize, ReadError>
where
    C: Codec,
{
    loop {
        let found = C::message_len(input, limits::MAX_MESSAGE_BYTES);
        if let Some(length) = found.map_err(ReadError::Codec)? {
            return Ok(length);
        }
        if socket::read_some(stream, input).await.map_err(ReadError::Broken)? == 0 {
            return Err(ReadError::Ended);
        }
    }
}
