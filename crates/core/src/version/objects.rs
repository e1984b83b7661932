//! The objects that the system stores in the platform's object API: JSON bodies by kind.
//!
//! Objects refer to each other by name. [`Topology`](super::topology::Topology) resolves the names of
//! one version into indices.

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::Term;

/// The kinds of objects that the system stores in the platform.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A [`ServiceSpec`].
    Service,
    /// A [`GroupSpec`].
    Group,
    /// A [`LeadRecord`], one for each group under the group's name.
    Lead,
    /// A [`VmSpec`]: the state of a VM that operators request.
    VmSpec,
    /// A [`PlanRecord`](super::plan::record::PlanRecord): a plan and its progress.
    Plan,
}

impl ObjectKind {
    /// All kinds.
    pub const ALL: [ObjectKind; 5] = [
        ObjectKind::Service,
        ObjectKind::Group,
        ObjectKind::Lead,
        ObjectKind::VmSpec,
        ObjectKind::Plan,
    ];

    /// Returns the name of the kind in the platform's paths.
    pub fn name(self) -> &'static str {
        match self {
            ObjectKind::Service => "service",
            ObjectKind::Group => "group",
            ObjectKind::Lead => "lead",
            ObjectKind::VmSpec => "vm_spec",
            ObjectKind::Plan => "plan",
        }
    }

    /// Returns the kind with this name.
    pub fn from_name(name: &str) -> Option<ObjectKind> {
        ObjectKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// A service: the read kinds and request classes that apply to its groups of databases.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The kinds of reads that callers can declare.
    pub read_kinds: Vec<ReadKindSpec>,
    /// The classes between which connections are shared. The first one is the default.
    pub classes: Vec<ClassSpec>,
    /// The id of the plan that last changed the object; empty for none. An operator whose confirmation got no
    /// answer reads it to find out whether the change was applied.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
}

/// A kind of read with a bound on the age of its data.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadKindSpec {
    /// The name by which callers select the kind.
    pub name: String,
    /// The maximum age of the data, in milliseconds.
    pub max_age_ms: u64,
    /// The default class of requests of this kind, for callers that select none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
}

impl ReadKindSpec {
    /// The maximum accepted [`max_age_ms`](Self::max_age_ms): one day.
    pub const HIGHEST_MAX_AGE_MS: u64 = 86_400_000;
}

/// A class of requests with a weighted share of the connections.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The name by which callers and read kinds refer to the class.
    pub name: String,
    /// The share of connections relative to the other classes, at least 1.
    pub weight: u32,
    /// The target response time of the class, in milliseconds.
    pub goal_ms: u64,
}

impl ClassSpec {
    /// The maximum accepted [`weight`](Self::weight).
    pub const HIGHEST_WEIGHT: u32 = 1_000_000;
}

/// A database group. Callers use its name as the name of their database.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The service that the group belongs to.
    pub service: String,
    /// The members. Consecutive versions differ by at most one member, so that the majorities of two
    /// consecutive versions overlap.
    pub members: Vec<MemberSpec>,
    /// The id of the plan that last changed the object; empty for none. An operator whose confirmation got no
    /// answer reads it to find out whether the change was applied.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
}

/// A database of a group.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberSpec {
    /// The target's name, unique over all groups.
    pub target: String,
    /// The availability zone of the target.
    pub zone: String,
    /// The IP address and port, such as `127.0.0.1:7001`.
    pub address: String,
    /// The maximum number of statements that the target runs concurrently.
    pub slots: u32,
    /// The maximum number of caller connections that the target accepts.
    pub connections: u32,
    /// Whether an operator drains the target: it gets no new requests and can't be the primary.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drain: bool,
}

/// The leadership of a group: its primary, and the proxy that drives a change of primary.
///
/// The record prevents proxies from competing as drivers. The safety of a change does not depend on it,
/// but on the majority of members that raise their term.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeadRecord {
    /// The term that `driver` is starting or has started.
    pub term: Term,
    /// The VM whose proxy drives the change of primary to `term`.
    pub driver: String,
    /// The primary in `term`; empty until the driver has promoted one.
    pub primary: String,
    /// The target that an operator requested as primary; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub wanted: String,
    /// The id of the plan that last changed the object; empty for none. An operator whose confirmation got no
    /// answer reads it to find out whether the change was applied.
    /// A driver that writes the record leaves this field unchanged.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
}

/// The state of an entry VM that operators request.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// Whether the VM is drained: its proxy is the home of no target and reports itself as leaving.
    #[serde(default)]
    pub drain: bool,
    /// The id of the plan that last changed the object; empty for none. An operator whose confirmation got no
    /// answer reads it to find out whether the change was applied.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
}

/// The state of a VM in the platform's eventually consistent list of VMs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// A VM in the platform's eventually consistent list of VMs.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// The VM's name.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// The IP address and port where its proxy serves callers and requests forwarded by other proxies.
    pub address: String,
    /// The IP address and port of its proxy's control endpoint.
    pub control_address: String,
    /// The state as far as the platform knows.
    pub state: VmState,
}

/// An object as the platform stores it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct StoredObject {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name, unique within its kind.
    pub name: String,
    /// The store's revision at the object's last change. Conditional updates compare it.
    pub version: u64,
    /// Whether the object was deleted in this version.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
    /// The body.
    pub body: serde_json::Value,
}

/// All objects of the system at one revision of the store, with the list of VMs.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's revision. Higher is newer, and a process never reverts to a lower one.
    pub revision: u64,
    /// The objects, in any order.
    pub objects: Vec<StoredObject>,
    /// The list of VMs. It is eventually consistent and has no revision of its own.
    pub vms: Vec<VmRecord>,
}
