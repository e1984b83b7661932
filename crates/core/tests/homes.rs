//! Tests of the homes of targets: all proxies agree, the loss of a VM moves only its own targets,
//! and shares add up to the connections.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use skylark_core::ids::TargetId;
use skylark_core::ids::VmId;
use skylark_core::ids::ZoneId;
use skylark_core::process::homes;
use skylark_core::process::homes::Homes;
use skylark_core::process::homes::VmRanking;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::objects::VmState;
use skylark_core::version::topology::Topology;

fn object(kind: ObjectKind, name: &str, body: serde_json::Value) -> StoredObject {
    StoredObject { kind, name: name.to_owned(), version: 1, deleted: false, body }
}

fn vm(index: usize, zones: usize) -> VmRecord {
    VmRecord {
        vm: format!("vm-{index:03}"),
        zone: format!("zone-{}", index % zones),
        address: format!("127.0.0.1:{}", 10_000 + index),
        control_address: format!("127.0.0.1:{}", 20_000 + index),
        state: VmState::Live,
    }
}

/// Builds groups of three targets, in three different zones if there are that many.
fn topology(groups: usize, vms: usize, zones: usize) -> Topology {
    let service = serde_json::json!({
        "read_kinds": [],
        "classes": [{"name": "booking", "weight": 1, "goal_ms": 50}],
    });
    let mut objects = vec![object(ObjectKind::Service, "service", service)];
    for group in 0..groups {
        let members: Vec<serde_json::Value> = (0..3)
            .map(|member| {
                serde_json::json!({
                    "target": format!("db-{group:04}-{member}"),
                    "zone": format!("zone-{}", (group + member) % zones),
                    "address": format!("127.0.0.1:{}", 30_000 + group * 3 + member),
                    "slots": 2,
                    "connections": 16,
                })
            })
            .collect();
        let body = serde_json::json!({"service": "service", "members": members});
        objects.push(object(ObjectKind::Group, &format!("group-{group:04}"), body));
    }
    let vms = (0..vms).map(|index| vm(index, zones)).collect();
    Topology::build(&Snapshot { revision: 1, objects, vms })
}

fn all_usable(topology: &Topology) -> Vec<bool> {
    vec![true; topology.vms.len()]
}

#[test]
fn homes_are_in_the_zone_of_the_target() {
    let topology = topology(40, 24, 4);
    let homes = Homes::build(&topology, &all_usable(&topology), 2);
    for (index, target) in topology.targets.iter().enumerate() {
        let of = homes.of(TargetId(index as u32));
        assert_eq!(of.len(), 2);
        assert_ne!(of[0], of[1]);
        assert!(of.iter().all(|vm| topology.vm(*vm).zone == target.zone));
    }
    assert_eq!(homes.verify(), Vec::<String>::new());
}

#[test]
fn homes_are_spread_evenly() {
    let topology = topology(400, 40, 4);
    let homes = Homes::build(&topology, &all_usable(&topology), 2);
    let mut loads = vec![0; topology.vms.len()];
    for vm in homes.all().iter().flatten() {
        loads[vm.index()] += 1;
    }
    // 1200 targets with two homes each over 40 VMs: 60 per VM.
    assert!(loads.iter().all(|load| (35..=85).contains(load)), "{loads:?}");
}

/// A change of the scores would make proxies of two releases disagree about homes.
#[test]
fn scores_are_part_of_the_protocol() {
    let topology = topology(2, 9, 3);
    let homes = Homes::build(&topology, &all_usable(&topology), 2);
    let printed: Vec<String> = homes.all().iter().map(|of| format!("{of:?}")).collect();
    let expected =
        ["[vm3, vm0]", "[vm7, vm4]", "[vm8, vm2]", "[vm7, vm4]", "[vm2, vm5]", "[vm0, vm6]"];
    assert_eq!(printed, expected);
}

// If ranks depended on the number of VMs, every restart of a VM would move nearly all targets to
// other homes, and all their connections would be opened anew at the same time, while callers'
// statements stall. Only the targets of the lost VM may move.
#[test]
fn a_vm_that_goes_moves_only_its_own_targets() {
    let topology = topology(100, 24, 4);
    let before = Homes::build(&topology, &all_usable(&topology), 2);
    for index in 0..topology.vms.len() {
        let gone = VmId(index as u32);
        let mut after = before.clone();
        let changed = after.set_usable(gone, false);
        for (target, old) in before.all().iter().enumerate() {
            let new = after.of(TargetId(target as u32));
            let had = old.contains(&gone);
            assert_eq!(had, changed.contains(&TargetId(target as u32)));
            if had {
                let staying = old.iter().find(|vm| **vm != gone).expect("two homes");
                assert!(new.contains(staying), "the other home of target{target} stays");
            } else {
                assert_eq!(new, old);
            }
        }
    }
}

