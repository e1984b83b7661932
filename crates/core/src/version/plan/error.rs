//! Why an intent gives no plan.

use std::fmt;

use serde::Serialize;

use crate::version::objects::ObjectKind;

/// How alike a known name must be to be offered for an unknown one, from 0 to 1.
const MIN_SIMILARITY: f64 = 0.8;

/// What an unknown name was expected to name.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NameKind {
    /// A target of any group.
    Target,
    /// A member of the group in question.
    Member,
    /// An entry VM.
    Vm,
    /// A group.
    Group,
    /// A service.
    Service,
    /// A read kind of the service in question.
    ReadKind,
    /// A class of the service in question.
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

/// Why an intent gives no plan.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum PlanError {
    /// Nothing has this name.
    Unknown {
        /// What was looked for.
        what: NameKind,
        /// The name.
        name: String,
        /// The most similar known name, if one is similar.
        nearest: Option<String>,
    },
    /// A value is not accepted.
    BadValue {
        /// What the value is for.
        what: String,
        /// The value.
        value: String,
        /// What is accepted.
        accepted: String,
    },
    /// The state is already as intended.
    NoChange {
        /// What is so already.
        already: String,
    },
    /// Too few members would be left to confirm writes.
    WouldLoseMajority {
        /// The group.
        group: String,
        /// The members that would be left.
        left: usize,
        /// How many a majority needs.
        needed: usize,
    },
    /// No entry VM would be left.
    WouldLeaveNoVm,
    /// Which member leads is not recorded at the moment, so the plan can't say what to move.
    PrimaryUnknown {
        /// The group.
        group: String,
    },
    /// The primary is being moved to the target.
    MoveUnderway {
        /// The group.
        group: String,
        /// The target that is to lead.
        wanted: String,
    },
    /// No other member can become the primary.
    NoOtherMember {
        /// The group.
        group: String,
    },
    /// A stored object can't be read.
    BadObject {
        /// The object's kind.
        kind: ObjectKind,
        /// The object's name.
        name: String,
        /// What is wrong.
        reason: String,
    },
}

impl PlanError {
    /// Nothing has this name; the nearest of the known names is offered.
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
