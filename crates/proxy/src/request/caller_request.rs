//! What is routed as one: a simple query, or a batch of extended-protocol messages.

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

/// A request of a caller.
#[derive(Clone, Debug)]
pub enum CallerRequest {
    /// A simple query.
    Simple {
        /// The frame.
        frame: Bytes,
        /// What its text shows.
        traits: StatementTraits,
        /// The text, if it is one `SET` or `RESET` for the session.
        session_set: Option<String>,
    },
    /// A batch.
    Batch {
        /// The planned batch.
        plan: Plan,
        /// What ends it.
        end: BatchEnd,
    },
}

impl CallerRequest {
    /// What its texts show.
    pub fn traits(&self) -> &StatementTraits {
        match self {
            CallerRequest::Simple { traits, .. } => traits,
            CallerRequest::Batch { plan, .. } => &plan.traits,
        }
    }

    /// The text of the session's parameter that it sets, if that is all it does.
    pub fn session_set(&self) -> Option<&str> {
        match self {
            CallerRequest::Simple { session_set, .. } => session_set.as_deref(),
            CallerRequest::Batch { plan, .. } => plan.session_set.as_deref(),
        }
    }

    /// Whether its answer ends with a ReadyForQuery.
    pub fn awaits_ready(&self) -> bool {
        match self {
            CallerRequest::Simple { .. } => true,
            CallerRequest::Batch { end, .. } => *end == BatchEnd::Sync,
        }
    }

    /// What it would do, for a decision on a retry.
    pub fn effect(&self, is_read: bool, ends_implicit: bool) -> Effect {
        match () {
            _ if is_read => Effect::Read,
            _ if self.traits().may_commit || ends_implicit => Effect::Commit,
            _ => Effect::Write,
        }
    }

    /// Writes it for a connection, behind `prelude`, the proxy's own requests.
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
