//! How evenly the groups' tracking falls on the VMs.

use skylark_core::ids::VmId;
use skylark_core::ids::ZoneId;
use skylark_core::process::homes;
use skylark_core::process::homes::Homes;
use skylark_core::version::topology::Topology;

use crate::slopes::case::Case;
use crate::slopes::case::Unit;
use crate::slopes::fleet;
use crate::slopes::measure::Spread;

/// Sizes in VMs.
const VMS: &[u64] = &[8, 137, 275, 550, 1100];

/// The cases of this file.
pub const CASES: &[Case] = &[
    Case {
        name: "tracked_groups",
        what: "groups that a VM tracks because it is home to a member, over the VMs",
        size_of: "VMs, with two targets each",
        sizes: VMS,
        unit: Unit::Count,
        run: |vms| tracked_groups(vms, None),
    },
    Case {
        name: "tracked_groups_zone_lost",
        what: "the same over the other VMs after one of the eight zones is lost",
        size_of: "VMs, with two targets each",
        sizes: &[137, 275, 550, 1100],
        unit: Unit::Count,
        run: |vms| tracked_groups(vms, Some(ZoneId(0))),
    },
    Case {
        name: "home_roles",
        what: "targets that a VM is home to, over the VMs",
        size_of: "VMs, with two targets each",
        sizes: VMS,
        unit: Unit::Count,
        run: home_roles,
    },
];

fn tracked_groups(vms: u64, lost: Option<ZoneId>) -> Spread {
    let topology = Topology::build(&fleet::snapshot(vms));
    let homes = build(&topology, lost);
    let tracks = |vm: VmId| {
        let groups = topology.groups.iter();
        let is_home = |target| homes.of(target).contains(&vm);
        groups.filter(|group| group.members.iter().any(|&target| is_home(target))).count() as f64
    };
    let standing = |vm: &VmId| Some(topology.vm(*vm).zone) != lost;
    let all = (0..topology.vms.len() as u32).map(VmId).filter(standing).map(tracks);
    Spread::of(all.collect())
}

fn home_roles(vms: u64) -> Spread {
    let topology = Topology::build(&fleet::snapshot(vms));
    let homes = build(&topology, None);
    let roles = |vm: VmId| homes.all().iter().filter(|of| of.contains(&vm)).count() as f64;
    Spread::of((0..topology.vms.len() as u32).map(VmId).map(roles).collect())
}

fn build(topology: &Topology, lost: Option<ZoneId>) -> Homes {
    let usable: Vec<bool> = topology.vms.iter().map(|vm| Some(vm.zone) != lost).collect();
    Homes::build(topology, &usable, homes::DEFAULT_HOMES)
}
