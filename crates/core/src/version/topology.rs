//! One immutable version of the configuration, with names resolved to dense indices.
//!
//! The control thread builds it from a [`Snapshot`] and shares it with the traffic threads. Invalid
//! objects are skipped and reported in [`Topology::problems`], so that they don't affect the others.

use std::fmt;

use serde::de;

use crate::FastMap;
use crate::ids::ClassId;
use crate::ids::GroupId;
use crate::ids::ReadKindId;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::ids::ZoneId;
use crate::version::objects;
use crate::version::objects::ObjectKind;
use crate::version::objects::Snapshot;
use crate::version::objects::StoredObject;

/// A service of this version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Service {
    /// The service's name.
    pub name: String,
    /// The kinds of reads, in the order of [`ReadKindId`].
    pub read_kinds: Vec<objects::ReadKindSpec>,
    /// The classes, in the order of [`ClassId`]; the first one is the default.
    pub classes: Vec<objects::ClassSpec>,
}

impl Service {
    /// Returns the read kind with this name.
    pub fn read_kind(&self, name: &str) -> Option<ReadKindId> {
        let index = self.read_kinds.iter().position(|kind| kind.name == name)?;
        Some(ReadKindId(index as u32))
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        let index = self.classes.iter().position(|class| class.name == name)?;
        Some(ClassId(index as u32))
    }
}

/// A group of this version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Group {
    /// The group's name, which callers use as the name of their database.
    pub name: String,
    /// The index of the group's service in [`Topology::services`].
    pub service: usize,
    /// The members.
    pub members: Vec<TargetId>,
    /// The version of the group's object in the store.
    pub version: u64,
    /// The lead record, if one exists, with its version in the store.
    pub lead: Option<(u64, objects::LeadRecord)>,
}

impl Group {
    /// Returns the number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// A target of this version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Target {
    /// The target's name.
    pub name: String,
    /// The group it is a member of.
    pub group: GroupId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The IP address and port.
    pub address: String,
    /// The maximum number of statements that it runs concurrently.
    pub slots: u32,
    /// The maximum number of caller connections that it accepts.
    pub connections: u32,
    /// Whether an operator drains the target.
    pub drain: bool,
}

/// An entry VM of this version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Vm {
    /// The VM's name.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The IP address and port for statements.
    pub address: String,
    /// The IP address and port of the control endpoint.
    pub control_address: String,
    /// Whether the platform lists it as leaving or an operator drains it.
    pub leaving: bool,
}

/// The reason why an object was skipped in a topology.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TopologyProblem {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: String,
    /// The error in the object.
    pub reason: String,
}

