//! Lists that the feed carries, and the differences between two of them.
//!
//! A list with hundreds of entries is sent as a difference: when VMs or targets return one after the other,
//! the whole list would otherwise be sent to each VM with each of them.

use std::cmp::Ordering;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::FastSet;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::list_digest;
use skylark_core::version::list_digest::ListDigest;

use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// An entry of a list.
pub trait Entry: Clone + PartialEq {
    /// The key that identifies the entry within its list.
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
    /// Revision of the store that the list was read at; zero for the initial empty list.
    pub revision: StoreRevision,
    /// The entries, sorted by key.
    pub entries: Vec<T>,
}

/// The list of all VMs.
pub type VmList = Listing<VmAddress>;

/// The list of all targets.
pub type TargetList = Listing<Member>;

impl<T> Default for Listing<T> {
    fn default() -> Listing<T> {
        Listing { revision: StoreRevision::default(), entries: Vec::new() }
    }
}

/// The difference between two lists.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ListChanges<T> {
    /// The store's revision of the newer list.
    pub revision: StoreRevision,
    /// Entries that were added or modified.
    pub listed: Vec<T>,
    /// Keys of the removed entries.
    pub gone: Vec<Arc<str>>,
}

/// The buckets of a list that differ from an older copy of it; see [`list_digest`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ListBuckets<T> {
    /// The store's revision of the newer list.
    pub revision: StoreRevision,
    /// The buckets that replace those of the copy.
    pub buckets: Vec<usize>,
    /// All entries of these buckets.
    pub listed: Vec<T>,
}

impl<T> Listing<T>
where
    T: Entry + Serialize,
{
    /// Returns the digests of the entries.
    pub fn digest(&self) -> ListDigest {
        let mut digest = ListDigest::default();
        for entry in &self.entries {
            // Every entry can be represented in JSON.
            let content = serde_json::to_vec(entry).unwrap_or_default();
            digest.add(entry.key(), &content);
        }
        digest
    }
}

impl<T> Listing<T>
where
    T: Entry,
{
    /// Returns the entries of some buckets.
    pub fn in_buckets(&self, buckets: Vec<usize>) -> ListBuckets<T> {
        let is_in = |entry: &&T| buckets.contains(&list_digest::bucket_of(entry.key()));
        let listed = self.entries.iter().filter(is_in).cloned().collect();
        ListBuckets { revision: self.revision, buckets, listed }
    }

    /// Returns this list with some buckets replaced.
    pub fn with_buckets(&self, newer: ListBuckets<T>) -> Listing<T> {
        let ListBuckets { revision, buckets, listed } = newer;
        let is_kept = |entry: &&T| !buckets.contains(&list_digest::bucket_of(entry.key()));
        let kept: Vec<T> = self.entries.iter().filter(is_kept).cloned().collect();
        Listing::new(revision, kept.into_iter().chain(listed).collect())
    }

    /// Creates a list of entries in any order.
    pub fn new(revision: StoreRevision, mut entries: Vec<T>) -> Listing<T> {
        entries.sort_by(|a, b| a.key().cmp(b.key()));
        Listing { revision, entries }
    }

    /// Returns the difference between this list and `next`.
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

    /// Returns this list with `changes` applied.
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
