//! What the members' reports say about who leads.

use super::FailoverDriver;
use super::Leader;
use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;

impl FailoverDriver {
    /// Takes in a report and derives the leader from it.
    pub(super) fn record_report(&mut self, now_us: u64, member: usize, status: &MemberStatus) {
        if member >= self.members().count() {
            return;
        }
        let raised_before = self.status(member).map(|known| known.raised_term);
        self.reports.report(now_us, member, status);
        let raised_now = self.status(member).map(|known| known.raised_term);
        // The first report shows a state, not an act.
        let raised = raised_before.is_some() && raised_now > raised_before;
        if raised && status.raised_by != self.name && status.role != Role::Primary {
            self.rival_seen_us = Some(now_us);
        }
        self.update_leader(now_us);
    }

    /// Finds the primary of the highest term.
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

    /// The leader by the lead record, for a process that starts and has not heard the primary yet:
    /// the replicas are in its term. It is watched like any other, so that a process does not depose
    /// a primary only because it never reached it.
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

    /// The highest term that any report or the lead record shows.
    pub(super) fn highest_term(&self) -> Term {
        let raised = (0..self.members().count())
            .filter_map(|member| self.status(member).map(|status| status.raised_term))
            .max();
        let recorded = self.record().map(|record| record.term);
        let driven_term = self.driven_term;
        raised.max(recorded).max(driven_term).unwrap_or_default()
    }

    /// The term of the known leader, or zero.
    pub(super) fn leader_term(&self) -> Term {
        self.leader.map_or(Term::default(), |leader| leader.term)
    }

    /// Whether a member promised itself to a higher term than the leader's: it will neither confirm
    /// nor follow in the leader's term any more.
    pub(super) fn has_higher_term_member(&self) -> bool {
        (0..self.members().count()).any(|member| {
            self.status(member).is_some_and(|status| status.raised_term > self.leader_term())
        })
    }
}

/// Whether a report shows a primary that opened its term. Nobody opens term zero: what a member says
/// of itself before its first promotion was decided by no majority.
fn leads_open_term(status: &MemberStatus) -> bool {
    status.role == Role::Primary
        && status.log.term == status.raised_term
        && status.raised_term > Term::default()
}
