//! Messages that a peer sends.

use std::fmt;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// The largest message that is taken, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// The largest start-up packet that is taken, in bytes.
pub const MAX_STARTUP_BYTES: usize = 10_000;

const LENGTH_BYTES: usize = 4;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;
const CANCEL_REQUEST: u32 = 80_877_102;
const MAJOR_VERSION: u32 = 3;

/// A message that breaks the protocol.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Malformed(pub &'static str);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The first packet of a connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Opening {
    /// Asks for encryption, by TLS or GSS.
    Encryption,
    /// Cancels another connection's statement.
    Cancel {
        /// The session's number.
        session: u32,
        /// The secret.
        secret: u32,
    },
    /// Starts a session.
    Startup(Vec<(String, String)>),
}

/// A message of a started session.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Message {
    /// A simple query.
    Query(String),
    /// Prepares a statement.
    Parse {
        /// The statement's name.
        name: String,
        /// Its text.
        sql: String,
        /// The types of the first parameters, zero for unknown.
        types: Vec<u32>,
    },
    /// Binds parameters to a statement.
    Bind(Bind),
    /// Asks for the description of a statement (`true`) or portal.
    Describe(bool, String),
    /// Runs a portal, up to a count of rows; zero for all.
    Execute(String, usize),
    /// Closes a statement (`true`) or portal.
    Close(bool, String),
    /// Ends a batch.
    Sync,
    /// Asks for the answers so far.
    Flush,
    /// Ends the session.
    Terminate,
    /// Anything else, by its tag.
    Other(u8),
}

/// Binds parameters to a statement.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Bind {
    /// The portal's name.
    pub portal: String,
    /// The statement's name.
    pub statement: String,
    /// The formats of the parameters: none, one for all, or one each; 1 is binary.
    pub formats: Vec<u16>,
    /// The values; `None` is null.
    pub values: Vec<Option<Bytes>>,
    /// The formats of the result's columns, likewise.
    pub result_formats: Vec<u16>,
}

/// Takes the opening packet off the input, once it is complete.
///
/// # Errors
///
/// A packet that is too short, too long, or of another protocol.
pub fn take_opening(input: &mut BytesMut) -> Result<Option<Opening>, Malformed> {
    let Some(length) = peek_length(input, 0) else { return Ok(None) };
    if !(2 * LENGTH_BYTES..=MAX_STARTUP_BYTES).contains(&length) {
        return Err(Malformed("invalid length of startup packet"));
    }
    if input.len() < length {
        return Ok(None);
    }
    let mut packet = input.split_to(length).freeze();
    packet.advance(LENGTH_BYTES);
    match packet.get_u32() {
        SSL_REQUEST | GSS_REQUEST => Ok(Some(Opening::Encryption)),
        CANCEL_REQUEST => {
            let session = take_u32(&mut packet)?;
            let secret = take_u32(&mut packet)?;
            Ok(Some(Opening::Cancel { session, secret }))
        }
        version if version >> 16 == MAJOR_VERSION => {
            take_parameters(&mut packet).map(|parameters| Some(Opening::Startup(parameters)))
        }
        _ => Err(Malformed("unsupported frontend protocol")),
    }
}

/// The tag of the next message, if its first byte is there.
pub fn peek_tag(input: &BytesMut) -> Option<u8> {
    input.first().copied()
}

/// Takes the next message off the input, once it is complete.
///
/// # Errors
///
/// A message that is too long or malformed.
pub fn take_message(input: &mut BytesMut) -> Result<Option<Message>, Malformed> {
    let Some(length) = peek_length(input, 1) else { return Ok(None) };
    if !(LENGTH_BYTES..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(Malformed("invalid message length"));
    }
    if input.len() < length + 1 {
        return Ok(None);
    }
    let tag = input[0];
    let mut body = input.split_to(length + 1).freeze();
    body.advance(1 + LENGTH_BYTES);
    decode(tag, &mut body).map(Some)
}

fn decode(tag: u8, body: &mut Bytes) -> Result<Message, Malformed> {
    Ok(match tag {
        b'Q' => Message::Query(take_text(body)?),
        b'P' => {
            let name = take_text(body)?;
            let sql = take_text(body)?;
            let count = take_u16(body)?;
            let types = (0..count).map(|_| take_u32(body)).collect::<Result<_, _>>()?;
            Message::Parse { name, sql, types }
        }
        b'B' => Message::Bind(Bind {
            portal: take_text(body)?,
            statement: take_text(body)?,
            formats: take_formats(body)?,
            values: take_values(body)?,
            result_formats: take_formats(body)?,
        }),
        b'D' => {
            let is_statement = take_is_statement(body)?;
            Message::Describe(is_statement, take_text(body)?)
        }
        b'E' => {
            let portal = take_text(body)?;
            Message::Execute(portal, take_u32(body)? as usize)
        }
        b'C' => {
            let is_statement = take_is_statement(body)?;
            Message::Close(is_statement, take_text(body)?)
        }
        b'S' => Message::Sync,
        b'H' => Message::Flush,
        b'X' => Message::Terminate,
        other => Message::Other(other),
    })
}

fn peek_length(input: &BytesMut, at: usize) -> Option<usize> {
    let bytes = input.get(at..at + LENGTH_BYTES)?;
    let length = bytes.try_into().map(u32::from_be_bytes).ok()?;
    Some(length as usize)
}

fn take_parameters(packet: &mut Bytes) -> Result<Vec<(String, String)>, Malformed> {
    let mut parameters = Vec::new();
    loop {
        let name = take_text(packet)?;
        if name.is_empty() {
            return Ok(parameters);
        }
        parameters.push((name, take_text(packet)?));
    }
}

fn take_text(body: &mut Bytes) -> Result<String, Malformed> {
    let end = body.iter().position(|byte| *byte == 0);
    let end = end.ok_or(Malformed("a text is not ended"))?;
    let text = body.split_to(end);
    body.advance(1);
    str::from_utf8(&text).map(str::to_owned).map_err(|_| Malformed("a text is no UTF-8"))
}

fn take_u16(body: &mut Bytes) -> Result<u16, Malformed> {
    body.try_get_u16().map_err(|_| Malformed("a message is too short"))
}

fn take_u32(body: &mut Bytes) -> Result<u32, Malformed> {
    body.try_get_u32().map_err(|_| Malformed("a message is too short"))
}

fn take_formats(body: &mut Bytes) -> Result<Vec<u16>, Malformed> {
    let count = take_u16(body)?;
    (0..count).map(|_| take_u16(body)).collect()
}

fn take_values(body: &mut Bytes) -> Result<Vec<Option<Bytes>>, Malformed> {
    let count = take_u16(body)?;
    (0..count).map(|_| take_value(body)).collect()
}

fn take_value(body: &mut Bytes) -> Result<Option<Bytes>, Malformed> {
    let length = take_u32(body)?;
    if length == u32::MAX {
        return Ok(None);
    }
    if body.len() < length as usize {
        return Err(Malformed("a message is too short"));
    }
    Ok(Some(body.split_to(length as usize)))
}

fn take_is_statement(body: &mut Bytes) -> Result<bool, Malformed> {
    match body.try_get_u8() {
        Ok(b'S') => Ok(true),
        Ok(b'P') => Ok(false),
        _ => Err(Malformed("neither a statement nor a portal")),
    }
}
