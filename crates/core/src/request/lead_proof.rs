//! Whether a target was the only one that could acknowledge commits at a moment.
//!
//! A primary that was replaced while it was cut off goes on answering. It opens transactions and
//! serves reads from a log that lacks what its successor acknowledged, so its own answers prove
//! nothing. The other members of the group do: a commit is acknowledged by a primary and as many
//! replicas as the service says, so a successor needs members of the group that know of its term.
//!
//! Invariant: if so many other members that too few are left for an acknowledgement say, when asked
//! after a moment, that they know of no term above the target's, then no commit of a later term was
//! acknowledged by that moment. With three members and one replica for an acknowledgement, the word
//! of one member is enough. A commit that the target itself gets acknowledged is such a word as well:
//! a replica received it.
//!
//! What must not count: a word that was asked for before the moment; the word of a member that holds
//! less than was acknowledged long ago, for it lost its log and with it what it knew; and a count that
//! leaves out members that left lately, or that may have come since the list was seen.

use std::sync::Arc;

use crate::FastMap;
use crate::log_position::LogPosition;

/// What a member said of itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeadReport {
    /// When it was asked, in microseconds of this process's clock.
    pub asked_us: u64,
    /// Whether it leads, as it sees itself.
    pub leads: bool,
    /// The newest term that it knows of.
    pub term: u64,
    /// The end of the log that it received.
    pub received: LogPosition,
}

/// What is known of a group when its words are counted.
#[derive(Clone, Copy, Debug)]
pub struct GroupView<'a> {
    /// The ids of the listed members but the target.
    pub others: &'a [&'a str],
    /// How many members left that may have acknowledged something nobody else holds.
    pub departed: usize,
    /// How many replicas receive a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// Whether no member can have come that is not listed.
    pub is_complete: bool,
    /// What every member that kept its log has received.
    pub floor: LogPosition,
}

impl GroupView<'_> {
    /// How many words are needed so that too few members are left for an acknowledgement.
    ///
    /// A member that is not listed yet may acknowledge as well. Where one may exist, all listed ones
    /// are needed: a successor is one of them and knows its own term.
    pub fn reports_needed(&self) -> usize {
        let others = self.others.len() + self.departed;
        match self.is_complete {
            true => others.saturating_sub(self.sync_replicas),
            false => others,
        }
    }
}

/// What is known of a target's lead.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LeadVerdict {
    /// Nobody else had acknowledged anything by the moment in question.
    Proved,
    /// Another member knows of this later term.
    Superseded {
        /// The later term.
        term: u64,
    },
    /// The target has not said under which term it leads, or said so before a later one was heard of.
    TermUnknown,
    /// So many words are missing.
    Missing(usize),
}

/// A proof that was had: the target, and the moment up to which it holds.
#[derive(Clone, Debug)]
struct Proof {
    target: Arc<str>,
    holds_to_us: u64,
}

/// What the members of one group said.
#[derive(Clone, Debug, Default)]
pub struct LeadWords {
    reports: FastMap<Arc<str>, LeadReport>,
    last_proof: Option<Proof>,
}

impl LeadWords {
    /// A member answered. Answers may come in another order than they were asked for.
    pub fn record(&mut self, member: &Arc<str>, report: LeadReport) {
        let previous = self.reports.entry(Arc::clone(member)).or_insert(report);
        if report.asked_us >= previous.asked_us {
            *previous = report;
        }
    }

    /// A commit that was sent to the target at `sent_us` was acknowledged by it and a replica.
    pub fn acknowledged(&mut self, target: &Arc<str>, sent_us: u64) {
        self.record_proof(target, sent_us);
    }

    /// Whether `target`, which answered as primary, was the only one to have acknowledged anything by
    /// `moment_us`.
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
        let needed = group.reports_needed();
        let received_reports =
            group.others.iter().filter_map(|other| self.reports.get(*other).copied());
        let received_reports: Vec<LeadReport> = received_reports.collect();
        let Some(own) = self.reports.get(target).copied().filter(|own| own.leads) else {
            return LeadVerdict::TermUnknown;
        };
        if let Some(later) =
            received_reports.iter().filter(|report| report.term > own.term).max_by_key(|w| w.term)
        {
            // It may have been promoted again since it was asked.
            return match own.asked_us >= later.asked_us {
                true => LeadVerdict::Superseded { term: later.term },
                false => LeadVerdict::TermUnknown,
            };
        }
        let counts =
            |report: &&LeadReport| report.asked_us >= moment_us && report.received >= group.floor;
        let mut asked_us: Vec<u64> =
            received_reports.iter().filter(counts).map(|report| report.asked_us).collect();
        if asked_us.len() < needed {
            return LeadVerdict::Missing(needed - asked_us.len());
        }
        // The newest words that are enough prove the most.
        asked_us.sort_unstable();
        let holds_to_us = asked_us.iter().rev().take(needed).min().copied().unwrap_or(moment_us);
        self.record_proof(target, holds_to_us);
        LeadVerdict::Proved
    }

    /// When a member was asked for the last word that came.
    pub fn asked_us(&self, member: &str) -> Option<u64> {
        self.reports.get(member).map(|report| report.asked_us)
    }

    /// Forgets members that are no longer listed.
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
