//! The states, transitions and invariant of the lead model.

use std::fmt;
use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::request::lead_proof::GroupView;
use skylark_core::request::lead_proof::LeadReport;
use skylark_core::request::lead_proof::LeadReports;
use skylark_core::request::lead_proof::LeadVerdict;

use super::Safeguard;
use crate::explore::Model;

/// The id of the read's target, and the ids of the other members by their index. The fourth member starts
/// during the exploration.
const TARGET: &str = "old";
const OTHERS: [&str; 3] = ["successor", "replica", "fourth"];
const SUCCESSOR: usize = 0;
const FOURTH: usize = 2;

/// The terms in which the target and its successor lead.
const OLD_TERM: u64 = 1;
const NEW_TERM: u64 = 2;

/// The times recorded for reports: of a request before the read arrived, and of a request after it. The
/// latter is also the arrival time of the read.
const BEFORE_READ_US: u64 = 1;
const READ_US: u64 = 2;

/// The position that every member with an intact log has received.
const FLOOR: LogPosition =
    LogPosition { term: skylark_core::log_position::Term(OLD_TERM), index: 1 };

/// A member other than the target.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Member {
    runs: bool,
    listed: bool,
    /// Whether the member was listed and then left.
    left: bool,
    holds_floor: bool,
    knows_new_term: bool,
    holds_new_commit: bool,
    request: ReportRequest,
    report: Option<Report>,
}

/// The request for a report that was last sent to a member.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
enum ReportRequest {
    #[default]
    None,
    /// The member has answered, and this report has not arrived yet.
    Answered(Report),
}

/// What a member reported about itself.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Report {
    after_read: bool,
    knows_new_term: bool,
    holds_floor: bool,
}

/// A state of the group and of the read.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
pub struct State {
    members: [Member; 3],
    acknowledged: bool,
    /// Whether the commit had been acknowledged when the read arrived; `None` before its arrival.
    read: Option<bool>,
    requests: u8,
    restarts: u8,
}

/// A transition between two states. Members are given by their index.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The successor is promoted.
    Promote,
    /// A member receives the successor's commit.
    Receive(usize),
    /// The successor acknowledges its commit.
    Acknowledge,
    /// A member restarts with an empty log, and the list of members does not show this yet.
    RestartEmpty(usize),
    /// The fourth member starts.
    FourthStarts,
    /// The fourth member is listed.
    FourthIsListed,
    /// A member leaves.
    Leave(usize),
    /// A member receives the request for a report and answers.
    RequestReport(usize),
    /// The member's report arrives at the proxy.
    DeliverReport(usize),
    /// The read arrives at the proxy.
    Read,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Promote => f.write_str("the successor is promoted"),
            Step::Receive(member) => write!(f, "{} receives the commit", OTHERS[*member]),
            Step::Acknowledge => f.write_str("the commit is acknowledged"),
            Step::RestartEmpty(member) => {
                write!(f, "{} starts again with nothing", OTHERS[*member])
            }
            Step::FourthStarts => f.write_str("the fourth member starts"),
            Step::FourthIsListed => f.write_str("the fourth member is listed"),
            Step::Leave(member) => write!(f, "{} leaves", OTHERS[*member]),
            Step::RequestReport(member) => write!(f, "{} is asked and answers", OTHERS[*member]),
            Step::DeliverReport(member) => write!(f, "the answer of {} comes", OTHERS[*member]),
            Step::Read => f.write_str("the read comes"),
        }
    }
}

/// The lead model within its bounds.
#[derive(Clone, Copy, Debug)]
pub struct LeadModel {
    requests: u8,
    restarts: u8,
    without: Option<Safeguard>,
}

impl LeadModel {
    /// Creates the model with at most this many requests for reports and restarts, and with one safeguard
    /// switched off or none.
    pub fn new(requests: u8, restarts: u8, without: Option<Safeguard>) -> LeadModel {
        LeadModel { requests, restarts, without }
    }

    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Returns whether the core considers it proved that the target leads, so that the read is served.
    fn serves(&self, state: &State) -> bool {
        let mut reports = LeadReports::default();
        let received = |holds_floor: bool| if holds_floor { FLOOR } else { LogPosition::default() };
        let own =
            LeadReport { asked_us: BEFORE_READ_US, leads: true, term: OLD_TERM, received: FLOOR };
        reports.record(&Arc::from(TARGET), own);
        for (name, member) in OTHERS.iter().zip(&state.members) {
            let Some(report) = member.report else { continue };
            let counts = report.after_read || !self.has(Safeguard::FreshReport);
            let lead_report = LeadReport {
                asked_us: if counts { READ_US } else { BEFORE_READ_US },
                leads: false,
                term: if report.knows_new_term { NEW_TERM } else { OLD_TERM },
                received: received(report.holds_floor),
            };
            reports.record(&Arc::from(*name), lead_report);
        }
        // The target is asked again once a later term was reported, and still reports that it leads its own.
        reports.record(&Arc::from(TARGET), LeadReport { asked_us: READ_US, ..own });
        let listed = OTHERS.iter().zip(&state.members).filter(|(_, member)| member.listed);
        let others: Vec<&str> = listed.map(|(name, _)| *name).collect();
        let departed = state.members.iter().filter(|member| member.left).count();
        let fourth = &state.members[FOURTH];
        let is_complete = fourth.listed || fourth.left || !fourth.runs;
        let group = GroupView {
            others: &others,
            departed: if self.has(Safeguard::Departed) { departed } else { 0 },
            sync_replicas: 1,
            is_complete: is_complete || !self.has(Safeguard::CompleteList),
            floor: received(self.has(Safeguard::KeptLog)),
        };
        reports.verdict(&Arc::from(TARGET), READ_US, &group) == LeadVerdict::Proved
    }

