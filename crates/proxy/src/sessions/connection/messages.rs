//! Waiting for a whole message.

use std::io;

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::connection::socket;
use crate::sessions::codec::Codec;
use crate::sessions::codec::CodecError;
use crate::sessions::process::limits;

/// Why no message came.
#[derive(Debug)]
pub enum ReadError {
    /// What came is no message.
    Codec(CodecError),
    /// The stream ended.
    Ended,
    /// The stream broke.
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

/// Reads until the input starts with a whole message, and returns its length.
///
/// # Errors
///
/// [`NoMessage`] if none comes.
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
