//! The invariants of the failover driver.

use super::FailoverDriver;
use super::Phase;
use crate::log_position::Term;
use crate::process::acknowledgement::AcknowledgementViolation;

/// A broken invariant of [`FailoverDriver`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FailoverViolation {
    /// The confirmation tracker is inconsistent.
    Reports(AcknowledgementViolation),
    /// The length of a per-member table differs from the size of the member set.
    WrongNumberOfMembers,
    /// A leader was announced in a term in which no quorum confirmed a record.
    AnnouncedUnopened {
        /// The term of the announced leader.
        term: Term,
    },
    /// The change in progress has another term than the one that this driver started.
    ForeignTerm {
        /// The term of the change.
        term: Term,
    },
    /// The member that is being promoted is not the one recorded for its term.
    SecondPromotion {
        /// The term of the promotion.
        term: Term,
    },
}

impl FailoverDriver {
    /// Returns every broken invariant.
    pub fn verify(&self) -> Vec<FailoverViolation> {
        let mut violations: Vec<FailoverViolation> =
            self.reports.verify().into_iter().map(FailoverViolation::Reports).collect();
        let count = self.members().count();
        if self.sent.len() != count || self.profiles.len() != count {
            violations.push(FailoverViolation::WrongNumberOfMembers);
        }
        if let Some(leader) = self.announced
            && self.reports.confirmed().term < leader.term
        {
            violations.push(FailoverViolation::AnnouncedUnopened { term: leader.term });
        }
        if let Some(term) = self.phase_term()
            && self.driven_term != Some(term)
        {
            violations.push(FailoverViolation::ForeignTerm { term });
        }
        if let Phase::Promoting { term, member, .. } = self.phase {
            let is_recorded = self.promoted.is_some_and(|p| p.term == term && p.member == member);
            if !is_recorded {
                violations.push(FailoverViolation::SecondPromotion { term });
            }
        }
        violations
    }

    fn phase_term(&self) -> Option<Term> {
        match self.phase {
            Phase::Idle | Phase::CheckingQuorum { .. } => None,
            Phase::Claiming { term, .. }
            | Phase::Holding { term, .. }
            | Phase::Fencing { term, .. }
            | Phase::Promoting { term, .. } => Some(term),
        }
    }
}