impl fmt::Display for TopologyProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`: {}", self.kind.name(), self.name, self.reason)
    }
}

/// One version of the configuration.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Topology {
    /// The store's revision at which this version was read.
    pub revision: u64,
    /// The services.
    pub services: Vec<Service>,
    /// The groups, indexed by [`GroupId`].
    pub groups: Vec<Group>,
    /// The targets, indexed by [`TargetId`].
    pub targets: Vec<Target>,
    /// The entry VMs, indexed by [`VmId`], in the order of their names.
    pub vms: Vec<Vm>,
    /// The names of the availability zones, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// The invalid objects that were skipped.
    pub problems: Vec<TopologyProblem>,
    group_by_name: FastMap<String, GroupId>,
    target_by_name: FastMap<String, TargetId>,
    vm_by_name: FastMap<String, VmId>,
}

impl Topology {
    /// Builds the topology of a snapshot.
    pub fn build(snapshot: &Snapshot) -> Topology {
        let mut topology = Topology { revision: snapshot.revision, ..Topology::default() };
        // Sorted, so that the indices don't depend on the order of the snapshot: two proxies with the same
        // revision assign the same indices.
        let mut sorted: Vec<&StoredObject> =
            snapshot.objects.iter().filter(|object| !object.deleted).collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let of_kind = |kind| sorted.iter().copied().filter(move |object| object.kind == kind);
        for object in of_kind(ObjectKind::Service) {
            topology.add_service(object);
        }
        for object in of_kind(ObjectKind::Group) {
            topology.add_group(object);
        }
        for object in of_kind(ObjectKind::Lead) {
            topology.add_lead(object);
        }
        topology.add_vms(&snapshot.vms);
        for object in of_kind(ObjectKind::VmSpec) {
            topology.add_vm_spec(object);
        }
        topology
    }

    /// Returns the group with this name.
    pub fn group_id(&self, name: &str) -> Option<GroupId> {
        self.group_by_name.get(name).copied()
    }

    /// Returns the target with this name.
    pub fn target_id(&self, name: &str) -> Option<TargetId> {
        self.target_by_name.get(name).copied()
    }

    /// Returns the VM with this name.
    pub fn vm_id(&self, name: &str) -> Option<VmId> {
        self.vm_by_name.get(name).copied()
    }

    /// Returns the zone with this name.
    pub fn zone_id(&self, name: &str) -> Option<ZoneId> {
        let index = self.zones.iter().position(|zone| zone == name)?;
        Some(ZoneId(index as u32))
    }

    /// Returns the group with an index of this version.
    pub fn group(&self, group: GroupId) -> &Group {
        &self.groups[group.index()]
    }

    /// Returns the target with an index of this version.
    pub fn target(&self, target: TargetId) -> &Target {
        &self.targets[target.index()]
    }

    /// Returns the VM with an index of this version.
    pub fn vm(&self, vm: VmId) -> &Vm {
        &self.vms[vm.index()]
    }

    /// Returns the service of a group.
    pub fn service_of(&self, group: GroupId) -> &Service {
        &self.services[self.group(group).service]
    }

    /// Iterates over the indices of all groups.
    pub fn group_ids(&self) -> impl Iterator<Item = GroupId> + use<> {
        (0..self.groups.len() as u32).map(GroupId)
    }

    fn parse<T>(&mut self, object: &StoredObject) -> Option<T>
    where
        T: de::DeserializeOwned,
    {
        match T::deserialize(&object.body) {
            Ok(body) => Some(body),
            Err(error) => {
                self.problem(object, error.to_string());
                None
            }
        }
    }

    fn problem(&mut self, object: &StoredObject, reason: String) {
        let name = object.name.clone();
        self.problems.push(TopologyProblem { kind: object.kind, name, reason });
    }

    fn intern_zone(&mut self, name: &str) -> ZoneId {
        if let Some(zone) = self.zone_id(name) {
            return zone;
        }
        self.zones.push(name.to_owned());
        ZoneId(self.zones.len() as u32 - 1)
    }

    fn add_service(&mut self, object: &StoredObject) {
        let Some(spec) = self.parse::<objects::ServiceSpec>(object) else { return };
        if spec.classes.is_empty() {
            self.problem(object, "a service needs at least one class".to_owned());
            return;
        }
        self.services.push(Service {
            name: object.name.clone(),
            read_kinds: spec.read_kinds,
            classes: spec.classes,
        });
    }

    fn add_group(&mut self, object: &StoredObject) {
        let Some(spec) = self.parse::<objects::GroupSpec>(object) else { return };
        let Some(service) = self.services.iter().position(|known| known.name == spec.service)
        else {
            self.problem(object, format!("there is no service `{}`", spec.service));
            return;
        };
        let taken = spec.members.iter().find(|member| self.target_id(&member.target).is_some());
        if let Some(member) = taken {
            let reason = format!("target `{}` belongs to another group", member.target);
            self.problem(object, reason);
            return;
        }
        let group = GroupId(self.groups.len() as u32);
        let members = spec.members.iter().map(|member| self.add_target(group, member)).collect();
        self.group_by_name.insert(object.name.clone(), group);
        let name = object.name.clone();
        self.groups.push(Group { name, service, members, version: object.version, lead: None });
    }

    fn add_target(&mut self, group: GroupId, member: &objects::MemberSpec) -> TargetId {
        let zone = self.intern_zone(&member.zone);
        let target = TargetId(self.targets.len() as u32);
        self.target_by_name.insert(member.target.clone(), target);
        self.targets.push(Target {
            name: member.target.clone(),
            group,
            zone,
            address: member.address.clone(),
            slots: member.slots,
            connections: member.connections,
            drain: member.drain,
        });
        target
    }

    fn add_lead(&mut self, object: &StoredObject) {
        let Some(lead) = self.parse::<objects::LeadRecord>(object) else { return };
        match self.group_id(&object.name) {
            Some(group) => self.groups[group.index()].lead = Some((object.version, lead)),
            None => self.problem(object, "there is no group of this name".to_owned()),
        }
    }

    fn add_vms(&mut self, records: &[objects::VmRecord]) {
        let mut sorted: Vec<&objects::VmRecord> = records.iter().collect();
        sorted.sort_by(|a, b| a.vm.cmp(&b.vm));
        sorted.dedup_by(|a, b| a.vm == b.vm);
        for record in sorted {
            let zone = self.intern_zone(&record.zone);
            self.vm_by_name.insert(record.vm.clone(), VmId(self.vms.len() as u32));
            self.vms.push(Vm {
                name: record.vm.clone(),
                zone,
                address: record.address.clone(),
                control_address: record.control_address.clone(),
                leaving: record.state == objects::VmState::Leaving,
            });
        }
    }

    fn add_vm_spec(&mut self, object: &StoredObject) {
        let Some(spec) = self.parse::<objects::VmSpec>(object) else { return };
        // The list of VMs is eventually consistent, so a missing VM is not reported as a problem.
        if let Some(vm) = self.vm_id(&object.name) {
            self.vms[vm.index()].leaving |= spec.drain;
        }
    }
}
