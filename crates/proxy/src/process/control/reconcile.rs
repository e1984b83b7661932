//! Reconciliation of homes, groups and members with a new version of the configuration, and with
//! evidence about VMs and targets.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::ids::GroupId;
use skylark_core::ids::VmId;
use skylark_core::process::detection;
use skylark_core::process::failover;
use skylark_core::process::failover::FailoverDriver;
use skylark_core::process::homes::Homes;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::membership;
use skylark_core::version::topology;
use skylark_core::version::topology::Topology;
use skylark_objects::ObjectStore;

use crate::process::control::Control;
use crate::process::control::MemberLocation;
use crate::process::control::US_PER_MS;
use crate::process::control::floors::FloorLookups;
use crate::process::control::group::Group;
use crate::process::control::tracking::TrackedMember;
use crate::process::control::tracking::Tracking;
use crate::process::decisions::Decision;
use crate::process::member::client::MemberClient;
use crate::process::member::task::MemberKey;
use crate::process::member::task::MemberTask;
use crate::process::schedule::Purpose;

/// The duration of the joint phase of a new member set: twice the time within which a version comes
/// into force everywhere. A longer phase reduces availability: until its end a quorum of the previous set is
/// needed too, so that a group that grew from two members to three tolerates the loss of neither of the two.
const JOINT_PHASE_US: u64 = 14_000_000;

