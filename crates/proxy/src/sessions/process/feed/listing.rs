//! The list of VMs, and what changes between two of them.
//!
//! A list of hundreds is told as what changed since the last one: when VMs come back one after the other, the
//! whole would be sent to each VM again with each of them.

use std::cmp::Ordering;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::sessions::store::VmAddress;

/// All VMs at one revision of the store.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct VmList {
    /// The store's revision.
    pub revision: u64,
    /// The VMs by name.
    pub vms: Vec<VmAddress>,
}

/// What changed between two lists.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmChanges {
    /// The store's revision of the newer list.
    pub revision: u64,
    /// The VMs that are new or are reached elsewhere.
    pub listed: Vec<VmAddress>,
    /// The names of those that are listed no longer.
    pub gone: Vec<Arc<str>>,
}

impl VmList {
    /// A list of these VMs in any order.
    pub fn new(revision: u64, mut vms: Vec<VmAddress>) -> VmList {
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        VmList { revision, vms }
    }

    /// What turns this list into `next`.
    pub fn changes_to(&self, next: &VmList) -> VmChanges {
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        let (mut old, mut new) = (self.vms.iter().peekable(), next.vms.iter().peekable());
        loop {
            let order = match (old.peek(), new.peek()) {
                (None, None) => return VmChanges { revision: next.revision, listed, gone },
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old), Some(new)) => old.name.cmp(&new.name),
            };
            let before = if order.is_le() { old.next() } else { None };
            let after = if order.is_ge() { new.next() } else { None };
            match (before, after) {
                (Some(before), None) => gone.push(Arc::clone(&before.name)),
                (before, Some(after)) if before != Some(after) => listed.push(after.clone()),
                _ => (),
            }
        }
    }

    /// The list that follows from these changes.
    pub fn with(&self, changes: VmChanges) -> VmList {
        let VmChanges { revision, listed, gone } = changes;
        let is_kept = |vm: &&VmAddress| {
            let is_listed = listed.iter().any(|listed| listed.name == vm.name);
            !is_listed && !gone.contains(&vm.name)
        };
        let kept: Vec<VmAddress> = self.vms.iter().filter(is_kept).cloned().collect();
        VmList::new(revision, kept.into_iter().chain(listed).collect())
    }
}
