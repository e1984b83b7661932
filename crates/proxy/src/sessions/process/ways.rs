//! Which VMs hold connections to which targets, and the way that this process takes to each.

use std::collections::BTreeSet;
use std::sync::Arc;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::connection_plan;
use skylark_core::process::connection_plan::ConnectionPlan;
use skylark_core::process::homes;
use skylark_core::process::jitter;

use crate::sessions::codec::Codec;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::store::VmAddress;

/// The VMs, and what was seen of them.
#[derive(Debug, Default)]
pub struct Ways {
    own: Arc<str>,
    vms: Vec<VmAddress>,
    /// The VMs of this one's zone that watch the store for the others.
    watchers: Vec<VmAddress>,
    /// The VMs that watch the store for other zones.
    far_watchers: Vec<VmAddress>,
    /// The VMs that can tell this one when the store turns it away: the watchers of all zones, or all
    /// VMs if each watches by itself.
    helpers: Vec<VmAddress>,
    /// The homes of the targets that were asked for. Ranked by each look at the pools, those of 1,101
    /// targets would take 2.4% of a core with 69 VMs in a zone (`slopes --only homes_by_name`, ten
    /// looks a second).
    homes: Mutex<FastMap<Arc<str>, Arc<[VmAddress]>>>,
    /// Until when VMs are passed over that could not be reached.
    passed_over_us: Mutex<FastMap<Arc<str>, u64>>,
}

impl Ways {
    /// The ways of VM `own` of an availability zone among these.
    pub fn new(own: &Arc<str>, zone: &str, vms: Vec<VmAddress>) -> Ways {
        let has_many = vms.len() > limits::WATCH_ALONE;
        let zones: BTreeSet<&str> = vms.iter().map(|vm| &*vm.zone).collect();
        let watchers_of = |zone: &str| {
            let near = vms.iter().filter(|vm| has_many && &*vm.zone == zone).collect();
            best(zone, near, homes::WATCHERS_PER_ZONE)
        };
        let all_watchers: Vec<VmAddress> = zones.into_iter().flat_map(watchers_of).collect();
        let (watchers, far_watchers) =
            all_watchers.iter().cloned().partition(|vm| &*vm.zone == zone);
        let mut helpers = if has_many { all_watchers } else { vms.clone() };
        helpers.retain(|vm| vm.name != *own);
        let own = Arc::clone(own);
        Ways { own, vms, watchers, far_watchers, helpers, ..Ways::default() }
    }

    /// The VMs that watch the store for other zones.
    pub fn far_watchers(&self) -> &[VmAddress] {
        &self.far_watchers
    }

    /// Whether this VM asks the store for itself and others.
    pub fn asks(&self) -> bool {
        self.is_watcher() || self.vms.len() <= limits::WATCH_ALONE
    }

    /// The VMs that can tell this one when the store turns it away.
    pub fn helpers(&self) -> &[VmAddress] {
        &self.helpers
    }

    /// The VMs that watch the store for this one; none if it is one of those that watch for others, or
    /// if there are so few VMs that each watches by itself.
    pub fn watchers(&self) -> &[VmAddress] {
        match self.is_watcher() {
            true => &[],
            false => &self.watchers,
        }
    }

    /// Whether this VM watches the store for others.
    pub fn is_watcher(&self) -> bool {
        self.watchers.iter().any(|vm| vm.name == self.own)
    }

    /// Forgets a target that is no longer listed.
    pub fn forget(&self, target_id: &str) {
        self.homes.lock().remove(target_id);
    }

    /// How many VMs are known.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Whether the VMs are known.
    pub fn is_known(&self) -> bool {
        !self.vms.is_empty()
    }

    /// Sets the way to a target, and how many connections it has.
    pub fn lead<C>(
        &self,
        target: &TargetState<C>,
        max_connections: u32,
        is_primary: bool,
        now_us: u64,
    ) where
        C: Codec,
    {
        match connection_plan::plan(max_connections, self.vms.len()) {
            ConnectionPlan::Direct { primary, replica } => {
                target.go_via(None);
                target.configure(if is_primary { primary } else { replica });
            }
            ConnectionPlan::Homes { share } => {
                let homes = self.homes_of(target);
                let is_home = homes.iter().any(|home| home.name == self.own);
                match self.home_for(target, &homes, now_us).filter(|_| !is_home) {
                    Some(home) => {
                        target.go_via(Some(home));
                        target.configure(limits::PEER_CONNECTIONS);
                    }
                    None => {
                        target.go_via(None);
                        target.configure(if is_home { share } else { 1 });
                    }
                }
            }
        }
    }

    /// The homes of a target: VMs of its availability zone, or of all if there are none there.
    fn homes_of<C>(&self, target: &TargetState<C>) -> Arc<[VmAddress]>
    where
        C: Codec,
    {
        let mut known = self.homes.lock();
        let homes = known.entry(Arc::clone(&target.record.id)).or_insert_with(|| {
            let near = self.vms.iter().filter(|vm| vm.zone == target.record.zone);
            let mut fit: Vec<&VmAddress> = near.collect();
            if fit.is_empty() {
                fit = self.vms.iter().collect();
            }
            best(&target.record.id, fit, connection_plan::HOMES).into()
        });
        Arc::clone(homes)
    }

    /// The home that this process sends its statements through: another one for each process, and
    /// the next one while that can't be reached.
    fn home_for<'a, C>(
        &self,
        target: &TargetState<C>,
        homes: &'a [VmAddress],
        now_us: u64,
    ) -> Option<&'a VmAddress>
    where
        C: Codec,
    {
        let mut passed_over_us = self.passed_over_us.lock();
        if let Some(via) = target.via()
            && target.pool().is_failing()
        {
            passed_over_us.insert(via, now_us + limits::HOME_PASSED_OVER_US);
        }
        passed_over_us.retain(|_, until_us| now_us < *until_us);
        let first = jitter::seed_of(&self.own) as usize % homes.len().max(1);
        let mut order = homes.iter().cycle().skip(first).take(homes.len());
        order.find(|home| !passed_over_us.contains_key(&home.name))
    }
}

/// The VMs that rank highest for a name.
fn best(name: &str, vms: Vec<&VmAddress>, count: usize) -> Vec<VmAddress> {
    let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
    let places = homes::rank_names(name, &names, count);
    places.into_iter().map(|place| vms[place].clone()).collect()
}
