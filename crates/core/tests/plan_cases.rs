//! Runs the text cases under `tests/cases/plan`, which map an intent to the expected plan or error.
//!
//! A case is applied to `base.json`. Its lines are `put OBJECT` (replaces or adds an object),
//! `vms LIST` (replaces the list of VMs), `intent INTENT`, a line `----`, and the expected output.

use std::fs;
use std::path::Path;

use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::plan::intent::Intent;
use skylark_core::version::plan::planner;

fn read(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/plan");
    fs::read_to_string(folder.join(name)).expect("the file can be read")
}

fn put(snapshot: &mut Snapshot, object: StoredObject) {
    let same = |known: &StoredObject| (known.kind, &known.name) == (object.kind, &object.name);
    snapshot.objects.retain(|known| !same(known));
    snapshot.objects.push(object);
}

fn run(name: &str) {
    let case = read(name);
    let (input, expected) = case.split_once("----\n").expect("the case has a separator");
    let mut snapshot: Snapshot = serde_json::from_str(&read("base.json")).expect("base.json");
    let mut intent: Option<Intent> = None;
    for line in input.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        let (keyword, json) = line.split_once(' ').expect("a keyword and its JSON");
        match keyword {
            "put" => put(&mut snapshot, serde_json::from_str(json).expect("an object")),
            "vms" => snapshot.vms = serde_json::from_str(json).expect("a list of VMs"),
            "intent" => intent = Some(serde_json::from_str(json).expect("an intent")),
            other => panic!("{name}: unknown keyword {other}"),
        }
    }
    let intent = intent.expect("the case has an intent");
    let planned = planner::plan(&intent, &snapshot);
    // The order of objects in a snapshot is arbitrary, so the plan and its id must not depend on it.
    snapshot.objects.reverse();
    assert_eq!(planner::plan(&intent, &snapshot), planned, "plan on the reversed snapshot");
    let actual = match planned {
        Ok(plan) => plan.to_string(),
        Err(error) => format!("error: {error}\n"),
    };
    assert_eq!(actual, expected, "outcome of {name}");
}

macro_rules! cases {
    ($($name:ident = $file:literal;)+) => {
        $(#[test]
        fn $name() {
            run($file);
        })+
    };
}

cases! {
    drain_replica = "drain-replica.case";
    drain_primary = "drain-primary.case";
    drain_wanted = "drain-wanted.case";
    drain_second_member = "drain-second-member.case";
    drain_drained = "drain-drained.case";
    drain_unknown_target = "drain-unknown-target.case";
    drain_without_lead = "drain-without-lead.case";
    undrain = "undrain.case";
    drain_vm = "drain-vm.case";
    drain_last_vm = "drain-last-vm.case";
    drain_unknown_vm = "drain-unknown-vm.case";
    undrain_vm = "undrain-vm.case";
    undrain_vm_not_drained = "undrain-vm-not-drained.case";
    move_primary = "move-primary.case";
    move_primary_to_drained = "move-primary-to-drained.case";
    move_primary_to_itself = "move-primary-to-itself.case";
    move_primary_again = "move-primary-again.case";
    move_primary_back = "move-primary-back.case";
    move_primary_to_stranger = "move-primary-to-stranger.case";
    set_staleness = "set-staleness.case";
    set_staleness_too_high = "set-staleness-too-high.case";
    set_staleness_same = "set-staleness-same.case";
    set_staleness_unknown_kind = "set-staleness-unknown-kind.case";
    set_weight = "set-weight.case";
    set_weight_zero = "set-weight-zero.case";
    set_weight_unknown_service = "set-weight-unknown-service.case";
    add_group = "add-group.case";
    add_group_again = "add-group-again.case";
    add_group_taken_address = "add-group-taken-address.case";
    add_group_bad_address = "add-group-bad-address.case";
    remove_group = "remove-group.case";
    remove_unknown_group = "remove-unknown-group.case";
    bad_object = "bad-object.case";
}
