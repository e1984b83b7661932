//! The model.

use std::fmt;
use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::request::lead_proof::GroupView;
use skylark_core::request::lead_proof::LeadReport;
use skylark_core::request::lead_proof::LeadReports;
use skylark_core::request::lead_proof::LeadVerdict;

use super::Safeguard;
use crate::explore::Model;

/// The target of the read, and the others by their places. The last one comes late.
const TARGET: &str = "old";
const OTHERS: [&str; 3] = ["successor", "replica", "fourth"];
const SUCCESSOR: usize = 0;
const FOURTH: usize = 2;

/// The term of the target and that of its successor.
const OLD_TERM: u64 = 1;
const NEW_TERM: u64 = 2;

/// The times of the model: a question before the read came, the read, and one after it.
const BEFORE_US: u64 = 1;
const MOMENT_US: u64 = 2;

/// What every member that kept its log has received.
const FLOOR: LogPosition =
    LogPosition { term: skylark_core::log_position::Term(OLD_TERM), index: 1 };

/// A member but the target.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Member {
    runs: bool,
    listed: bool,
    /// Whether it left after it was listed.
    left: bool,
    holds_floor: bool,
    knows_new_term: bool,
    holds_new_commit: bool,
    question: Question,
    heard: Option<Heard>,
}

/// A question to a member.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
enum Question {
    #[default]
    None,
    /// Answered, and the answer is under way.
    Answered(Heard),
}

/// A member's word.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Heard {
    after_read: bool,
    knows_new_term: bool,
    holds_floor: bool,
}

/// A state.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
pub struct State {
    members: [Member; 3],
    acknowledged: bool,
    /// Whether the read came, and whether the commit had been acknowledged by then.
    read: Option<bool>,
    questions: u8,
    restarts: u8,
}

/// What happens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The successor is promoted.
    Promote,
    /// A member receives the successor's commit.
    Receive(usize),
    /// The successor acknowledges its commit.
    Acknowledge,
    /// A member starts again with nothing, and the list does not tell it yet.
    StartAgain(usize),
    /// The fourth member starts.
    FourthStarts,
    /// The fourth member is listed.
    FourthIsListed,
    /// A member leaves.
    Leave(usize),
    /// A member is asked, and answers.
    Ask(usize),
    /// Its answer comes.
    Hear(usize),
    /// The read comes.
    Read,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Promote => f.write_str("the successor is promoted"),
            Step::Receive(member) => write!(f, "{} receives the commit", OTHERS[*member]),
            Step::Acknowledge => f.write_str("the commit is acknowledged"),
            Step::StartAgain(member) => write!(f, "{} starts again with nothing", OTHERS[*member]),
            Step::FourthStarts => f.write_str("the fourth member starts"),
            Step::FourthIsListed => f.write_str("the fourth member is listed"),
            Step::Leave(member) => write!(f, "{} leaves", OTHERS[*member]),
            Step::Ask(member) => write!(f, "{} is asked and answers", OTHERS[*member]),
            Step::Hear(member) => write!(f, "the answer of {} comes", OTHERS[*member]),
            Step::Read => f.write_str("the read comes"),
        }
    }
}

/// The model.
#[derive(Clone, Copy, Debug)]
pub struct LeadModel {
    questions: u8,
    restarts: u8,
    without: Option<Safeguard>,
}

impl LeadModel {
    /// A model within these bounds.
    pub fn new(questions: u8, restarts: u8, without: Option<Safeguard>) -> LeadModel {
        LeadModel { questions, restarts, without }
    }

    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Whether the core lets the read be served.
    fn serves(&self, state: &State) -> bool {
        let mut reports = LeadReports::default();
        let received = |holds_floor: bool| if holds_floor { FLOOR } else { LogPosition::default() };
        let own = LeadReport { asked_us: BEFORE_US, leads: true, term: OLD_TERM, received: FLOOR };
        reports.record(&Arc::from(TARGET), own);
        for (name, member) in OTHERS.iter().zip(&state.members) {
            let Some(heard) = member.heard else { continue };
            let counts = heard.after_read || !self.has(Safeguard::FreshWord);
            let report = LeadReport {
                asked_us: if counts { MOMENT_US } else { BEFORE_US },
                leads: false,
                term: if heard.knows_new_term { NEW_TERM } else { OLD_TERM },
                received: received(heard.holds_floor),
            };
            reports.record(&Arc::from(*name), report);
        }
        // The target is asked again once a later term was heard, and still says that it leads its own.
        reports.record(&Arc::from(TARGET), LeadReport { asked_us: MOMENT_US, ..own });
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
        reports.verdict(&Arc::from(TARGET), MOMENT_US, &group) == LeadVerdict::Proved
    }

    fn steps_of(&self, state: &State, member: usize, next: &mut Vec<(Step, State)>) {
        let mut push = |step: Step, change: fn(&mut Member)| {
            let mut after = state.clone();
            change(&mut after.members[member]);
            next.push((step, after));
        };
        let present = &state.members[member];
        let commits = state.members[SUCCESSOR].holds_new_commit && state.members[SUCCESSOR].runs;
        if member != SUCCESSOR && present.runs && commits && !present.holds_new_commit {
            push(Step::Receive(member), |member| {
                member.holds_floor = true;
                member.knows_new_term = true;
                member.holds_new_commit = true;
            });
        }
        if member != SUCCESSOR && present.listed {
            push(Step::Leave(member), |member| {
                *member = Member { left: true, ..Member::default() };
            });
        }
        if present.question != Question::None {
            let mut after = state.clone();
            let Question::Answered(mut heard) = present.question else { return };
            heard.after_read |= !self.has(Safeguard::AskedTime) && state.read.is_some();
            after.members[member].question = Question::None;
            after.members[member].heard = Some(heard);
            next.push((Step::Hear(member), after));
        }
        if present.runs && present.listed && state.questions < self.questions {
            let mut after = state.clone();
            after.questions += 1;
            after.members[member].question = Question::Answered(Heard {
                after_read: state.read.is_some(),
                knows_new_term: present.knows_new_term,
                holds_floor: present.holds_floor,
            });
            next.push((Step::Ask(member), after));
        }
        if member != SUCCESSOR && present.runs && state.restarts < self.restarts {
            let mut after = state.clone();
            after.restarts += 1;
            let again = &mut after.members[member];
            again.holds_floor = false;
            again.knows_new_term = false;
            again.holds_new_commit = false;
            next.push((Step::StartAgain(member), after));
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
            self.steps_of(state, member, next);
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
