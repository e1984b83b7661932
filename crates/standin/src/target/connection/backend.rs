//! Encodes the messages of a target.

use bytes::BufMut;
use bytes::BytesMut;
use postgres_protocol::message::backend;

use super::cancel::CancelKey;
use super::types::Column;
use crate::target::error::TargetError;

const LENGTH_BYTES: usize = 4;
const AUTHENTICATION_OK: i32 = 0;

/// The state that `ReadyForQuery` reports.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TransactionState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// A transaction is open and has failed.
    Failed,
}

/// Writes a message: `body` writes what follows the length.
pub fn message<F>(output: &mut BytesMut, tag: u8, body: F)
where
    F: FnOnce(&mut BytesMut),
{
    output.put_u8(tag);
    let start = output.len();
    output.put_u32(0);
    body(output);
    let length = (output.len() - start) as u32;
    output[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

fn put_text(output: &mut BytesMut, text: &str) {
    output.put_slice(text.as_bytes());
    output.put_u8(0);
}

/// `AuthenticationOk`.
pub fn authentication_ok(output: &mut BytesMut) {
    message(output, backend::AUTHENTICATION_TAG, |body| body.put_i32(AUTHENTICATION_OK));
}

/// `ParameterStatus`.
pub fn parameter_status(output: &mut BytesMut, name: &str, value: &str) {
    message(output, backend::PARAMETER_STATUS_TAG, |body| {
        put_text(body, name);
        put_text(body, value);
    });
}

/// `BackendKeyData`.
pub fn key_data(output: &mut BytesMut, key: CancelKey) {
    message(output, backend::BACKEND_KEY_DATA_TAG, |body| {
        body.put_u32(key.session);
        body.put_u32(key.secret);
    });
}

/// `ReadyForQuery`.
pub fn ready(output: &mut BytesMut, state: TransactionState) {
    message(output, backend::READY_FOR_QUERY_TAG, |body| {
        body.put_u8(match state {
            TransactionState::Idle => b'I',
            TransactionState::Open => b'T',
            TransactionState::Failed => b'E',
        });
    });
}

/// `CommandComplete`.
pub fn command_complete(output: &mut BytesMut, tag: &str) {
    message(output, backend::COMMAND_COMPLETE_TAG, |body| put_text(body, tag));
}

/// A message without a body.
pub fn bare(output: &mut BytesMut, tag: u8) {
    message(output, tag, |_| {});
}

/// `ErrorResponse`.
pub fn error(output: &mut BytesMut, severity: &str, error: &TargetError) {
    message(output, backend::ERROR_RESPONSE_TAG, |body| {
        let message = error.to_string();
        let fields =
            [(b'S', severity), (b'V', severity), (b'C', error.sqlstate()), (b'M', &message)];
        for (field, text) in fields {
            body.put_u8(field);
            put_text(body, text);
        }
        body.put_u8(0);
    });
}

/// `NotificationResponse`.
pub fn notification(output: &mut BytesMut, session: u32, channel: &str, payload: &str) {
    message(output, backend::NOTIFICATION_RESPONSE_TAG, |body| {
        body.put_u32(session);
        put_text(body, channel);
        put_text(body, payload);
    });
}

/// `RowDescription`. `binary` says for each column whether it is in binary format.
pub fn row_description<F>(output: &mut BytesMut, columns: &[Column], binary: F)
where
    F: Fn(usize) -> bool,
{
    message(output, backend::ROW_DESCRIPTION_TAG, |body| {
        body.put_u16(columns.len() as u16);
        for (place, column) in columns.iter().enumerate() {
            put_text(body, &column.name);
            body.put_u32(0);
            body.put_u16(0);
            body.put_u32(column.type_.oid());
            body.put_i16(column.type_.size_bytes());
            body.put_i32(-1);
            body.put_u16(u16::from(binary(place)));
        }
    });
}

/// `ParameterDescription`.
pub fn parameter_description(output: &mut BytesMut, oids: &[u32]) {
    message(output, backend::PARAMETER_DESCRIPTION_TAG, |body| {
        body.put_u16(oids.len() as u16);
        for oid in oids {
            body.put_u32(*oid);
        }
    });
}

/// `DataRow` with one text column.
pub fn text_row(output: &mut BytesMut, text: &str) {
    message(output, backend::DATA_ROW_TAG, |body| {
        body.put_u16(1);
        body.put_u32(text.len() as u32);
        body.put_slice(text.as_bytes());
    });
}
