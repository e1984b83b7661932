//! What the size of the fleet costs one VM of typed sessions: work at each change, background work, state,
//! and what it is sent.

use std::hint;
use std::sync::Arc;

use skylark_core::store_revision::StoreRevision;
use skylark_core::version::list_digest::ListDigest;
use skylark_proxy::sessions::process::feed::Message;
use skylark_proxy::sessions::process::feed::frame;
use skylark_proxy::sessions::process::feed::listing::TargetList;
use skylark_proxy::sessions::process::feed::listing::VmList;
use skylark_proxy::sessions::process::member_table::MemberTable;
use skylark_proxy::sessions::process::peer_routes::PeerRoutes;
use skylark_proxy::sessions::store::VmAddress;

use crate::slopes::case::Case;
use crate::slopes::case::Unit;
use crate::slopes::measure;
use crate::slopes::measure::Spread;
use crate::slopes::sessions_fleet;

/// The sizes of the fleet, with as many services of three targets.
const SIZES: &[u64] = &[30, 100, 300, 1_000, 2_000];

const SIZE_OF: &str = "VMs and services";

/// The number of maintenance passes in a second.
const PASSES_PER_S: u32 = 10;

/// The length of a frame's header in bytes.
const HEADER_BYTES: usize = 4;

const BITS_PER_BYTE: f64 = 8.0;

/// The cases of this file.
pub const CASES: &[Case] = &[
    Case {
        name: "sessions_vm_list_change",
        what: "a process without callers applies a changed list of VMs",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Ns,
        run: |size| {
            let process = sessions_fleet::process(size);
            let vms = sessions_fleet::vms(size, true);
            let fewer = &vms[..vms.len() - 1];
            let mut has_all = true;
            measure::time_ns(|| {
                has_all = !has_all;
                process.set_vms(if has_all { &vms } else { fewer });
                process.maintain_pools();
            })
        },
    },
    Case {
        name: "sessions_target_change",
        what: "a process without callers applies the change of one target",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Ns,
        run: |size| {
            let process = sessions_fleet::process(size);
            let routes = Arc::new(sessions_fleet::routes(size));
            let mut table = sessions_fleet::member_table(size);
            let mut number = 1;
            measure::time_ns(|| {
                number += 1;
                table.insert(&sessions_fleet::member(number % size, 0, number));
                process.publish(sessions_fleet::view(number, &routes, &table));
                process.maintain_pools();
            })
        },
    },
    Case {
        name: "sessions_idle_second",
        what: "maintenance of the paths for one second without callers",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Ns,
        run: |size| {
            let process = sessions_fleet::process(size);
            measure::time_ns(|| (0..PASSES_PER_S).for_each(|_| process.maintain_pools()))
        },
    },
    Case {
        name: "sessions_memory",
        what: "the state of a process without callers",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Bytes,
        run: |size| measure::memory_bytes(|| sessions_fleet::process(size)),
    },
    Case {
        name: "sessions_whole_state",
        what: "what a VM is sent when it starts: targets, VMs and routes",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Bytes,
        run: |size| Spread::exact(whole_state_bytes(size)),
    },
    Case {
        name: "sessions_one_target",
        what: "what a VM is sent when one target changes",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Bytes,
        run: |size| {
            let (before, after) = lists_that_differ(size);
            Spread::exact(bytes(&Message::TargetChanges(before.changes_to(&after))))
        },
    },
    Case {
        name: "sessions_resume",
        what: "what a VM that subscribes again sends and is sent when one target differs",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Bytes,
        run: |size| {
            let (before, after) = lists_that_differ(size);
            let digests = 2 * ListDigest::default().to_text().len();
            let buckets = after.in_buckets(after.digest().differing(&before.digest()));
            Spread::exact(digests as f64 + bytes(&Message::TargetBuckets(buckets)))
        },
    },
    Case {
        name: "sessions_read_state",
        what: "a VM that starts decodes the targets and applies them",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Ns,
        run: |size| {
            let encoded = frame::encode(&all_targets(size));
            let routes = Arc::new(sessions_fleet::routes(size));
            measure::time_ns(|| {
                let decoded = frame::decode(&encoded[HEADER_BYTES..]);
                let Ok(Message::TargetChanges(changes)) = decoded else { return };
                let list = TargetList::default().with(changes);
                let mut table = MemberTable::default();
                for member in &list.entries {
                    table.insert(member);
                }
                hint::black_box(sessions_fleet::view(1, &routes, &table));
            })
        },
    },
    Case {
        name: "sessions_start_watchers_by_name",
        what: "the slowest watcher's link sends the whole state to all VMs, watchers ranked by name",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Us,
        run: |size| Spread::exact(start_us(size, false)),
    },
    Case {
        name: "sessions_start_watchers_by_link",
        what: "the same with the fastest links as watchers",
        size_of: SIZE_OF,
        sizes: SIZES,
        unit: Unit::Us,
        run: |size| Spread::exact(start_us(size, true)),
    },
];

fn bytes(message: &Message) -> f64 {
    frame::encode(message).len() as f64
}

fn all_targets(size: u64) -> Message {
    Message::TargetChanges(TargetList::default().changes_to(&sessions_fleet::target_list(size)))
}

fn whole_state_bytes(size: u64) -> f64 {
    let vms = Message::Vms(VmList::default().changes_to(&sessions_fleet::vm_list(size)));
    let routes = Message::Routes(Arc::new(sessions_fleet::routes(size)));
    [all_targets(size), vms, routes].iter().map(bytes).sum()
}

/// Returns two lists of targets that differ in one of them.
fn lists_that_differ(size: u64) -> (TargetList, TargetList) {
    let before = sessions_fleet::target_list(size);
    let mut members = sessions_fleet::members(size);
    members[0] = sessions_fleet::member(0, 0, 2);
    (before, TargetList::new(StoreRevision::new(0, 2), members))
}

/// Returns how long the slowest watcher of a zone needs to send the whole state to its part of the zone, in
/// microseconds. The watchers are those that the VMs choose.
fn start_us(size: u64, states_links: bool) -> f64 {
    let state_bytes = whole_state_bytes(size);
    let links = sessions_fleet::vms(size, true);
    let vms = sessions_fleet::vms(size, states_links);
    let mut zones: Vec<&str> = vms.iter().map(|vm| &*vm.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let slowest = |zone: &str| {
        let in_zone = |vm: &&VmAddress| &*vm.zone == zone;
        let subscribers = vms.iter().filter(in_zone).count() as f64;
        let routes = PeerRoutes::new(&"nobody".into(), zone, vms.clone());
        let watchers = routes.watchers();
        let link_mbps = |watcher: &VmAddress| {
            let link = links.iter().find(|vm| vm.name == watcher.name);
            f64::from(link.map_or(sessions_fleet::SLOW_LINK_MBPS, |vm| vm.link_mbps))
        };
        // A fleet that is small enough has no watchers; each VM reads the store itself.
        let sent = subscribers / watchers.len().max(1) as f64 * state_bytes * BITS_PER_BYTE;
        watchers.iter().map(|watcher| sent / link_mbps(watcher)).fold(0.0, f64::max)
    };
    zones.into_iter().map(slowest).fold(0.0, f64::max)
}
