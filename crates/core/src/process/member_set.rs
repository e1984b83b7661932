//! The members of a group in one version, and which of them together make a quorum.
//!
//! Every safety argument of a group rests on one fact: the quorum that acknowledged a record and the
//! quorum that fenced its term share a member. Within one version two majorities always do. Two
//! neighbouring versions differ by one member at most, and majorities of `n` and of `n + 1` members
//! share one too. Processes may be more than one version apart for a while, so a version that was
//! entered by a change counts as joint until [`MemberSet::settle`]: its quorums are majorities of the
//! version before as well. This bridges processes that are two versions apart.
//!
//! The next version must not be accepted before two things hold of the present one: every process
//! knows it, and a quorum of it has confirmed a record that was written after that. Without the
//! first, a process that missed two changes counts quorums that share no member with the newest
//! ones. Without the second, the writes that only the old members hold are lost once the set has
//! moved away from them by two. Nothing here can check either; `skylark-spec` shows both failures
//! (model `acknowledgement` without `known-set` and without `settled-record`).

use std::fmt;

/// The most members that a group can have.
pub const MAX_MEMBERS: usize = 64;

/// A set of members, by their places in the group's member list.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct MemberMask(u64);

impl MemberMask {
    /// No member.
    pub const EMPTY: MemberMask = MemberMask(0);

    /// Adds a member.
    pub fn insert(&mut self, member: usize) {
        debug_assert!(member < MAX_MEMBERS, "the member set bounds its length");
        self.0 |= 1 << member;
    }

    /// Whether the member is in the set.
    pub fn contains(self, member: usize) -> bool {
        member < MAX_MEMBERS && self.0 & (1 << member) != 0
    }

    /// How many members are in the set.
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

/// Why a version can't follow the present one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MemberSetError {
    /// The version is not newer.
    NotNewer,
    /// More than one member was added or removed.
    ChangesMoreThanOne,
    /// The set is empty, too large, or names a member twice.
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

/// How the present version differs from the one before.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Change {
    /// The member at this place is new.
    Added(usize),
    /// A member left. It is counted as confirming nothing, which is stricter than needed and safe.
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
    /// The first version that this process knows.
    pub fn new(version: u64, names: Vec<String>) -> Result<MemberSet, MemberSetError> {
        check_names(&names)?;
        Ok(MemberSet { version, names, unsettled: None })
    }

    /// The next version. The members' places may move.
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

    /// Ends the joint phase: every process knows this version by now.
    pub fn settle(&mut self) {
        self.unsettled = None;
    }

    /// The store's version of the group object.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many members there are.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// The members' names in order.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// The place of the member with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }

    /// How many members make a majority of this version.
    pub fn majority(&self) -> usize {
        majority(self.names.len())
    }

    /// Whether these members make a quorum.
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
