//! The changes of the configuration that operators can request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::version::objects::GroupSpec;

/// A change that an operator requests.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// Drains a target: it gets no new requests and can't be the primary.
    DrainTarget {
        /// The target.
        target: String,
    },
    /// Puts a drained target back into service.
    UndrainTarget {
        /// The target.
        target: String,
    },
    /// Drains an entry VM: its proxy is the home of no target.
    DrainVm {
        /// The VM.
        vm: String,
    },
    /// Puts a drained entry VM back into service.
    UndrainVm {
        /// The VM.
        vm: String,
    },
    /// Makes another member the primary of a group.
    MovePrimary {
        /// The group.
        group: String,
        /// The new primary; `None` lets the planner choose one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        to: Option<String>,
    },
    /// Changes the maximum age of the data for a read kind.
    SetStaleness {
        /// The service.
        service: String,
        /// The read kind.
        read_kind: String,
        /// The new maximum age, in milliseconds.
        max_age_ms: u64,
    },
    /// Changes the weight of a class in the sharing of connections.
    SetWeight {
        /// The service.
        service: String,
        /// The class.
        class: String,
        /// The new weight.
        weight: u32,
    },
    /// Adds a group.
    AddGroup {
        /// The group's name.
        group: String,
        /// The definition of the group.
        spec: GroupSpec,
    },
    /// Removes a group. Its databases are not touched.
    RemoveGroup {
        /// The group.
        group: String,
    },
}

impl fmt::Display for Intent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Intent::DrainTarget { target } => write!(f, "drain target `{target}`"),
            Intent::UndrainTarget { target } => write!(f, "undrain target `{target}`"),
            Intent::DrainVm { vm } => write!(f, "drain VM `{vm}`"),
            Intent::UndrainVm { vm } => write!(f, "undrain VM `{vm}`"),
            Intent::MovePrimary { group, to: Some(to) } => {
                write!(f, "move the primary of group `{group}` to `{to}`")
            }
            Intent::MovePrimary { group, to: None } => {
                write!(f, "move the primary of group `{group}`")
            }
            Intent::SetStaleness { service, read_kind, max_age_ms } => {
                write!(f, "let `{read_kind}` reads of `{service}` be up to {max_age_ms} ms old")
            }
            Intent::SetWeight { service, class, weight } => {
                write!(f, "give class `{class}` of `{service}` weight {weight}")
            }
            Intent::AddGroup { group, .. } => write!(f, "add group `{group}`"),
            Intent::RemoveGroup { group } => write!(f, "remove group `{group}`"),
        }
    }
}
