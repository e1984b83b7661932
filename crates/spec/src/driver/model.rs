//! The states, transitions and invariants of the driver model.

use std::fmt;

use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::failover::Event;
use skylark_core::process::failover::MemberCall;
use skylark_core::process::failover::PlatformAnswer;
use skylark_core::process::failover::PlatformCall;

use super::Safeguard;
use super::machine::Drivers;
use crate::acknowledgement::AcknowledgementModel;
use crate::acknowledgement::Bounds;
use crate::acknowledgement::state::State as GroupState;
use crate::acknowledgement::step::Step as GroupStep;
use crate::explore::Model;

const MEMBERS: usize = 3;
/// The most runs of drivers, over all processes.
const MAX_RUNS: usize = 3;
/// The time of everything that happens.
const NOW_US: u64 = 1;

/// One run of a driver, from the start of its process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
struct Run {
    /// The number of the driver's state, from 1; zero for a run beyond the bounds.
    driver: u32,
    /// The terms for which it sent raises, one bit each.
    raises: u8,
    /// The promotions that it sent: a bit for each term, by member.
    promotions: [u8; MEMBERS],
    /// The members whose status it waits for, one bit each.
    reads: u8,
    /// Its open call to the platform; zero for none.
    platform: u8,
}

/// A state.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    group: GroupState<MEMBERS>,
    runs: [Run; MAX_RUNS],
}

/// What happens between two states.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// A step of the group.
    Group(GroupStep),
    /// The detector suspects the primary.
    Suspect(usize),
    /// A driver reads a member's status.
    Read(usize, usize),
    /// A raise arrives at a member; the driver gets the answer or not.
    Raise(usize, usize, u8, bool),
    /// A promotion arrives at a member; the driver gets the answer or not.
    Promote(usize, usize, u8, bool),
    /// The platform does not answer a driver.
    PlatformDown(usize),
    /// A driver's timer fires.
    Timer(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lost = |answered: &bool| if *answered { "" } else { "; the answer is lost" };
        match self {
            Step::Group(step) => write!(f, "{step}"),
            Step::Suspect(run) => write!(f, "driver{run} suspects the primary"),
            Step::Read(run, member) => write!(f, "driver{run} reads the status of member{member}"),
            Step::Raise(run, member, term, answered) => {
                write!(f, "driver{run} raises term {term} on member{member}{}", lost(answered))
            }
            Step::Promote(run, member, term, answered) => {
                write!(f, "driver{run} promotes member{member} in term {term}{}", lost(answered))
            }
            Step::PlatformDown(run) => write!(f, "the platform does not answer driver{run}"),
            Step::Timer(run) => write!(f, "the timer of driver{run} fires"),
        }
    }
}

/// How far the model is explored.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DriverBounds {
    /// Runs of drivers, side by side.
    pub runs: usize,
    /// The highest term.
    pub terms: u8,
    /// Writes.
    pub writes: usize,
}

