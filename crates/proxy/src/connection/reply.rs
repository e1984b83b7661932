//! The replies expected for an extended-protocol batch, in order.
//!
//! The proxy adds messages of its own to a batch and leaves some of the caller's out. The queue
//! determines for each received reply whether it is the caller's, and where replies that the proxy
//! writes itself belong.

use std::collections::VecDeque;

use bytes::Bytes;
use postgres_protocol::message::backend;

/// One expected reply.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Reply {
    /// ParseComplete of the caller's statement, which is then prepared under its shared name.
    Parse {
        /// The id of the statement.
        id: u64,
    },
    /// ParseComplete of a statement that the proxy prepared because the connection lacked it.
    InjectedParse {
        /// The id of the statement.
        id: u64,
    },
    /// ParseComplete of the caller's unnamed statement.
    UnnamedParse,
    /// ParseComplete of the caller's unnamed statement, whose Parse the proxy repeated.
    InjectedUnnamedParse,
    /// CloseComplete of a shared statement that was evicted.
    InjectedClose,
    /// BindComplete.
    Bind,
    /// The description of a statement or portal: RowDescription or NoData.
    Describe,
    /// All messages that answer an Execute.
    Execute,
    /// CloseComplete of a portal.
    Close,
    /// Messages that the proxy writes itself.
    Local(Bytes),
}

impl Reply {
    /// Returns whether a message of this type completes the reply.
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

    /// Returns whether the reply must not be forwarded to the caller.
    pub fn is_injected(&self) -> bool {
        matches!(
            self,
            Reply::InjectedParse { .. } | Reply::InjectedUnnamedParse | Reply::InjectedClose
        )
    }
}

/// The queue of outstanding replies.
#[derive(Clone, Debug, Default)]
pub struct Replies {
    queue: VecDeque<Reply>,
}

impl Replies {
    /// Appends an expected reply.
    pub fn push(&mut self, reply: Reply) {
        self.queue.push_back(reply);
    }

    /// Returns whether no reply is outstanding.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Removes and returns the first reply if a message of this type completes it.
    pub fn complete(&mut self, tag: u8) -> Option<Reply> {
        match self.queue.front() {
            Some(first) if first.ends_with(tag) => self.queue.pop_front(),
            _ => None,
        }
    }

    /// Removes and returns the first reply if it is one that the proxy writes itself.
    pub fn take_local(&mut self) -> Option<Bytes> {
        if !matches!(self.queue.front(), Some(Reply::Local(_))) {
            return None;
        }
        match self.queue.pop_front() {
            Some(Reply::Local(bytes)) => Some(bytes),
            _ => None,
        }
    }

    /// Drops the outstanding replies after an error: the target skips messages up to the next Sync.
    pub fn clear(&mut self) {
        self.queue.clear();
    }
}
