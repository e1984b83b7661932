//! The transitions and invariants of the acknowledgement model.

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::Role;

use super::Safeguard;
use super::state;
use super::state::Member;
use super::state::State;
use super::state::Write;
use super::step::Step;
use crate::explore::Model;

/// How far the model is explored.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// Attempts to open a new term.
    pub attempts: usize,
    /// The highest term.
    pub terms: u8,
    /// Writes, each of which runs at one primary.
    pub writes: usize,
}

/// The model with `N` members.
#[derive(Clone, Copy, Debug)]
pub struct AcknowledgementModel<const N: usize> {
    /// How far to explore.
    pub bounds: Bounds,
    /// The safeguard that is switched off.
    pub without: Option<Safeguard>,
}

type Next<const N: usize> = Vec<(Step, State<N>)>;

impl<const N: usize> AcknowledgementModel<N> {
    const MAJORITY: usize = N / 2 + 1;

    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// The name under which an attempt asks for votes.
    fn name(&self, attempt: usize) -> u8 {
        if self.has(Safeguard::NewName) { attempt as u8 + 1 } else { 1 }
    }

    fn push(&self, next: &mut Next<N>, step: Step, mut state: State<N>) {
        self.confirm(&mut state);
        next.push((step, state));
    }

    /// Hands every report that a member could send now to the acknowledging proxies.
    fn confirm(&self, state: &mut State<N>) {
        for write in 0..self.bounds.writes {
            if state.writes[write].term == 0 {
                continue;
            }
            for member in 0..N {
                if self.confirms(state, member, state.writes[write]) {
                    state.members[member].confirmed |= 1 << write;
                }
            }
            if state.confirmations(write) >= Self::MAJORITY {
                state.writes[write].acknowledged = state.writes[write].term;
            }
            if !self.has(Safeguard::OwnTerm) {
                self.confirm_older_term(state, write);
            }
        }
    }

    fn confirms(&self, state: &State<N>, member: usize, write: Write) -> bool {
        let report = state.report(member);
        if self.has(Safeguard::ConfirmationTerm) {
            return report.confirms(write.position());
        }
        report.log.index >= u64::from(write.index)
    }

    /// Counts the members of any one term that hold the write, as a primary does that goes by the
    /// length of its replicas' logs.
    fn confirm_older_term(&self, state: &mut State<N>, write: usize) {
        let record = state::write_record(write);
        for term in 1..=self.bounds.terms {
            if state.writes[write].acknowledged > 0 || state.primary_of(term).is_none() {
                continue;
            }
            let holds = |member: &Member| member.raised == term && member.log.holds(record);
            if state.members.iter().filter(|member| holds(member)).count() < Self::MAJORITY {
                continue;
            }
            state.writes[write].acknowledged = term;
            return;
        }
    }

    fn writes(&self, state: &State<N>, next: &mut Next<N>) {
        let Some(write) = state.writes[..self.bounds.writes].iter().position(|w| w.term == 0)
        else {
            return;
        };
        for member in 0..N {
            if state.members[member].role() != Role::Primary {
                continue;
            }
            let mut after = *state;
            let primary = &mut after.members[member];
            primary.log = primary.log.with(state::write_record(write));
            after.writes[write] =
                Write { term: primary.raised, index: primary.log.len() as u8, acknowledged: 0 };
            self.push(next, Step::Write { member, write }, after);
        }
    }

    fn raises(&self, state: &State<N>, next: &mut Next<N>) {
        for attempt in 0..self.bounds.attempts {
            match state.attempts[attempt] {
                0 => {
                    (2..=self.bounds.terms).for_each(|term| self.raise(state, attempt, term, next));
                    // Attempts begin in the order of their numbers.
                    return;
                }
                term => self.raise(state, attempt, term, next),
            }
        }
    }

    fn raise(&self, state: &State<N>, attempt: usize, term: u8, next: &mut Next<N>) {
        for member in 0..N {
            let present = &state.members[member];
            let same_driver =
                present.raised_by == self.name(attempt) || !self.has(Safeguard::OneDriver);
            let takes = term > present.raised || term == present.raised && same_driver;
            if !takes {
                continue;
            }
            let mut after = *state;
            after.attempts[attempt] = term;
            let raised = &mut after.members[member];
            raised.raised_by = self.name(attempt);
            if term > raised.raised {
                raised.raised = term;
                raised.set_role(Role::Fenced);
            }
            self.push(next, Step::Raise { attempt, term, member, answer: None }, after);
            if self.has_chosen(state, attempt) && self.has(Safeguard::OneCandidate) {
                continue;
            }
            let mut answer = state.last(present.log);
            if !self.has(Safeguard::RecordTerm) {
                answer.term = Term(u64::from(present.raised));
            }
            after.members[member].answered[attempt] = state::pack(answer);
            self.push(next, Step::Raise { attempt, term, member, answer: Some(answer) }, after);
        }
    }

    fn has_chosen(&self, state: &State<N>, attempt: usize) -> bool {
        state.members.iter().any(|member| member.chosen >> attempt & 1 == 1)
    }

