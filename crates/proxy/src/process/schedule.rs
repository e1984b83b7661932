//! The control thread's subscriptions to the timer service, each with the purpose that it serves.

use skylark_core::FastMap;
use skylark_core::process::timer;
use skylark_core::process::timer::TimerId;
use skylark_core::process::timer::Timers;

/// Periodic work of the control thread, and single ticks that a decision asked for.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Purpose {
    /// Ask every tracked member for its status.
    ProbeMembers,
    /// Exchange versions with a peer.
    ExchangeVersions,
    /// Read the platform's list of VMs.
    ReadVmList,
    /// Send metrics.
    SendMetrics,
    /// Look whether evidence about VMs and targets has expired.
    ExpireEvidence,
    /// The failover driver of this group asked for a tick.
    Driver(String),
    /// The failure detector of this group can change its verdict.
    Detector(String),
    /// Every process knows the member set of this group by now.
    SettleMembers(String),
    /// The members of this group need not be tracked any longer.
    EndTracking(String),
    /// Writes of this group wait to be told to its homes.
    SendWrites(String),
}

impl Purpose {
    fn is_single(&self) -> bool {
        match self {
            Purpose::ProbeMembers
            | Purpose::ExchangeVersions
            | Purpose::ReadVmList
            | Purpose::SendMetrics
            | Purpose::ExpireEvidence => false,
            Purpose::Driver(_)
            | Purpose::Detector(_)
            | Purpose::SettleMembers(_)
            | Purpose::EndTracking(_)
            | Purpose::SendWrites(_) => true,
        }
    }
}

/// A subscription that is due.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Due {
    /// What it is for.
    pub purpose: Purpose,
    /// When a single tick was due, in microseconds; without meaning for a period.
    pub due_us: u64,
}

/// The subscriptions.
#[derive(Debug)]
pub struct Schedule {
    timers: Timers,
    seed: u64,
    by_purpose: FastMap<Purpose, TimerId>,
    /// Indexed by the timers' ids.
    entries: Vec<Option<Due>>,
    ids: Vec<TimerId>,
}

impl Schedule {
    /// No subscriptions. Jitter is drawn from the seed.
    pub fn new(seed: u64) -> Schedule {
        Schedule {
            timers: Timers::new(),
            seed,
            by_purpose: FastMap::default(),
            entries: Vec::new(),
            ids: Vec::new(),
        }
    }

    /// Subscribes to a period with up to a tenth of jitter.
    pub fn every(&mut self, purpose: Purpose, every_us: u64, now_us: u64) {
        let period = timer::Period { every_us, jitter_us: every_us / 10, seed: self.seed };
        let timer = self.timers.subscribe(period, now_us);
        self.register(timer, purpose, now_us);
    }

    /// Sets the single tick of this purpose, instead of one set before.
    pub fn set(&mut self, purpose: Purpose, due_us: u64) {
        match self.by_purpose.get(&purpose) {
            Some(&timer) => {
                self.timers.reset(timer, due_us);
                self.register(timer, purpose, due_us);
            }
            None => {
                let timer = self.timers.once(due_us);
                self.register(timer, purpose, due_us);
            }
        }
    }

    /// Sets the single tick of this purpose unless one is set.
    pub fn set_if_absent(&mut self, purpose: Purpose, due_us: u64) {
        if !self.by_purpose.contains_key(&purpose) {
            self.set(purpose, due_us);
        }
    }

    /// Ends the subscription of this purpose.
    pub fn cancel(&mut self, purpose: &Purpose) {
        if let Some(timer) = self.by_purpose.remove(purpose) {
            self.entries[timer.index()] = None;
            self.timers.cancel(timer);
        }
    }

    /// When the next tick is due.
    pub fn next_due_us(&mut self) -> Option<u64> {
        self.timers.next_deadline_us()
    }

    /// Adds what is due to `due`, in the order of the times.
    pub fn take_due(&mut self, now_us: u64, due: &mut Vec<Due>) {
        self.timers.take_due(now_us, &mut self.ids);
        for timer in self.ids.drain(..) {
            let Some(entry) = self.entries[timer.index()].as_ref() else { continue };
            due.push(entry.clone());
            if entry.purpose.is_single() {
                self.by_purpose.remove(&entry.purpose);
                self.entries[timer.index()] = None;
            }
        }
    }

    fn register(&mut self, timer: TimerId, purpose: Purpose, due_us: u64) {
        if self.entries.len() <= timer.index() {
            self.entries.resize(timer.index() + 1, None);
        }
        self.by_purpose.insert(purpose.clone(), timer);
        self.entries[timer.index()] = Some(Due { purpose, due_us });
    }
}
