//! Views: the member sets that processes may hold at the same time. Quorums are decided by the
//! [`MemberSet`] of `skylark-core`.

use skylark_core::process::member_set::MemberMask;
use skylark_core::process::member_set::MemberSet;

use super::state::Member;
use super::state::Phase;
use super::state::State;

/// The member sets by version, each before (joint) and after it is settled.
#[derive(Clone, Debug)]
pub struct Views {
    joint: Vec<MemberSet>,
    settled: Vec<MemberSet>,
    /// Index, in the member set, of the member that the version added; `None` if it added none.
    added: Vec<Option<usize>>,
}

/// A version of the member set as held by a process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct View {
    /// Version number, counted from zero.
    pub version: usize,
    /// Whether the process considers the version settled.
    pub settled: bool,
}

fn member_names(members: u8) -> Vec<String> {
    (0..8).filter(|member| members >> member & 1 == 1).map(|m| format!("member{m}")).collect()
}

impl Views {
    /// Builds the versions from bit masks of members. The core refuses a change of more than one member;
    /// such a change becomes an independent set here, which is the effect that it would have unchecked.
    pub fn new(versions: &[u8]) -> Views {
        let mut views = Views { joint: Vec::new(), settled: Vec::new(), added: Vec::new() };
        for (number, &members) in versions.iter().enumerate() {
            let version = number as u64 + 1;
            let previous = views.settled.last();
            let changed =
                previous.and_then(|set| set.successor(version, member_names(members)).ok());
            let is_new = |name: &&String| previous.is_some_and(|set| set.index_of(name).is_none());
            let added = changed.as_ref().and_then(|set| {
                let name = set.names().iter().find(is_new)?;
                set.index_of(name)
            });
            let joint = changed.unwrap_or_else(|| {
                MemberSet::new(version, member_names(members)).expect("a small set")
            });
            let mut settled = joint.clone();
            settled.settle();
            views.added.push(added);
            views.joint.push(joint);
            views.settled.push(settled);
        }
        views
    }

    /// Returns the number of versions.
    pub fn count(&self) -> usize {
        self.settled.len()
    }

    /// Returns the views that processes may hold in `state`. A process that just started knows no earlier
    /// version and considers the newest one settled. With `all_older`, a process may have missed any
    /// number of changes.
    pub fn in_use<const N: usize>(&self, state: &State<N>, all_older: bool) -> Vec<View> {
        let version = usize::from(state.version);
        let oldest = match (all_older, state.phase) {
            (true, _) => 0,
            (false, Phase::Spreading) => version - 1,
            (false, _) => version,
        };
        let newest = View { version, settled: state.phase == Phase::Settled };
        let mut views = vec![newest];
        views.extend((oldest..=version).map(|version| View { version, settled: true }));
        views.dedup();
        views
    }

    /// Whether the members that `counts` selects form a quorum of a view.
    pub fn is_quorum<const N: usize, F>(&self, view: View, state: &State<N>, counts: F) -> bool
    where
        F: Fn(&Member) -> bool,
    {
        let sets = if view.settled { &self.settled } else { &self.joint };
        let added = self.added[view.version];
        let mut older_indices = (0..).filter(|index| Some(*index) != added);
        let mut mask = MemberMask::EMPTY;
        for member in state.members.iter().filter(|member| member.is_in(view.version)) {
            let is_new = view.version > 0 && !member.is_in(view.version - 1);
            // The order of the older members does not affect whether a mask is a majority.
            let index = added.filter(|_| is_new).or_else(|| older_indices.next());
            if let Some(index) = index.filter(|_| counts(member)) {
                mask.insert(index);
            }
        }
        sets[view.version].is_quorum(mask)
    }
}
