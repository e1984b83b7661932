//! The status that a member of a group reports about itself. The member reads it in one atomic step.

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::log_position::Term;

/// The replication role that a member believes it has.
///
/// An isolated primary keeps reporting `Primary`; only terms decide who may acknowledge.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes in the term of its last promotion.
    Primary,
    /// Replicates from a primary.
    Replica,
    /// Neither leads nor replicates: fenced by a raised term, or not yet assigned a primary.
    Fenced,
}

/// A member's status report. All fields are from the same moment: a member checks the term and
/// confirms what it holds in one step.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The replication role of the member.
    pub role: Role,
    /// The highest term that the member has voted for. It confirms nothing of an older term.
    pub raised_term: Term,
    /// The failover driver that got the member's vote for `raised_term`; empty when none asked.
    pub raised_by: String,
    /// The position of the last record that the member holds durably.
    pub log: LogPosition,
    /// The position of the last record that is visible to reads at this member.
    pub applied: LogPosition,
    /// Whether the member is shutting down and accepts no new work.
    pub leaving: bool,
}

impl MemberStatus {
    /// Returns whether this report confirms that the member holds `position`, written in `position.term`.
    ///
    /// A member that has raised its term confirms nothing of an older one, so an old primary
    /// collects no confirmations once it is fenced. The last record must be of the same term: a longer
    /// log of another term need not hold the record.
    pub fn confirms(&self, position: LogPosition) -> bool {
        self.raised_term == position.term
            && self.log.term == position.term
            && self.log.index >= position.index
    }
}
