//! A request that is refused or given up, and its answer to the caller.

use bytes::BytesMut;
use skylark_core::request::error_kind::ErrorKind;

use crate::connection::frames;
use crate::connection::frames::ErrorFields;

/// Why a request is refused or given up, and when to come back.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The kind, which decides code, message and outcome.
    pub kind: ErrorKind,
    /// A better estimate of when to come back than the kind's own, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// What in particular is wrong; empty where the kind says all.
    pub note: String,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Refusal {
        Refusal { kind, retry_after_ms: None, note: String::new() }
    }
}

impl Refusal {
    /// A refusal with an estimate of when to come back.
    pub fn with_retry_after(kind: ErrorKind, retry_after_ms: u64) -> Refusal {
        Refusal { kind, retry_after_ms: Some(retry_after_ms), note: String::new() }
    }

    /// A refusal that says what in particular is wrong.
    pub fn with_note(kind: ErrorKind, note: String) -> Refusal {
        Refusal { kind, retry_after_ms: None, note }
    }

    /// Whether the caller's connection ends with this answer.
    pub fn closes_connection(&self) -> bool {
        self.kind.answer().closes
    }

    /// Writes the ErrorResponse.
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
            severity: if answer.closes { "FATAL" } else { "ERROR" },
            sqlstate: answer.sqlstate,
            message: &message,
            detail: answer.outcome.words(),
            hint: &hint,
        };
        frames::error_response(out, fields);
    }
}
