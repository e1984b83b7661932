//! The record of one operation of a caller: its request, its times and its result.

use std::fmt;

use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::error_kind::Outcome;

/// The id of a request, unique within a run. The response has to echo it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Tag(pub u64);

impl Tag {
    /// Combines the session's number and the operation's serial number within the session into a tag.
    pub fn new(session: u32, serial: u32) -> Tag {
        Tag((u64::from(session) << 32) | u64::from(serial))
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The reason why an operation was refused or abandoned, from the caller's point of view.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Reason {
    /// An error that is listed in `skylark_core::request::error_kind`.
    Kind(ErrorKind),
    /// Any other error, as its SQLSTATE and message.
    Foreign(String),
    /// No connection could be opened, so nothing was sent.
    ConnectFailed,
    /// The connection was closed before the request was sent.
    ClosedBefore,
    /// The connection broke after the request was sent.
    Broken,
    /// The caller's time limit passed before a response arrived.
    GaveUp,
}

impl Reason {
    /// Returns the name in counters and reports.
    pub fn name(&self) -> &str {
        match self {
            Reason::Kind(kind) => kind.answer().name,
            Reason::Foreign(text) => text,
            Reason::ConnectFailed => "caller_connect_failed",
            Reason::ClosedBefore => "caller_closed_before",
            Reason::Broken => "caller_connection_broke",
            Reason::GaveUp => "caller_gave_up",
        }
    }
}

/// The failure of a request that got no result.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// The reason of the failure.
    pub reason: Reason,
    /// Whether the request ran, according to the error response or to the caller's own knowledge.
    pub outcome: Outcome,
}

/// The request of an operation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Request {
    /// Inserts the row (`tag`, session, `seq`). `seq` increases with each write of the session.
    Write {
        /// The sequence number of the write within the session, from 1.
        seq: u64,
    },
    /// Reads the highest `seq` of the session's own rows.
    Read {
        /// The highest `seq` that was acknowledged to the session before the read started, or 0.
        must_see_seq: u64,
    },
}

/// The result of an operation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Ending {
    /// The write was acknowledged.
    Acknowledged {
        /// The log position of the commit, or `None` if none was reported.
        position: Option<LogPosition>,
    },
    /// The read was answered, or a write got the response of a read.
    Answered {
        /// The tag in the response, or `None` if the response has an unexpected form.
        echo: Option<Tag>,
        /// The highest `seq` in the response.
        seen_seq: u64,
    },
    /// The operation failed: it was refused or abandoned.
    Refused(Refusal),
}

/// The record of one operation. Times are in microseconds on the run's clock.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Record {
    /// The index of the operation's description in the mix.
    pub operation: usize,
    /// The index of the group in the run's list of groups.
    pub group: usize,
    /// The number of the session.
    pub session: u32,
    /// The request's tag.
    pub tag: Tag,
    /// The request.
    pub request: Request,
    /// The scheduled start. Latency is measured from here, so it includes delays of the caller.
    pub intended_us: u64,
    /// The actual start.
    pub started_us: u64,
    /// The end.
    pub ended_us: u64,
    /// The result.
    pub ending: Ending,
}

impl Record {
    /// Returns the time from the scheduled start to the end, in microseconds.
    pub fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.intended_us)
    }

    /// Returns whether the operation was answered or acknowledged.
    pub fn succeeded(&self) -> bool {
        !matches!(self.ending, Ending::Refused(_))
    }
}

/// The rows that a group's primary holds at the end of a run.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct FinalRows {
    /// The tag of each row, in any order. Duplicate rows give duplicate tags.
    pub tags: Vec<Tag>,
}
