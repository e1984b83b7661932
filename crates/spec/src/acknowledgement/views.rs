//! The member sets that processes may hold at one time, as quorums of the core's [`MemberSet`].

use skylark_core::process::member_set::MemberMask;
use skylark_core::process::member_set::MemberSet;

use super::state::Member;
use super::state::Phase;
use super::state::State;

/// The member sets by version, each before and after it is settled.
#[derive(Clone, Debug)]
pub struct Views {
    joint: Vec<MemberSet>,
    settled: Vec<MemberSet>,
    /// The place of the member that a version added.
    added: Vec<Option<usize>>,
}

/// The set of one version as a process holds it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct View {
    /// The version.
    pub version: usize,
    /// Whether the process takes the version as settled.
    pub settled: bool,
}

fn member_names(members: u8) -> Vec<String> {
    (0..8).filter(|member| members >> member & 1 == 1).map(|m| format!("member{m}")).collect()
}

impl Views {
    /// Builds the versions from masks of members. A change of more than one member, which the core
    /// refuses, is put in force as a version of its own: what an unchecked change would do.
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

    /// How many versions there are.
    pub fn count(&self) -> usize {
        self.settled.len()
    }

    /// The views that processes may hold in `state`. A process that starts knows no version before
    /// and takes the newest as settled. With `all_older`, a process may have missed any number of
    /// changes.
    pub fn in_use<const N: usize>(&self, state: &State<N>, all_older: bool) -> Vec<View> {
        let version = usize::from(state.version);
        let oldest = match (all_older, state.phase) {
            (true, _) => 0,
            (false, Phase::Spreading) => version - 1,
            (false, _) => version,
        };
        let followed = View { version, settled: state.phase == Phase::Settled };
        let mut views = vec![followed];
        views.extend((oldest..=version).map(|version| View { version, settled: true }));
        views.dedup();
        views
    }

    /// Whether the members that `counts` picks make a quorum of a view.
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
            // Which of the older members stands at which place makes no difference to a majority.
            let index = added.filter(|_| is_new).or_else(|| older_indices.next());
            if let Some(index) = index.filter(|_| counts(member)) {
                mask.insert(index);
            }
        }
        sets[view.version].is_quorum(mask)
    }
}