/// The model.
#[derive(Clone, Debug)]
pub struct DriverModel {
    bounds: DriverBounds,
    group: AcknowledgementModel<MEMBERS>,
    drivers: Drivers,
    without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl DriverModel {
    /// The model within `bounds`, with one safeguard switched off or none.
    pub fn new(bounds: DriverBounds, without: Option<Safeguard>) -> DriverModel {
        let DriverBounds { terms, writes, .. } = bounds;
        let group = Bounds { attempts: 0, terms, writes, sets: &[0b111], lost_answers: false };
        DriverModel {
            bounds,
            group: AcknowledgementModel::new(group, None),
            drivers: Drivers::default(),
            without,
        }
    }

    /// The number in whose name a run asks for votes, from 1.
    fn identity(&self, run: usize) -> u8 {
        if self.without == Some(Safeguard::NewName) { 1 } else { run as u8 + 1 }
    }

    fn name(identity: u8) -> String {
        if identity == 0 { String::new() } else { format!("driver{identity}") }
    }

    fn status(&self, state: &State, member: usize) -> MemberStatus {
        let raised_by = Self::name(state.group.members[member].raised_by);
        MemberStatus { raised_by, ..state.group.report(member) }
    }

    /// Passes an event to a driver and notes what it sends. None where it asks for a term beyond the
    /// bounds.
    fn tell(&self, state: &State, run: usize, event: Event) -> Option<State> {
        let mut after = *state;
        let told = &mut after.runs[run];
        let step = self.drivers.step(told.driver - 1, NOW_US, event);
        told.driver = step.driver + 1;
        if let Some(PlatformCall(call)) = step.platform {
            told.platform = call as u8;
        }
        for asked in step.asked {
            match asked.call {
                MemberCall::Raise { term: Term(term) } if term > u64::from(self.bounds.terms) => {
                    return None;
                }
                MemberCall::Raise { term: Term(term) } => told.raises |= 1 << term,
                MemberCall::Promote { term: Term(term) } => {
                    told.promotions[asked.member] |= 1 << term;
                }
                MemberCall::ReadStatus => told.reads |= 1 << asked.member,
                // The group follows by itself at any time.
                MemberCall::Follow { .. } => {}
            }
        }
        Some(after)
    }

    /// A run that has heard of every member what it reported in the beginning.
    fn start(&self, state: &State, run: usize) -> State {
        let mut after = *state;
        let driver = self.drivers.start(&Self::name(self.identity(run)), MEMBERS) + 1;
        after.runs[run] = Run { driver, ..Run::default() };
        for member in 0..MEMBERS {
            let event = Event::Report { member, status: self.status(state, member) };
            after = self.tell(&after, run, event).expect("a report starts no change");
        }
        after
    }

    fn run_steps(&self, state: &State, run: usize, next: &mut Next) {
        let present = &state.runs[run];
        for member in 0..MEMBERS {
            self.arrivals(state, run, member, next);
        }
        for member in (0..MEMBERS).filter(|member| present.reads >> member & 1 == 1) {
            let status = self.status(state, member);
            let event = Event::MemberAnswer { member, call: MemberCall::ReadStatus, status };
            let mut read = *state;
            read.runs[run].reads &= !(1 << member);
            next.extend(self.tell(&read, run, event).map(|s| (Step::Read(run, member), s)));
        }
        let leading = state.group.members.iter().filter(|member| member.role() == Role::Primary);
        if let Some(term) = leading.map(|member| member.raised).max() {
            let event = Event::Suspected { term: Term(u64::from(term)) };
            next.extend(self.tell(state, run, event).map(|s| (Step::Suspect(run), s)));
        }
        if present.platform > 0 {
            let call = PlatformCall(u64::from(present.platform));
            let event = Event::Platform { call, answer: PlatformAnswer::NoAnswer };
            let mut closed = *state;
            closed.runs[run].platform = 0;
            next.extend(self.tell(&closed, run, event).map(|s| (Step::PlatformDown(run), s)));
        }
        next.extend(self.tell(state, run, Event::Timer).map(|s| (Step::Timer(run), s)));
    }

    /// What a run sent arrives at a member, also after the run ended.
    fn arrivals(&self, state: &State, run: usize, member: usize, next: &mut Next) {
        let sent = &state.runs[run];
        for term in 2..=self.bounds.terms {
            if sent.raises >> term & 1 == 1 {
                let call = MemberCall::Raise { term: Term(u64::from(term)) };
                let after = self.raise(state, run, member, term);
                self.answer(&after, run, member, call, Step::Raise(run, member, term, true), next);
                next.push((Step::Raise(run, member, term, false), after));
            }
            if sent.promotions[member] >> term & 1 == 1 {
                let call = MemberCall::Promote { term: Term(u64::from(term)) };
                let after = self.promote(state, run, member, term);
                let step = Step::Promote(run, member, term, true);
                self.answer(&after, run, member, call, step, next);
                next.push((Step::Promote(run, member, term, false), after));
            }
        }
    }

    fn answer(
        &self,
        state: &State,
        run: usize,
        member: usize,
        call: MemberCall,
        step: Step,
        next: &mut Next,
    ) {
        let event = Event::MemberAnswer { member, call, status: self.status(state, member) };
        next.extend(self.tell(state, run, event).map(|state| (step, state)));
    }

    fn raise(&self, state: &State, run: usize, member: usize, term: u8) -> State {
        let mut after = *state;
        let raised = &mut after.group.members[member];
        if term > raised.raised {
            raised.raised = term;
            raised.raised_by = self.identity(run);
            raised.set_role(Role::Fenced);
        }
        after
    }

    fn promote(&self, state: &State, run: usize, member: usize, term: u8) -> State {
        let mut after = *state;
        let promoted = &mut after.group.members[member];
        let voted = promoted.raised == term && promoted.raised_by == self.identity(run);
        if voted && promoted.promoted_terms >> term & 1 == 0 {
            promoted.set_role(Role::Primary);
            promoted.promoted_terms |= 1 << term;
            promoted.log = promoted.log.with(term);
        }
        self.group.apply_reports(&mut after.group);
        after
    }
}

impl Model for DriverModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let group = self.group.initial();
        let mut state = State { group, runs: [Run::default(); MAX_RUNS] };
        // Whether a run starts now or later makes no difference to what it may do.
        for run in 0..self.bounds.runs {
            state = self.start(&state, run);
        }
        state
    }

    fn steps(&self, state: &State, next: &mut Next) {
        let mut steps = Vec::new();
        self.group.steps(&state.group, &mut steps);
        let of_group = |(step, group)| (Step::Group(step), State { group, ..*state });
        next.extend(steps.into_iter().map(of_group));
        for run in 0..self.bounds.runs {
            self.run_steps(state, run, next);
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        self.group.violation(&state.group)
    }

    fn describe(&self, state: &State) -> String {
        state.group.to_string()
    }
}
