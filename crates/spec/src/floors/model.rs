//! The transitions and invariants of the floors model.

use std::fmt;

use skylark_core::log_position::LogPosition;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;

use super::Safeguard;
use super::holder::HolderEvent;
use super::holder::Holders;
use crate::acknowledgement::AcknowledgementModel;
use crate::acknowledgement::Bounds;
use crate::acknowledgement::state;
use crate::acknowledgement::state::State as GroupState;
use crate::acknowledgement::step::Step as GroupStep;
use crate::explore::Model;

/// Number of members in the replication group.
pub const MEMBERS: usize = 3;

/// Progress of the session's read. `needed` has a bit for each write of the session that was acknowledged
/// before the session asked.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Read {
    /// The session has not asked to read.
    NotAsked,
    /// A barrier is in progress.
    Asked {
        /// The writes that the read must see.
        needed: u8,
    },
    /// The floor is known.
    Answered {
        /// The writes that the read must see.
        needed: u8,
        /// The floor that the holder answered, packed.
        floor: u8,
    },
    /// A member answered the read.
    Done {
        /// Whether the member lacked a write that the read must see.
        missed: bool,
    },
}

/// A state of the model.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// State of the members and the writes.
    group: GroupState<MEMBERS>,
    /// Writes of the observed session, one bit per write.
    own: u8,
    /// Number of the holder's state.
    holder: u16,
    /// Highest term that the holder has learned of. Kept only without [`Safeguard::Beginning`], zero
    /// otherwise.
    highest_term: u8,
    read: Read,
}

/// A transition between two states.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// A step of the replication group.
    Group(GroupStep),
    /// A write of the observed session runs.
    OwnWrite(GroupStep),
    /// The holder learns that a write ran.
    LearnWrite(usize),
    /// The holder learns that a term was opened.
    LearnOpening(u8),
    /// The holder receives the status of a member.
    Report(usize),
    /// The holder restarts or is replaced by a new one, which loses its state.
    Restart,
    /// The session asks to read, and the holder starts a barrier.
    Ask,
    /// The holder reads a member's status for the barrier.
    BarrierStatus(usize),
    /// A member answers the read.
    Answer(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Group(step) => write!(f, "{step}"),
            Step::OwnWrite(step) => write!(f, "{step} for the session"),
            Step::LearnWrite(write) => write!(f, "the holder hears of write{write}"),
            Step::LearnOpening(term) => write!(f, "the holder hears that term {term} was opened"),
            Step::Report(member) => write!(f, "the holder gets the status of member{member}"),
            Step::Restart => f.write_str("the holder restarts"),
            Step::Ask => f.write_str("the session asks to read; a barrier begins"),
            Step::BarrierStatus(member) => {
                write!(f, "the barrier reads the status of member{member}")
            }
            Step::Answer(member) => write!(f, "member{member} answers the read"),
        }
    }
}

/// Limits of the explored state space.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FloorsBounds {
    /// Number of writes of all sessions.
    pub writes: usize,
    /// Writes that may belong to the observed session, one bit per write.
    pub own: u8,
    /// Number of changes of primary.
    pub changes: usize,
    /// Whether the holder may receive the status of any member at any time, instead of in barriers only.
    pub reports: bool,
}

