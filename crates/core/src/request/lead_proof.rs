//! Proofs that a target was the only member that could acknowledge commits at a given moment.
//!
//! A primary that was partitioned away and replaced keeps answering. It opens transactions and serves
//! reads from a log that lacks the commits acknowledged by its successor, so its own answers prove
//! nothing. The other members prove it: a commit is acknowledged by a primary and a configured number
//! of replicas, so a successor needs members of the group that know its term.
//!
//! Invariant: assume that other members, asked after a moment, report that they know no term above the
//! target's, and that too few members remain to form an acknowledgement. Then no commit of a later term
//! was acknowledged by that moment. With three members and one synchronous replica, the report of one
//! member is enough. An acknowledged commit of the target is such a report too: a replica received it.
//!
//! These reports must not count:
//! - a report that was requested before the moment;
//! - the report of a member whose log is shorter than what was acknowledged long ago: it lost its log,
//!   and the terms that it knew.
//!
//! The number of required reports must include members that left recently, and members that may have
//! joined since the list of members was read.

use std::sync::Arc;

use crate::FastMap;
use crate::log_position::LogPosition;

/// The status that a member reported about itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeadReport {
    /// The time when the report was requested, in microseconds of this process's clock.
    pub asked_us: u64,
    /// Whether the member believes that it is the primary.
    pub leads: bool,
    /// The highest term that the member knows.
    pub term: u64,
    /// The position of the last record that the member received.
    pub received: LogPosition,
}

/// The state of a group when its reports are counted.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// The ids of the listed members except the target.
    pub others: &'a [&'a str],
    /// The number of departed members that may have acknowledged a commit that no other member holds.
    pub departed: usize,
    /// The number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Whether the list is known to contain every current member.
    pub is_complete: bool,
    /// The position that every member with an intact log has received.
    pub floor: LogPosition,
}

impl GroupView<'_> {
    /// Returns the number of reports after which too few members remain to acknowledge a commit.
    ///
    /// A member that is not listed yet can acknowledge too. If one may exist, the reports of all listed
    /// members are required: a successor is one of them and knows its own term.
    pub fn reports_needed(&self) -> usize {
        let others = self.others.len() + self.departed;
        match self.is_complete {
            true => others.saturating_sub(self.sync_replicas),
            false => others,
        }
    }

    /// Returns how many reports have to count, and the position that a member must have received for its report
    /// to count.
    ///
    /// If no report is needed by number, a listed member still has to report, because a departed one may be back
    /// and acknowledge with it. What the listed member had received does not matter: if it was promoted, it knows
    /// its own term.
    fn evidence_needed(&self) -> (usize, LogPosition) {
        match self.reports_needed() {
            0 if !self.others.is_empty() => (1, LogPosition::default()),
            needed => (needed, self.floor),
        }
    }
}

/// Whether it is proved that a target was the only leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeadVerdict {
    /// No other member had acknowledged a commit by the given moment.
    Proved,
    /// Another member knows a later term.
    Superseded {
        /// The later term.
        term: u64,
    },
    /// The target has not reported the term in which it leads, or reported it before a later term was
    /// reported.
    TermUnknown,
    /// This many more reports are required.
    Missing(usize),
}

/// Whether an acknowledged commit outlasts a change of primary.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CommitVerdict {
    /// A member that every driver compares holds the commit.
    Kept,
    /// A member knows a later term than the commit's, and none is known to hold the commit.
    Superseded,
    /// No report shows the commit yet.
    Unknown,
}

/// An established proof: the target, and the time up to which the proof holds.
#[derive(Clone, Debug)]
struct Proof {
    target: Arc<str>,
    holds_to_us: u64,
}

/// The latest reports of the members of one group.
#[derive(Clone, Debug, Default)]
pub struct LeadReports {
    reports: FastMap<Arc<str>, LeadReport>,
    last_proof: Option<Proof>,
}

impl LeadReports {
    /// Records a report of a member, unless a report that was requested later is already recorded. Reports may
    /// arrive out of order.
    pub fn record(&mut self, member: &Arc<str>, report: LeadReport) {
        let previous = self.reports.entry(Arc::clone(member)).or_insert(report);
        if report.asked_us >= previous.asked_us {
            *previous = report;
        }
    }

