//! Derives the leader from the reports of the members.

use super::FailoverDriver;
use super::Leader;
use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;

impl FailoverDriver {
    /// Records a report and updates the leader.
    pub(super) fn record_report(&mut self, now_us: u64, member: usize, status: &MemberStatus) {
        if member >= self.members().count() {
            return;
        }
        let raised_before = self.status(member).map(|known| known.raised_term);
        self.reports.report(now_us, member, status);
        let raised_after = self.status(member).map(|known| known.raised_term);
        // The first report of a member shows its state, not that it was raised just now.
        let raised = raised_before.is_some() && raised_after > raised_before;
        if raised && status.raised_by != self.name && status.role != Role::Primary {
            self.rival_seen_us = Some(now_us);
        }
        self.update_leader(now_us);
    }

    /// Sets the leader to the primary of the highest term.
    pub(super) fn update_leader(&mut self, now_us: u64) {
        let leader = (0..self.members().count())
            .filter_map(|member| {
                let status = self.status(member)?;
                leads_open_term(status).then_some(Leader { term: status.raised_term, member })
            })
            .max_by_key(|leader| leader.term);
        let leader = leader.or_else(|| self.recorded_leader());
        if leader != self.leader {
            self.leader = leader;
            self.leader_since_us = now_us;
        }
    }

    /// Returns the leader according to the lead record, for a process that has started and has no
    /// report of the primary yet, if the replicas are in its term. It is monitored like any other,
    /// so that a process does not depose a primary only because it never reached it.
    fn recorded_leader(&self) -> Option<Leader> {
        let record = self.record()?;
        let member = self.members().index_of(&record.primary)?;
        let contradicts =
            self.status(member).is_some_and(|status| status.raised_term >= record.term);
        let in_term = (0..self.members().count()).any(|other| {
            self.status(other).is_some_and(|status| status.raised_term == record.term)
        });
        let opened = record.term > Term::default();
        (opened && in_term && !contradicts).then_some(Leader { term: record.term, member })
    }

    /// Returns the highest term in any report, in the lead record, or of a change by this driver.
    pub(super) fn highest_term(&self) -> Term {
        let raised = (0..self.members().count())
            .filter_map(|member| self.status(member).map(|status| status.raised_term))
            .max();
        let recorded = self.record().map(|record| record.term);
        let driven_term = self.driven_term;
        raised.max(recorded).max(driven_term).unwrap_or_default()
    }

    /// Returns the term of the known leader, or zero.
    pub(super) fn leader_term(&self) -> Term {
        self.leader.map_or(Term::default(), |leader| leader.term)
    }

    /// Returns whether a member promised itself to a higher term than the leader's. Such a member
    /// neither confirms nor follows in the leader's term any more.
    pub(super) fn has_higher_term_member(&self) -> bool {
        (0..self.members().count()).any(|member| {
            self.status(member).is_some_and(|status| status.raised_term > self.leader_term())
        })
    }
}

/// Returns whether a report shows a primary that opened its term. Term zero is never open: the role
/// of a member before its first promotion was decided by no majority.
fn leads_open_term(status: &MemberStatus) -> bool {
    status.role == Role::Primary
        && status.log.term == status.raised_term
        && status.raised_term > Term::default()
}
