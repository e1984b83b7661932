//! How the messages of a watcher look on the wire: a length, and that many bytes of JSON, compressed
//! where that saves more than it costs.

use std::fmt;
use std::io;
use std::io::Read;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::socket;
use crate::sessions::process::feed::Message;

/// An encoded message, its length included.
pub type Frame = Arc<[u8]>;

/// The bytes that hold the length of what follows.
const HEADER_BYTES: usize = 4;

/// From which size on a message is compressed, in bytes: smaller ones fit into one packet.
const COMPRESS_FROM_BYTES: usize = 1_400;

/// The largest message, in bytes, before and after it is compressed. A configuration has 1 MB at most.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// The first byte of a message that is not compressed: JSON objects begin so, compressed data never
/// does.
const JSON_BEGIN: u8 = b'{';

/// Why a frame is no message.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FrameError {
    /// It is larger than any message.
    TooLarge,
    /// It can't be read.
    Malformed(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLarge => f.write_str("larger than any message"),
            FrameError::Malformed(why) => write!(f, "no message: {why}"),
        }
    }
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error.to_string())
    }
}

/// Encodes a message.
pub fn encode(message: &Message) -> Frame {
    // The messages hold nothing that JSON can't, and memory takes all that is written to it.
    let text = serde_json::to_vec(message).unwrap_or_default();
    let body = if text.len() < COMPRESS_FROM_BYTES { text } else { compressed(&text) };
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    [length.to_be_bytes().as_slice(), &body].concat().into()
}

fn compressed(text: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Memory takes all that is written to it.
    let _ = encoder.write_all(text);
    encoder.finish().unwrap_or_default()
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// [`FrameError`] if it is no message.
pub fn decode(body: &[u8]) -> Result<Message, FrameError> {
    if body.first() == Some(&JSON_BEGIN) {
        return serde_json::from_slice(body).map_err(malformed);
    }
    let mut text = Vec::new();
    let mut decoder = ZlibDecoder::new(body).take(MAX_MESSAGE_BYTES as u64 + 1);
    decoder.read_to_end(&mut text).map_err(malformed)?;
    if text.len() > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLarge);
    }
    serde_json::from_slice(&text).map_err(malformed)
}

fn malformed<E>(error: E) -> FrameError
where
    E: fmt::Display,
{
    FrameError::Malformed(error.to_string())
}

/// Takes the first frame off the input; none if it is incomplete.
fn split_first(input: &mut BytesMut) -> Result<Option<BytesMut>, FrameError> {
    let Some(header) = input.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*header) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLarge);
    }
    if input.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    input.advance(HEADER_BYTES);
    Ok(Some(input.split_to(length)))
}

/// Reads the body of the next frame. Between two arrivals `silence` may pass at most: a large message
/// over a slow link is no silence for as long as some of it comes. What came is kept in `input` when
/// this is given up.
///
/// # Errors
///
/// An error of the stream, of kind `TimedOut` after a silence, or of kind `InvalidData` if what comes
/// is no frame.
pub async fn next(
    stream: &TcpStream,
    input: &mut BytesMut,
    silence: Duration,
) -> io::Result<BytesMut> {
    loop {
        if let Some(body) = split_first(input)? {
            return Ok(body);
        }
        let read = time::timeout(silence, socket::read_some(stream, input)).await;
        if read.map_err(|_| io::ErrorKind::TimedOut)?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
