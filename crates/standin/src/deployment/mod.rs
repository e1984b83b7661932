//! A deployment's platform and all its targets as test servers in one process.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylark_core::log_position::Term;
use skylark_core::version::objects::LeadRecord;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::VmRecord;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::deployment::Group;
use skylark_settings::deployment::Member;

use crate::network::Network;
use crate::platform::PlatformServer;
use crate::target::Target;
use crate::target::options::Lag;
use crate::target::options::TargetOptions;
use crate::target::server::TargetServer;

pub mod admin;
pub mod fault;

/// The name recorded as the driver of each group's first term.
pub const FIRST_DRIVER: &str = "deployment";

/// The term that each group starts in.
const FIRST_TERM: Term = Term(1);

const US_PER_MS: u64 = 1000;

/// The reason why a deployment could not start.
#[derive(Debug)]
pub enum StartError {
    /// The platform or a target can't listen on its address.
    Listen(SocketAddr, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
        }
    }
}

/// The running platform and targets of a deployment. They stop when this is dropped.
#[derive(Debug)]
pub struct Deployment {
    settings: DeploymentSettings,
    network: Arc<Network>,
    platform: PlatformServer,
    targets: Vec<TargetServer>,
}

impl Deployment {
    /// Starts the platform and all targets in the current runtime. Port zero in an address selects a
    /// free port. The first member of each group becomes primary of term 1, and the others follow it.
    ///
    /// # Errors
    ///
    /// Fails if a server can't listen on its address.
    pub async fn start(settings: &DeploymentSettings) -> Result<Deployment, StartError> {
        let mut settings = settings.clone();
        let one_way = Duration::from_micros(settings.zone_one_way_us);
        let network = Network::with_zone_delay(one_way);
        let platform = PlatformServer::start(settings.platform_address).await;
        let platform =
            platform.map_err(|error| StartError::Listen(settings.platform_address, error))?;
        settings.platform_address = platform.address();
        let mut targets = Vec::new();
        for group in &mut settings.groups {
            for index in 0..group.members.len() {
                let server = start_member(group, index, &network).await?;
                group.members[index].address = server.address();
                targets.push(server);
            }
        }
        let deployment = Deployment { settings, network, platform, targets };
        deployment.appoint_primaries();
        deployment.seed_platform();
        Ok(deployment)
    }

    /// Returns the settings, with the addresses that the servers listen on.
    pub fn settings(&self) -> &DeploymentSettings {
        &self.settings
    }

    /// Returns the network that the targets share.
    pub fn network(&self) -> &Arc<Network> {
        &self.network
    }

    /// Returns the platform's server.
    pub fn platform(&self) -> &PlatformServer {
        &self.platform
    }

    /// Returns all targets, in the order of the settings.
    pub fn targets(&self) -> &[TargetServer] {
        &self.targets
    }

    /// Returns the target with this name.
    pub fn target(&self, name: &str) -> Option<&TargetServer> {
        self.targets.iter().find(|server| server.target().options().name == name)
    }

    /// Returns the targets of a group, in the order of its members.
    pub fn group(&self, name: &str) -> Vec<&TargetServer> {
        let in_group = |server: &&TargetServer| server.target().options().group == name;
        self.targets.iter().filter(in_group).collect()
    }

    /// Adds or replaces a VM in the platform's list; the change is visible after the list's lag.
    pub fn set_vm(&self, record: VmRecord) {
        self.platform.platform().store.set_vm(record);
    }

    fn appoint_primaries(&self) {
        for group in &self.settings.groups {
            let members = self.group(&group.name);
            let Some((first, others)) = members.split_first() else { continue };
            first.target().raise_term(FIRST_TERM, FIRST_DRIVER);
            first.target().promote(FIRST_TERM, FIRST_DRIVER);
            for other in others {
                other.target().follow(FIRST_TERM, first.address());
            }
        }
    }

    /// Creates the initial objects and the list of VMs. Each object is written once and there is no
    /// other writer yet, so no update can conflict.
    fn seed_platform(&self) {
        let store = &self.platform.platform().store;
        for object in self.settings.seed_objects() {
            let put = store.put(object.kind, &object.name, 0, object.body);
            assert!(put.is_ok(), "names within a kind are unique in checked settings");
        }
        for group in &self.settings.groups {
            let Some(primary) = group.members.first() else { continue };
            let lead = LeadRecord {
                term: FIRST_TERM,
                driver: FIRST_DRIVER.to_owned(),
                primary: primary.target.clone(),
                wanted: String::new(),
                plan: String::new(),
            };
            let body = serde_json::to_value(lead).expect("a lead record is plain data");
            let put = store.put(ObjectKind::Lead, &group.name, 0, body);
            assert!(put.is_ok(), "names of groups are unique in checked settings");
        }
        store.set_vms(self.settings.vm_records());
    }

    fn states(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.iter().map(TargetServer::target)
    }
}

async fn start_member(
    group: &Group,
    index: usize,
    network: &Arc<Network>,
) -> Result<TargetServer, StartError> {
    let member = &group.members[index];
    let server = TargetServer::start(options(group, member), network).await;
    server.map_err(|error| StartError::Listen(member.address, error))
}

fn options(group: &Group, member: &Member) -> TargetOptions {
    TargetOptions {
        name: member.target.clone(),
        group: group.name.clone(),
        zone: member.zone.clone(),
        listen: member.address,
        slots: member.slots,
        connections: member.connections,
        connect_cost_ms: member.connect_cost_ms,
        statement_cost_us: member.statement_cost_us,
        lag: Lag { hold_us: member.lag_ms * US_PER_MS, apply_us: 0 },
    }
}
