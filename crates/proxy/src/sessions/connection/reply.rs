//! What became of a statement at a target.

use bytes::BytesMut;
use skylark_core::log_position::LogPosition;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::Stage;
use skylark_core::request::statement::TargetError;
use skylark_core::request::statement::TransactionStatus;

use crate::sessions::codec::Codec;
use crate::sessions::codec::TargetMessage;

/// How a statement ended at a target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// It succeeded, with the target's proof.
    Complete {
        /// The proof.
        proof: Box<str>,
    },
    /// It was refused or failed.
    Error {
        /// Why.
        error: TargetError,
        /// The target's words.
        text: Box<str>,
    },
}

/// The whole answer to one statement.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Reply {
    /// The rows, encoded for a caller.
    pub rows: BytesMut,
    /// The first row's text; empty if there is none.
    pub first_row: Box<str>,
    /// How it ended.
    pub end: End,
    /// The transaction's status afterwards.
    pub status: TransactionStatus,
    /// How far the target's log went.
    pub position: Option<LogPosition>,
}

impl Reply {
    /// Writes rows and end; the READY that follows is the session's own.
    pub fn encode<C>(&self, out: &mut BytesMut)
    where
        C: Codec,
    {
        out.extend_from_slice(&self.rows);
        let end = match &self.end {
            End::Complete { proof } => TargetMessage::Complete { proof },
            End::Error { error, text } => TargetMessage::Error { error: *error, text },
        };
        C::encode_answer(&end, out);
    }

    /// The error, if it is one.
    pub fn error(&self) -> Option<TargetError> {
        match self.end {
            End::Complete { .. } => None,
            End::Error { error, .. } => Some(error),
        }
    }
}

/// A statement that got no whole answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LostReply {
    /// What was seen.
    pub failure: Failure,
    /// How far the statement had come.
    pub stage: Stage,
}

impl LostReply {
    /// Whether the other end was silent for too long.
    pub fn timed_out(&self) -> bool {
        self.failure == Failure::TimedOut
    }
}
