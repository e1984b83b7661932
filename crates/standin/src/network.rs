//! Simulated network faults and delays between callers and targets, and between targets.
//!
//! All targets of a process share one [`Network`]. It maps addresses to targets, so that replicas
//! find their primary, and holds the active faults. A blocked connection stays open and transfers
//! no bytes, as behind a firewall that drops packets.

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

/// The active network and process faults.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Faults {
    /// Targets isolated from all callers and other targets.
    pub isolated: FastSet<String>,
    /// Targets whose process is suspended; their connections stay open.
    pub paused: FastSet<String>,
    /// Targets whose process is not running.
    pub dead: FastSet<String>,
    /// Pairs of partitioned availability zones; each pair is stored in both orders.
    pub cut_zones: FastSet<(String, String)>,
}

impl Faults {
    /// Returns whether two zones are partitioned. A caller without a zone (an empty name) is in none,
    /// so no partition affects it.
    pub fn cuts(&self, zone: &str, other: &str) -> bool {
        !self.cut_zones.is_empty() && self.cut_zones.contains(&(zone.to_owned(), other.to_owned()))
    }

    /// Returns whether a target cannot exchange bytes with callers in `zone`.
    pub fn blocks(&self, target: &str, target_zone: &str, zone: &str) -> bool {
        self.isolated.contains(target)
            || self.paused.contains(target)
            || self.cuts(target_zone, zone)
    }

    /// Returns whether log records can be replicated between two targets.
    pub fn connects(&self, target: &TargetOptions, other: &TargetOptions) -> bool {
        let silent = |name: &str| {
            self.isolated.contains(name) || self.paused.contains(name) || self.dead.contains(name)
        };
        !silent(&target.name) && !silent(&other.name) && !self.cuts(&target.zone, &other.zone)
    }

    /// Partitions two zones from each other in both directions, or ends the partition.
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

/// Inserts a name into a set if `wanted`, otherwise removes it.
pub fn insert_or_remove(set: &mut FastSet<String>, name: &str, wanted: bool) {
    if wanted {
        set.insert(name.to_owned());
    } else {
        set.remove(name);
    }
}

/// The targets by address, the active faults and the delay between zones.
#[derive(Debug, Default)]
pub struct Network {
    faults: watch::Sender<Faults>,
    targets: Mutex<FastMap<SocketAddr, Weak<Target>>>,
    zone_one_way: Duration,
}

impl Network {
    /// Creates a network without faults and without a delay between zones.
    pub fn new() -> Arc<Network> {
        Arc::new(Network::default())
    }

    /// Creates a network with the given one-way delay between different zones.
    pub fn with_zone_delay(zone_one_way: Duration) -> Arc<Network> {
        Arc::new(Network { zone_one_way, ..Network::default() })
    }

    /// Returns the one-way delay from a caller's zone to a target's; zero within a zone and for a
    /// caller without a zone.
    pub fn one_way(&self, zone: &str, target_zone: &str) -> Duration {
        if zone.is_empty() || zone == target_zone { Duration::ZERO } else { self.zone_one_way }
    }

    /// Changes the faults and notifies all subscribers.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut Faults),
    {
        self.faults.send_modify(change);
    }

    /// Subscribes to the faults and their changes.
    pub fn subscribe(&self) -> watch::Receiver<Faults> {
        self.faults.subscribe()
    }

    /// Registers a target under its address. Holds only a weak reference to it.
    pub fn register(&self, address: SocketAddr, target: &Arc<Target>) {
        self.targets.lock().insert(address, Arc::downgrade(target));
    }

    /// Returns the target at an address, unless it was dropped.
    pub fn target_at(&self, address: SocketAddr) -> Option<Arc<Target>> {
        self.targets.lock().get(&address)?.upgrade()
    }

    /// Returns a read guard on the current faults, which can't change while it is held.
    pub fn faults(&self) -> watch::Ref<'_, Faults> {
        self.faults.borrow()
    }
}
