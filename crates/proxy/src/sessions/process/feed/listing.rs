//! Lists that watchers tell, and what changes between two of them.
//!
//! A list of hundreds is told as what changed since the last one: when VMs or targets come back one after the
//! other, the whole would be sent to each VM again with each of them.

use std::cmp::Ordering;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::FastSet;

use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// What is listed.
pub trait Entry: Clone + PartialEq {
    /// What tells it from the others.
    fn key(&self) -> &Arc<str>;
}

impl Entry for VmAddress {
    fn key(&self) -> &Arc<str> {
        &self.name
    }
}

impl Entry for Member {
    fn key(&self) -> &Arc<str> {
        &self.record.id
    }
}

/// All entries at one revision of the store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Listing<T> {
    /// The store's revision.
    pub revision: u64,
    /// The entries by key.
    pub entries: Vec<T>,
}

/// All VMs.
pub type VmList = Listing<VmAddress>;

/// All targets.
pub type TargetList = Listing<Member>;

impl<T> Default for Listing<T> {
    fn default() -> Listing<T> {
        Listing { revision: 0, entries: Vec::new() }
    }
}

/// What changed between two lists.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ListChanges<T> {
    /// The store's revision of the newer list.
    pub revision: u64,
    /// The entries that are new or differ.
    pub listed: Vec<T>,
    /// The keys of those that are listed no longer.
    pub gone: Vec<Arc<str>>,
}

impl<T> Listing<T>
where
    T: Entry,
{
    /// A list of these entries in any order.
    pub fn new(revision: u64, mut entries: Vec<T>) -> Listing<T> {
        entries.sort_by(|a, b| a.key().cmp(b.key()));
        Listing { revision, entries }
    }

    /// What turns this list into `next`.
    pub fn changes_to(&self, next: &Listing<T>) -> ListChanges<T> {
        let (mut listed, mut gone) = (Vec::new(), Vec::new());
        let (mut old, mut new) = (self.entries.iter().peekable(), next.entries.iter().peekable());
        loop {
            let order = match (old.peek(), new.peek()) {
                (None, None) => return ListChanges { revision: next.revision, listed, gone },
                (Some(_), None) => Ordering::Less,
                (None, Some(_)) => Ordering::Greater,
                (Some(old), Some(new)) => old.key().cmp(new.key()),
            };
            let before = if order.is_le() { old.next() } else { None };
            let after = if order.is_ge() { new.next() } else { None };
            match (before, after) {
                (Some(before), None) => gone.push(Arc::clone(before.key())),
                (before, Some(after)) if before != Some(after) => listed.push(after.clone()),
                _ => (),
            }
        }
    }

    /// The list that follows from these changes.
    pub fn with(&self, changes: ListChanges<T>) -> Listing<T> {
        let ListChanges { revision, listed, gone } = changes;
        let replaced: FastSet<&str> = listed
            .iter()
            .map(|entry| &**entry.key())
            .chain(gone.iter().map(|name| &**name))
            .collect();
        let is_kept = |entry: &&T| !replaced.contains(&**entry.key());
        let kept: Vec<T> = self.entries.iter().filter(is_kept).cloned().collect();
        Listing::new(revision, kept.into_iter().chain(listed).collect())
    }
}