/// How long the members of a group are still tracked after this VM ceased to be home to any of them,
/// because writes in progress here still wait for confirmations.
const END_TRACKING_DELAY_US: u64 = 10_000_000;

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    /// Reconciles all control state with the version in force.
    pub(super) fn reconcile(&mut self, now_us: u64) {
        let topology = Arc::clone(self.configuration.topology());
        self.membership.usable_vms(&topology, now_us, &mut self.usable);
        let homes_per_target = self.settings.homes_per_target as usize;
        let homes = Homes::build(&topology, &self.usable, homes_per_target);
        self.groups.retain(|name, _| topology.group_id(name).is_some());
        for id in topology.group_ids() {
            self.reconcile_group(now_us, &topology, &homes, id);
        }
        self.homes = Some(homes);
        for id in topology.group_ids() {
            self.update_driver_rank(now_us, id);
        }
        self.index_members();
        self.update_excluded_targets(now_us);
        self.update_watch_order();
        self.changed = true;
        let names: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for name in names {
            self.apply_group_effects(now_us, &name);
        }
    }

    /// Updates usable VMs and targets after evidence about them was added or has expired.
    pub(super) fn refresh_standing(&mut self, now_us: u64) {
        self.membership.expire(now_us);
        let mut usable = Vec::new();
        self.membership.usable_vms(self.configuration.topology(), now_us, &mut usable);
        if usable != self.usable {
            self.reconcile(now_us);
        } else {
            self.update_excluded_targets(now_us);
        }
    }

    pub(super) fn settle_members(&mut self, now_us: u64, name: &str) {
        let Some(group) = self.groups.get_mut(name) else { return };
        if let Some(tracking) = &mut group.tracking {
            tracking.floors.settle_members();
            tracking.ages.settle_members();
        }
        group.drive(now_us, &failover::Event::MembersSettled);
        self.apply_group_effects(now_us, &Arc::from(name));
    }

    pub(super) fn end_tracking(&mut self, now_us: u64, name: &str) {
        if let Some(group) = self.groups.get_mut(name) {
            group.tracking = None;
            group.changed = true;
        }
        self.index_members();
        self.record_decision(now_us, &Arc::from(name), Decision::Untracked);
        self.apply_group_effects(now_us, &Arc::from(name));
    }

    /// Returns this process's VM; `None` until the platform lists it.
    pub(super) fn own_vm(&self) -> Option<VmId> {
        self.configuration.topology().vm_id(&self.settings.vm)
    }

    fn reconcile_group(&mut self, now_us: u64, topology: &Topology, homes: &Homes, id: GroupId) {
        let spec = topology.group(id);
        let name: Arc<str> = Arc::from(spec.name.as_str());
        let names = member_names(topology, spec);
        if !self.groups.contains_key(&name) {
            let group = Group::new(&spec.name, spec.version, names.len());
            self.groups.insert(Arc::clone(&name), group);
        }
        if self.groups[&name].version != spec.version {
            self.record_decision(now_us, &name, Decision::Configured { version: spec.version });
        }
        self.reconcile_members(now_us, topology, id, &name, &names);
        let is_home = self.own_vm().is_some_and(|own_vm| is_home(homes, spec, own_vm));
        match (self.groups[&name].tracking.is_some(), is_home) {
            (false, true) => self.start_tracking(now_us, topology, id, &name, &names),
            (true, true) => self.schedule.cancel(&Purpose::EndTracking(spec.name.clone())),
            (true, false) => {
                let purpose = Purpose::EndTracking(spec.name.clone());
                self.schedule.set_if_absent(purpose, now_us + END_TRACKING_DELAY_US);
            }
            (false, false) => {}
        }
        self.update_driver_lead(now_us, spec, &name);
    }

    /// Applies a new version of a group's members, and passes it to the failover driver if tracked.
    fn reconcile_members(
        &mut self,
        now_us: u64,
        topology: &Topology,
        id: GroupId,
        name: &Arc<str>,
        names: &[String],
    ) {
        let spec = topology.group(id);
        let Some(group) = self.groups.get_mut(name) else { return };
        group.version = spec.version;
        let Some(tracking) = &group.tracking else {
            if group.live.members.len() != names.len() {
                group.resize(names.len());
            }
            return;
        };
        let known = tracking.driver.members();
        let (set, replaced) = next_member_set(known, spec.version, names);
        let address_changed = spec
            .members
            .iter()
            .zip(&tracking.members)
            .any(|(&target, member)| topology.target(target).address != member.address);
        let changed = address_changed || set.names() != known.names();
        let profiles = profiles(topology, spec);
        if changed {
            group.resize(names.len());
            self.replace_members(topology, id, name, &set);
            self.schedule.set(Purpose::SettleMembers(spec.name.clone()), now_us + JOINT_PHASE_US);
        }
        if replaced {
            self.record_decision(now_us, name, Decision::MembersReplaced { version: spec.version });
        }
        if let Some(group) = self.groups.get_mut(name) {
            group.drive(now_us, &failover::Event::Members { members: set, profiles });
        }
    }

    fn replace_members(
        &mut self,
        topology: &Topology,
        id: GroupId,
        name: &Arc<str>,
        set: &MemberSet,
    ) {
        let mut known = match self.groups.get_mut(name).and_then(|it| it.tracking.as_mut()) {
            Some(tracking) => std::mem::take(&mut tracking.members),
            None => return,
        };
        let members: Vec<TrackedMember> = topology
            .group(id)
            .members
            .iter()
            .map(|&target| {
                let target = topology.target(target);
                let same = |member: &TrackedMember| {
                    member.target == target.name && member.address == target.address
                };
                match known.iter().position(same) {
                    Some(member_index) => known.swap_remove(member_index),
                    None => self.connect_member(target),
                }
            })
            .collect();
        if let Some(tracking) = self.groups.get_mut(name).and_then(|it| it.tracking.as_mut()) {
            tracking.replace_members(members, set);
        }
    }

    fn start_tracking(
        &mut self,
        now_us: u64,
        topology: &Topology,
        id: GroupId,
        name: &Arc<str>,
        names: &[String],
    ) {
        let spec = topology.group(id);
        let Ok(set) = MemberSet::new(spec.version, names.to_vec()) else { return };
        let members = spec
            .members
            .iter()
            .map(|&target| self.connect_member(topology.target(target)))
            .collect();
        // Tracking can end and start again in one run of the process, and the new driver does not know
        // which member the old one promoted. Under the same name it could use the old one's votes and
        // promote a second member in the same term. The name therefore includes the key of the next
        // member connection, which is never reused.
        let driver_name = format!("{}.{}", self.driver_name, self.next_member);
        let driver = FailoverDriver::new(
            failover::FailoverSettings::default(),
            &driver_name,
            set.clone(),
            &profiles(topology, spec),
            0,
            self.seed,
        );
        let detection = self.detection_settings();
        let tracking = Tracking::new(driver, members, FloorLookups::new(set), detection);
        if let Some(group) = self.groups.get_mut(name) {
            group.tracking = Some(tracking);
        }
        self.record_decision(now_us, name, Decision::Tracked);
    }

    /// Opens the control connection of a member.
    fn connect_member(&mut self, target: &topology::Target) -> TrackedMember {
        let key = MemberKey(self.next_member);
        self.next_member += 1;
        let task = MemberTask {
            member: key,
            address: target.address.clone(),
            client: self.client.clone(),
            timeout: Duration::from_millis(self.settings.timing.probe_timeout_ms),
            clock: self.clock,
            events: self.senders.members.clone(),
        };
        TrackedMember::new(key, &target.name, &target.address, task.start())
    }

    fn detection_settings(&self) -> detection::DetectionSettings {
        let silence_us = self.settings.timing.suspect_after_ms * US_PER_MS;
        detection::DetectionSettings { silence_us, ..detection::DetectionSettings::default() }
    }

    fn update_driver_lead(&mut self, now_us: u64, spec: &topology::Group, name: &Arc<str>) {
        let Some(group) = self.groups.get_mut(name) else { return };
        let (version, record) = match &spec.lead {
            Some((version, record)) => (*version, Some(record.clone())),
            None => (0, None),
        };
        // A record without a primary announces a change of primary that may still fail. Until the change
        // completes, requests go to the homes of the old primary, which know its state best.
        if let Some(record) = record.as_ref().filter(|record| !record.primary.is_empty()) {
            group.hint_leader(&record.primary, record.term);
        }
        group.drive(now_us, &failover::Event::LeadSeen { version, record });
    }

    /// Passes this process's rank among the candidates to the group's failover driver. The rank depends
    /// on the current primary.
    pub(super) fn update_driver_rank(&mut self, now_us: u64, id: GroupId) {
        let (Some(own_vm), Some(homes)) = (self.own_vm(), &self.homes) else { return };
        let topology = Arc::clone(self.configuration.topology());
        let spec = topology.group(id);
        let Some(group) = self.groups.get_mut(spec.name.as_str()) else { return };
        let primary = group.leader().and_then(|(target, _)| topology.target_id(target));
        let candidates = candidates(&topology, homes, spec, primary);
        let rank = candidates.iter().position(|&vm| vm == own_vm).unwrap_or(candidates.len());
        group.drive(now_us, &failover::Event::Rank { rank: rank as u32 });
    }

    fn index_members(&mut self) {
        self.members.clear();
        for (name, group) in &self.groups {
            let Some(tracking) = &group.tracking else { continue };
            for (member, tracked) in tracking.members.iter().enumerate() {
                self.members
                    .insert(tracked.key, MemberLocation { group: Arc::clone(name), member });
            }
        }
    }

    /// Updates for each target whether it is excluded from new requests.
    fn update_excluded_targets(&mut self, now_us: u64) {
        let topology = Arc::clone(self.configuration.topology());
        for spec in &topology.groups {
            let Some(group) = self.groups.get_mut(spec.name.as_str()) else { continue };
            for (member_index, &target) in spec.members.iter().enumerate() {
                let target = topology.target(target);
                let usability = self.membership.target_usability(target, now_us);
                let excluded = matches!(
                    usability,
                    membership::Usability::ListedLeaving | membership::Usability::ReportedLeaving
                );
                group.set_excluded(now_us, member_index, &target.name, excluded);
            }
        }
    }
}

