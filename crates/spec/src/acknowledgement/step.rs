//! The steps of the acknowledgement model.

use std::fmt;

use skylark_core::log_position::LogPosition;

/// A transition between two states.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// A primary, possibly a deposed one that does not know of its successor, runs a write.
    Write {
        /// The member that is primary.
        member: usize,
        /// Number of the write.
        write: usize,
    },
    /// A raise arrives at a member and is accepted.
    Raise {
        /// The attempt that sent the raise.
        attempt: usize,
        /// The term of the attempt.
        term: u8,
        /// The member that accepts the raise.
        member: usize,
        /// Position that the driver receives as the answer; `None` if the answer is lost.
        answer: Option<LogPosition>,
    },
    /// A driver chooses its candidate and sends the order to promote it.
    Choose {
        /// The attempt whose driver chooses.
        attempt: usize,
        /// The chosen member.
        member: usize,
    },
    /// The promotion order arrives at the candidate and is accepted.
    Promote {
        /// The promoted member.
        member: usize,
        /// The term that the member opens.
        term: u8,
    },
    /// The order to follow the primary of a term arrives at a member and is accepted.
    Follow {
        /// The member that becomes a replica.
        member: usize,
        /// The term of the primary.
        term: u8,
    },
    /// A replica receives the next record of its primary's log.
    Replicate {
        /// The replica.
        member: usize,
    },
    /// A replica truncates its log to the common prefix with its primary.
    Rewind {
        /// The replica.
        member: usize,
    },
    /// The next version of the member set is accepted.
    ChangeMembers {
        /// The accepted version.
        version: u8,
    },
    /// Every process holds the newest version.
    KnowMembers {
        /// The newest version.
        version: u8,
    },
    /// The newest version is settled, so the next one may be accepted.
    SettleMembers {
        /// The settled version.
        version: u8,
    },
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Step::Write { member, write } => write!(f, "member{member} runs write{write}"),
            Step::Raise { attempt, term, member, answer: Some(position) } => write!(
                f,
                "driver{attempt} raises term {term} on member{member}, which answers {position}"
            ),
            Step::Raise { attempt, term, member, answer: None } => write!(
                f,
                "driver{attempt} raises term {term} on member{member}; the answer is lost"
            ),
            Step::Choose { attempt, member } => {
                write!(f, "driver{attempt} orders the promotion of member{member}")
            }
            Step::Promote { member, term } => {
                write!(f, "member{member} becomes primary of term {term} and opens it")
            }
            Step::Follow { member, term } => {
                write!(f, "member{member} is told to follow the primary of term {term}")
            }
            Step::Replicate { member } => write!(f, "member{member} receives the next record"),
            Step::Rewind { member } => {
                write!(f, "member{member} rewinds to the last record in common with its primary")
            }
            Step::ChangeMembers { version } => {
                write!(f, "version {version} of the member set is accepted")
            }
            Step::KnowMembers { version } => {
                write!(f, "every process knows version {version} of the member set")
            }
            Step::SettleMembers { version } => {
                write!(f, "version {version} of the member set is settled")
            }
        }
    }
}
