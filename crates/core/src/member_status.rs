//! What a member of a group reports about itself, read in one atomic step at the member.

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::log_position::Term;

/// The part that a member believes it plays.
///
/// An isolated primary goes on reporting `Primary`; only terms decide who may acknowledge.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts writes in the term of its last promotion.
    Primary,
    /// Follows a primary.
    Replica,
    /// Follows nobody: fenced by a raised term, or waiting to be told whom to follow.
    Fenced,
}

/// A member's report. Every field belongs to the same moment: a member confirms what it holds
/// after its check of the term, in one step.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The part the member plays.
    pub role: Role,
    /// The highest term that the member has promised itself to.
    pub raised_term: Term,
    /// The driver to whom the member gave its vote of `raised_term`; empty when none asked.
    pub raised_by: String,
    /// The last record that the member holds durably.
    pub log: LogPosition,
    /// The last record that reads at this member see.
    pub applied: LogPosition,
    /// Whether the member is going away and takes no new work.
    pub leaving: bool,
}

impl MemberStatus {
    /// Whether this report confirms that the member holds `position`, written in `position.term`.
    ///
    /// A member that has raised its term confirms nothing of an older one, so an old primary can
    /// collect no confirmation after the fence. Its last record must be of the same term: a longer
    /// log of another term need not hold the record.
    pub fn confirms(&self, position: LogPosition) -> bool {
        self.raised_term == position.term
            && self.log.term == position.term
            && self.log.index >= position.index
    }
}
