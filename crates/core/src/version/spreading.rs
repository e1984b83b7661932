//! Propagation of configuration versions between proxies, which never reverts to an older version.
//!
//! A version is accepted once the platform has applied its conditional update, and the store's
//! revision orders versions. Each message between proxies carries the sender's revision, and the
//! proxy with the lower revision pulls. The highest revision wins everywhere. A lower one is never put
//! in force, even if the platform itself returns it: a lagging replica of the store, or a store that was
//! restored from a backup, would otherwise revert a change that was confirmed to an operator.

use crate::process::jitter;

/// The number of peers that a VM asks if it starts while the platform is unreachable.
pub const START_PEERS: usize = 3;

/// The time limit of a pull from a peer, after which another peer is asked. A snapshot of 1 MB takes a few
/// seconds over a shared link of 10 Mbit/s. With a shorter limit, pulls of the same snapshot would run
/// concurrently there and slow each other down. A pull that fails ends immediately.
pub const PULL_TIMEOUT_US: u64 = 5_000_000;

/// The source of a snapshot.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Source {
    /// The platform, by a snapshot or a watch.
    Platform,
    /// A watcher in this zone, which relayed it.
    Watcher,
    /// A peer, as the answer to a pull or to the request at the start.
    Peer,
}

/// The decision about an offered snapshot.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum OfferVerdict {
    /// Put it in force: it is newer than the version in force.
    Take,
    /// Take only its list of VMs, which has no revision and may be newer. The objects are those in force.
    TakeVmsOnly,
    /// Ignore it: it is older than the version in force, or has the same revision and comes from a peer.
    IgnoreOlder,
}

/// The reaction to the revision of another proxy.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum PeerAction {
    /// Request the snapshot of that peer.
    Pull,
    /// Send this proxy's revision to that peer, so that it pulls.
    SendRevision,
    /// Nothing to do.
    Nothing,
}

/// The revision in force, and the pull in progress.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Spreading {
    revision: u64,
    ready: bool,
    pull: Option<Pull>,
}

/// A pull in progress.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Pull {
    revision: u64,
    until_us: u64,
}

impl Spreading {
    /// Creates the state of a proxy without a version in force.
    pub fn new() -> Spreading {
        Spreading::default()
    }

    /// Returns the revision in force; zero before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether a version is in force, so that callers can be served.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Decides about a snapshot of `revision`. [`OfferVerdict::Take`] makes the revision the one in force.
    pub fn judge_offer(&mut self, revision: u64, source: Source) -> OfferVerdict {
        if !self.ready || revision > self.revision {
            self.revision = revision;
            self.ready = true;
            self.pull = self.pull.filter(|pull| pull.revision > revision);
            return OfferVerdict::Take;
        }
        // Lists of VMs have no revision to order them by. A peer's list may be arbitrarily old; those of the
        // platform and of watchers are the freshest available.
        match revision == self.revision && source != Source::Peer {
            true => OfferVerdict::TakeVmsOnly,
            false => OfferVerdict::IgnoreOlder,
        }
    }

    /// Decides how to react to a peer's message that carries `revision`.
    ///
    /// Only one pull runs at a time: after a new version, hundreds of messages with its revision arrive
    /// within a second, and each would cause the transfer of a snapshot.
    pub fn on_peer_revision(&mut self, revision: u64, now_us: u64) -> PeerAction {
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

    /// Records that the pull failed. The next message from a newer peer starts another one.
    pub fn pull_failed(&mut self) {
        self.pull = None;
    }

    /// Returns a description of every violated invariant.
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

/// The selection of a first version from peers, for a VM that starts while the platform is down.
///
/// A single peer may have been partitioned away and be outdated, so the highest revision of several answers
/// is taken. If fewer peers answer by the deadline, the highest of those is taken: any accepted version is
/// better than none, and the next message from a peer corrects it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct StartChoice {
    asked: usize,
    answered: usize,
    deadline_us: u64,
    best: Option<Best>,
}

/// The answer with the highest revision so far.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Best {
    revision: u64,
    peer: usize,
}

/// The state of the selection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StartVerdict {
    /// Wait for more answers, or until the deadline.
    Wait,
    /// Take the snapshot of this peer, given by its index among the peers asked.
    Take(usize),
    /// No peer has a version: retry with other peers and the platform.
    AskAgain,
}

impl StartChoice {
    /// Creates the selection among `asked` peers, which have to answer by `deadline_us`.
    pub fn new(asked: usize, deadline_us: u64) -> StartChoice {
        StartChoice { asked, answered: 0, deadline_us, best: None }
    }

    /// Records the revision of a peer; zero if the peer has no version.
    pub fn answered(&mut self, peer: usize, revision: u64) {
        self.answered += 1;
        let better = self.best.is_none_or(|best| revision > best.revision);
        if revision > 0 && better {
            self.best = Some(Best { revision, peer });
        }
    }

    /// Records that a peer could not be asked.
    pub fn failed(&mut self) {
        self.answered += 1;
    }

    /// Returns the decision at `now_us`.
    pub fn verdict(&self, now_us: u64) -> StartVerdict {
        let waiting = self.answered < self.asked && now_us < self.deadline_us;
        match self.best {
            _ if waiting => StartVerdict::Wait,
            Some(best) => StartVerdict::Take(best.peer),
            None => StartVerdict::AskAgain,
        }
    }
}

/// Chooses up to `count` of `candidates` peers to ask at the start. The choice depends on `seed`, so that
/// VMs that start at the same time don't all ask the same peers.
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
