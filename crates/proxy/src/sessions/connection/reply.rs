//! Replies of targets.

use bytes::BytesMut;
use skylark_core::log_position::LogPosition;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::Stage;
use skylark_core::request::statement::TargetError;
use skylark_core::request::statement::TransactionStatus;

use crate::sessions::codec::Codec;
use crate::sessions::codec::TargetMessage;

/// The result that ends a reply.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// The statement succeeded.
    Complete {
        /// The target's proof that it ran the statement.
        proof: Box<str>,
    },
    /// The target refused the statement, or the statement failed.
    Error {
        /// The error class.
        error: TargetError,
        /// The error as the target sent it, without framing.
        text: Box<str>,
    },
}

/// A complete reply to one statement.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Reply {
    /// The rows, encoded for a caller.
    pub rows: BytesMut,
    /// The first row's text; empty if there is no row.
    pub first_row: Box<str>,
    /// The result.
    pub end: End,
    /// The transaction status after the statement.
    pub status: TransactionStatus,
    /// The end of the target's log; `None` if the target reports no position.
    pub position: Option<LogPosition>,
}

impl Reply {
    /// Appends the rows and the result. The caller of this function appends the final READY message, because
    /// its status is the session's.
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

    /// Returns the error, if the statement did not succeed.
    pub fn error(&self) -> Option<TargetError> {
        match self.end {
            End::Complete { .. } => None,
            End::Error { error, .. } => Some(error),
        }
    }
}

/// A statement without a complete reply.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LostReply {
    /// Why the reply is missing or incomplete.
    pub failure: Failure,
    /// How far the statement had progressed.
    pub stage: Stage,
}

impl LostReply {
    /// Returns whether the reply timed out.
    pub fn timed_out(&self) -> bool {
        self.failure == Failure::TimedOut
    }
}
