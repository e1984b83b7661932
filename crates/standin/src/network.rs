//! The network between callers, targets and the platform, as far as faults touch it.
//!
//! All targets of a process share one [`Network`]: it knows who listens where, so that replicas
//! find their primary, and which faults are on. A blocked connection stays open and moves no
//! bytes, as behind a firewall that drops packets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::FastSet;
use tokio::sync::watch;

use crate::target::Target;
use crate::target::options::TargetOptions;

/// The faults that are on.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Faults {
    /// Targets that nobody can exchange bytes with.
    pub isolated: FastSet<String>,
    /// Targets whose process is stopped.
    pub paused: FastSet<String>,
    /// Targets that are not running.
    pub dead: FastSet<String>,
    /// Pairs of availability zones that can't exchange bytes, in both orders.
    pub cut_zones: FastSet<(String, String)>,
}

impl Faults {
    /// Whether two zones can't exchange bytes. A caller without a zone is in none.
    pub fn cuts(&self, zone: &str, other: &str) -> bool {
        !self.cut_zones.is_empty() && self.cut_zones.contains(&(zone.to_owned(), other.to_owned()))
    }

    /// Whether a target can exchange no bytes with a zone.
    pub fn blocks(&self, target: &str, target_zone: &str, zone: &str) -> bool {
        self.isolated.contains(target)
            || self.paused.contains(target)
            || self.cuts(target_zone, zone)
    }

    /// Whether records pass between two targets.
    pub fn connects(&self, target: &TargetOptions, other: &TargetOptions) -> bool {
        let silent = |name: &str| {
            self.isolated.contains(name) || self.paused.contains(name) || self.dead.contains(name)
        };
        !silent(&target.name) && !silent(&other.name) && !self.cuts(&target.zone, &other.zone)
    }

    /// Cuts two zones off from each other, or ends that.
    pub fn set_cut(&mut self, zone: &str, other: &str, cut: bool) {
        for (from, to) in [(zone, other), (other, zone)] {
            let pair = (from.to_owned(), to.to_owned());
            if cut {
                self.cut_zones.insert(pair);
            } else {
                self.cut_zones.remove(&pair);
            }
        }
    }
}

/// Puts a name into a set or takes it out.
pub fn insert_or_remove(set: &mut FastSet<String>, name: &str, wanted: bool) {
    if wanted {
        set.insert(name.to_owned());
    } else {
        set.remove(name);
    }
}

/// Who listens where, and which faults are on.
#[derive(Debug, Default)]
pub struct Network {
    faults: watch::Sender<Faults>,
    targets: Mutex<FastMap<SocketAddr, Weak<Target>>>,
    zone_one_way: Duration,
}

impl Network {
    /// A network without faults.
    pub fn new() -> Arc<Network> {
        Arc::new(Network::default())
    }

    /// A network whose zones are some way apart from each other.
    pub fn with_zone_delay(zone_one_way: Duration) -> Arc<Network> {
        Arc::new(Network { zone_one_way, ..Network::default() })
    }

    /// How long bytes take from a caller's zone to a target's. A caller without a zone is near.
    pub fn one_way(&self, zone: &str, target_zone: &str) -> Duration {
        if zone.is_empty() || zone == target_zone { Duration::ZERO } else { self.zone_one_way }
    }

    /// Changes the faults.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Faults),
    {
        self.faults.send_modify(change);
    }

    /// The faults and their changes.
    pub fn subscribe(&self) -> watch::Receiver<Faults> {
        self.faults.subscribe()
    }

    /// Makes a target known under its address.
    pub fn register(&self, address: SocketAddr, target: &Arc<Target>) {
        self.targets.lock().insert(address, Arc::downgrade(target));
    }

    /// The target at an address.
    pub fn target_at(&self, address: SocketAddr) -> Option<Arc<Target>> {
        self.targets.lock().get(&address)?.upgrade()
    }

    /// The faults of this moment. No fault changes while the answer is held.
    pub fn faults(&self) -> watch::Ref<'_, Faults> {
        self.faults.borrow()
    }
}
