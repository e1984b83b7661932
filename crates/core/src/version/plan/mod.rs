//! Intent, plan, confirmation: how operators change the configuration.
//!
//! An operator states an [`Intent`]. [`planner::plan`] turns it, with one snapshot of the objects,
//! into a [`Plan`]: ordered steps with what each object holds before and after, the versions they
//! are based on, and warnings. It is a pure function, so the plan's id, a hash of its content,
//! names the same plan wherever it is computed. Nothing changes until the plan is confirmed;
//! [`confirmation::Confirmation`] decides how.
//!
//! Each step changes one object, if that object still has the version that the plan was made for,
//! and writes the plan's id into it. Two plans that clash change the same object, and the platform
//! lets only one of the updates take: the other plan is superseded.

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

/// What will be done to meet an intent.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// A hash of the rest: the same intent on the same revision gives the same id.
    pub id: String,
    /// The store's revision that the plan was made from.
    pub revision: u64,
    /// The intent.
    pub intent: Intent,
    /// The steps, in order.
    pub steps: Vec<Step>,
    /// What the operator should know before confirming.
    pub warnings: Vec<Warning>,
}

/// The version of an object that a plan is based on.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct BaseVersion<'a> {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: &'a str,
    /// Its version; zero where it must not exist.
    pub version: u64,
}

impl Plan {
    /// A plan with its id.
    ///
    /// The revision is part of the id: without it, adding, removing and adding a group again would
    /// give the first and the third plan one id, and the third would be taken for done.
    pub fn new(revision: u64, intent: Intent, steps: Vec<Step>, warnings: Vec<Warning>) -> Plan {
        let content = serde_json::to_string(&(revision, &intent, &steps));
        let id = format!("{:016x}", fnv1a(content.expect("a plan is plain data").as_bytes()));
        Plan { id, revision, intent, steps, warnings }
    }

    /// The versions that the plan is based on.
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

    /// Whether a text has the form of a plan's id.
    pub fn is_id(text: &str) -> bool {
        text.len() == 16 && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
    }
}

/// The 64-bit FNV-1a hash (Fowler, Noll, Vo). It only has to tell apart the plans of one
/// deployment: a plan whose id is taken by another plan is refused when it is stored.
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

/// What the operator should know before confirming.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(tag = "warning", rename_all = "snake_case")]
pub enum Warning {
    /// Writes of a group stop for a moment.
    WritesPause {
        /// The group.
        group: String,
    },
    /// No other entry VM of a zone is in service.
    ZoneWithoutVm {
        /// The zone.
        zone: String,
    },
    /// New work of a group's callers will be refused.
    CallersRefused {
        /// The group.
        group: String,
    },
    /// An earlier wish of an operator is replaced.
    WishReplaced {
        /// The group.
        group: String,
        /// The target that was wanted as the primary.
        wanted: String,
    },
    /// Another failure of a member leaves the group without a majority.
    NoSpareMember {
        /// The group.
        group: String,
    },
    /// An even number of members tolerates no more failures than one member less.
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
