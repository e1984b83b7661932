//! Errors of planning.

use std::fmt;

use serde::Serialize;

use crate::version::objects::ObjectKind;

/// The minimum Jaro-Winkler similarity, from 0 to 1, of a known name that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;

/// The kind of entity that a name refers to.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NameKind {
    /// A target of any group.
    Target,
    /// A member of the requested group.
    Member,
    /// An entry VM.
    Vm,
    /// A group.
    Group,
    /// A service.
    Service,
    /// A read kind of the requested service.
    ReadKind,
    /// A class of the requested service.
    Class,
}

impl fmt::Display for NameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NameKind::Target => "target",
            NameKind::Member => "member of this group",
            NameKind::Vm => "VM",
            NameKind::Group => "group",
            NameKind::Service => "service",
            NameKind::ReadKind => "read kind of this service",
            NameKind::Class => "class of this service",
        })
    }
}

/// The reason why there is no plan for an intent.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum PlanError {
    /// There is no entity with this name.
    Unknown {
        /// The kind of entity.
        what: NameKind,
        /// The name.
        name: String,
        /// The most similar known name, if its similarity is high enough.
        nearest: Option<String>,
    },
    /// A value is not accepted.
    BadValue {
        /// The setting that the value is for.
        what: String,
        /// The rejected value.
        value: String,
        /// The accepted values.
        accepted: String,
    },
    /// The state is already as intended.
    NoChange {
        /// The state that already exists.
        already: String,
    },
    /// The members in service would no longer form a majority, so writes could not be confirmed.
    WouldLoseMajority {
        /// The group.
        group: String,
        /// The number of members that would stay in service.
        left: usize,
        /// The number of members that form a majority.
        needed: usize,
    },
    /// No entry VM would stay in service.
    WouldLeaveNoVm,
    /// The group has no recorded primary at the moment, so a move can't be planned.
    PrimaryUnknown {
        /// The group.
        group: String,
    },
    /// The target can't be drained because the primary is being moved to it.
    MoveUnderway {
        /// The group.
        group: String,
        /// The requested primary.
        wanted: String,
    },
    /// No other member can become the primary.
    NoOtherMember {
        /// The group.
        group: String,
    },
    /// A stored object is invalid.
    BadObject {
        /// The object's kind.
        kind: ObjectKind,
        /// The object's name.
        name: String,
        /// The error in the object.
        reason: String,
    },
}

impl PlanError {
    /// Creates the error for an unknown name, with the most similar known name as a suggestion.
    pub fn unknown<'a, I>(what: NameKind, name: &str, known: I) -> PlanError
    where
        I: IntoIterator<Item = &'a str>,
    {
        let similarity = |known: &str| strsim::jaro_winkler(name, known);
        let nearest = known
            .into_iter()
            .filter(|known| similarity(known) >= MIN_SIMILARITY)
            .max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
        PlanError::Unknown { what, name: name.to_owned(), nearest: nearest.map(str::to_owned) }
    }
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::Unknown { what, name, nearest } => {
                write!(f, "there is no {what} `{name}`")?;
                match nearest {
                    Some(nearest) => write!(f, "; the nearest name is `{nearest}`"),
                    None => Ok(()),
                }
            }
            PlanError::BadValue { what, value, accepted } => {
                write!(f, "{what}: `{value}` is not accepted; accepted: {accepted}")
            }
            PlanError::NoChange { already } => write!(f, "nothing to change: {already}"),
            PlanError::WouldLoseMajority { group, left, needed } => write!(
                f,
                "group `{group}` would keep {left} in service, and a majority of its members is {needed}"
            ),
            PlanError::WouldLeaveNoVm => f.write_str("no other entry VM is live"),
            PlanError::PrimaryUnknown { group } => {
                write!(f, "no primary of group `{group}` is recorded now; plan again once one is")
            }
            PlanError::MoveUnderway { group, wanted } => write!(
                f,
                "the primary of group `{group}` is being moved to `{wanted}`; plan again afterwards"
            ),
            PlanError::NoOtherMember { group } => {
                write!(f, "group `{group}` has no other member that could lead")
            }
            PlanError::BadObject { kind, name, reason } => {
                write!(f, "the stored {} `{name}` can't be read: {reason}", kind.name())
            }
        }
    }
}
