//! Terms and positions of a group's replicated log.
//!
//! A term is the period in which one primary leads. Positions are ordered by term first: a member
//! whose last entry has a higher term holds every acknowledged entry of all lower terms, regardless
//! of the indexes, because a new primary is promoted only from a majority that covers them
//! (see `process/failover/mod.rs`).

use std::fmt;
use std::str;

use serde::Deserialize;
use serde::Serialize;

/// The number of a term, which grows with each new primary. Zero is before the first primary.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

impl Term {
    /// Returns the term that the next failover opens.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The position of a record in a group's log: the term that wrote it and its index. Indexes start at 1
/// and have no gaps.
///
/// Printed and parsed as `term/index`.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term of the primary that wrote the record.
    pub term: Term,
    /// The record's index, counted from 1 over the whole log.
    pub index: u64,
}

impl LogPosition {
    /// Creates a position from a term and an index.
    pub fn new(term: u64, index: u64) -> LogPosition {
        LogPosition { term: Term(term), index }
    }

    /// Returns whether a log that ends here holds the acknowledged record at `floor`.
    ///
    /// Only valid for acknowledged records: an unacknowledged record of an older term may be
    /// missing from a newer log of the same length.
    pub fn covers(self, floor: LogPosition) -> bool {
        self >= floor
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}

/// An error from parsing a log position.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ParsePositionError {
    /// There is no `/` between term and index.
    MissingSeparator,
    /// The term is not an unsigned number.
    BadTerm,
    /// The index is not an unsigned number.
    BadIndex,
}

impl fmt::Display for ParsePositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ParsePositionError::MissingSeparator => "expected `term/index`",
            ParsePositionError::BadTerm => "the term is no unsigned number",
            ParsePositionError::BadIndex => "the index is no unsigned number",
        })
    }
}

impl str::FromStr for LogPosition {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<LogPosition, ParsePositionError> {
        let (term, index) = text.split_once('/').ok_or(ParsePositionError::MissingSeparator)?;
        let term = term.parse().map_err(|_| ParsePositionError::BadTerm)?;
        let index = index.parse().map_err(|_| ParsePositionError::BadIndex)?;
        Ok(LogPosition::new(term, index))
    }
}