    /// Records that the target and a replica acknowledged a commit that was sent to the target at `sent_us`.
    pub fn acknowledged(&mut self, target: &Arc<str>, sent_us: u64) {
        self.record_proof(target, sent_us);
    }

    /// Decides whether a commit that the primary acknowledged at `position` outlasts a change of primary, given
    /// the reports of `members`.
    ///
    /// A driver promotes no member that lacks what another member in its list holds, so one report from a
    /// listed member is enough. The primary's own acknowledgement is not: the replica that received the commit
    /// may be one that no driver knows. A log of a later term may lack the commit.
    pub fn commit_verdict(&self, members: &[&str], position: LogPosition) -> CommitVerdict {
        if self.holders(members, position).next().is_some() {
            return CommitVerdict::Kept;
        }
        let mut reports = members.iter().filter_map(|member| self.reports.get(*member));
        match reports.any(|report| report.term > position.term.0) {
            true => CommitVerdict::Superseded,
            false => CommitVerdict::Unknown,
        }
    }

    /// Returns those of `members` whose reports show that they hold a commit at `position`.
    pub fn holders<'a>(
        &'a self,
        members: &'a [&'a str],
        position: LogPosition,
    ) -> impl Iterator<Item = &'a str> {
        let holds = move |member: &&str| {
            self.reports.get(*member).is_some_and(|report| {
                report.received.term == position.term && report.received >= position
            })
        };
        members.iter().copied().filter(holds)
    }

    /// Returns the end of the log in a member's newest report; the lowest position without a report.
    pub fn received(&self, member: &str) -> LogPosition {
        self.reports.get(member).map(|report| report.received).unwrap_or_default()
    }

    /// Decides whether `target`, which answered as primary, was the only member that had acknowledged
    /// commits by `moment_us`.
    pub fn verdict(
        &mut self,
        target: &Arc<str>,
        moment_us: u64,
        group: &GroupView<'_>,
    ) -> LeadVerdict {
        let last = self.last_proof.as_ref().filter(|last| last.target == *target);
        if last.is_some_and(|last| last.holds_to_us >= moment_us) {
            return LeadVerdict::Proved;
        }
        let (needed, floor) = group.evidence_needed();
        let received_reports =
            group.others.iter().filter_map(|other| self.reports.get(*other).copied());
        let received_reports: Vec<LeadReport> = received_reports.collect();
        let Some(own) = self.reports.get(target).copied().filter(|own| own.leads) else {
            return LeadVerdict::TermUnknown;
        };
        if let Some(later) = received_reports
            .iter()
            .filter(|report| report.term > own.term)
            .max_by_key(|report| report.term)
        {
            // If its own report is older, the target may have been promoted again in the meantime.
            return match own.asked_us >= later.asked_us {
                true => LeadVerdict::Superseded { term: later.term },
                false => LeadVerdict::TermUnknown,
            };
        }
        let counts =
            |report: &&LeadReport| report.asked_us >= moment_us && report.received >= floor;
        let mut asked_us: Vec<u64> =
            received_reports.iter().filter(counts).map(|report| report.asked_us).collect();
        if asked_us.len() < needed {
            return LeadVerdict::Missing(needed - asked_us.len());
        }
        // The newest sufficient set of reports gives the proof that holds longest.
        asked_us.sort_unstable();
        let holds_to_us = asked_us.iter().rev().take(needed).min().copied().unwrap_or(moment_us);
        self.record_proof(target, holds_to_us);
        LeadVerdict::Proved
    }

    /// Returns when the newest report of a member was requested, or `None` without a report.
    pub fn asked_us(&self, member: &str) -> Option<u64> {
        self.reports.get(member).map(|report| report.asked_us)
    }

    /// Removes the reports of members that are no longer listed.
    pub fn keep<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.reports.retain(|member, _| is_listed(member));
    }

    fn record_proof(&mut self, target: &Arc<str>, holds_to_us: u64) {
        let previous = self.last_proof.as_ref().filter(|previous| previous.target == *target);
        if previous.is_none_or(|previous| previous.holds_to_us < holds_to_us) {
            self.last_proof = Some(Proof { target: Arc::clone(target), holds_to_us });
        }
    }
}
