//! The states, transitions and invariants of the spreading model.

use std::fmt;

use skylark_core::version::spreading;
use skylark_core::version::spreading::OfferVerdict;
use skylark_core::version::spreading::PeerAction;
use skylark_core::version::spreading::Source;
use skylark_core::version::spreading::Spreading;
use skylark_core::version::spreading::StartChoice;
use skylark_core::version::spreading::StartVerdict;

use super::Safeguard;
use crate::explore::Model;

/// The processes.
const PROCESSES: usize = 3;
/// The objects of the configuration.
const OBJECTS: usize = 2;
/// The most revisions. The first one is in force everywhere at the beginning.
pub const MAX_REVISIONS: usize = 4;
/// When the peers' answers to a process that starts are no longer waited for.
const START_DEADLINE_US: u64 = 1;
/// The two times at which messages between peers are seen: before and after a pull has run out.
const TIMES_US: [u64; 2] = [0, 2 * spreading::PULL_TIMEOUT_US];

/// A process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
struct Process {
    /// The objects that it holds, by the revision that last changed each.
    objects: [u8; OBJECTS],
    /// The highest revision that it has had in force in this life.
    highest: u8,
}

/// How a process that starts asks its peers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Start {
    choice: StartChoice,
    asked: [bool; PROCESSES],
    /// The highest revision that a peer answered.
    highest: u8,
}

/// A state.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    revision: u8,
    /// The object that each revision changed.
    changed: [u8; MAX_REVISIONS],
    processes: [Process; PROCESSES],
    spreading: [Spreading; PROCESSES],
    /// A process that starts, one at a time.
    starting: Option<(u8, Start)>,
    /// Whether a process started with less than a peer had answered.
    started_low: bool,
}

impl State {
    /// The objects of a revision, by the revision that last changed each.
    fn objects_at(&self, revision: u8) -> [u8; OBJECTS] {
        let mut objects = [0; OBJECTS];
        for past in 1..=revision {
            objects[usize::from(self.changed[usize::from(past) - 1])] = past;
        }
        objects
    }

    /// Whether a process has no version and asks its peers for one.
    fn is_starting(&self, process: usize) -> bool {
        self.starting.is_some_and(|(starting, _)| usize::from(starting) == process)
    }
}

/// What happens between two states.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// A change of an object is accepted.
    Accept(usize),
    /// A snapshot of a revision arrives at a process.
    Snapshot(usize, u8, Source),
    /// The changes from one revision to another arrive at a process.
    Changes(usize, u8, u8),
    /// A process sees a peer's revision.
    See(usize, usize),
    /// A process's pull fails.
    PullFails(usize),
    /// A process restarts while the platform is down, and asks its peers.
    Restart(usize),
    /// A peer answers a process that starts.
    Answer(usize),
    /// A peer can't be asked.
    NoAnswer(usize),
    /// A process that starts decides, before or after its deadline.
    Decide(u64),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Accept(object) => write!(f, "a change of object{object} is accepted"),
            Step::Snapshot(process, revision, source) => {
                write!(f, "process{process} gets revision {revision} from {source:?}")
            }
            Step::Changes(process, base, revision) => {
                write!(f, "process{process} gets the changes from {base} to {revision}")
            }
            Step::See(process, peer) => {
                write!(f, "process{process} sees the revision of process{peer}")
            }
            Step::PullFails(process) => write!(f, "the pull of process{process} fails"),
            Step::Restart(process) => write!(f, "process{process} restarts and asks its peers"),
            Step::Answer(peer) => write!(f, "process{peer} answers the process that starts"),
            Step::NoAnswer(peer) => write!(f, "process{peer} can't be asked"),
            Step::Decide(now_us) => write!(f, "the process that starts decides at {now_us} us"),
        }
    }
}

