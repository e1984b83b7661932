//! Changes of the configuration by operators: intents, plans and their confirmation.
//!
//! An operator requests an [`Intent`]. [`planner::plan`] turns it, with one snapshot of the objects,
//! into a [`Plan`]: ordered steps with each object's body before and after, the versions that they
//! are based on, and warnings. It is a pure function, so the plan's id, a hash of its content,
//! is the same wherever it is computed. Nothing is changed until the plan is confirmed;
//! [`confirmation::Confirmation`] applies it.
//!
//! Each step changes one object, if the object still has the version that the plan is based on, and
//! writes the plan's id into it. Conflicting plans change the same object, and the platform applies
//! only one of their conditional updates: the other plan is superseded.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::version::objects::ObjectKind;
use crate::version::plan::intent::Intent;
use crate::version::plan::step::Step;

pub mod call;
pub mod confirmation;
pub mod error;
pub mod intent;
mod new_group;
pub mod planner;
pub mod record;
pub mod step;

/// The steps that fulfil an intent.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// A hash of the revision, the intent and the steps: the same intent at the same revision has the
    /// same id.
    pub id: String,
    /// The store's revision that the plan is based on.
    pub revision: u64,
    /// The intent.
    pub intent: Intent,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// The warnings for the operator.
    pub warnings: Vec<Warning>,
}

/// The version of an object that a plan is based on.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct BaseVersion<'a> {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: &'a str,
    /// The object's version; zero if it must not exist.
    pub version: u64,
}

impl Plan {
    /// Creates a plan and computes its id.
    ///
    /// The revision is part of the hash. Without it, if a group is added, removed and added again, the
    /// first and the third plan would have the same id, and the third would count as already applied.
    pub fn new(revision: u64, intent: Intent, steps: Vec<Step>, warnings: Vec<Warning>) -> Plan {
        let content = serde_json::to_string(&(revision, &intent, &steps));
        let id = format!("{:016x}", fnv1a(content.expect("a plan is plain data").as_bytes()));
        Plan { id, revision, intent, steps, warnings }
    }

    /// Iterates over the object versions that the plan is based on.
    pub fn base_versions(&self) -> impl Iterator<Item = BaseVersion<'_>> {
        self.steps.iter().filter_map(|step| match step {
            Step::Change(change) => Some(BaseVersion {
                kind: change.kind(),
                name: change.name(),
                version: change.base_version(),
            }),
            Step::AwaitPrimary { .. } => None,
        })
    }

    /// Returns whether a text has the format of a plan id: 16 lower-case hexadecimal digits.
    pub fn is_id(text: &str) -> bool {
        text.len() == 16 && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
    }
}

/// Computes the 64-bit FNV-1a hash (Fowler, Noll, Vo). It only has to distinguish the plans of one
/// deployment: on a collision, the later plan is rejected when it is stored.
fn fnv1a(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "plan {} at revision {}: {}", self.id, self.revision, self.intent)?;
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "  step {}: {step}", index + 1)?;
        }
        for warning in &self.warnings {
            writeln!(f, "  warning: {warning}")?;
        }
        Ok(())
    }
}

/// A side effect of a plan that the operator should know before the confirmation.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "warning", rename_all = "snake_case")]
pub enum Warning {
    /// Writes of the group are held back while its primary moves.
    WritesPause {
        /// The group.
        group: String,
    },
    /// The zone has no other entry VM in service.
    ZoneWithoutVm {
        /// The zone.
        zone: String,
    },
    /// New requests of the group's callers will be refused.
    CallersRefused {
        /// The group.
        group: String,
    },
    /// The plan replaces an earlier request of an operator to move the primary.
    WishReplaced {
        /// The group.
        group: String,
        /// The previously requested primary.
        wanted: String,
    },
    /// The group keeps a bare majority: one more failed member stops writes.
    NoSpareMember {
        /// The group.
        group: String,
    },
    /// The group has an even number of members, which tolerates as many failures as one member less.
    EvenMembers {
        /// The group.
        group: String,
    },
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::WritesPause { group } => {
                write!(f, "writes of group `{group}` are held back while its primary moves")
            }
            Warning::ZoneWithoutVm { zone } => {
                write!(f, "zone `{zone}` has no other entry VM in service")
            }
            Warning::CallersRefused { group } => {
                write!(f, "callers of group `{group}` will be refused")
            }
            Warning::WishReplaced { group, wanted } => {
                write!(f, "this replaces the move of group `{group}` to `{wanted}`")
            }
            Warning::NoSpareMember { group } => {
                write!(f, "group `{group}` keeps a bare majority: one more failure stops writes")
            }
            Warning::EvenMembers { group } => {
                write!(f, "group `{group}` has an even number of members: one less is as safe")
            }
        }
    }
}
