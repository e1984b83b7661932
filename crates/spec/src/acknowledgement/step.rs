//! The steps of the acknowledgement model.

use std::fmt;

use skylark_core::log_position::LogPosition;

/// What happens between two states.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// A primary, or one that believes it leads, runs a write.
    Write {
        /// The member.
        member: usize,
        /// The write.
        write: usize,
    },
    /// A raise arrives at a member and takes.
    Raise {
        /// The attempt that sent it.
        attempt: usize,
        /// Its term.
        term: u8,
        /// The member.
        member: usize,
        /// The position that the driver gets as answer; none if the answer is lost.
        answer: Option<LogPosition>,
    },
    /// A driver chooses its candidate and sends the order to promote it.
    Choose {
        /// The attempt.
        attempt: usize,
        /// The candidate.
        member: usize,
    },
    /// The order to promote arrives at the candidate and takes.
    Promote {
        /// The member.
        member: usize,
        /// The term that it opens.
        term: u8,
    },
    /// The order to follow the primary of a term arrives at a member and takes.
    Follow {
        /// The member.
        member: usize,
        /// The primary's term.
        term: u8,
    },
    /// A replica receives its primary's next record.
    Replicate {
        /// The replica.
        member: usize,
    },
    /// A replica drops the records that its primary does not hold.
    Rewind {
        /// The replica.
        member: usize,
    },
    /// The next version of the member set is accepted.
    ChangeMembers {
        /// The version.
        version: u8,
    },
    /// Every process has taken over the version.
    KnowMembers {
        /// The version.
        version: u8,
    },
    /// The version is safe to be followed by the next one.
    SettleMembers {
        /// The version.
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