/// The model.
#[derive(Clone, Copy, Debug)]
pub struct SpreadingModel {
    /// The highest revision.
    pub revisions: u8,
    /// The safeguard that is switched off.
    pub without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl SpreadingModel {
    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Whether a process puts a revision in force.
    fn takes(&self, state: &mut State, process: usize, revision: u8, source: Source) -> bool {
        let spreading = &mut state.spreading[process];
        if !self.has(Safeguard::HighestWins) {
            *spreading = Spreading::new();
        }
        let taken = spreading.judge_offer(u64::from(revision), source) == OfferVerdict::Take;
        if taken {
            let highest = &mut state.processes[process].highest;
            *highest = revision.max(*highest);
        }
        taken
    }

    fn snapshot(&self, state: &State, process: usize, revision: u8, source: Source) -> State {
        let mut after = *state;
        if self.takes(&mut after, process, revision, source) {
            after.processes[process].objects = state.objects_at(revision);
        }
        after
    }

    /// Changes from `base` to `revision`: the objects changed in between, as of `revision`.
    fn changes(&self, state: &State, process: usize, base: u8, revision: u8) -> Option<State> {
        let in_force = &state.spreading[process];
        let leads_on = in_force.is_ready() && u64::from(base) <= in_force.revision();
        if !leads_on && self.has(Safeguard::ChangesLeadOn) {
            return None;
        }
        let mut after = *state;
        if self.takes(&mut after, process, revision, Source::Watcher) {
            let latest = state.objects_at(revision);
            for (object, held) in after.processes[process].objects.iter_mut().enumerate() {
                if latest[object] > base {
                    *held = latest[object];
                }
            }
        }
        Some(after)
    }

    fn arrivals(&self, state: &State, process: usize, next: &mut Next) {
        for revision in 1..=state.revision {
            for source in [Source::Platform, Source::Peer] {
                let after = self.snapshot(state, process, revision, source);
                next.push((Step::Snapshot(process, revision, source), after));
            }
            for base in 1..revision {
                if let Some(after) = self.changes(state, process, base, revision) {
                    next.push((Step::Changes(process, base, revision), after));
                }
            }
        }
    }

    fn peers(&self, state: &State, process: usize, next: &mut Next) {
        for peer in (0..PROCESSES).filter(|peer| *peer != process) {
            for now_us in TIMES_US {
                let mut after = *state;
                let seen = state.spreading[peer].revision();
                after.spreading[process].on_peer_revision(seen, now_us);
                next.push((Step::See(process, peer), after));
            }
        }
        let mut after = *state;
        after.spreading[process].pull_failed();
        next.push((Step::PullFails(process), after));
    }

    fn restart(&self, state: &State, process: usize, next: &mut Next) {
        if state.starting.is_some() {
            return;
        }
        let mut after = *state;
        after.spreading[process] = Spreading::new();
        after.processes[process] = Process { objects: [0; OBJECTS], highest: 0 };
        let choice = StartChoice::new(PROCESSES - 1, START_DEADLINE_US);
        let mut asked = [false; PROCESSES];
        asked[process] = true;
        after.starting = Some((process as u8, Start { choice, asked, highest: 0 }));
        next.push((Step::Restart(process), after));
    }

    fn starting(&self, state: &State, process: usize, start: &Start, next: &mut Next) {
        for peer in (0..PROCESSES).filter(|peer| !start.asked[*peer]) {
            let mut answered = *start;
            let revision = state.spreading[peer].revision();
            answered.asked[peer] = true;
            answered.choice.answered(peer, revision);
            answered.highest = answered.highest.max(revision as u8);
            let after = State { starting: Some((process as u8, answered)), ..*state };
            next.push((Step::Answer(peer), after));
            let mut failed = *start;
            failed.asked[peer] = true;
            failed.choice.failed();
            let after = State { starting: Some((process as u8, failed)), ..*state };
            next.push((Step::NoAnswer(peer), after));
        }
        let hasty = !self.has(Safeguard::SeveralPeers) && start.highest > 0;
        for now_us in [0, START_DEADLINE_US] {
            let time_us = if hasty { START_DEADLINE_US } else { now_us };
            if let StartVerdict::Take(peer) = start.choice.verdict(time_us) {
                // The peer sends what it has by now.
                let revision = state.spreading[peer].revision() as u8;
                let mut after = self.snapshot(state, process, revision, Source::Peer);
                after.starting = None;
                let all_asked = start.asked.iter().all(|asked| *asked);
                let waited = now_us >= START_DEADLINE_US || all_asked;
                after.started_low = revision < start.highest || !waited;
                next.push((Step::Decide(now_us), after));
            }
        }
    }
}

impl Model for SpreadingModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let mut spreading = Spreading::new();
        spreading.judge_offer(1, Source::Platform);
        let mut state = State {
            revision: 1,
            changed: [0; MAX_REVISIONS],
            processes: [Process { objects: [0; OBJECTS], highest: 1 }; PROCESSES],
            spreading: [spreading; PROCESSES],
            starting: None,
            started_low: false,
        };
        let objects = state.objects_at(1);
        state.processes.iter_mut().for_each(|process| process.objects = objects);
        state
    }

    fn steps(&self, state: &State, next: &mut Next) {
        if state.revision < self.revisions {
            for object in 0..OBJECTS {
                let mut after = *state;
                after.changed[usize::from(state.revision)] = object as u8;
                after.revision += 1;
                next.push((Step::Accept(object), after));
            }
        }
        for process in 0..PROCESSES {
            if state.is_starting(process) {
                continue;
            }
            self.arrivals(state, process, next);
            self.peers(state, process, next);
            self.restart(state, process, next);
        }
        if let Some((process, start)) = &state.starting {
            self.starting(state, usize::from(*process), start, next);
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.started_low {
            return Some("a process started with less than its peers could tell it");
        }
        for (process, spreading) in state.processes.iter().zip(&state.spreading) {
            let revision = spreading.revision() as u8;
            if revision < process.highest {
                return Some("a process went back to an older version");
            }
            if spreading.is_ready() && process.objects != state.objects_at(revision) {
                return Some("a process does not hold the objects of its revision");
            }
            if !spreading.verify().is_empty() {
                return Some("the spreading state breaks its own invariants");
            }
            let behind = |peer: &&Spreading| peer.revision() > spreading.revision();
            let pulls = |peer: &Spreading| {
                let mut seen = *spreading;
                seen.on_peer_revision(peer.revision(), u64::MAX / 2) == PeerAction::Pull
            };
            if !state.spreading.iter().filter(behind).all(pulls) {
                return Some("a process that is behind a peer does not pull");
            }
        }
        None
    }

    fn describe(&self, state: &State) -> String {
        let revisions = state.spreading.map(|spreading| spreading.revision());
        let objects = state.processes.map(|process| process.objects);
        format!(
            "store {}; in force {revisions:?}; objects last changed at {objects:?}",
            state.revision
        )
    }
}
