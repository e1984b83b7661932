//! Validation of a group that is to be added.

use std::net::SocketAddr;

use crate::version::objects::GroupSpec;
use crate::version::objects::MemberSpec;
use crate::version::objects::ServiceSpec;
use crate::version::plan::Warning;
use crate::version::plan::error::NameKind;
use crate::version::plan::error::PlanError;
use crate::version::plan::planner::SnapshotView;

/// Validates a new group and returns the warnings for the operator.
pub(super) fn check(
    state: &SnapshotView<'_>,
    group: &str,
    spec: &GroupSpec,
) -> Result<Vec<Warning>, PlanError> {
    if state.get::<GroupSpec>(group)?.is_some() {
        return Err(PlanError::NoChange { already: format!("there is a group `{group}`") });
    }
    state.require::<ServiceSpec>(NameKind::Service, &spec.service)?;
    if spec.members.is_empty() {
        return Err(bad_value("members", "[]", "at least one member"));
    }
    for (index, member) in spec.members.iter().enumerate() {
        check_member(index, member)?;
        check_unique(state, &spec.members[..index], index, member)?;
    }
    Ok(warnings(state, group, spec))
}

fn bad_value(what: &str, value: &str, accepted: &str) -> PlanError {
    let (what, value, accepted) = (what.to_owned(), value.to_owned(), accepted.to_owned());
    PlanError::BadValue { what, value, accepted }
}

fn check_member(index: usize, member: &MemberSpec) -> Result<(), PlanError> {
    let path = |key: &str| format!("members[{index}].{key}");
    if member.target.is_empty() {
        return Err(bad_value(&path("target"), "", "a name"));
    }
    let address = member.address.parse::<SocketAddr>();
    if !address.is_ok_and(|address| address.port() != 0) {
        return Err(bad_value(&path("address"), &member.address, "an IP address and a port"));
    }
    if member.slots == 0 {
        return Err(bad_value(&path("slots"), "0", "at least 1"));
    }
    if member.connections == 0 {
        return Err(bad_value(&path("connections"), "0", "at least 1"));
    }
    Ok(())
}

/// Checks that no other target has the same name or address. Two groups that share a database would
/// each fence the other's primary.
fn check_unique(
    state: &SnapshotView<'_>,
    earlier: &[MemberSpec],
    index: usize,
    member: &MemberSpec,
) -> Result<(), PlanError> {
    let known = state.groups().flat_map(|group| group.body.members);
    for other in known.chain(earlier.iter().cloned()) {
        if other.target == member.target {
            let path = format!("members[{index}].target");
            return Err(bad_value(&path, &member.target, "a name that no other target has"));
        }
        if other.address == member.address {
            let path = format!("members[{index}].address");
            return Err(bad_value(&path, &member.address, "an address that no other target has"));
        }
    }
    Ok(())
}

fn warnings(state: &SnapshotView<'_>, group: &str, spec: &GroupSpec) -> Vec<Warning> {
    let mut warnings = Vec::new();
    if spec.members.len().is_multiple_of(2) {
        warnings.push(Warning::EvenMembers { group: group.to_owned() });
    }
    let mut zones: Vec<&str> = spec.members.iter().map(|member| &*member.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    zones.retain(|zone| state.vms().iter().all(|vm| vm.zone != *zone));
    warnings.extend(zones.iter().map(|zone| Warning::ZoneWithoutVm { zone: (*zone).to_owned() }));
    warnings
}
