//! Settings of a whole deployment: its zones, VMs, services and groups.
//!
//! The stand-ins and the quick start use these settings to run a deployment. Operators use them to create
//! the objects of a new platform.

use std::net::SocketAddr;

use serde_json::Value;
use skylark_core::version::objects;
use skylark_core::version::objects::ObjectKind;

use crate::Settings;
use crate::cross_key::CrossKeyChecker;
use crate::schema::Key;
use crate::schema::Schema;
use crate::section::section;

const ADDRESS: Schema = Schema::Address { allow_port_zero: true };
const MAX_DELAY_US: u64 = 10_000_000;
const MAX_DELAY_MS: u64 = 60_000;

section! {
    /// Settings of a deployment.
    DeploymentSettings {
        /// The availability zones.
        zones: Vec<Zone>, required,
            Schema::List { item: &Schema::Section(Zone::KEYS), min_len: 1 };
        /// The simulated one-way delay between two availability zones.
        zone_one_way_us: u64, default(0), Schema::Integer { min: 0, max: MAX_DELAY_US };
        /// The simulated one-way delay between callers and entry VMs.
        caller_one_way_us: u64, default(0), Schema::Integer { min: 0, max: MAX_DELAY_US };
        /// The address that the platform stand-in listens on.
        platform_address: SocketAddr, required, ADDRESS;
        /// The entry VMs.
        vms: Vec<Vm>, required, Schema::List { item: &Schema::Section(Vm::KEYS), min_len: 1 };
        /// The services.
        services: Vec<Service>, required,
            Schema::List { item: &Schema::Section(Service::KEYS), min_len: 1 };
        /// The database groups.
        groups: Vec<Group>, required,
            Schema::List { item: &Schema::Section(Group::KEYS), min_len: 1 };
    }
}

section! {
    /// An availability zone.
    Zone {
        /// The name of the availability zone.
        zone: String, required, Schema::Name;
    }
}

section! {
    /// An entry VM.
    Vm {
        /// The name of the VM.
        vm: String, required, Schema::Name;
        /// The availability zone.
        zone: String, required, Schema::Name;
        /// The address at which the VM's proxy serves callers and requests forwarded by other proxies.
        listen_address: SocketAddr, required, ADDRESS;
        /// The control address of the VM's proxy.
        control_address: SocketAddr, required, ADDRESS;
    }
}

section! {
    /// A service.
    Service {
        /// The name of the service.
        name: String, required, Schema::Name;
        /// The kinds of reads that callers can select.
        read_kinds: Vec<ReadKind>, default(Vec::new()),
            Schema::List { item: &Schema::Section(ReadKind::KEYS), min_len: 0 };
        /// The classes of requests that share the connections. The first one is the default.
        classes: Vec<Class>, required,
            Schema::List { item: &Schema::Section(Class::KEYS), min_len: 1 };
    }
}

section! {
    /// A kind of read, which accepts data of a limited age.
    ReadKind {
        /// The name by which callers select the kind.
        name: String, required, Schema::Name;
        /// The maximum age of the data.
        max_age_ms: u64, required, Schema::Integer { min: 0, max: objects::ReadKindSpec::HIGHEST_MAX_AGE_MS };
        /// The default class of requests of this kind, for callers that select none.
        class: Option<String>, optional, Schema::Name;
    }
}

section! {
    /// A class of requests with a weighted share of the connections.
    Class {
        /// The name by which callers and read kinds refer to the class.
        name: String, required, Schema::Name;
        /// The share of connections relative to the other classes.
        weight: u32, required,
            Schema::Integer { min: 1, max: objects::ClassSpec::HIGHEST_WEIGHT as u64 };
        /// The target response time of the class.
        goal_ms: u64, required, Schema::Integer { min: 1, max: MAX_DELAY_MS };
    }
}

section! {
    /// A database group.
    Group {
        /// The name of the group, which callers use as the name of their database.
        name: String, required, Schema::Name;
        /// The service that the group belongs to.
        service: String, required, Schema::Name;
        /// The members. The first one is the initial primary.
        members: Vec<Member>, required,
            Schema::List { item: &Schema::Section(Member::KEYS), min_len: 1 };
    }
}

