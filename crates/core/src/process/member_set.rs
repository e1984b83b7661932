//! The members of a group in one version, and the sets of members that form a quorum.
//!
//! The safety of a group rests on one property: the quorum that acknowledged a record and the
//! quorum that fenced its term share a member. Within one version two majorities always do. Two
//! consecutive versions differ by at most one member, and majorities of `n` and of `n + 1` members
//! share one as well. Processes may be more than one version apart for a while, so a version that
//! follows another one is joint until [`MemberSet::settle`]: its quorums must also be majorities of
//! the previous version. This covers processes that are two versions apart.
//!
//! The next version must not be accepted before two conditions hold for the present one: every
//! process knows it, and a quorum of it has confirmed a record that was written after that. Without
//! the first condition, a process that missed two changes counts quorums that share no member with
//! those of the newest version. Without the second, writes that only the old members hold are lost
//! once the set has changed by two members. This module can check neither condition; `skylark-spec`
//! shows both failures (model `acknowledgement` without `known-set` and without `settled-record`).

use std::fmt;

/// The maximum number of members of a group.
pub const MAX_MEMBERS: usize = 64;

/// A set of members, identified by their indexes in the group's member list.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct MemberMask(u64);

impl MemberMask {
    /// The empty set.
    pub const EMPTY: MemberMask = MemberMask(0);

    /// Adds a member, which must be below [`MAX_MEMBERS`].
    pub fn insert(&mut self, member: usize) {
        debug_assert!(member < MAX_MEMBERS, "the member index is out of range");
        self.0 |= 1 << member;
    }

    /// Returns whether the member is in the set.
    pub fn contains(self, member: usize) -> bool {
        member < MAX_MEMBERS && self.0 & (1 << member) != 0
    }

    /// Returns the number of members in the set.
    pub fn count(self) -> usize {
        self.0.count_ones() as usize
    }

    fn without(self, member: usize) -> MemberMask {
        MemberMask(self.0 & !(1 << member))
    }
}

impl FromIterator<usize> for MemberMask {
    fn from_iter<I>(members: I) -> MemberMask
    where
        I: IntoIterator<Item = usize>,
    {
        let mut mask = MemberMask::EMPTY;
        for member in members {
            mask.insert(member);
        }
        mask
    }
}

/// The reason for which a version can't follow the present one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MemberSetError {
    /// The version number is not higher than the present one.
    NotNewer,
    /// More than one member was added or removed.
    ChangesMoreThanOne,
    /// The set is empty, has more than [`MAX_MEMBERS`] members, or names a member twice.
    BadMembers,
}

impl fmt::Display for MemberSetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberSetError::NotNewer => "the version of the member set is not newer",
            MemberSetError::ChangesMoreThanOne => {
                "a version of a group may add or remove one member at most"
            }
            MemberSetError::BadMembers => "a group has between 1 and 64 distinct members",
        })
    }
}

/// The difference between the present version and the previous one.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Change {
    /// The member at this index is new.
    Added(usize),
    /// A member was removed. It counts as confirming nothing, which is stricter than necessary but
    /// safe.
    Removed,
}

/// The members of a group in one version.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct MemberSet {
    version: u64,
    names: Vec<String>,
    unsettled: Option<Change>,
}

impl MemberSet {
    /// Creates the first version that this process knows. It is not joint.
    pub fn new(version: u64, names: Vec<String>) -> Result<MemberSet, MemberSetError> {
        check_names(&names)?;
        Ok(MemberSet { version, names, unsettled: None })
    }

    /// Creates the next version, which is joint if a member was added or removed. The indexes of
    /// members may change.
    pub fn successor(&self, version: u64, names: Vec<String>) -> Result<MemberSet, MemberSetError> {
        check_names(&names)?;
        if version <= self.version {
            return Err(MemberSetError::NotNewer);
        }
        let added: Vec<usize> =
            (0..names.len()).filter(|&member| !self.names.contains(&names[member])).collect();
        let removed = self.names.iter().filter(|name| !names.contains(name)).count();
        let unsettled = match (added.as_slice(), removed) {
            ([], 0) => None,
            ([member], 0) => Some(Change::Added(*member)),
            ([], 1) => Some(Change::Removed),
            _ => return Err(MemberSetError::ChangesMoreThanOne),
        };
        Ok(MemberSet { version, names, unsettled })
    }

    /// Ends the joint phase. Every process must know this version.
    pub fn settle(&mut self) {
        self.unsettled = None;
    }

    /// Returns the store's version of the group object.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of members.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Returns the members' names in the order of their indexes.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the index of the member with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }

    /// Returns the number of members that form a majority of this version.
    pub fn majority(&self) -> usize {
        majority(self.names.len())
    }

    /// Returns whether these members form a quorum: a majority, and in a joint phase also a
    /// majority of the previous version.
    pub fn is_quorum(&self, members: MemberMask) -> bool {
        let count = self.names.len();
        let of_present = members.count() >= majority(count);
        let of_previous = match self.unsettled {
            None => true,
            Some(Change::Added(member)) => members.without(member).count() >= majority(count - 1),
            Some(Change::Removed) => members.count() >= majority(count + 1),
        };
        of_present && of_previous
    }
}

fn majority(count: usize) -> usize {
    count / 2 + 1
}

fn check_names(names: &[String]) -> Result<(), MemberSetError> {
    let distinct = names.iter().enumerate().all(|(index, name)| !names[..index].contains(name));
    if names.is_empty() || names.len() > MAX_MEMBERS || !distinct {
        return Err(MemberSetError::BadMembers);
    }
    Ok(())
}