#[test]
fn a_zone_without_vms_is_taken_over_by_the_others() {
    let topology = topology(8, 8, 4);
    let mut usable = all_usable(&topology);
    for (index, vm) in topology.vms.iter().enumerate() {
        usable[index] = vm.zone != ZoneId(0);
    }
    let mut homes = Homes::build(&topology, &usable, 2);
    assert!(homes.all().iter().all(|of| of.len() == 2));
    assert_eq!(homes.watchers(ZoneId(0)), Vec::new());
    assert_eq!(homes.watchers(ZoneId(1)).len(), homes::WATCHERS_PER_ZONE);

    let back = topology.vms.iter().position(|vm| vm.zone == ZoneId(0)).expect("a VM of zone 0");
    homes.set_usable(VmId(back as u32), true);
    for (index, target) in topology.targets.iter().enumerate() {
        if target.zone == ZoneId(0) {
            assert_eq!(homes.of(TargetId(index as u32)), [VmId(back as u32)]);
        }
    }
    assert_eq!(homes.verify(), Vec::<String>::new());
}

#[test]
fn shares_add_up_to_the_limit() {
    for connections in 0..40 {
        for count in 1..10 {
            let shares: Vec<u32> =
                (0..count).map(|rank| homes::connection_share(connections, count, rank)).collect();
            assert_eq!(shares.iter().sum::<u32>(), connections);
            let served = (connections as usize).min(count);
            assert!(shares[..served].iter().all(|share| *share >= 1), "{shares:?}");
            assert!(shares.is_sorted_by(|a, b| a >= b), "{shares:?}");
        }
    }
    assert_eq!(homes::connection_share(16, 2, 2), 0);
}

/// Changes of the usability of VMs.
#[derive(Clone, Debug)]
struct Flips(Vec<(u8, bool)>);

impl Arbitrary for Flips {
    fn arbitrary(g: &mut Gen) -> Flips {
        Flips(Vec::arbitrary(g))
    }
}

fn incremental_equals_rebuilt(flips: Flips) -> bool {
    let topology = topology(12, 10, 4);
    let mut usable = all_usable(&topology);
    let mut homes = Homes::build(&topology, &usable, 2);
    for (vm, is_usable) in flips.0 {
        let vm = usize::from(vm) % usable.len();
        usable[vm] = is_usable;
        let before = homes.clone();
        let changed = homes.set_usable(VmId(vm as u32), is_usable);
        let rebuilt = Homes::build(&topology, &usable, 2);
        let reported = (0..topology.targets.len() as u32)
            .map(TargetId)
            .all(|target| before.of(target) == homes.of(target) || changed.contains(&target));
        if homes.all() != rebuilt.all() || !homes.verify().is_empty() || !reported {
            return false;
        }
    }
    true
}

#[test]
fn incremental_changes_equal_a_rebuild() {
    for seed in 1..=3 {
        QuickCheck::new()
            .tests(100)
            .rng(Gen::from_size_and_seed(40, seed))
            .quickcheck(incremental_equals_rebuilt as fn(Flips) -> bool);
    }
}

/// A prepared list ranks as the homes of a topology do, and says of each VM whether it is a home.
fn prepared_list_ranks_as_homes(vms: u8, targets: u8) -> bool {
    let topology = topology(usize::from(targets % 8) + 1, usize::from(vms) + 1, 3);
    let homes = Homes::build(&topology, &all_usable(&topology), 2);
    let ranking = VmRanking::new(topology.vms.iter().map(|vm| vm.name.as_str()));
    (0..topology.targets.len()).all(|index| {
        let target = &topology.targets[index];
        let in_zone = |vm: &usize| topology.vms[*vm].zone == target.zone;
        let near: Vec<usize> = (0..topology.vms.len()).filter(in_zone).collect();
        let candidates = if near.is_empty() { (0..topology.vms.len()).collect() } else { near };
        let top = ranking.top(&target.name, candidates.iter().copied(), 2);
        let expected = homes.of(TargetId(index as u32)).iter().map(|vm| vm.index());
        let all_agree = candidates.iter().all(|vm| {
            let is_home = ranking.is_in_top(&target.name, candidates.iter().copied(), 2, *vm);
            is_home == top.contains(vm)
        });
        top.iter().copied().eq(expected) && all_agree
    })
}

#[test]
fn a_prepared_list_ranks_as_homes() {
    QuickCheck::new()
        .tests(100)
        .rng(Gen::from_size_and_seed(40, 1))
        .quickcheck(prepared_list_ranks_as_homes as fn(u8, u8) -> bool);
}
