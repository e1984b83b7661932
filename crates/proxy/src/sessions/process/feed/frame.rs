//! Wire format of the feed: a length prefix followed by JSON, which is compressed where that reduces the
//! cost.

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

/// An encoded message with its length prefix.
pub type Frame = Arc<[u8]>;

/// Size of the length prefix, in bytes.
const HEADER_BYTES: usize = 4;

/// Minimum size of a message to be compressed, in bytes. Smaller ones fit into one packet.
const COMPRESS_FROM_BYTES: usize = 1_400;

/// Maximum size of a message, in bytes, both compressed and uncompressed. A configuration has at most 1 MB.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// First byte of an uncompressed message: a JSON object starts with it, compressed data never does.
const JSON_BEGIN: u8 = b'{';

/// Why a frame could not be decoded.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FrameError {
    /// The message exceeds the maximum size.
    TooLarge,
    /// The message is not valid JSON, or its compressed data is corrupt.
    Malformed(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLarge => f.write_str("message too large"),
            FrameError::Malformed(why) => write!(f, "malformed message: {why}"),
        }
    }
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> io::Error {
        io::Error::new(io::ErrorKind::InvalidData, error.to_string())
    }
}

/// Encodes a message, compressing it if it is large.
pub fn encode(message: &Message) -> Frame {
    // Every message can be represented in JSON, and writing to memory does not fail.
    let text = serde_json::to_vec(message).unwrap_or_default();
    let body = if text.len() < COMPRESS_FROM_BYTES { text } else { compressed(&text) };
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    [length.to_be_bytes().as_slice(), &body].concat().into()
}

fn compressed(text: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory does not fail.
    let _ = encoder.write_all(text);
    encoder.finish().unwrap_or_default()
}

/// Decodes the body of a frame.
///
/// # Errors
///
/// [`FrameError`] if the body is too large or malformed.
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

/// Splits the first frame's body off the input. Returns `None` while the frame is incomplete.
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

/// Reads the body of the next frame. `silence` bounds the time between two reads, not that for the whole
/// frame, so a large message on a slow link does not time out while data arrives. Cancel safe: partial data
/// stays in `input`.
///
/// # Errors
///
/// An I/O error of the stream, of kind `TimedOut` after the silence, `UnexpectedEof` at its end, or
/// `InvalidData` for a malformed frame.
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
