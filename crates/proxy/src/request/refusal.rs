//! A refused or failed request and its ErrorResponse to the caller.

use bytes::BytesMut;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::statement::NotAdmitted;

use crate::connection::frames;
use crate::connection::frames::ErrorFields;

/// The reason that a request is refused or has failed, with a hint when to retry.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The error kind, which determines SQLSTATE, message and outcome.
    pub kind: ErrorKind,
    /// The retry hint in milliseconds, if there is a better estimate than the kind's default.
    pub retry_after_ms: Option<u64>,
    /// Details appended to the kind's message; empty if it needs none.
    pub note: String,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Refusal {
        Refusal { kind, retry_after_ms: None, note: String::new() }
    }
}

impl From<NotAdmitted> for Refusal {
    fn from(refused: NotAdmitted) -> Refusal {
        Refusal::with_retry_after(refused.kind, refused.retry_after_ms.into())
    }
}

impl Refusal {
    /// Creates a refusal with an estimate of when a retry may succeed.
    pub fn with_retry_after(kind: ErrorKind, retry_after_ms: u64) -> Refusal {
        Refusal { kind, retry_after_ms: Some(retry_after_ms), note: String::new() }
    }

    /// Creates a refusal with details.
    pub fn with_note(kind: ErrorKind, note: String) -> Refusal {
        Refusal { kind, retry_after_ms: None, note }
    }

    /// Returns whether the caller's connection is closed after this answer.
    pub fn closes_connection(&self) -> bool {
        self.kind.answer().closes_connection
    }

    /// Appends the ErrorResponse to `out`.
    pub fn write(&self, out: &mut BytesMut) {
        let answer = self.kind.answer();
        let message = match self.note.as_str() {
            "" => answer.message.to_owned(),
            note => format!("{}: {note}", answer.message),
        };
        let retry_after_ms = self.retry_after_ms.unwrap_or(answer.retry_after_ms);
        let hint = match retry_after_ms {
            0 => String::new(),
            retry_after_ms => format!("retry after {retry_after_ms} ms"),
        };
        let fields = ErrorFields {
            severity: if answer.closes_connection { "FATAL" } else { "ERROR" },
            sqlstate: answer.sqlstate,
            message: &message,
            detail: answer.outcome.description(),
            hint: &hint,
        };
        frames::error_response(out, fields);
    }
}
