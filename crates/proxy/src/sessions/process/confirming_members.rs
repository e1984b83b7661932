//! The members that confirmed commits of a service in the newest term, so that each of them is logged once.

use std::sync::Arc;

/// The members that confirmed commits in the newest term.
#[derive(Clone, Debug, Default)]
pub struct ConfirmingMembers {
    term: u64,
    members: Vec<Arc<str>>,
}

impl ConfirmingMembers {
    /// Records that a member confirmed a commit of `term`. Returns whether it is the first one that this member
    /// confirmed in that term. Commits of an earlier term than the newest are ignored.
    pub fn record(&mut self, member: &Arc<str>, term: u64) -> bool {
        if term < self.term {
            return false;
        }
        if term > self.term {
            self.term = term;
            self.members.clear();
        }
        if self.members.contains(member) {
            return false;
        }
        self.members.push(Arc::clone(member));
        true
    }
}
