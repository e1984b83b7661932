//! The unit of routing: a simple query, or a batch of extended-protocol messages.

use bytes::Bytes;
use bytes::BytesMut;
use postgres_protocol::message::frontend;
use skylark_core::request::retry::Effect;

use crate::connection::reply::Replies;
use crate::connection::target_connection::TargetConnection;
use crate::request::batch::BatchEnd;
use crate::request::batch::Plan;
use crate::request::exchange::EncodedRequest;
use crate::request::statement::StatementTraits;

/// A request of a caller that is routed and executed as a whole.
#[derive(Clone, Debug)]
pub enum CallerRequest {
    /// A simple query, which may contain several statements.
    Simple {
        /// The complete Query message, header included.
        frame: Bytes,
        /// The traits of the query text.
        traits: StatementTraits,
        /// The query text if it is a single session-level `SET` or `RESET`.
        session_set: Option<String>,
    },
    /// A batch of extended-protocol messages.
    Batch {
        /// The batch with its statement names resolved.
        plan: Plan,
        /// The message that ended the batch.
        end: BatchEnd,
    },
}

impl CallerRequest {
    /// Returns the combined traits of all statements in the request.
    pub fn traits(&self) -> &StatementTraits {
        match self {
            CallerRequest::Simple { traits, .. } => traits,
            CallerRequest::Batch { plan, .. } => &plan.traits,
        }
    }

    /// Returns the text of the session-level `SET` or `RESET` if the request contains nothing else.
    pub fn session_set(&self) -> Option<&str> {
        match self {
            CallerRequest::Simple { session_set, .. } => session_set.as_deref(),
            CallerRequest::Batch { plan, .. } => plan.session_set.as_deref(),
        }
    }

    /// Returns whether the answer ends with a ReadyForQuery.
    pub fn awaits_ready(&self) -> bool {
        match self {
            CallerRequest::Simple { .. } => true,
            CallerRequest::Batch { end, .. } => *end == BatchEnd::Sync,
        }
    }

    /// Returns the effect that a retry decision has to assume. `ends_implicit` is set if the request
    /// ends an implicit transaction and thereby commits it.
    pub fn effect(&self, is_read: bool, ends_implicit: bool) -> Effect {
        match () {
            _ if is_read => Effect::Read,
            _ if self.traits().may_commit || ends_implicit => Effect::Commit,
            _ => Effect::Write,
        }
    }

    /// Encodes the request for `connection`, after `prelude`, the proxy's own requests.
    ///
    /// `prelude_ready` is the number of ReadyForQuery messages that the prelude is answered with.
    /// `prepared_limit` bounds the prepared statements on the connection.
    pub fn encode(
        &self,
        connection: &mut TargetConnection,
        prelude: BytesMut,
        prelude_ready: u32,
        prepared_limit: usize,
    ) -> std::io::Result<EncodedRequest> {
        let mut encoded = EncodedRequest {
            prelude_bytes: prelude.len(),
            prelude_ready,
            awaits_ready: self.awaits_ready(),
            changes_session: self.traits().changes_session,
            ..EncodedRequest::default()
        };
        let mut out = prelude;
        match self {
            CallerRequest::Simple { frame, .. } if out.is_empty() => encoded.bytes = frame.clone(),
            CallerRequest::Simple { frame, .. } => {
                out.extend_from_slice(frame);
                encoded.bytes = out.freeze();
            }
            CallerRequest::Batch { plan, end } => {
                let mut replies = Replies::default();
                encoded.prepared_again =
                    plan.encode(&mut connection.prepared, prepared_limit, &mut out, &mut replies)?;
                match end {
                    BatchEnd::Sync => frontend::sync(&mut out),
                    BatchEnd::Flush => frontend::flush(&mut out),
                }
                encoded.bytes = out.freeze();
                encoded.replies = Some(replies);
            }
        }
        Ok(encoded)
    }
}