    fn member_steps(&self, state: &State, member: usize, next: &mut Vec<(Step, State)>) {
        let mut push = |step: Step, change: fn(&mut Member)| {
            let mut after = state.clone();
            change(&mut after.members[member]);
            next.push((step, after));
        };
        let current = &state.members[member];
        let commits = state.members[SUCCESSOR].holds_new_commit && state.members[SUCCESSOR].runs;
        if member != SUCCESSOR && current.runs && commits && !current.holds_new_commit {
            push(Step::Receive(member), |member| {
                member.holds_floor = true;
                member.knows_new_term = true;
                member.holds_new_commit = true;
            });
        }
        if member != SUCCESSOR && current.listed {
            push(Step::Leave(member), |member| {
                *member = Member { left: true, ..Member::default() };
            });
        }
        if current.request != ReportRequest::None {
            let mut after = state.clone();
            let ReportRequest::Answered(mut report) = current.request else { return };
            report.after_read |= !self.has(Safeguard::RequestTime) && state.read.is_some();
            after.members[member].request = ReportRequest::None;
            after.members[member].report = Some(report);
            next.push((Step::DeliverReport(member), after));
        }
        if current.runs && current.listed && state.requests < self.requests {
            let mut after = state.clone();
            after.requests += 1;
            after.members[member].request = ReportRequest::Answered(Report {
                after_read: state.read.is_some(),
                knows_new_term: current.knows_new_term,
                holds_floor: current.holds_floor,
            });
            next.push((Step::RequestReport(member), after));
        }
        if member != SUCCESSOR && current.runs && state.restarts < self.restarts {
            let mut after = state.clone();
            after.restarts += 1;
            let restarted = &mut after.members[member];
            restarted.holds_floor = false;
            restarted.knows_new_term = false;
            restarted.holds_new_commit = false;
            next.push((Step::RestartEmpty(member), after));
        }
    }
}

impl Model for LeadModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let member = Member { runs: true, listed: true, holds_floor: true, ..Member::default() };
        State { members: [member, member, Member::default()], ..State::default() }
    }

    fn steps(&self, state: &State, next: &mut Vec<(Step, State)>) {
        for member in 0..OTHERS.len() {
            self.member_steps(state, member, next);
        }
        let successor = &state.members[SUCCESSOR];
        if !successor.knows_new_term {
            let mut after = state.clone();
            after.members[SUCCESSOR].knows_new_term = true;
            after.members[SUCCESSOR].holds_new_commit = true;
            next.push((Step::Promote, after));
        }
        let holders = state.members.iter().filter(|member| member.holds_new_commit).count();
        if successor.holds_new_commit && holders >= 2 && !state.acknowledged {
            next.push((Step::Acknowledge, State { acknowledged: true, ..state.clone() }));
        }
        let fourth = &state.members[FOURTH];
        if !fourth.runs && !fourth.left {
            let mut after = state.clone();
            after.members[FOURTH].runs = true;
            after.members[FOURTH].holds_floor = true;
            next.push((Step::FourthStarts, after));
        }
        if fourth.runs && !fourth.listed {
            let mut after = state.clone();
            after.members[FOURTH].listed = true;
            next.push((Step::FourthIsListed, after));
        }
        if state.read.is_none() {
            let read = Some(state.acknowledged);
            next.push((Step::Read, State { read, ..state.clone() }));
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        let misses = state.read == Some(true) && self.serves(state);
        misses.then_some("a read is served that misses an acknowledged commit")
    }

    fn describe(&self, state: &State) -> String {
        let members = OTHERS.iter().zip(&state.members);
        let members = members.map(|(name, member)| {
            let mark = |holds: bool, text: &'static str| if holds { text } else { "" };
            format!(
                "{name}{}{}{}{}",
                mark(!member.runs, " (away)"),
                mark(!member.holds_floor, " empty"),
                mark(member.knows_new_term, " new term"),
                mark(member.holds_new_commit, " commit"),
            )
        });
        let members: Vec<String> = members.collect();
        format!(
            "{}; acknowledged: {}; read: {:?}",
            members.join(", "),
            state.acknowledged,
            state.read
        )
    }
}
