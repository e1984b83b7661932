//! A session's floors, which are the log positions per group that its reads must cover, and the token
//! that encodes them.
//!
//! The token is a comma-separated list of `GROUP:TERM/INDEX`. It contains the whole state of the session,
//! so a caller that carries it can move to any proxy. Merging takes the maximum, so a stale token never
//! lowers a floor.

use std::fmt;
use std::str;

use crate::log_position::LogPosition;
use crate::log_position::ParsePositionError;

/// The maximum number of groups in a token.
pub const MAX_GROUPS: usize = 32;

/// The maximum length of a group name in a token, in bytes.
pub const MAX_GROUP_BYTES: usize = 80;

/// The maximum length of a token, in bytes. Every token that [`Floors`] prints is shorter.
pub const MAX_TOKEN_BYTES: usize = 4096;

/// An error from parsing a token or adding a floor.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FloorError {
    /// The token is longer than [`MAX_TOKEN_BYTES`].
    TooLong,
    /// There are more groups than [`MAX_GROUPS`].
    TooManyGroups,
    /// An entry has no `:` or an empty group name.
    MissingGroup,
    /// The group's name is longer than [`MAX_GROUP_BYTES`] or contains a comma or whitespace.
    BadGroup,
    /// The position of an entry is invalid.
    BadPosition(ParsePositionError),
}

impl fmt::Display for FloorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FloorError::TooLong => write!(f, "a token has at most {MAX_TOKEN_BYTES} bytes"),
            FloorError::TooManyGroups => write!(f, "a token names at most {MAX_GROUPS} groups"),
            FloorError::MissingGroup => f.write_str("expected `group:term/index`"),
            FloorError::BadGroup => write!(
                f,
                "a group's name has at most {MAX_GROUP_BYTES} bytes, no comma and no whitespace"
            ),
            FloorError::BadPosition(reason) => write!(f, "bad position: {reason}"),
        }
    }
}

/// The floor of a session in one group.
#[derive(Clone, PartialEq, Eq, Debug)]
struct GroupFloor {
    group: String,
    position: LogPosition,
}

/// The floors of one session.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Floors {
    /// The entries, sorted by group name without duplicates.
    entries: Vec<GroupFloor>,
}

impl Floors {
    /// Parses a token. The empty string is the token of a session that wrote nothing. If a group occurs
    /// twice, the higher position is used.
    pub fn parse(token: &str) -> Result<Floors, FloorError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(FloorError::TooLong);
        }
        let mut floors = Floors::default();
        if token.is_empty() {
            return Ok(floors);
        }
        for entry in token.split(',') {
            let (group, position) = entry.rsplit_once(':').ok_or(FloorError::MissingGroup)?;
            let position = position.parse().map_err(FloorError::BadPosition)?;
            floors.raise(group, position)?;
        }
        Ok(floors)
    }

    /// Returns the floor of a group, or the lowest position if the session has none.
    pub fn get(&self, group: &str) -> LogPosition {
        match self.find(group) {
            Ok(index) => self.entries[index].position,
            Err(_) => LogPosition::default(),
        }
    }

    /// Raises the floor of a group. A lower position has no effect.
    pub fn raise(&mut self, group: &str, position: LogPosition) -> Result<(), FloorError> {
        match self.find(group) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.position = entry.position.max(position);
            }
            Err(index) => {
                check_group(group)?;
                if self.entries.len() >= MAX_GROUPS {
                    return Err(FloorError::TooManyGroups);
                }
                self.entries.insert(index, GroupFloor { group: group.to_owned(), position });
            }
        }
        Ok(())
    }

    /// Raises every floor to at least that of `other`. On an error nothing is changed.
    pub fn merge(&mut self, other: &Floors) -> Result<(), FloorError> {
        let added = other.entries.iter().filter(|entry| self.find(&entry.group).is_err()).count();
        if self.entries.len() + added > MAX_GROUPS {
            return Err(FloorError::TooManyGroups);
        }
        for entry in &other.entries {
            self.raise(&entry.group, entry.position)?;
        }
        Ok(())
    }

    /// Returns whether the session has no floor.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the groups and their floors, sorted by group name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, LogPosition)> {
        self.entries.iter().map(|entry| (entry.group.as_str(), entry.position))
    }

    /// Returns every violated invariant.
    pub fn verify(&self) -> Vec<FloorsViolation> {
        let mut violations = Vec::new();
        if !self.entries.is_sorted_by(|a, b| a.group < b.group) {
            violations.push(FloorsViolation::NotSorted);
        }
        if self.entries.len() > MAX_GROUPS {
            violations.push(FloorsViolation::TooManyGroups);
        }
        violations
    }

    fn find(&self, group: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.group.as_str().cmp(group))
    }
}

impl fmt::Display for Floors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, entry) in self.entries.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{}:{}", entry.group, entry.position)?;
        }
        Ok(())
    }
}

impl str::FromStr for Floors {
    type Err = FloorError;

    fn from_str(token: &str) -> Result<Floors, FloorError> {
        Floors::parse(token)
    }
}

/// A violated invariant of [`Floors`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FloorsViolation {
    /// The entries are not sorted, or a group occurs twice.
    NotSorted,
    /// There are more groups than [`MAX_GROUPS`].
    TooManyGroups,
}

fn check_group(group: &str) -> Result<(), FloorError> {
    if group.is_empty() {
        return Err(FloorError::MissingGroup);
    }
    let bad_character = |c: char| c == ',' || c.is_whitespace();
    if group.len() > MAX_GROUP_BYTES || group.contains(bad_character) {
        return Err(FloorError::BadGroup);
    }
    Ok(())
}
