//! Transitions of the failover drivers in the acknowledgement model: raise a term, choose a candidate,
//! promote it.

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::Role;

use super::AcknowledgementModel;
use super::Safeguard;
use super::model::Next;
use super::state;
use super::state::Member;
use super::state::State;
use super::step::Step;
use super::views::View;

impl<const N: usize> AcknowledgementModel<N> {
    pub(super) fn raise_steps(&self, state: &State<N>, next: &mut Next<N>) {
        for attempt in 0..self.bounds.attempts {
            match state.attempts[attempt] {
                0 => {
                    self.begin(state, attempt, next);
                    // Attempts start in the order of their numbers.
                    return;
                }
                _ => self.raise(state, attempt, next),
            }
        }
    }

    /// Starts an attempt with its first raise, in any term and with any member set in use.
    fn begin(&self, state: &State<N>, attempt: usize, next: &mut Next<N>) {
        for view in self.views_in_use(state) {
            for term in 2..=self.bounds.terms {
                let mut begun = *state;
                begun.attempts[attempt] = term;
                begun.attempt_versions[attempt] = view.version as u8;
                self.raise(&begun, attempt, next);
            }
        }
    }

    fn raise(&self, state: &State<N>, attempt: usize, next: &mut Next<N>) {
        let term = state.attempts[attempt];
        let version = usize::from(state.attempt_versions[attempt]);
        for member in 0..N {
            let present = &state.members[member];
            let same_driver =
                present.raised_by == self.driver_name(attempt) || !self.has(Safeguard::OneDriver);
            let accepts = term > present.raised || term == present.raised && same_driver;
            let in_attempt_set = present.is_in(version) || !self.has(Safeguard::OneSet);
            if !accepts || !in_attempt_set {
                continue;
            }
            let mut after = *state;
            let raised = &mut after.members[member];
            raised.raised_by = self.driver_name(attempt);
            if term > raised.raised {
                raised.raised = term;
                raised.set_role(Role::Fenced);
            }
            if self.bounds.lost_answers {
                self.push(next, Step::Raise { attempt, term, member, answer: None }, after);
            }
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

    pub(super) fn choose_steps(&self, state: &State<N>, next: &mut Next<N>) {
        for attempt in 0..self.bounds.attempts {
            if self.has_chosen(state, attempt) && self.has(Safeguard::OneCandidate) {
                continue;
            }
            for view in self.views_in_use(state) {
                let same_set = view.version == usize::from(state.attempt_versions[attempt]);
                if same_set || !self.has(Safeguard::OneSet) {
                    self.choose(state, attempt, view, next);
                }
            }
        }
    }

    /// Chooses the candidate of an attempt among the members of `view` that answered its raise: one with the
    /// highest position, once the answers come from a quorum of the view.
    fn choose(&self, state: &State<N>, attempt: usize, view: View, next: &mut Next<N>) {
        let answered = |member: &Member| member.answered[attempt] > 0 && member.is_in(view.version);
        let fenced = match self.has(Safeguard::FenceMajority) {
            true => self.views.is_quorum(view, state, answered),
            false => state.members.iter().any(answered),
        };
        if !fenced {
            return;
        }
        let rank = |member: &Member| self.rank(state::unpack(member.answered[attempt]));
        let highest = state.members.iter().filter(|m| answered(m)).map(rank).max();
        for member in 0..N {
            let candidate = &state.members[member];
            if !answered(candidate) || Some(rank(candidate)) != highest {
                continue;
            }
            let mut after = *state;
            after.members[member].chosen |= 1 << attempt;
            if self.has(Safeguard::OneCandidate) {
                after.members.iter_mut().for_each(|member| member.answered[attempt] = 0);
            }
            self.push(next, Step::Choose { attempt, member }, after);
        }
    }

    fn rank(&self, position: LogPosition) -> LogPosition {
        if self.has(Safeguard::TermFirst) {
            return position;
        }
        LogPosition::new(0, position.index)
    }

    pub(super) fn promote_steps(&self, state: &State<N>, next: &mut Next<N>) {
        for attempt in 0..self.bounds.attempts {
            let term = state.attempts[attempt];
            for member in 0..N {
                let present = &state.members[member];
                let ordered = present.chosen >> attempt & 1 == 1;
                let voted = present.raised_by == self.driver_name(attempt)
                    || !self.has(Safeguard::OneDriver);
                let done = present.promoted_terms >> term & 1 == 1;
                if !ordered || present.raised != term || !voted || done {
                    continue;
                }
                let mut after = *state;
                let promoted = &mut after.members[member];
                promoted.set_role(Role::Primary);
                promoted.promoted_terms |= 1 << term;
                promoted.log = promoted.log.with(term);
                self.push(next, Step::Promote { member, term }, after);
            }
        }
    }
}
