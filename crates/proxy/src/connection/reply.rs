//! The replies that an extended-protocol batch awaits, in order.
//!
//! The proxy adds messages of its own to a batch and leaves some of the caller's out. The queue says
//! of each reply that comes whether it is the caller's, and where replies stand that the proxy
//! writes itself.

use std::collections::VecDeque;

use bytes::Bytes;
use postgres_protocol::message::backend;

/// One reply.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Reply {
    /// ParseComplete of the caller's statement, which is prepared under its shared name then.
    Parse {
        /// The statement.
        id: u64,
    },
    /// ParseComplete of a statement that the proxy prepared again.
    InjectedParse {
        /// The statement.
        id: u64,
    },
    /// ParseComplete of the caller's unnamed statement.
    UnnamedParse,
    /// ParseComplete of the caller's unnamed statement, sent again by the proxy.
    InjectedUnnamedParse,
    /// CloseComplete of a shared statement that made room.
    InjectedClose,
    /// BindComplete.
    Bind,
    /// The description of a statement or portal.
    Describe,
    /// All of the answer of an Execute.
    Execute,
    /// CloseComplete of a portal.
    Close,
    /// Messages that the proxy writes itself.
    Local(Bytes),
}

impl Reply {
    /// Whether a message of this type is the end of the reply.
    fn ends_with(&self, tag: u8) -> bool {
        match self {
            Reply::Parse { .. }
            | Reply::InjectedParse { .. }
            | Reply::UnnamedParse
            | Reply::InjectedUnnamedParse => tag == backend::PARSE_COMPLETE_TAG,
            Reply::InjectedClose | Reply::Close => tag == backend::CLOSE_COMPLETE_TAG,
            Reply::Bind => tag == backend::BIND_COMPLETE_TAG,
            Reply::Describe => {
                matches!(tag, backend::ROW_DESCRIPTION_TAG | backend::NO_DATA_TAG)
            }
            Reply::Execute => matches!(
                tag,
                backend::COMMAND_COMPLETE_TAG
                    | backend::EMPTY_QUERY_RESPONSE_TAG
                    | backend::PORTAL_SUSPENDED_TAG
            ),
            Reply::Local(_) => false,
        }
    }

    /// Whether the caller must not see it.
    pub fn is_injected(&self) -> bool {
        matches!(
            self,
            Reply::InjectedParse { .. } | Reply::InjectedUnnamedParse | Reply::InjectedClose
        )
    }
}

/// The replies still to come.
#[derive(Clone, Debug, Default)]
pub struct Replies {
    queue: VecDeque<Reply>,
}

impl Replies {
    /// Adds the next reply.
    pub fn push(&mut self, reply: Reply) {
        self.queue.push_back(reply);
    }

    /// Whether none is awaited.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes the first reply if a message of this type ends it.
    pub fn complete(&mut self, tag: u8) -> Option<Reply> {
        match self.queue.front() {
            Some(first) if first.ends_with(tag) => self.queue.pop_front(),
            _ => None,
        }
    }

    /// Takes what the proxy writes itself, if it is its turn.
    pub fn take_local(&mut self) -> Option<Bytes> {
        if !matches!(self.queue.front(), Some(Reply::Local(_))) {
            return None;
        }
        match self.queue.pop_front() {
            Some(Reply::Local(bytes)) => Some(bytes),
            _ => None,
        }
    }

    /// Forgets the rest, after an error: the target skips the messages up to the next Sync.
    pub fn clear(&mut self) {
        self.queue.clear();
    }
}
