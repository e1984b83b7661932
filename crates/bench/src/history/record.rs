//! One operation of a caller: what it asked, when, and how it ended.

use std::fmt;

use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::error_kind::Outcome;

/// The number that a request carries and that its answer must echo; unique within a run.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of a session's operation.
    pub fn new(session: u32, serial: u32) -> Tag {
        Tag((u64::from(session) << 32) | u64::from(serial))
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Why an operation was refused or given up, as far as the caller can tell.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Reason {
    /// An answer of the table in `skylark_core::request::error_kind`.
    Kind(ErrorKind),
    /// An error that is not of the table, by SQLSTATE and message.
    Foreign(String),
    /// No connection could be opened, so nothing was sent.
    ConnectFailed,
    /// The connection was found closed before anything was sent.
    ClosedBefore,
    /// The connection broke after the request was sent.
    Broken,
    /// The caller gave up waiting.
    GaveUp,
}

impl Reason {
    /// The name in counts and reports.
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

/// A request that got no result, and what it was told about its effect.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it ran, as the answer claims or as the caller knows.
    pub outcome: Outcome,
}

/// What a write or a read asked.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Request {
    /// Adds the row (`tag`, session, `seq`); `seq` grows with each write of the session.
    Write {
        /// The session's number for this write, from 1.
        seq: u64,
    },
    /// Reads the highest `seq` of the session's own rows.
    Read {
        /// The highest `seq` that was acknowledged to the session before this read began.
        must_see_seq: u64,
    },
}

/// How an operation ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Ending {
    /// The write was acknowledged, at this position where one was reported.
    Acknowledged {
        /// The commit's position.
        position: Option<LogPosition>,
    },
    /// The read was answered.
    Answered {
        /// The tag that the answer carries; none if the answer has another shape.
        echo: Option<Tag>,
        /// The highest `seq` that it shows.
        seen_seq: u64,
    },
    /// It was refused or given up.
    Refused(Refusal),
}

/// One operation of one caller.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Record {
    /// The place of the operation's description in the mix.
    pub operation: usize,
    /// The place of the group in the run's list.
    pub group: usize,
    /// The session.
    pub session: u32,
    /// The request's tag.
    pub tag: Tag,
    /// What it asked.
    pub request: Request,
    /// When it should have begun; latency counts from here.
    pub intended_us: u64,
    /// When the caller began it.
    pub started_us: u64,
    /// When it ended.
    pub ended_us: u64,
    /// How it ended.
    pub ending: Ending,
}

impl Record {
    /// The time from the intended start to the end.
    pub fn latency_us(&self) -> u64 {
        self.ended_us.saturating_sub(self.intended_us)
    }

    /// Whether it got its result.
    pub fn succeeded(&self) -> bool {
        !matches!(self.ending, Ending::Refused(_))
    }
}

/// The rows that a group's primary holds at the end: one tag a row, in any order.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct FinalRows {
    /// The tags, with repetitions where rows repeat.
    pub tags: Vec<Tag>,
}