    fn choices(&self, state: &State<N>, next: &mut Next<N>) {
        for attempt in 0..self.bounds.attempts {
            if self.has_chosen(state, attempt) && self.has(Safeguard::OneCandidate) {
                continue;
            }
            let answered = |member: &usize| state.members[*member].answered[attempt] > 0;
            let members = (0..N).filter(answered).collect::<Vec<_>>();
            let needed = if self.has(Safeguard::FenceMajority) { Self::MAJORITY } else { 1 };
            if members.len() < needed {
                continue;
            }
            let position = |member: usize| state::unpack(state.members[member].answered[attempt]);
            let rank = |member: usize| self.rank(position(member));
            let highest = members.iter().map(|&member| rank(member)).max();
            for member in members.into_iter().filter(|&member| Some(rank(member)) == highest) {
                let mut after = *state;
                after.members[member].chosen |= 1 << attempt;
                if self.has(Safeguard::OneCandidate) {
                    after.members.iter_mut().for_each(|member| member.answered[attempt] = 0);
                }
                self.push(next, Step::Choose { attempt, member }, after);
            }
        }
    }

    fn rank(&self, position: LogPosition) -> LogPosition {
        if self.has(Safeguard::TermFirst) {
            return position;
        }
        LogPosition::new(0, position.index)
    }

    fn promotions(&self, state: &State<N>, next: &mut Next<N>) {
        for attempt in 0..self.bounds.attempts {
            let term = state.attempts[attempt];
            for member in 0..N {
                let present = &state.members[member];
                let ordered = present.chosen >> attempt & 1 == 1;
                let voted =
                    present.raised_by == self.name(attempt) || !self.has(Safeguard::OneDriver);
                let done = present.reigns >> term & 1 == 1;
                if !ordered || present.raised != term || !voted || done {
                    continue;
                }
                let mut after = *state;
                let promoted = &mut after.members[member];
                promoted.set_role(Role::Primary);
                promoted.reigns |= 1 << term;
                promoted.log = promoted.log.with(term);
                self.push(next, Step::Promote { member, term }, after);
            }
        }
    }

    fn follows(&self, state: &State<N>, next: &mut Next<N>) {
        for term in 1..=self.bounds.terms {
            let opened = state.members.iter().any(|member| member.reigns >> term & 1 == 1);
            if !opened {
                continue;
            }
            for member in 0..N {
                let present = &state.members[member];
                let led = present.reigns >> term & 1 == 1;
                let follows = present.raised == term && present.role() != Role::Fenced;
                if led || follows || present.raised > term {
                    continue;
                }
                let mut after = *state;
                let follower = &mut after.members[member];
                if follower.raised < term {
                    follower.raised = term;
                    follower.raised_by = 0;
                }
                follower.set_role(Role::Replica);
                self.push(next, Step::Follow { member, term }, after);
            }
        }
    }

    fn replication(&self, state: &State<N>, next: &mut Next<N>) {
        for member in 0..N {
            let replica = &state.members[member];
            if replica.role() != Role::Replica {
                continue;
            }
            let Some(primary) = state.primary_of(replica.raised) else { continue };
            let source = state.members[primary].log;
            let common = replica.log.common(source);
            let mut after = *state;
            if common != replica.log {
                after.members[member].log = common;
                self.push(next, Step::Rewind { member }, after);
            } else if common != source {
                let record = source.record(common.len() + 1);
                after.members[member].log = common.with(record);
                self.push(next, Step::Replicate { member }, after);
            }
        }
    }
}

impl<const N: usize> Model for AcknowledgementModel<N> {
    type State = State<N>;
    type Step = Step;

    fn initial(&self) -> State<N> {
        let mut members = [Member::initial(Role::Replica); N];
        members[0] = Member::initial(Role::Primary);
        State {
            members,
            attempts: [0; state::MAX_ATTEMPTS],
            writes: [Write::default(); state::MAX_WRITES],
        }
    }

    fn steps(&self, state: &State<N>, next: &mut Next<N>) {
        self.writes(state, next);
        self.raises(state, next);
        self.choices(state, next);
        self.promotions(state, next);
        self.follows(state, next);
        self.replication(state, next);
    }

    fn canonical(&self, state: &State<N>) -> State<N> {
        let mut sorted = *state;
        sorted.members.sort_unstable();
        sorted
    }

    fn violation(&self, state: &State<N>) -> Option<&'static str> {
        let mut reigns = 0;
        for member in &state.members {
            if reigns & member.reigns != 0 {
                return Some("two members were promoted in one term");
            }
            reigns |= member.reigns;
        }
        for write in 0..self.bounds.writes {
            let acknowledged = state.writes[write].acknowledged;
            if acknowledged == 0 {
                continue;
            }
            let lacks = |member: &Member| {
                member.role() == Role::Primary
                    && member.raised >= acknowledged
                    && !member.log.holds(state::write_record(write))
            };
            if state.members.iter().any(lacks) {
                return Some(
                    "an acknowledged write is missing at a primary of that term or a later one",
                );
            }
        }
        None
    }

    fn describe(&self, state: &State<N>) -> String {
        state.to_string()
    }
}
