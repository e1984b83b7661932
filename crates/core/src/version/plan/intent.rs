//! What operators can ask for.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::version::objects::GroupSpec;

/// An operator's intent.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// A target gets no new work and leads nothing.
    DrainTarget {
        /// The target.
        target: String,
    },
    /// A target gets work again.
    UndrainTarget {
        /// The target.
        target: String,
    },
    /// An entry VM is home to no target.
    DrainVm {
        /// The VM.
        vm: String,
    },
    /// An entry VM takes part again.
    UndrainVm {
        /// The VM.
        vm: String,
    },
    /// Another member becomes a group's primary.
    MovePrimary {
        /// The group.
        group: String,
        /// The member; the plan chooses one where none is given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        to: Option<String>,
    },
    /// Reads of a kind may see data of another age.
    SetStaleness {
        /// The service.
        service: String,
        /// The kind of reads.
        read_kind: String,
        /// The new oldest age in milliseconds.
        max_age_ms: u64,
    },
    /// A class gets another share of connections.
    SetWeight {
        /// The service.
        service: String,
        /// The class.
        class: String,
        /// The new weight.
        weight: u32,
    },
    /// A group is served.
    AddGroup {
        /// The group's name.
        group: String,
        /// The group.
        spec: GroupSpec,
    },
    /// A group is no longer served. Its databases are left as they are.
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
