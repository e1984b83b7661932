//! Framing of the PostgreSQL protocol: the five-byte header of a typed message, and the backend
//! messages that the proxy writes itself.
//!
//! `postgres-protocol` encodes frontend messages only, so the few backend messages that are needed are
//! encoded here.

use std::fmt;

use bytes::BufMut;
use bytes::BytesMut;
use postgres_protocol::message::backend;

/// The size of a message header: the type byte and the length.
pub const HEADER_BYTES: usize = 5;

/// The transaction status in ReadyForQuery outside of a transaction.
pub const STATUS_IDLE: u8 = b'I';

/// The object identifier of PostgreSQL's type `text`.
const TEXT_OID: u32 = 25;

/// A frame whose length field is invalid.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BadFrame;

impl fmt::Display for BadFrame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("frame length is shorter than the length field")
    }
}

/// The header of a typed message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FrameHeader {
    /// The type byte.
    pub tag: u8,
    /// The length of the complete frame in bytes, type byte included.
    pub frame_bytes: usize,
}

impl FrameHeader {
    /// Parses the header at the start of `bytes`. Returns `None` if it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<FrameHeader>, BadFrame> {
        if bytes.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]) as usize;
        if length < 4 {
            return Err(BadFrame);
        }
        Ok(Some(FrameHeader { tag: bytes[0], frame_bytes: length + 1 }))
    }
}

/// Splits a zero-terminated string off the start of `bytes`. Returns the string without its terminator
/// and the rest.
pub fn split_cstr(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..end], &bytes[end + 1..]))
}

/// Appends a frame whose body is written by `write_body`.
pub fn frame<F>(out: &mut BytesMut, tag: u8, write_body: F)
where
    F: FnOnce(&mut BytesMut),
{
    out.put_u8(tag);
    let length_at = out.len();
    out.put_u32(0);
    write_body(out);
    let length = (out.len() - length_at) as u32;
    out[length_at..length_at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string. Zero bytes within the text are dropped, since they would end it
/// early.
pub fn put_cstr(out: &mut BytesMut, text: &str) {
    out.extend(text.bytes().filter(|byte| *byte != 0));
    out.put_u8(0);
}

/// Appends AuthenticationOk.
pub fn authentication_ok(out: &mut BytesMut) {
    frame(out, backend::AUTHENTICATION_TAG, |out| out.put_i32(0));
}

/// Appends BackendKeyData.
pub fn backend_key_data(out: &mut BytesMut, process_id: i32, secret: i32) {
    frame(out, backend::BACKEND_KEY_DATA_TAG, |out| {
        out.put_i32(process_id);
        out.put_i32(secret);
    });
}

/// Appends ParameterStatus.
pub fn parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    frame(out, backend::PARAMETER_STATUS_TAG, |out| {
        put_cstr(out, name);
        put_cstr(out, value);
    });
}

/// Appends ReadyForQuery with the given transaction status.
pub fn ready_for_query(out: &mut BytesMut, status: u8) {
    frame(out, backend::READY_FOR_QUERY_TAG, |out| out.put_u8(status));
}

/// Appends CommandComplete.
pub fn command_complete(out: &mut BytesMut, tag: &str) {
    frame(out, backend::COMMAND_COMPLETE_TAG, |out| put_cstr(out, tag));
}

/// Appends a message without a body.
pub fn empty(out: &mut BytesMut, tag: u8) {
    frame(out, tag, |_| ());
}

/// Appends a RowDescription with one column of type text.
pub fn text_column(out: &mut BytesMut, name: &str) {
    frame(out, backend::ROW_DESCRIPTION_TAG, |out| {
        out.put_i16(1);
        put_cstr(out, name);
        out.put_u32(0);
        out.put_i16(0);
        out.put_u32(TEXT_OID);
        out.put_i16(-1);
        out.put_i32(-1);
        out.put_i16(0);
    });
}

/// Appends a DataRow with one text value.
pub fn text_row(out: &mut BytesMut, value: &str) {
    frame(out, backend::DATA_ROW_TAG, |out| {
        out.put_i16(1);
        out.put_i32(value.len() as i32);
        out.put_slice(value.as_bytes());
    });
}

/// Appends a ParameterDescription without parameters.
pub fn no_parameters(out: &mut BytesMut) {
    frame(out, backend::PARAMETER_DESCRIPTION_TAG, |out| out.put_i16(0));
}

/// The fields of an ErrorResponse that the proxy writes.
#[derive(Clone, Copy, Debug)]
pub struct ErrorFields<'a> {
    /// `ERROR`, or `FATAL` where the connection is closed.
    pub severity: &'a str,
    /// The five-character SQLSTATE.
    pub sqlstate: &'a str,
    /// The message.
    pub message: &'a str,
    /// The DETAIL field: whether the request ran.
    pub detail: &'a str,
    /// The HINT field: when to retry; empty for no hint.
    pub hint: &'a str,
}

/// Appends ErrorResponse. Empty fields are left out.
pub fn error_response(out: &mut BytesMut, fields: ErrorFields<'_>) {
    frame(out, backend::ERROR_RESPONSE_TAG, |out| {
        let all = [
            (b'S', fields.severity),
            (b'V', fields.severity),
            (b'C', fields.sqlstate),
            (b'M', fields.message),
            (b'D', fields.detail),
            (b'H', fields.hint),
        ];
        for (code, value) in all.into_iter().filter(|(_, value)| !value.is_empty()) {
            out.put_u8(code);
            put_cstr(out, value);
        }
        out.put_u8(0);
    });
}

/// Returns the value of one field of an ErrorResponse frame, for example `C`, the SQLSTATE.
pub fn error_field(error_frame: &[u8], wanted: u8) -> Option<&str> {
    let mut rest = error_frame.get(HEADER_BYTES..)?;
    while let [code, fields @ ..] = rest {
        if *code == 0 {
            return None;
        }
        let (value, next) = split_cstr(fields)?;
        if *code == wanted {
            return std::str::from_utf8(value).ok();
        }
        rest = next;
    }
    None
}

/// Returns the name and value in a ParameterStatus frame.
pub fn parse_parameter_status(status_frame: &[u8]) -> Option<(&str, &str)> {
    let (name, rest) = split_cstr(status_frame.get(HEADER_BYTES..)?)?;
    let (value, _) = split_cstr(rest)?;
    Some((std::str::from_utf8(name).ok()?, std::str::from_utf8(value).ok()?))
}
