//! The latest decisions about each group and their reasons, as shown by `skylarkctl explain`.

use std::collections;
use std::fmt;

use skylark_core::log_position::Term;
use skylark_core::process::detection;
use skylark_core::process::failover;

use crate::process::peer::api::DecisionReport;

/// How many decisions are kept for one group.
const MAX_DECISIONS: usize = 64;

/// The term in [`Decision::Stepped`] while the change of primary has not chosen a term.
const NO_TERM: Term = Term(0);

/// A decision of the control thread about one group.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Decision {
    /// Tracking of the group's members has started.
    Tracked,
    /// Tracking of the group's members has ended.
    Untracked,
    /// A new version of the group's object is in force.
    Configured {
        /// The store's version of the object.
        version: u64,
    },
    /// The failure detector changed its verdict on the primary.
    Judged {
        /// The primary.
        target: String,
        /// The primary's term.
        term: Term,
        /// The verdict.
        verdict: detection::Verdict,
    },
    /// A change of primary driven by this process reached a step.
    Stepped {
        /// The step.
        step: failover::Step,
        /// The term that the change opens; zero before a term is chosen.
        term: Term,
    },
    /// The primary was announced to the traffic threads.
    Announced {
        /// The primary.
        target: String,
        /// The primary's term.
        term: Term,
    },
    /// New writes are held back for a change of primary requested by an operator.
    WritesHeld,
    /// New writes are no longer held back.
    WritesReleased,
    /// The group became able or unable to confirm writes by a majority.
    StallChanged {
        /// Whether writes can't be confirmed.
        stalled: bool,
    },
    /// A target was excluded from new requests, or included again.
    TargetStanding {
        /// The target.
        target: String,
        /// Whether the target is excluded.
        leaving: bool,
    },
    /// The member set changed by more than one member since the version known to this process.
    MembersReplaced {
        /// The store's version of the group's object.
        version: u64,
    },
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Decision::Tracked => f.write_str("track the members"),
            Decision::Untracked => f.write_str("stop tracking the members"),
            Decision::Configured { version } => write!(f, "use version {version} of the group"),
            Decision::Judged { target, term, verdict } => {
                write!(f, "primary `{target}` of term {term}: {}", verdict_text(*verdict))
            }
            Decision::Stepped { step: failover::Step::GivenUp, term: NO_TERM } => {
                f.write_str("give up the wished change of primary")
            }
            Decision::Stepped { step, term: NO_TERM } => {
                write!(f, "change of primary: {}", step_text(*step))
            }
            Decision::Stepped { step, term } => {
                write!(f, "change of primary to term {term}: {}", step_text(*step))
            }
            Decision::Announced { target, term } => {
                write!(f, "`{target}` is the primary of term {term}")
            }
            Decision::WritesHeld => f.write_str("hold back new writes"),
            Decision::WritesReleased => f.write_str("let new writes through"),
            Decision::StallChanged { stalled: true } => f.write_str("refuse new writes"),
            Decision::StallChanged { stalled: false } => f.write_str("take new writes again"),
            Decision::TargetStanding { target, leaving: true } => {
                write!(f, "no new work for `{target}`")
            }
            Decision::TargetStanding { target, leaving: false } => {
                write!(f, "new work for `{target}` again")
            }
            Decision::MembersReplaced { version } => {
                write!(f, "start anew with the members of version {version}")
            }
        }
    }
}

