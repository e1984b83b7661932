//! The transitions and invariants of the acknowledgement model.

use std::array;

use skylark_core::member_status::Role;

use super::Safeguard;
use super::state;
use super::state::Member;
use super::state::Phase;
use super::state::State;
use super::state::Write;
use super::step::Step;
use super::views::View;
use super::views::Views;
use crate::explore::Model;

/// Limits of the explored state space.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// Number of attempts to open a new term, at most [`state::MAX_ATTEMPTS`].
    pub attempts: usize,
    /// The highest term, at most [`state::MAX_TERMS`].
    pub terms: u8,
    /// Number of writes, each of which runs on one primary; at most [`state::MAX_WRITES`].
    pub writes: usize,
    /// Bit masks of members, one mask per version of the member set. Member 0 is the initial primary.
    pub sets: &'static [u8],
    /// Whether the answer to an accepted raise may be lost.
    pub lost_answers: bool,
}

/// The acknowledgement model with `N` members.
#[derive(Clone, Debug)]
pub struct AcknowledgementModel<const N: usize> {
    pub(super) bounds: Bounds,
    without: Option<Safeguard>,
    pub(super) views: Views,
}

pub(super) type Next<const N: usize> = Vec<(Step, State<N>)>;

impl<const N: usize> AcknowledgementModel<N> {
    /// Creates the model with the given bounds and all safeguards except `without`.
    pub fn new(bounds: Bounds, without: Option<Safeguard>) -> AcknowledgementModel<N> {
        AcknowledgementModel { bounds, without, views: Views::new(bounds.sets) }
    }

    /// Whether, in some view in use, the members that `counts` selects for that view form a quorum.
    fn is_quorum<F>(&self, state: &State<N>, counts: F) -> bool
    where
        F: Fn(View, &Member) -> bool,
    {
        let mut views = self.views_in_use(state).into_iter();
        views.any(|view| self.views.is_quorum(view, state, |member| counts(view, member)))
    }

    /// Whether a process with this view has a report of the member that confirms the write. A process
    /// discards older reports when it considers the newest set settled, and a process that just started
    /// has none.
    fn has_confirmation(
        &self,
        state: &State<N>,
        view: View,
        member: &Member,
        write: usize,
    ) -> bool {
        let newest = view.version == usize::from(state.version) && view.settled;
        let known = match newest && self.has(Safeguard::FreshReports) {
            true => member.confirmed_in_set,
            false => member.confirmed,
        };
        known >> write & 1 == 1
    }

    pub(super) fn views_in_use(&self, state: &State<N>) -> Vec<View> {
        self.views.in_use(state, !self.has(Safeguard::KnownSet))
    }

    pub(super) fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Returns the driver name under which an attempt requests votes.
    pub(super) fn driver_name(&self, attempt: usize) -> u8 {
        if self.has(Safeguard::NewName) { attempt as u8 + 1 } else { 1 }
    }

    pub(super) fn push(&self, next: &mut Next<N>, step: Step, mut state: State<N>) {
        self.apply_reports(&mut state);
        next.push((step, state));
    }

