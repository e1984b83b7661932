//! Tests of the local evidence that complements the platform's lagging list.

use skylark_core::process::membership::Evidence;
use skylark_core::process::membership::Membership;
use skylark_core::process::membership::MembershipPolicy;
use skylark_core::process::membership::Usability;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::objects::VmState;
use skylark_core::version::topology::Topology;

const SECOND_US: u64 = 1_000_000;

fn topology(vms: &[(&str, VmState)]) -> Topology {
    let record = |(name, state): &(&str, VmState)| VmRecord {
        vm: (*name).to_owned(),
        zone: "olten-hall".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        control_address: "127.0.0.1:2".to_owned(),
        state: *state,
    };
    let vms = vms.iter().map(record).collect();
    Topology::build(&Snapshot { revision: 1, objects: Vec::new(), vms })
}

fn listed() -> Topology {
    topology(&[("a", VmState::Live), ("b", VmState::Live), ("c", VmState::Leaving)])
}

/// Returns the usability of a VM shortly after the last of a series of observations, one per second.
fn usability_after(vm: &str, seen: &[Evidence]) -> Usability {
    let mut membership = Membership::new(MembershipPolicy::default());
    let mut now_us = SECOND_US;
    for evidence in seen {
        now_us += SECOND_US;
        membership.record_vm_evidence(vm, *evidence, now_us);
    }
    assert_eq!(membership.verify(), Vec::<String>::new());
    membership.vm_usability_by_name(&listed(), vm, now_us + 1)
}

macro_rules! usability_cases {
    ($($name:ident: $vm:literal, [$($evidence:ident),*] => $usability:ident;)+) => {
        $(#[test]
        fn $name() {
            let seen = [$(Evidence::$evidence),*];
            assert_eq!(usability_after($vm, &seen), Usability::$usability);
        })+
    };
}

usability_cases! {
    listed_as_live: "a", [] => Usable;
    listed_as_leaving: "c", [] => ListedLeaving;
    not_listed: "z", [] => Unknown;
    not_listed_and_healthy: "z", [Healthy] => Unknown;
    listed_as_leaving_and_healthy: "c", [Healthy] => ListedLeaving;
    one_refusal_is_not_enough: "a", [Refused] => Usable;
    two_refusals: "a", [Refused, Refused] => Unreachable;
    three_lost_answers: "a", [Unreachable, Unreachable, Unreachable] => Usable;
    four_lost_answers: "a", [Unreachable, Unreachable, Unreachable, Unreachable] => Unreachable;
    healthy_again: "a", [Refused, Refused, Healthy] => Usable;
    healthy_then_one_refusal: "a", [Refused, Healthy, Refused] => Usable;
    leaving_then_healthy: "a", [Leaving, Healthy] => Usable;
}

// A VM answers "leaving" and stops a moment later, while the platform's list names it as live for
// another half a minute. A request forwarded to it would fail. One such answer must exclude the VM,
// for longer than the list lags.
#[test]
fn a_vm_that_says_it_leaves_gets_no_work_although_the_list_lags() {
    let mut membership = Membership::new(MembershipPolicy::default());
    let topology = listed();
    assert!(
        membership.record_vm_evidence("a", Evidence::Leaving, SECOND_US),
        "the usability changed"
    );
    let mut usable = Vec::new();
    for after_s in [0, 1, 30, 60] {
        membership.usable_vms(&topology, SECOND_US + after_s * SECOND_US, &mut usable);
        assert_eq!(usable, [false, true, false], "after {after_s} s");
    }
}

// Without expiry, a VM that was briefly unreachable would never receive work again unless its
// return was reported. `expire` returns when the evidence expires.
#[test]
fn evidence_expires_by_itself() {
    let mut membership = Membership::new(MembershipPolicy::default());
    let topology = listed();
    membership.record_vm_evidence("a", Evidence::Refused, SECOND_US);
    membership.record_vm_evidence("a", Evidence::Refused, SECOND_US);
    let expires_us = membership.expire(SECOND_US).expect("something expires");
    let usability =
        |membership: &Membership, now_us| membership.vm_usability_by_name(&topology, "a", now_us);
    assert_eq!(usability(&membership, expires_us - 1), Usability::Unreachable);
    assert_eq!(usability(&membership, expires_us), Usability::Usable);
    assert_eq!(membership.expire(expires_us), None);
    assert!(membership.is_empty());
}

// Two refusals minutes apart are two restarts, not a dead VM.
#[test]
fn old_failures_do_not_add_up() {
    let mut membership = Membership::new(MembershipPolicy::default());
    membership.record_vm_evidence("a", Evidence::Refused, SECOND_US);
    membership.record_vm_evidence("a", Evidence::Refused, 100 * SECOND_US);
    let usability = membership.vm_usability_by_name(&listed(), "a", 100 * SECOND_US);
    assert_eq!(usability, Usability::Usable);
}

#[test]
fn targets_and_vms_of_one_name_are_distinct() {
    let mut membership = Membership::new(MembershipPolicy::default());
    membership.record_target_evidence("a", Evidence::Leaving, SECOND_US);
    assert_eq!(membership.vm_usability_by_name(&listed(), "a", SECOND_US), Usability::Usable);
    assert_eq!(membership.len(), 1);
}