impl Decision {
    /// Returns why the decision was taken.
    pub fn reason(&self) -> &'static str {
        match self {
            Decision::Tracked => "this VM is home to a member",
            Decision::Untracked => "this VM is home to no member",
            Decision::Configured { .. } => "its version is higher than the one in force",
            Decision::Judged { verdict, .. } => verdict_reason(*verdict),
            Decision::Stepped { step: failover::Step::GivenUp, term: NO_TERM } => {
                "the wanted member did not come near the primary in time"
            }
            Decision::Stepped { step, .. } => step_reason(*step),
            Decision::Announced { .. } => "a majority confirmed the record that opens its term",
            Decision::WritesHeld => "an operator asked for another primary",
            Decision::WritesReleased => "the change of primary has ended or was given up",
            Decision::StallChanged { stalled: true } => "a majority can't confirm them now",
            Decision::StallChanged { stalled: false } => "a majority confirms",
            Decision::TargetStanding { leaving: true, .. } => {
                "it is drained, or said that it is leaving"
            }
            Decision::TargetStanding { leaving: false, .. } => "it is neither drained nor leaving",
            Decision::MembersReplaced { .. } => "more than one change was missed here",
        }
    }
}

fn verdict_text(verdict: detection::Verdict) -> &'static str {
    match verdict {
        detection::Verdict::Trusted => "trusted",
        detection::Verdict::Withheld(_) => "not reached, and not suspected",
        detection::Verdict::Suspected(_) => "suspected",
    }
}

fn verdict_reason(verdict: detection::Verdict) -> &'static str {
    match verdict {
        detection::Verdict::Trusted => "it answers",
        detection::Verdict::Withheld(_) => "a majority of the members goes on taking its records",
        detection::Verdict::Suspected(detection::Suspicion::ConnectionsFail) => {
            "its connections break and new ones are refused"
        }
        detection::Verdict::Suspected(detection::Suspicion::Silent) => {
            "nothing was heard of it for too long"
        }
    }
}

fn step_text(step: failover::Step) -> &'static str {
    match step {
        failover::Step::Started(_) => "started",
        failover::Step::QuorumReached => "a majority answers",
        failover::Step::Claimed => "claimed",
        failover::Step::ClaimSkipped => "going on without the platform",
        failover::Step::Held => "writes are held back",
        failover::Step::Fenced => "fenced",
        failover::Step::Promoted => "promoted",
        failover::Step::Opened => "opened",
        failover::Step::Lost => "lost",
        failover::Step::GivenUp => "given up",
    }
}

fn step_reason(step: failover::Step) -> &'static str {
    match step {
        failover::Step::Started(failover::Cause::Suspected) => "the primary is taken to be gone",
        failover::Step::Started(failover::Cause::NoLeader) => "no member is known to lead",
        failover::Step::Started(failover::Cause::HigherTerm) => {
            "a member promised itself to a higher term than the primary's"
        }
        failover::Step::Started(failover::Cause::Wanted) => "an operator asked for it",
        failover::Step::QuorumReached => "the change can succeed",
        failover::Step::Claimed => "the platform's record names this process as the driver",
        failover::Step::ClaimSkipped => "the platform did not answer; the members' votes decide",
        failover::Step::Held => "the wanted member is to become level with the primary",
        failover::Step::Fenced => "a majority raised its term for this driver",
        failover::Step::Promoted => "the member with the highest log of the majority leads",
        failover::Step::Opened => "a majority confirmed the first record of the term",
        failover::Step::Lost => "another driver was faster, or a member refused",
        failover::Step::GivenUp => "it could not be done in time",
    }
}

/// The decisions of one group.
#[derive(Debug, Default)]
pub struct DecisionLog {
    entries: collections::VecDeque<(u64, Decision)>,
}

impl DecisionLog {
    /// Adds a decision, removing the oldest one if the log is full.
    pub fn add(&mut self, now_us: u64, decision: Decision) {
        if self.entries.len() == MAX_DECISIONS {
            self.entries.pop_front();
        }
        self.entries.push_back((now_us, decision));
    }

    /// Returns the decisions, oldest first.
    pub fn report(&self, now_us: u64) -> Vec<DecisionReport> {
        const US_PER_MS: u64 = 1000;
        let report = |(taken_us, decision): &(u64, Decision)| DecisionReport {
            ago_ms: now_us.saturating_sub(*taken_us) / US_PER_MS,
            decision: decision.to_string(),
            reason: decision.reason().to_owned(),
        };
        self.entries.iter().map(report).collect()
    }
}
