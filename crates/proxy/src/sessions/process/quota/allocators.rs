//! Selection of the VMs that divide an organisation's limit among them.

use std::collections::BTreeMap;
use std::sync::Arc;

use skylark_core::process::homes;
use skylark_core::process::jitter;
use skylark_core::process::quota::Division;

use crate::sessions::store::VmAddress;

/// The allocators of one organisation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Allocators {
    /// The allocators in the order in which this VM asks them: itself, those of its zone, then the others.
    pub ask_order: Vec<VmAddress>,
    /// Whether this VM is an allocator.
    pub includes_own: bool,
    /// How the limit is divided among zones and VMs.
    pub division: Division,
}

/// Returns the number of availability zones that have VMs.
pub fn zone_count(vms: &[VmAddress]) -> usize {
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
    /// Selects the allocators among `vms`. `own` and `zone` only determine the order: all VMs with the same
    /// list select the same allocators.
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
        let mut ask_order: Vec<VmAddress> = Vec::new();
        for vms in chosen.into_iter().filter_map(|index| by_zone.get(zones[index])) {
            let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
            let indexes = homes::rank_names(organisation, &names, division.per_zone);
            ask_order.extend(indexes.into_iter().map(|index| vms[index].clone()));
        }
        let includes_own = ask_order.iter().any(|vm| vm.name == *own);
        let seed = jitter::seed_of(own);
        // Spreads the load: half of a zone's VMs ask each of its allocators first.
        let order = |vm: &VmAddress| jitter::seed_of(&vm.name) ^ seed;
        ask_order.sort_by_key(|vm| (vm.name != *own, &*vm.zone != zone, order(vm)));
        Allocators { ask_order, includes_own, division }
    }
}
