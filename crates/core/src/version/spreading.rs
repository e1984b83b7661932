//! How versions of the configuration spread between proxies without ever going back.
//!
//! A version is accepted when the platform's conditional update took it, and the store's revision
//! orders versions. Each message between proxies carries the sender's revision: the lower side
//! pulls. The highest revision seen wins everywhere, and a lower one is never put in force, also
//! not when it comes from the platform itself: a replica of the store that lags, or one that was
//! restored from a copy, would otherwise take back what operators were told is in force.

use crate::process::jitter;

/// How many peers a VM that starts without the platform asks.
pub const START_PEERS: usize = 3;

/// How long a pull from a peer is waited for before another peer is asked. A snapshot of 1 MB takes a few
/// seconds over a link of 10 Mbit/s that carries other things as well. A shorter time would have pulls of
/// the same snapshot run beside each other there, and each slow the others down. One that fails ends at
/// once.
pub const PULL_TIMEOUT_US: u64 = 5_000_000;

/// Where a snapshot came from.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Source {
    /// The platform's snapshot or watch.
    Platform,
    /// A watcher of this zone passed it on.
    Watcher,
    /// A peer answered a pull, or the question at the start.
    Peer,
}

/// What to do with a snapshot that was offered.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum OfferVerdict {
    /// Put it in force: it is newer than what is.
    Take,
    /// The objects are those in force. Its list of VMs, which carries no revision, may be newer.
    TakeVmsOnly,
    /// It is older than what is in force.
    IgnoreOlder,
}

/// What to do on seeing another proxy's revision.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum PeerAction {
    /// Ask that peer for its snapshot.
    Pull,
    /// Tell that peer our revision, so that it pulls.
    SendRevision,
    /// Nothing to do.
    Nothing,
}

/// The revision in force here, and the pull under way.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Spreading {
    revision: u64,
    ready: bool,
    pull: Option<Pull>,
}

/// A pull under way.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Pull {
    revision: u64,
    until_us: u64,
}

impl Spreading {
    /// Nothing is in force yet.
    pub fn new() -> Spreading {
        Spreading::default()
    }

    /// The revision in force; zero before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a version is in force, so that callers can be served.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Judges a snapshot of `revision`. On [`OfferVerdict::Take`] the revision counts as in force.
    pub fn judge_offer(&mut self, revision: u64, source: Source) -> OfferVerdict {
        if !self.ready || revision > self.revision {
            self.revision = revision;
            self.ready = true;
            self.pull = self.pull.filter(|pull| pull.revision > revision);
            return OfferVerdict::Take;
        }
        // Lists of VMs have no order among each other. A peer's may be any old; the platform's and
        // the watchers' are as fresh as can be had.
        match revision == self.revision && source != Source::Peer {
            true => OfferVerdict::TakeVmsOnly,
            false => OfferVerdict::IgnoreOlder,
        }
    }

    /// Decides what to do on a peer's message that carried `revision`.
    ///
    /// One pull is under way at a time: when a version comes out, hundreds of messages show it
    /// within a second, and each would cost a snapshot.
    pub fn peer_seen(&mut self, revision: u64, now_us: u64) -> PeerAction {
        if revision < self.revision {
            return PeerAction::SendRevision;
        }
        if revision == self.revision {
            return PeerAction::Nothing;
        }
        let in_progress = self.pull.is_some_and(|pull| now_us < pull.until_us);
        if in_progress {
            return PeerAction::Nothing;
        }
        self.pull = Some(Pull { revision, until_us: now_us + PULL_TIMEOUT_US });
        PeerAction::Pull
    }

    /// A pull failed: the next message from a newer peer starts another one.
    pub fn pull_failed(&mut self) {
        self.pull = None;
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if !self.ready && self.revision != 0 {
            problems.push(format!("revision {} counts without being in force", self.revision));
        }
        if self.pull.is_some_and(|pull| self.ready && pull.revision <= self.revision) {
            problems.push(format!("a pull of what revision {} has is under way", self.revision));
        }
        problems
    }
}

/// The choice of a first version among peers, for a VM that starts while the platform is down.
///
/// A single peer may be one that was cut off and is behind. The highest answer of several is taken;
/// when fewer answer until the deadline, the highest of those, since a version that was accepted
/// once is better than none, and the next message from a peer corrects it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct StartChoice {
    asked: usize,
    answered: usize,
    deadline_us: u64,
    best: Option<Best>,
}

/// The highest answer so far.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Best {
    revision: u64,
    peer: usize,
}

/// What the choice says now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartVerdict {
    /// Wait for more answers, or until the deadline.
    Wait,
    /// Take the snapshot of this peer, by its place among those asked.
    Take(usize),
    /// No peer has a version: ask others, and the platform again.
    AskAgain,
}

impl StartChoice {
    /// Asks `asked` peers and waits for their answers until `deadline_us`.
    pub fn new(asked: usize, deadline_us: u64) -> StartChoice {
        StartChoice { asked, answered: 0, deadline_us, best: None }
    }

    /// A peer answered with its revision; zero when it has no version itself.
    pub fn answered(&mut self, peer: usize, revision: u64) {
        self.answered += 1;
        let better = self.best.is_none_or(|best| revision > best.revision);
        if revision > 0 && better {
            self.best = Some(Best { revision, peer });
        }
    }

    /// A peer can't be asked.
    pub fn failed(&mut self) {
        self.answered += 1;
    }

    /// What to do at `now_us`.
    pub fn verdict(&self, now_us: u64) -> StartVerdict {
        let waiting = self.answered < self.asked && now_us < self.deadline_us;
        match self.best {
            _ if waiting => StartVerdict::Wait,
            Some(best) => StartVerdict::Take(best.peer),
            None => StartVerdict::AskAgain,
        }
    }
}

/// Chooses up to `count` of `candidates` to ask at the start, spread by the asker's seed so that a
/// rack of VMs that starts at once does not ask the same three.
pub fn choose_start_peers(candidates: usize, count: usize, seed: u64) -> Vec<usize> {
    let mut indices: Vec<usize> = (0..candidates).collect();
    let count = count.min(candidates);
    for step in 0..count {
        let left = (candidates - step) as u64;
        let other = step + jitter::below_us(seed, step as u64, left) as usize;
        indices.swap(step, other);
    }
    indices.truncate(count);
    indices
}