section! {
    /// A member of a group: one target.
    Member {
        /// The target's name, unique over all groups.
        target: String, required, Schema::Name;
        /// The availability zone.
        zone: String, required, Schema::Name;
        /// The address that the target listens on.
        address: SocketAddr, required, ADDRESS;
        /// The maximum number of statements that the target runs concurrently.
        slots: u32, required, Schema::Integer { min: 1, max: 10_000 };
        /// The maximum number of caller connections that the target accepts.
        connections: u32, required, Schema::Integer { min: 1, max: 100_000 };
        /// The simulated time that a new connection takes at the stand-in.
        connect_cost_ms: u64, default(0), Schema::Integer { min: 0, max: MAX_DELAY_MS };
        /// The simulated service time of each statement at the stand-in, in addition to the engine's time.
        statement_cost_us: u64, default(0), Schema::Integer { min: 0, max: MAX_DELAY_US };
        /// The simulated delay of replicating a record to this member at the stand-in.
        lag_ms: u64, default(0), Schema::Integer { min: 0, max: MAX_DELAY_MS };
    }
}

/// An object of the initial content of a platform.
#[derive(Clone, PartialEq, Debug)]
pub struct SeedObject {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The name of the object, unique within its kind.
    pub name: String,
    /// The body, serialized as the kind requires.
    pub body: Value,
}

impl Service {
    /// Returns the service in its stored form.
    pub fn spec(&self) -> objects::ServiceSpec {
        let read_kinds = self.read_kinds.iter().map(|kind| objects::ReadKindSpec {
            name: kind.name.clone(),
            max_age_ms: kind.max_age_ms,
            class: kind.class.clone(),
        });
        let classes = self.classes.iter().map(|class| objects::ClassSpec {
            name: class.name.clone(),
            weight: class.weight,
            goal_ms: class.goal_ms,
        });
        objects::ServiceSpec {
            read_kinds: read_kinds.collect(),
            classes: classes.collect(),
            plan: String::new(),
        }
    }
}

impl Member {
    /// Returns the member in its stored form.
    pub fn spec(&self) -> objects::MemberSpec {
        objects::MemberSpec {
            target: self.target.clone(),
            zone: self.zone.clone(),
            address: self.address.to_string(),
            slots: self.slots,
            connections: self.connections,
            drain: false,
        }
    }
}

impl Group {
    /// Returns the group in its stored form.
    pub fn spec(&self) -> objects::GroupSpec {
        objects::GroupSpec {
            service: self.service.clone(),
            members: self.members.iter().map(Member::spec).collect(),
            plan: String::new(),
        }
    }
}

impl DeploymentSettings {
    /// Returns the services and groups as the initial objects of a platform.
    pub fn seed_objects(&self) -> Vec<SeedObject> {
        let services = self.services.iter().map(|service| SeedObject {
            kind: ObjectKind::Service,
            name: service.name.clone(),
            body: serde_json::to_value(service.spec()).expect("a service is plain data"),
        });
        let groups = self.groups.iter().map(|group| SeedObject {
            kind: ObjectKind::Group,
            name: group.name.clone(),
            body: serde_json::to_value(group.spec()).expect("a group is plain data"),
        });
        services.chain(groups).collect()
    }

    /// Returns the initial list of VMs of a platform. All VMs are live.
    pub fn vm_records(&self) -> Vec<objects::VmRecord> {
        let record = |vm: &Vm| objects::VmRecord {
            vm: vm.vm.clone(),
            zone: vm.zone.clone(),
            address: vm.listen_address.to_string(),
            control_address: vm.control_address.to_string(),
            state: objects::VmState::Live,
        };
        self.vms.iter().map(record).collect()
    }

