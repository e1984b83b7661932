//! The configuration of a made-up fleet of a given size.

use serde_json::Value;
use skylark_core::log_position::Term;
use skylark_core::version::objects::ClassSpec;
use skylark_core::version::objects::GroupSpec;
use skylark_core::version::objects::LeadRecord;
use skylark_core::version::objects::MemberSpec;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::ReadKindSpec;
use skylark_core::version::objects::ServiceSpec;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::objects::VmState;

/// The zones at the size to come.
const ZONES: usize = 8;

/// The members of a group.
const MEMBERS: usize = 3;

/// Groups of one service.
const GROUPS_PER_SERVICE: usize = 20;

/// A snapshot with `vms` VMs and two targets for each, in groups of three that each have a lead
/// record, over eight zones: the proportions of the size to come.
pub fn snapshot(vms: u64) -> Snapshot {
    let vms = vms as usize;
    let groups = (2 * vms).div_ceil(MEMBERS);
    let services = groups.div_ceil(GROUPS_PER_SERVICE);
    let services = (0..services).map(service);
    let groups_and_leads = (0..groups).flat_map(|group| [group_object(group), lead(group)]);
    let objects: Vec<StoredObject> = services.chain(groups_and_leads).collect();
    Snapshot { revision: objects.len() as u64, objects, vms: (0..vms).map(vm_record).collect() }
}

fn stored(kind: ObjectKind, name: String, version: usize, body: Value) -> StoredObject {
    StoredObject { kind, name, version: version as u64 + 1, deleted: false, body }
}

fn json<T>(body: &T) -> Value
where
    T: serde::Serialize,
{
    serde_json::to_value(body).expect("the system's objects are plain data")
}

fn zone(index: usize) -> String {
    format!("region{}-zone{}", index % ZONES / 4 + 1, index % ZONES + 1)
}

fn service(index: usize) -> StoredObject {
    let read_kind = |name: &str, max_age_ms| ReadKindSpec {
        name: name.to_owned(),
        max_age_ms,
        class: Some("lookups".to_owned()),
    };
    let class = |name: &str, weight, goal_ms| ClassSpec { name: name.to_owned(), weight, goal_ms };
    let spec = ServiceSpec {
        read_kinds: vec![read_kind("history", 5000), read_kind("stock", 500)],
        classes: vec![class("reservations", 8, 50), class("lookups", 1, 400)],
        plan: String::new(),
    };
    stored(ObjectKind::Service, format!("service-{index:04}"), index, json(&spec))
}

fn group_object(index: usize) -> StoredObject {
    let member = |place: usize| MemberSpec {
        target: format!("database-{index:05}-{place}"),
        zone: zone(index + place),
        address: format!("10.{}.{}.{}:5432", place, index / 250, index % 250),
        slots: 2,
        connections: 16,
        drain: false,
    };
    let spec = GroupSpec {
        service: format!("service-{:04}", index / GROUPS_PER_SERVICE),
        members: (0..MEMBERS).map(member).collect(),
        plan: String::new(),
    };
    stored(ObjectKind::Group, format!("group-{index:05}"), index, json(&spec))
}

fn lead(index: usize) -> StoredObject {
    let record = LeadRecord {
        term: Term(3),
        driver: format!("entry-{index:04}"),
        primary: format!("database-{index:05}-0"),
        wanted: String::new(),
        plan: String::new(),
    };
    stored(ObjectKind::Lead, format!("group-{index:05}"), index, json(&record))
}

fn vm_record(index: usize) -> VmRecord {
    let address = format!("10.9.{}.{}", index / 250, index % 250);
    VmRecord {
        vm: format!("entry-{index:04}"),
        zone: zone(index),
        address: format!("{address}:6432"),
        control_address: format!("{address}:6532"),
        state: VmState::Live,
    }
}
