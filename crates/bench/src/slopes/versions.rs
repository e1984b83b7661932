//! What a version of the configuration costs: to carry, to read, to build, to keep.

use std::hint;

use skylark_core::ids::VmId;
use skylark_core::process::connection_plan::HOMES;
use skylark_core::process::homes;
use skylark_core::process::homes::Homes;
use skylark_core::process::membership::Membership;
use skylark_core::process::membership::MembershipPolicy;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::topology::Topology;
use skylark_objects::WatchResponse;

use crate::slopes::case::Case;
use crate::slopes::case::Unit;
use crate::slopes::fleet;
use crate::slopes::measure;
use crate::slopes::measure::Spread;

/// Sizes in VMs, up to the size to come and twice that.
const VMS: &[u64] = &[8, 137, 275, 550, 1100];

const SIZE_OF: &str = "VMs, with two targets each";

/// The cases of this file.
pub const CASES: &[Case] = &[
    Case {
        name: "snapshot_bytes",
        what: "a snapshot as JSON",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Bytes,
        run: |vms| Spread::exact(encoded(&fleet::snapshot(vms)).len() as f64),
    },
    Case {
        name: "vm_list_bytes",
        what: "the list of VMs as JSON",
        size_of: "VMs",
        sizes: VMS,
        unit: Unit::Bytes,
        run: |vms| Spread::exact(encoded(&fleet::snapshot(vms).vms).len() as f64),
    },
    Case {
        name: "watch_answer_bytes",
        what: "a watch's answer with changed group objects, as JSON",
        size_of: "changed objects",
        sizes: &[1, 4, 16, 64],
        unit: Unit::Bytes,
        run: |changed| Spread::exact(encoded(&watch_answer(changed)).len() as f64),
    },
    Case {
        name: "snapshot_encode",
        what: "writing a snapshot as JSON",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Ns,
        run: |vms| {
            let snapshot = fleet::snapshot(vms);
            measure::time_ns(|| {
                hint::black_box(encoded(&snapshot));
            })
        },
    },
    Case {
        name: "snapshot_parse",
        what: "reading a snapshot from JSON",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Ns,
        run: |vms| {
            let text = encoded(&fleet::snapshot(vms));
            measure::time_ns(|| {
                hint::black_box(parsed(&text));
            })
        },
    },
    Case {
        name: "snapshot_memory",
        what: "a snapshot kept in memory",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Bytes,
        run: |vms| {
            let text = encoded(&fleet::snapshot(vms));
            measure::memory_bytes(|| parsed(&text))
        },
    },
    Case {
        name: "topology_build",
        what: "building a topology from a snapshot",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Ns,
        run: |vms| {
            let snapshot = fleet::snapshot(vms);
            measure::time_ns(|| {
                hint::black_box(Topology::build(&snapshot));
            })
        },
    },
    Case {
        name: "topology_memory",
        what: "a topology kept in memory",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Bytes,
        run: |vms| {
            let snapshot = fleet::snapshot(vms);
            measure::memory_bytes(|| Topology::build(&snapshot))
        },
    },
    Case {
        name: "homes_build",
        what: "ranking the homes of all targets",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Ns,
        run: |vms| {
            let topology = Topology::build(&fleet::snapshot(vms));
            let usable = vec![true; topology.vms.len()];
            measure::time_ns(|| {
                hint::black_box(Homes::build(&topology, &usable, homes::DEFAULT_HOMES));
            })
        },
    },
    Case {
        name: "homes_by_name",
        what: "ranking the homes of one target by the names of its zone's VMs",
        size_of: "VMs of the zone",
        sizes: &[8, 17, 35, 69, 138],
        unit: Unit::Ns,
        run: |vms| {
            let names: Vec<String> = (0..vms).map(|vm| format!("entry-{vm:04}")).collect();
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            measure::time_ns(|| {
                hint::black_box(homes::rank_names("database-00001-0", &names, HOMES));
            })
        },
    },
    Case {
        name: "homes_memory",
        what: "the homes of all targets kept in memory",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Bytes,
        run: |vms| {
            let topology = Topology::build(&fleet::snapshot(vms));
            let usable = vec![true; topology.vms.len()];
            measure::memory_bytes(|| Homes::build(&topology, &usable, homes::DEFAULT_HOMES))
        },
    },
    Case {
        name: "homes_vm_out_and_in",
        what: "ranking again after one VM goes and comes back",
        size_of: SIZE_OF,
        sizes: VMS,
        unit: Unit::Ns,
        run: |vms| {
            let topology = Topology::build(&fleet::snapshot(vms));
            let usable = vec![true; topology.vms.len()];
            let mut homes = Homes::build(&topology, &usable, homes::DEFAULT_HOMES);
            measure::time_ns(|| {
                hint::black_box(homes.set_usable(VmId(3), false));
                hint::black_box(homes.set_usable(VmId(3), true));
            })
        },
    },
    Case {
        name: "membership_usable",
        what: "judging which VMs get work",
        size_of: "VMs",
        sizes: VMS,
        unit: Unit::Ns,
        run: |vms| {
            let topology = Topology::build(&fleet::snapshot(vms));
            let membership = Membership::new(MembershipPolicy::default());
            let mut usable = Vec::new();
            measure::time_ns(|| membership.usable_vms(&topology, 1, &mut usable))
        },
    },
];

fn encoded<T>(value: &T) -> Vec<u8>
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).expect("the system's messages are plain data")
}

fn parsed(text: &[u8]) -> Snapshot {
    serde_json::from_slice(text).expect("the text was written from a snapshot")
}

fn watch_answer(changed: u64) -> WatchResponse {
    let snapshot = fleet::snapshot(550);
    let groups = snapshot.objects.into_iter().filter(|object| object.name.starts_with("group"));
    WatchResponse {
        revision: snapshot.revision,
        objects: groups.step_by(2).take(changed as usize).collect(),
    }
}
