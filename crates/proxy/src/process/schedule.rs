//! The control thread's timers, keyed by purpose: periodic timers, and one-shot timers of groups.

use skylark_core::FastMap;
use skylark_core::process::timer;
use skylark_core::process::timer::TimerId;
use skylark_core::process::timer::Timers;

/// What a timer is for. Timers of groups carry the group's name.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Purpose {
    /// Periodic: probe every tracked member for its status.
    ProbeMembers,
    /// Periodic: exchange versions with peers.
    ExchangeVersions,
    /// Periodic: read the list of VMs from the platform.
    ReadVmList,
    /// Periodic: send metrics.
    SendMetrics,
    /// Periodic: drop expired evidence about VMs and targets.
    ExpireEvidence,
    /// One-shot: a timer requested by the failover driver of this group.
    Driver(String),
    /// One-shot: the failure detector of this group may change its verdict without new evidence.
    Detector(String),
    /// One-shot: every process knows the current member set of this group, so its joint phase can end.
    SettleMembers(String),
    /// One-shot: tracking of this group's members is to end.
    EndTracking(String),
    /// One-shot: the collected writes of this group are to be sent to its homes.
    SendWrites(String),
}

impl Purpose {
    fn is_one_shot(&self) -> bool {
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

/// A timer that is due.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Due {
    /// The purpose of the timer.
    pub purpose: Purpose,
    /// When a one-shot timer was due, in microseconds; meaningless for a periodic timer.
    pub due_us: u64,
}

/// The control thread's timers, at most one for each purpose.
#[derive(Debug)]
pub struct Schedule {
    timers: Timers,
    seed: u64,
    by_purpose: FastMap<Purpose, TimerId>,
    /// Indexed by `TimerId`.
    entries: Vec<Option<Due>>,
    ids: Vec<TimerId>,
}

impl Schedule {
    /// Creates a schedule without timers. The jitter of periodic timers is drawn from `seed`.
    pub fn new(seed: u64) -> Schedule {
        Schedule {
            timers: Timers::new(),
            seed,
            by_purpose: FastMap::default(),
            entries: Vec::new(),
            ids: Vec::new(),
        }
    }

    /// Starts a periodic timer with jitter of up to a tenth of its period.
    pub fn set_periodic(&mut self, purpose: Purpose, every_us: u64, now_us: u64) {
        let period = timer::Period { every_us, jitter_us: every_us / 10, seed: self.seed };
        let timer = self.timers.subscribe(period, now_us);
        self.register(timer, purpose, now_us);
    }

    /// Sets the one-shot timer of this purpose, replacing an earlier one.
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

    /// Sets the one-shot timer of this purpose unless one is already set.
    pub fn set_if_absent(&mut self, purpose: Purpose, due_us: u64) {
        if !self.by_purpose.contains_key(&purpose) {
            self.set(purpose, due_us);
        }
    }

    /// Cancels the timer of this purpose, if there is one.
    pub fn cancel(&mut self, purpose: &Purpose) {
        if let Some(timer) = self.by_purpose.remove(purpose) {
            self.entries[timer.index()] = None;
            self.timers.cancel(timer);
        }
    }

    /// Returns when the next timer is due, in microseconds.
    pub fn next_due_us(&mut self) -> Option<u64> {
        self.timers.next_deadline_us()
    }

    /// Appends the timers that are due to `due`, in order of their due times.
    pub fn take_due(&mut self, now_us: u64, due: &mut Vec<Due>) {
        self.timers.take_due(now_us, &mut self.ids);
        for timer in self.ids.drain(..) {
            let Some(entry) = self.entries[timer.index()].as_ref() else { continue };
            due.push(entry.clone());
            if entry.purpose.is_one_shot() {
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