    /// Delivers every report that a member could send now to the acknowledging proxies, and marks the writes
    /// that become acknowledged by it.
    pub fn apply_reports(&self, state: &mut State<N>) {
        for write in 0..self.bounds.writes {
            if state.writes[write].term == 0 {
                continue;
            }
            for member in 0..N {
                if self.confirms(state, member, state.writes[write]) {
                    state.members[member].confirmed |= 1 << write;
                    state.members[member].confirmed_in_set |= 1 << write;
                }
            }
            let confirmed =
                |view: View, member: &Member| self.has_confirmation(state, view, member, write);
            if state.writes[write].acknowledged == 0 && self.is_quorum(state, confirmed) {
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

    /// Acknowledges a write that a quorum of members in one term holds, as a primary would that counts
    /// replicas by the length of their logs.
    fn confirm_older_term(&self, state: &mut State<N>, write: usize) {
        let record = state::write_record(write);
        for term in 1..=self.bounds.terms {
            if state.writes[write].acknowledged > 0 || state.primary_of(term).is_none() {
                continue;
            }
            let holds = |member: &Member| member.raised == term && member.log.holds(record);
            if !self.is_quorum(state, |_, member| holds(member)) {
                continue;
            }
            state.writes[write].acknowledged = term;
            return;
        }
    }

    fn write_steps(&self, state: &State<N>, next: &mut Next<N>) {
        let Some(write) = state.writes[..self.bounds.writes].iter().position(|w| w.term == 0)
        else {
            return;
        };
        for member in 0..N {
            if state.members[member].role() != Role::Primary {
                continue;
            }
            let known_version = match state.phase {
                Phase::Spreading => 0,
                Phase::Known | Phase::Settled => state.version,
            };
            let mut after = *state;
            let primary = &mut after.members[member];
            primary.log = primary.log.with(state::write_record(write));
            after.writes[write] = Write {
                term: primary.raised,
                index: primary.log.len() as u8,
                acknowledged: 0,
                known_version,
            };
            self.push(next, Step::Write { member, write }, after);
        }
    }

    fn follow_steps(&self, state: &State<N>, next: &mut Next<N>) {
        for term in 1..=self.bounds.terms {
            let opened = state.members.iter().any(|member| member.promoted_terms >> term & 1 == 1);
            if !opened {
                continue;
            }
            for member in 0..N {
                let present = &state.members[member];
                let led = present.promoted_terms >> term & 1 == 1;
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

    fn member_set_steps(&self, state: &State<N>, next: &mut Next<N>) {
        let version = state.version;
        let holds = |write: &Write| write.acknowledged > 0 && write.known_version == version;
        let (step, version, phase) = match state.phase {
            Phase::Spreading => (Step::KnowMembers { version }, version, Phase::Known),
            Phase::Known => {
                if self.has(Safeguard::SettledRecord) && !state.writes.iter().any(holds) {
                    return;
                }
                (Step::SettleMembers { version }, version, Phase::Settled)
            }
            Phase::Settled => {
                let version = version + 1;
                if usize::from(version) == self.views.count() {
                    return;
                }
                (Step::ChangeMembers { version }, version, Phase::Spreading)
            }
        };
        let mut after = State { version, phase, ..*state };
        if phase == Phase::Spreading {
            for member in &mut after.members {
                if self.has(Safeguard::FreshReports) {
                    member.confirmed = member.confirmed_in_set;
                }
                member.confirmed_in_set = 0;
            }
        }
        self.push(next, step, after);
    }

    fn replicate_steps(&self, state: &State<N>, next: &mut Next<N>) {
        for member in 0..N {
            let replica = &state.members[member];
            if replica.role() != Role::Replica {
                continue;
            }
            let Some(primary) = state.primary_of(replica.raised) else { continue };
            let source = state.members[primary].log;
            let common_prefix = replica.log.common_prefix(source);
            let mut after = *state;
            if common_prefix != replica.log {
                after.members[member].log = common_prefix;
                self.push(next, Step::Rewind { member }, after);
            } else if common_prefix != source {
                let record = source.record(common_prefix.len() + 1);
                after.members[member].log = common_prefix.with(record);
                self.push(next, Step::Replicate { member }, after);
            }
        }
    }
}

impl<const N: usize> Model for AcknowledgementModel<N> {
    type State = State<N>;
    type Step = Step;

    fn initial(&self) -> State<N> {
        let sets = |member: usize| {
            let holds = |version: &usize| self.bounds.sets[*version] >> member & 1 == 1;
            (0..self.bounds.sets.len()).filter(holds).fold(0, |bits, version| bits | 1 << version)
        };
        let members = array::from_fn(|member| match (member, sets(member)) {
            (0, sets) => Member::initial(Role::Primary, sets),
            (_, sets) if sets & 1 == 1 => Member::initial(Role::Replica, sets),
            (_, sets) => Member::added_later(sets),
        });
        State {
            members,
            attempts: [0; state::MAX_ATTEMPTS],
            attempt_versions: [0; state::MAX_ATTEMPTS],
            writes: [Write::default(); state::MAX_WRITES],
            version: 0,
            phase: Phase::Settled,
        }
    }

    fn steps(&self, state: &State<N>, next: &mut Next<N>) {
        self.write_steps(state, next);
        self.raise_steps(state, next);
        self.choose_steps(state, next);
        self.promote_steps(state, next);
        self.follow_steps(state, next);
        self.replicate_steps(state, next);
        self.member_set_steps(state, next);
    }

    fn canonical(&self, state: &State<N>) -> State<N> {
        let mut sorted = *state;
        sorted.members.sort_unstable();
        sorted
    }

    fn violation(&self, state: &State<N>) -> Option<&'static str> {
        let mut promoted_terms = 0;
        for member in &state.members {
            if promoted_terms & member.promoted_terms != 0 {
                return Some("two members were promoted in one term");
            }
            promoted_terms |= member.promoted_terms;
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
