//! A session's floors: the position of each group that its reads must cover, and their token.
//!
//! The token is `GROUP:TERM/INDEX` for each group, separated by commas. It is the session's whole
//! state, so a caller that carries it can roam to any proxy. Merging takes the maximum, so presenting
//! an old token again never lowers a floor.

use std::fmt;
use std::str;

use crate::log_position::LogPosition;
use crate::log_position::ParsePositionError;

/// The most groups that one token names.
pub const MAX_GROUPS: usize = 32;

/// The longest group name that a token carries, in bytes.
pub const MAX_GROUP_BYTES: usize = 80;

/// The longest token, in bytes: every token that [`Floors`] prints is shorter.
pub const MAX_TOKEN_BYTES: usize = 4096;

/// Why a text is no token, or why a floor can't be added.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum FloorError {
    /// The token is longer than [`MAX_TOKEN_BYTES`].
    TooLong,
    /// There are more groups than [`MAX_GROUPS`].
    TooManyGroups,
    /// An entry has no `:` or an empty group name.
    MissingGroup,
    /// The group's name is longer than [`MAX_GROUP_BYTES`] or holds a comma or whitespace.
    BadGroup,
    /// An entry's position can't be read.
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

/// The floor of one group.
#[derive(Clone, PartialEq, Eq, Debug)]
struct GroupFloor {
    group: String,
    position: LogPosition,
}

/// The floors of one session.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Floors {
    /// Sorted by the group's name, each group once.
    entries: Vec<GroupFloor>,
}

impl Floors {
    /// Reads a token; the empty text is the token of a session that wrote nothing. A group that is
    /// named twice counts with its higher position.
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

    /// The floor of a group: the lowest position when the session has none.
    pub fn get(&self, group: &str) -> LogPosition {
        match self.find(group) {
            Ok(index) => self.entries[index].position,
            Err(_) => LogPosition::default(),
        }
    }

    /// Raises the floor of a group; a lower position changes nothing.
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

    /// Raises every floor to that of another session's state. On an error nothing has changed.
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

    /// Whether the session has no floor.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The groups and their floors, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, LogPosition)> {
        self.entries.iter().map(|entry| (entry.group.as_str(), entry.position))
    }

    /// Every broken invariant.
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

/// A broken invariant of [`Floors`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FloorsViolation {
    /// The entries are not sorted, or a group stands twice.
    NotSorted,
    /// There are more groups than a token may name.
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
