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

/// The number of processes.
const PROCESSES: usize = 3;
/// The number of objects in the configuration.
const OBJECTS: usize = 2;
/// The maximum number of revisions. The first one is in force at every process in the initial state.
pub const MAX_REVISIONS: usize = 4;
/// The time at which a process that starts stops waiting for answers of its peers.
const START_DEADLINE_US: u64 = 1;
/// The two times at which messages of peers arrive: before and after the time limit of a pull.
const TIMES_US: [u64; 2] = [0, 2 * spreading::PULL_TIMEOUT_US];

/// The configuration of a process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
struct Process {
    /// The objects in force, each given by the revision that last changed it.
    objects: [u8; OBJECTS],
    /// The highest revision in force since the process started.
    highest: u8,
}

/// The progress of a process that starts and asks its peers.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Startup {
    choice: StartChoice,
    /// Whether each process has answered or failed to answer; true for the process itself.
    asked: [bool; PROCESSES],
    /// The highest revision among the answers.
    highest: u8,
}

/// A state of the store and of all processes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// The latest revision of the store.
    revision: u8,
    /// The index of the object that each revision changed.
    changed: [u8; MAX_REVISIONS],
    processes: [Process; PROCESSES],
    spreading: [Spreading; PROCESSES],
    /// The index and progress of the process that is starting. Only one process starts at a time.
    starting: Option<(u8, Startup)>,
    /// Whether a process started with a lower revision than a peer had answered, or without waiting for the
    /// other answers or the deadline.
    started_below_peers: bool,
}

impl State {
    /// Returns the objects of `revision`, each given by the revision that last changed it.
    fn objects_at(&self, revision: u8) -> [u8; OBJECTS] {
        let mut objects = [0; OBJECTS];
        for past in 1..=revision {
            objects[usize::from(self.changed[usize::from(past) - 1])] = past;
        }
        objects
    }

    /// Returns whether a process has no revision in force and asks its peers for one.
    fn is_starting(&self, process: usize) -> bool {
        self.starting.is_some_and(|(starting, _)| usize::from(starting) == process)
    }
}

/// A transition between two states. Processes and objects are given by their index.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The store accepts a change of an object.
    Accept(usize),
    /// A snapshot of a revision arrives at a process.
    Snapshot(usize, u8, Source),
    /// The delta from one revision to another arrives at a process.
    Changes(usize, u8, u8),
    /// A process receives the revision of a peer.
    ObservePeer(usize, usize),
    /// The pull of a process fails.
    PullFails(usize),
    /// A process restarts while the platform is down, and asks its peers.
    Restart(usize),
    /// A peer answers the process that starts.
    Answer(usize),
    /// The process that starts can't reach a peer.
    NoAnswer(usize),
    /// The process that starts chooses a peer and takes its snapshot. The value is the time in microseconds,
    /// before the deadline or at it.
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
            Step::ObservePeer(process, peer) => {
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

/// The spreading model.
#[derive(Clone, Copy, Debug)]
pub struct SpreadingModel {
    /// The highest revision that the store reaches, at most [`MAX_REVISIONS`].
    pub revisions: u8,
    /// The safeguard that is switched off, if any.
    pub without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl SpreadingModel {
    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Offers a revision to a process. Returns whether the process puts it in force.
    fn accepts_offer(
        &self,
        state: &mut State,
        process: usize,
        revision: u8,
        source: Source,
    ) -> bool {
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
        if self.accepts_offer(&mut after, process, revision, source) {
            after.processes[process].objects = state.objects_at(revision);
        }
        after
    }

    /// Returns the state after the delta from `base` to `revision` arrived at a process. The delta contains
    /// the objects that changed after `base`, as of `revision`. Returns `None` if the delta is not contiguous
    /// with the revision in force and is therefore not considered.
    fn changes(&self, state: &State, process: usize, base: u8, revision: u8) -> Option<State> {
        let in_force = &state.spreading[process];
        let is_contiguous = in_force.is_ready() && u64::from(base) <= in_force.revision();
        if !is_contiguous && self.has(Safeguard::ContiguousChanges) {
            return None;
        }
        let mut after = *state;
        if self.accepts_offer(&mut after, process, revision, Source::Watcher) {
            let latest = state.objects_at(revision);
            for (object, held) in after.processes[process].objects.iter_mut().enumerate() {
                if latest[object] > base {
                    *held = latest[object];
                }
            }
        }
        Some(after)
    }

    fn delivery_steps(&self, state: &State, process: usize, next: &mut Next) {
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

    fn peer_steps(&self, state: &State, process: usize, next: &mut Next) {
        for peer in (0..PROCESSES).filter(|peer| *peer != process) {
            for now_us in TIMES_US {
                let mut after = *state;
                let seen = state.spreading[peer].revision();
                after.spreading[process].on_peer_revision(seen, now_us);
                next.push((Step::ObservePeer(process, peer), after));
            }
        }
        let mut after = *state;
        after.spreading[process].pull_failed();
        next.push((Step::PullFails(process), after));
    }

    fn restart_step(&self, state: &State, process: usize, next: &mut Next) {
        if state.starting.is_some() {
            return;
        }
        let mut after = *state;
        after.spreading[process] = Spreading::new();
        after.processes[process] = Process { objects: [0; OBJECTS], highest: 0 };
        let choice = StartChoice::new(PROCESSES - 1, START_DEADLINE_US);
        let mut asked = [false; PROCESSES];
        asked[process] = true;
        after.starting = Some((process as u8, Startup { choice, asked, highest: 0 }));
        next.push((Step::Restart(process), after));
    }

    fn startup_steps(&self, state: &State, process: usize, startup: &Startup, next: &mut Next) {
        for peer in (0..PROCESSES).filter(|peer| !startup.asked[*peer]) {
            let mut answered = *startup;
            let revision = state.spreading[peer].revision();
            answered.asked[peer] = true;
            answered.choice.answered(peer, revision);
            answered.highest = answered.highest.max(revision as u8);
            let after = State { starting: Some((process as u8, answered)), ..*state };
            next.push((Step::Answer(peer), after));
            let mut failed = *startup;
            failed.asked[peer] = true;
            failed.choice.failed();
            let after = State { starting: Some((process as u8, failed)), ..*state };
            next.push((Step::NoAnswer(peer), after));
        }
        let takes_first_answer = !self.has(Safeguard::SeveralPeers) && startup.highest > 0;
        for now_us in [0, START_DEADLINE_US] {
            let time_us = if takes_first_answer { START_DEADLINE_US } else { now_us };
            if let StartVerdict::Take(peer) = startup.choice.verdict(time_us) {
                // The peer sends the snapshot of its current revision, which may be newer than its answer.
                let revision = state.spreading[peer].revision() as u8;
                let mut after = self.snapshot(state, process, revision, Source::Peer);
                after.starting = None;
                let all_asked = startup.asked.iter().all(|asked| *asked);
                let waited = now_us >= START_DEADLINE_US || all_asked;
                after.started_below_peers = revision < startup.highest || !waited;
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
            started_below_peers: false,
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
            self.delivery_steps(state, process, next);
            self.peer_steps(state, process, next);
            self.restart_step(state, process, next);
        }
        if let Some((process, startup)) = &state.starting {
            self.startup_steps(state, usize::from(*process), startup, next);
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.started_below_peers {
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
