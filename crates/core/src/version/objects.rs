//! The system's objects in the platform's object API, as they are stored: JSON bodies by kind.
//!
//! Objects name each other by name. [`Topology`](super::topology::Topology) resolves the names of
//! one version into indices.

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::Term;

/// The kinds of objects that the system keeps in the platform.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A [`ServiceSpec`].
    Service,
    /// A [`GroupSpec`].
    Group,
    /// A [`LeadRecord`], one for each group under the group's name.
    Lead,
    /// A [`VmSpec`]: what operators ask of a VM.
    VmSpec,
    /// A [`PlanRecord`](super::plan::record::PlanRecord): a plan and how far it has come.
    Plan,
}

impl ObjectKind {
    /// Every kind.
    pub const ALL: [ObjectKind; 5] = [
        ObjectKind::Service,
        ObjectKind::Group,
        ObjectKind::Lead,
        ObjectKind::VmSpec,
        ObjectKind::Plan,
    ];

    /// The kind's name in the platform's paths.
    pub fn name(self) -> &'static str {
        match self {
            ObjectKind::Service => "service",
            ObjectKind::Group => "group",
            ObjectKind::Lead => "lead",
            ObjectKind::VmSpec => "vm_spec",
            ObjectKind::Plan => "plan",
        }
    }

    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<ObjectKind> {
        ObjectKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// A service: groups of databases, and how their reads and request classes are treated.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The kinds of reads that callers can declare.
    pub read_kinds: Vec<ReadKindSpec>,
    /// The classes that share connections. The first one is the default.
    pub classes: Vec<ClassSpec>,
    /// The plan whose confirmation last changed the object; empty for none. It lets an operator
    /// whose confirmation got no answer find out whether the change took.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
}

/// A kind of read and how old its data may be.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadKindSpec {
    /// The name that callers declare.
    pub name: String,
    /// The oldest age of the data in milliseconds.
    pub max_age_ms: u64,
    /// The class of requests of this kind, unless the caller names one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
}

impl ReadKindSpec {
    /// The highest [`max_age_ms`](Self::max_age_ms) that is accepted: a day.
    pub const HIGHEST_MAX_AGE_MS: u64 = 86_400_000;
}

/// A class of requests that shares scarce connections with the others.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The name that callers and read kinds refer to.
    pub name: String,
    /// The share of connections relative to the other classes, at least 1.
    pub weight: u32,
    /// The response time that the class aims at, in milliseconds.
    pub goal_ms: u64,
}

impl ClassSpec {
    /// The highest [`weight`](Self::weight) that is accepted.
    pub const HIGHEST_WEIGHT: u32 = 1_000_000;
}

/// A database group: callers name it as their database.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupSpec {
    /// The service that the group belongs to.
    pub service: String,
    /// The members. Successive versions differ by one member at most, so that majorities of
    /// neighbouring versions share a member.
    pub members: Vec<MemberSpec>,
    /// The plan whose confirmation last changed the object; empty for none. It lets an operator
    /// whose confirmation got no answer find out whether the change took.
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
    /// IP address and port, as `127.0.0.1:7001`.
    pub address: String,
    /// How many statements the target runs at once.
    pub slots: u32,
    /// How many caller connections the target accepts in all.
    pub connections: u32,
    /// Whether an operator drains the target: it gets no new work and leads nothing.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub drain: bool,
}

/// Who leads a group, and which proxy drives a change of primary.
///
/// The record keeps candidates from duelling. It is not what makes a change safe: that is the
/// majority of members that raise their term.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeadRecord {
    /// The term that `driver` opens or has opened.
    pub term: Term,
    /// The VM whose proxy drives the change to `term`.
    pub driver: String,
    /// The target that leads in `term`; empty while the driver has not promoted one.
    pub primary: String,
    /// The target that an operator asked to lead; empty for none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub wanted: String,
    /// The plan whose confirmation last changed the object; empty for none. It lets an operator
    /// whose confirmation got no answer find out whether the change took.
    /// A driver that writes the record keeps it as it read it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
}

/// What operators ask of an entry VM.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSpec {
    /// Whether the VM is drained: it is home to no target and reports itself as leaving.
    #[serde(default)]
    pub drain: bool,
    /// The plan whose confirmation last changed the object; empty for none. It lets an operator
    /// whose confirmation got no answer find out whether the change took.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub plan: String,
}

/// The state of a VM in the platform's lagging list.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to go.
    Leaving,
}

/// A VM in the platform's lagging list.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// The VM's name.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// IP address and port where its proxy serves callers and other proxies' statements.
    pub address: String,
    /// IP address and port of its proxy's control endpoint.
    pub control_address: String,
    /// Whether it is live or leaving, as far as the platform knows.
    pub state: VmState,
}

/// An object as the platform keeps it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct StoredObject {
    /// The kind's name.
    pub kind: ObjectKind,
    /// The object's name, unique within its kind.
    pub name: String,
    /// The store's revision at the object's last change; what a conditional update compares.
    pub version: u64,
    /// Whether the object was deleted in this version.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub deleted: bool,
    /// The body.
    pub body: serde_json::Value,
}

/// Every object of the system at one revision of the store, with the list of VMs.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's revision. Higher is newer; a process never goes back to a lower one.
    pub revision: u64,
    /// The objects, in any order.
    pub objects: Vec<StoredObject>,
    /// The list of VMs, which lags and carries no revision of its own.
    pub vms: Vec<VmRecord>,
}
