//! Which VMs divide an organisation's limit among them.

use std::collections::BTreeMap;
use std::sync::Arc;

use skylark_core::process::homes;
use skylark_core::process::jitter;
use skylark_core::process::quota::Division;

use crate::sessions::store::VmAddress;

/// The allocators of one organisation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Allocators {
    /// In the order in which this VM asks them: itself, its zone's, then the others.
    pub in_turn: Vec<VmAddress>,
    /// Whether this VM is one of them.
    pub includes_own: bool,
    /// Among how many the limit is divided.
    pub division: Division,
}

/// How many availability zones have VMs.
pub fn zones_of(vms: &[VmAddress]) -> usize {
    by_zone(vms).len()
}

fn by_zone(vms: &[VmAddress]) -> BTreeMap<&str, Vec<&VmAddress>> {
    let mut zones: BTreeMap<&str, Vec<&VmAddress>> = BTreeMap::new();
    for vm in vms {
        zones.entry(&*vm.zone).or_default().push(vm);
    }
    zones
}

impl Allocators {
    /// The allocators among these VMs as VM `own` of an availability zone asks them. All VMs with the same list
    /// find the same ones, in different orders.
    pub fn rank(
        organisation: &str,
        vms: &[VmAddress],
        own: &Arc<str>,
        zone: &str,
        division: Division,
    ) -> Allocators {
        let by_zone = by_zone(vms);
        let zones: Vec<&str> = by_zone.keys().copied().collect();
        let chosen = homes::rank_names(organisation, &zones, division.zones);
        let mut in_turn: Vec<VmAddress> = Vec::new();
        for vms in chosen.into_iter().filter_map(|place| by_zone.get(zones[place])) {
            let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
            let places = homes::rank_names(organisation, &names, division.per_zone);
            in_turn.extend(places.into_iter().map(|place| vms[place].clone()));
        }
        let includes_own = in_turn.iter().any(|vm| vm.name == *own);
        let seed = jitter::seed_of(own);
        // Half of a zone's VMs ask each of its allocators first.
        let order = |vm: &VmAddress| jitter::seed_of(&vm.name) ^ seed;
        in_turn.sort_by_key(|vm| (vm.name != *own, &*vm.zone != zone, order(vm)));
        Allocators { in_turn, includes_own, division }
    }
}
