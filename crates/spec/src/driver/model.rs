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
/// The maximum number of runs of drivers, over all processes.
const MAX_RUNS: usize = 3;
/// The time of all events, in microseconds.
const NOW_US: u64 = 1;

/// A run of a driver, which begins at the start of its process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
struct Run {
    /// One plus the number of the driver's state; zero for a run beyond the bounds.
    driver: u32,
    /// The terms for which the driver sent raise requests, one bit each.
    raises: u8,
    /// The terms in which the driver requested each member's promotion, one bit each.
    promotions: [u8; MEMBERS],
    /// The members whose status the driver waits for, one bit each.
    reads: u8,
    /// The number of the driver's pending call to the platform; zero for none.
    platform: u8,
}

/// A state of the group and of all runs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    group: GroupState<MEMBERS>,
    runs: [Run; MAX_RUNS],
}

/// A transition between two states. Runs and members are given by their index, in this order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// A step of the group.
    Group(GroupStep),
    /// The failure detector of a driver suspects the primary.
    Suspect(usize),
    /// A driver reads a member's status.
    Read(usize, usize),
    /// A request to raise the term arrives at a member. The flag is true if the driver receives the answer.
    Raise(usize, usize, u8, bool),
    /// A promotion in a term arrives at a member. The flag is true if the driver receives the answer.
    Promote(usize, usize, u8, bool),
    /// A call of a driver to the platform fails without an answer.
    PlatformDown(usize),
    /// The timer of a driver fires.
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

/// The bounds of the model.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DriverBounds {
    /// The number of concurrent runs of drivers, at most 3.
    pub runs: usize,
    /// The highest term that a driver may request. Transitions to a higher term are not explored.
    pub terms: u8,
    /// The maximum number of writes.
    pub writes: usize,
}

/// The driver model within its bounds.
#[derive(Clone, Debug)]
pub struct DriverModel {
    bounds: DriverBounds,
    group: AcknowledgementModel<MEMBERS>,
    drivers: Drivers,
    without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl DriverModel {
    /// Creates the model within `bounds`, with one safeguard switched off or none.
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

    /// Returns the identity under which a run requests votes, counted from 1.
    fn identity(&self, run: usize) -> u8 {
        if self.without == Some(Safeguard::NewName) { 1 } else { run as u8 + 1 }
    }

    /// Returns the driver name of an identity; empty for zero, which stands for no vote.
    fn name(identity: u8) -> String {
        if identity == 0 { String::new() } else { format!("driver{identity}") }
    }

    fn status(&self, state: &State, member: usize) -> MemberStatus {
        let raised_by = Self::name(state.group.members[member].raised_by);
        MemberStatus { raised_by, ..state.group.report(member) }
    }

    /// Delivers an event to a driver and records the calls that it requests. Returns `None` if the driver
    /// requests a term beyond the bounds.
    fn deliver_event(&self, state: &State, run: usize, event: Event) -> Option<State> {
        let mut after = *state;
        let receiver = &mut after.runs[run];
        let step = self.drivers.step(receiver.driver - 1, NOW_US, event);
        receiver.driver = step.driver + 1;
        if let Some(PlatformCall(call)) = step.platform {
            receiver.platform = call as u8;
        }
        for requested in step.calls {
            match requested.call {
                MemberCall::Raise { term: Term(term) } if term > u64::from(self.bounds.terms) => {
                    return None;
                }
                MemberCall::Raise { term: Term(term) } => receiver.raises |= 1 << term,
                MemberCall::Promote { term: Term(term) } => {
                    receiver.promotions[requested.member] |= 1 << term;
                }
                MemberCall::ReadStatus => receiver.reads |= 1 << requested.member,
                // In the group model, members may follow the primary at any time without a request.
                MemberCall::Follow { .. } => {}
            }
        }
        Some(after)
    }

    /// Starts a run whose driver has received the current status of every member.
    fn start(&self, state: &State, run: usize) -> State {
        let mut after = *state;
        let driver = self.drivers.start(&Self::name(self.identity(run)), MEMBERS) + 1;
        after.runs[run] = Run { driver, ..Run::default() };
        for member in 0..MEMBERS {
            let event = Event::Report { member, status: self.status(state, member) };
            after = self.deliver_event(&after, run, event).expect("a report starts no failover");
        }
        after
    }

    fn run_steps(&self, state: &State, run: usize, next: &mut Next) {
        let current = &state.runs[run];
        for member in 0..MEMBERS {
            self.delivery_steps(state, run, member, next);
        }
        for member in (0..MEMBERS).filter(|member| current.reads >> member & 1 == 1) {
            let status = self.status(state, member);
            let event = Event::MemberAnswer { member, call: MemberCall::ReadStatus, status };
            let mut read = *state;
            read.runs[run].reads &= !(1 << member);
            next.extend(
                self.deliver_event(&read, run, event).map(|s| (Step::Read(run, member), s)),
            );
        }
        let leading = state.group.members.iter().filter(|member| member.role() == Role::Primary);
        if let Some(term) = leading.map(|member| member.raised).max() {
            let event = Event::Suspected { term: Term(u64::from(term)) };
            next.extend(self.deliver_event(state, run, event).map(|s| (Step::Suspect(run), s)));
        }
        if current.platform > 0 {
            let call = PlatformCall(u64::from(current.platform));
            let event = Event::Platform { call, answer: PlatformAnswer::NoAnswer };
            let mut closed = *state;
            closed.runs[run].platform = 0;
            next.extend(
                self.deliver_event(&closed, run, event).map(|s| (Step::PlatformDown(run), s)),
            );
        }
        next.extend(self.deliver_event(state, run, Event::Timer).map(|s| (Step::Timer(run), s)));
    }

    /// Appends the steps in which messages of a run arrive at a member, possibly after the run has ended.
    fn delivery_steps(&self, state: &State, run: usize, member: usize, next: &mut Next) {
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
        next.extend(self.deliver_event(state, run, event).map(|state| (step, state)));
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
        // Every run starts in the initial state. A run that starts later can do nothing that this run can't.
        for run in 0..self.bounds.runs {
            state = self.start(&state, run);
        }
        state
    }

    fn steps(&self, state: &State, next: &mut Next) {
        let mut steps = Vec::new();
        self.group.steps(&state.group, &mut steps);
        let wrap_group_step = |(step, group)| (Step::Group(step), State { group, ..*state });
        next.extend(steps.into_iter().map(wrap_group_step));
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