/// The floors model.
#[derive(Clone, Debug)]
pub struct FloorsModel {
    group: AcknowledgementModel<MEMBERS>,
    bounds: FloorsBounds,
    holders: Holders,
    without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl FloorsModel {
    /// Creates the model with the given bounds and all safeguards except `without`.
    pub fn new(floors: FloorsBounds, without: Option<Safeguard>) -> FloorsModel {
        let bounds = Bounds {
            attempts: floors.changes,
            terms: floors.changes as u8 + 1,
            writes: floors.writes,
            sets: &[0b111],
            // Whether the driver learns that a raise was accepted does not affect a read.
            lost_answers: false,
        };
        FloorsModel {
            group: AcknowledgementModel::new(bounds, None),
            bounds: floors,
            holders: Holders::new(MEMBERS),
            without,
        }
    }

    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    fn group_steps(&self, state: &State, next: &mut Next) {
        let mut steps = Vec::new();
        self.group.steps(&state.group, &mut steps);
        for (step, group) in steps {
            if let GroupStep::Choose { member, .. } = step {
                // Members 1 and 2 are symmetric, so promoting member 2 is equivalent to promoting member 1.
                if member < 2 {
                    self.promote(state, step, &group, next);
                }
                continue;
            }
            next.push((Step::Group(step), State { group, ..*state }));
            if let GroupStep::Write { write, .. } = step
                && self.bounds.own >> write & 1 == 1
            {
                let own = state.own | 1 << write;
                next.push((Step::OwnWrite(step), State { group, own, ..*state }));
            }
        }
    }

    /// Promotes a candidate in the same step in which it is chosen. A delayed promotion order, which the
    /// acknowledgement model explores, is equivalent to a later choice here.
    fn promote(
        &self,
        state: &State,
        choice: GroupStep,
        chosen: &GroupState<MEMBERS>,
        next: &mut Next,
    ) {
        let mut steps = Vec::new();
        self.group.steps(chosen, &mut steps);
        let promoted = |step: &GroupStep| matches!(step, GroupStep::Promote { .. });
        if let Some((_, group)) = steps.into_iter().find(|(step, _)| promoted(step)) {
            next.push((Step::Group(choice), State { group, ..*state }));
        }
    }

    /// Returns the acknowledged writes of the observed session, one bit per write.
    fn acknowledged(&self, state: &State) -> u8 {
        let acknowledged = |write: &usize| state.group.writes[*write].acknowledged > 0;
        let bits =
            (0..self.bounds.writes).filter(acknowledged).fold(0, |bits, write| bits | 1 << write);
        bits & state.own
    }

    fn holder_steps(&self, state: &State, next: &mut Next) {
        for write in 0..self.bounds.writes {
            let ran = state.group.writes[write];
            if ran.term > 0 {
                let own = state.own >> write & 1 == 1;
                let event = HolderEvent::Wrote { position: ran.position(), own };
                let after = self.apply_to_holder(state, ran.term, event).0;
                next.push((Step::LearnWrite(write), after));
            }
        }
        for member in &state.group.members {
            for term in (1..=state::MAX_TERMS).filter(|term| member.promoted_terms >> term & 1 == 1)
            {
                if let Some(position) = opening_position(member.log, term) {
                    let (after, _) =
                        self.apply_to_holder(state, term, HolderEvent::Opened(position));
                    next.push((Step::LearnOpening(term), after));
                }
            }
        }
        for member in (0..MEMBERS).filter(|_| self.bounds.reports) {
            let status = state.group.report(member);
            let event = HolderEvent::Report(member, status.clone());
            let prepared = self.account_existing_records(state, member, &status);
            next.push((Step::Report(member), self.apply_to_holder(&prepared, 0, event).0));
        }
        if state.read == Read::NotAsked && state.holder != Holders::FRESH {
            let after = State { holder: Holders::FRESH, highest_term: 0, ..*state };
            next.push((Step::Restart, after));
        }
    }

    fn apply_to_holder(
        &self,
        state: &State,
        term: u8,
        event: HolderEvent,
    ) -> (State, Option<LogPosition>) {
        let step = self.holders.step(state.holder, event);
        let highest_term = match self.has(Safeguard::Beginning) {
            true => 0,
            false => state.highest_term.max(term),
        };
        (State { holder: step.holder, highest_term, ..*state }, step.floor)
    }

    /// Handles the first status from the primary of a term. Without [`Safeguard::Beginning`] the holder
    /// wrongly counts all records that it finds in that term as accounted for; otherwise nothing happens.
    fn account_existing_records(
        &self,
        state: &State,
        member: usize,
        status: &MemberStatus,
    ) -> State {
        let term = status.raised_term.0 as u8;
        let leads = status.role == Role::Primary && status.log.term == status.raised_term;
        if self.has(Safeguard::Beginning) || !leads || state.highest_term >= term {
            return *state;
        }
        let accounted = State { highest_term: term, ..*state };
        let log = state.group.members[member].log;
        let Some(first) = opening_position(log, term) else { return accounted };
        let (mut accounted, _) = self.apply_to_holder(&accounted, term, HolderEvent::Opened(first));
        for index in first.index + 1..=status.log.index {
            let position = LogPosition { index, ..first };
            accounted = self.apply_to_holder(&accounted, term, HolderEvent::Account(position)).0;
        }
        accounted
    }

    fn read_steps(&self, state: &State, next: &mut Next) {
        match state.read {
            Read::NotAsked => {
                let (after, _) = self.apply_to_holder(state, 0, HolderEvent::LookUp);
                let needed = self.acknowledged(state);
                if needed == 0 && self.has(Safeguard::Barrier) {
                    // A read that need not see any write cannot break the invariant.
                    return;
                }
                next.push((Step::Ask, State { read: Read::Asked { needed }, ..after }));
            }
            Read::Asked { needed } => {
                let needed = match self.has(Safeguard::Barrier) {
                    true => needed,
                    false => self.acknowledged(state),
                };
                for member in 0..MEMBERS {
                    self.barrier_status_step(state, needed, member, next);
                }
            }
            Read::Answered { needed, floor } => {
                self.answer_steps(state, needed, state::unpack(floor), next);
            }
            Read::Done { .. } => {}
        }
    }

    fn barrier_status_step(&self, state: &State, needed: u8, member: usize, next: &mut Next) {
        let status = state.group.report(member);
        let mut statuses = vec![(member, status.clone())];
        if !self.has(Safeguard::BarrierMajority) && status.role == Role::Primary {
            // The other members are not asked; they are assumed to be in the primary's term.
            let follower = MemberStatus { role: Role::Replica, ..status.clone() };
            let others = (0..MEMBERS).filter(|other| *other != member);
            statuses.splice(0..0, others.map(|other| (other, follower.clone())));
        }
        let mut after = self.account_existing_records(state, member, &status);
        let mut answer = None;
        for (member, status) in statuses {
            let outcome =
                self.apply_to_holder(&after, 0, HolderEvent::BarrierStatus(member, status));
            after = outcome.0;
            answer = answer.or(outcome.1);
        }
        if let Some(floor) = answer {
            after.read = Read::Answered { needed, floor: state::pack(floor) };
            // The state of the holder no longer affects the read; resetting it merges equivalent states.
            after.holder = Holders::FRESH;
            after.highest_term = 0;
        }
        next.push((Step::BarrierStatus(member), after));
    }

    fn answer_steps(&self, state: &State, needed: u8, floor: LogPosition, next: &mut Next) {
        for member in 0..MEMBERS {
            let present = &state.group.members[member];
            let exempt = present.role() == Role::Primary && !self.has(Safeguard::PrimaryFloor)
                || !self.has(Safeguard::Floor);
            if !state.group.last(present.log).covers(floor) && !exempt {
                continue;
            }
            let shows = |write: &usize| present.log.holds(state::write_record(*write));
            let shown =
                (0..self.bounds.writes).filter(shows).fold(0, |bits, write| bits | 1 << write);
            let read = Read::Done { missed: needed & !shown != 0 };
            next.push((Step::Answer(member), State { read, ..*state }));
        }
    }
}

/// Returns the position in `log` of the record that opens `term`, if the log has it.
fn opening_position(log: state::Log, term: u8) -> Option<LogPosition> {
    let index = (1..=log.len()).find(|index| log.record(*index) == term)?;
    Some(LogPosition::new(u64::from(term), u64::from(index)))
}

impl Model for FloorsModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            group: self.group.initial(),
            own: 0,
            holder: Holders::FRESH,
            highest_term: 0,
            read: Read::NotAsked,
        }
    }

    fn steps(&self, state: &State, next: &mut Next) {
        if matches!(state.read, Read::Done { .. }) {
            return;
        }
        self.group_steps(state, next);
        if !matches!(state.read, Read::Answered { .. }) {
            // Events at the holder after its answer do not affect the read.
            self.holder_steps(state, next);
        }
        self.read_steps(state, next);
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        match state.read {
            Read::Done { missed: true } => {
                Some("a read missed an acknowledged write of its session")
            }
            _ => None,
        }
    }

    fn describe(&self, state: &State) -> String {
        format!("{}; writes of the session {:#b}; {:?}", state.group, state.own, state.read)
    }
}