    fn check_names(&self, checker: &mut CrossKeyChecker) {
        let path = |list: &str, index, key: &str| format!("{list}[{index}].{key}");
        let zones = self.zones.iter().enumerate();
        checker.check_unique(zones.map(|(i, zone)| (path("zones", i, "zone"), &*zone.zone)));
        let vms = self.vms.iter().enumerate();
        checker.check_unique(vms.map(|(i, vm)| (path("vms", i, "vm"), &*vm.vm)));
        let services = self.services.iter().enumerate();
        checker.check_unique(services.map(|(i, it)| (path("services", i, "name"), &*it.name)));
        let groups = self.groups.iter().enumerate();
        checker.check_unique(groups.map(|(i, it)| (path("groups", i, "name"), &*it.name)));
        let targets = self.members().map(|(path, member)| (path + ".target", &*member.target));
        checker.check_unique(targets);
    }

    fn check_references(&self, checker: &mut CrossKeyChecker) {
        let zones: Vec<&str> = self.zones.iter().map(|zone| &*zone.zone).collect();
        let services: Vec<&str> = self.services.iter().map(|service| &*service.name).collect();
        for (index, vm) in self.vms.iter().enumerate() {
            checker.check_known(format!("vms[{index}].zone"), &vm.zone, &zones);
        }
        for (path, member) in self.members() {
            checker.check_known(path + ".zone", &member.zone, &zones);
        }
        for (index, group) in self.groups.iter().enumerate() {
            checker.check_known(format!("groups[{index}].service"), &group.service, &services);
        }
        for (index, service) in self.services.iter().enumerate() {
            service.check(&format!("services[{index}]"), checker);
        }
    }

    fn check_addresses(&self, checker: &mut CrossKeyChecker) {
        let mut taken = vec![("platform_address".to_owned(), self.platform_address)];
        for (index, vm) in self.vms.iter().enumerate() {
            taken.push((format!("vms[{index}].listen_address"), vm.listen_address));
            taken.push((format!("vms[{index}].control_address"), vm.control_address));
        }
        taken.extend(self.members().map(|(path, member)| (path + ".address", member.address)));
        taken.retain(|(_, address)| address.port() != 0);
        let texts: Vec<String> = taken.iter().map(|(_, address)| address.to_string()).collect();
        let paths = taken.into_iter().map(|(path, _)| path);
        checker.check_unique(paths.zip(texts.iter().map(String::as_str)));
    }

    /// Returns every member of every group with its path.
    fn members(&self) -> impl Iterator<Item = (String, &Member)> {
        self.groups.iter().enumerate().flat_map(|(group, spec)| {
            let members = spec.members.iter().enumerate();
            members.map(move |(index, it)| (format!("groups[{group}].members[{index}]"), it))
        })
    }
}

impl Service {
    fn check(&self, path: &str, checker: &mut CrossKeyChecker) {
        let kinds = self.read_kinds.iter().enumerate();
        checker.check_unique(
            kinds.map(|(i, kind)| (format!("{path}.read_kinds[{i}].name"), &*kind.name)),
        );
        let classes = self.classes.iter().enumerate();
        checker.check_unique(
            classes.map(|(i, class)| (format!("{path}.classes[{i}].name"), &*class.name)),
        );
        let known: Vec<&str> = self.classes.iter().map(|class| &*class.name).collect();
        for (index, kind) in self.read_kinds.iter().enumerate() {
            let Some(class) = &kind.class else { continue };
            checker.check_known(format!("{path}.read_kinds[{index}].class"), class, &known);
        }
    }
}

impl Settings for DeploymentSettings {
    const KEYS: &'static [Key] = DeploymentSettings::KEYS;

    fn check_cross_key_rules(&self, checker: &mut CrossKeyChecker) {
        self.check_names(checker);
        self.check_references(checker);
        self.check_addresses(checker);
    }
}

/// A file with a single group, which operators add to a running deployment.
impl Settings for Group {
    const KEYS: &'static [Key] = Group::KEYS;

    fn check_cross_key_rules(&self, checker: &mut CrossKeyChecker) {
        let targets = self.members.iter().enumerate();
        checker.check_unique(targets.map(|(i, it)| (format!("members[{i}].target"), &*it.target)));
        let addresses = self.members.iter().map(|it| it.address.to_string());
        let addresses: Vec<String> = addresses.collect();
        let addresses = addresses.iter().enumerate();
        checker.check_unique(
            addresses.map(|(i, address)| (format!("members[{i}].address"), &**address)),
        );
    }
}