fn member_names(topology: &Topology, spec: &topology::Group) -> Vec<String> {
    spec.members.iter().map(|&target| topology.target(target).name.clone()).collect()
}

fn profiles(topology: &Topology, spec: &topology::Group) -> Vec<failover::MemberProfile> {
    let profile = |&target| failover::MemberProfile {
        drained: topology.target(target).drain,
        same_region: true,
    };
    spec.members.iter().map(profile).collect()
}

fn is_home(homes: &Homes, spec: &topology::Group, vm: VmId) -> bool {
    spec.members.iter().any(|&target| homes.rank_of(target, vm).is_some())
}

/// Returns the member set of a version, and whether it replaces the known set instead of succeeding it. A
/// process that missed intermediate versions starts with the new set like a newly started process.
///
/// A version with the same members must not replace the known set, because that would end a joint phase.
fn next_member_set(known: &MemberSet, version: u64, names: &[String]) -> (MemberSet, bool) {
    if known.names() == names || version <= known.version() {
        return (known.clone(), false);
    }
    if let Ok(set) = known.successor(version, names.to_vec()) {
        return (set, false);
    }
    match MemberSet::new(version, names.to_vec()) {
        Ok(set) => (set, true),
        Err(_) => (known.clone(), false),
    }
}

/// Returns the VMs that may drive a change of the group's primary, in the order in which they try. Homes of
/// members outside the primary's availability zone come first, because a failure of the primary is often a
/// failure of its zone.
fn candidates(
    topology: &Topology,
    homes: &Homes,
    spec: &topology::Group,
    primary: Option<skylark_core::ids::TargetId>,
) -> Vec<VmId> {
    let zone_of = |target| topology.target(target).zone;
    let shares_primary_zone =
        |target| primary.is_some_and(|primary| zone_of(primary) == zone_of(target));
    let (near, far): (Vec<_>, Vec<_>) =
        spec.members.iter().copied().partition(|&target| shares_primary_zone(target));
    let mut candidates = Vec::new();
    for targets in [far, near] {
        let ranks = targets.iter().map(|&target| homes.of(target).len()).max().unwrap_or(0);
        for rank in 0..ranks {
            for &target in &targets {
                if let Some(&vm) = homes.of(target).get(rank)
                    && !candidates.contains(&vm)
                {
                    candidates.push(vm);
                }
            }
        }
    }
    candidates
}
