//! Starts stand-ins and proxies in this process, and kills and restarts proxies.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylark_core::version::objects::VmRecord;
use skylark_core::version::objects::VmState;
use skylark_proxy::process::daemon;
use skylark_proxy::process::daemon::ProxyHandle;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::deployment::Vm;
use skylark_settings::proxy::Limits;
use skylark_settings::proxy::ProxySettings;
use skylark_settings::proxy::Timing;
use skylark_standin::deployment::Deployment;
use skylark_standin::deployment::StartError;
use skylark_standin::deployment::fault::Fault;
use skylark_standin::deployment::fault::FaultError;
use tokio::time;

use crate::embedded::decisions::Decisions;
use crate::load::clock::Clock;

/// Any free port of the loopback address.
const FREE_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// How often the end of a fault is tried, and the pause between.
const HEAL_ATTEMPTS: u32 = 200;
const HEAL_PAUSE: Duration = Duration::from_millis(50);

/// Where everything listens.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Ports {
    /// At the settings' addresses.
    AsSet,
    /// At free ports of the loopback address, so that runs don't collide.
    Free,
}

/// What all proxies of an embedded deployment have in common.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ProxyOptions {
    /// Traffic threads of each proxy.
    pub traffic_threads: u32,
    /// Homes of each target.
    pub homes_per_target: u32,
    /// Bounds on callers.
    pub limits: Limits,
    /// Intervals and timeouts.
    pub timing: Timing,
}

impl Default for ProxyOptions {
    fn default() -> ProxyOptions {
        let defaults = ProxySettings::default();
        ProxyOptions {
            traffic_threads: 2,
            homes_per_target: defaults.homes_per_target,
            limits: defaults.limits,
            timing: defaults.timing,
        }
    }
}

/// Why an embedded deployment could not start.
#[derive(Debug)]
pub enum EmbedError {
    /// The stand-ins.
    StandIn(StartError),
    /// A proxy.
    Proxy {
        /// The VM of the proxy.
        vm: String,
        /// The reason.
        error: daemon::StartError,
    },
    /// There is no VM of this name.
    UnknownVm(String),
    /// A fault could not be ended.
    Fault(FaultError),
}

impl fmt::Display for EmbedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EmbedError::StandIn(error) => write!(f, "the stand-ins: {error}"),
            EmbedError::Proxy { vm, error } => write!(f, "the proxy of {vm}: {error}"),
            EmbedError::UnknownVm(vm) => write!(f, "there is no VM `{vm}`"),
            EmbedError::Fault(error) => error.fmt(f),
        }
    }
}

/// An entry VM and its proxy, if that runs.
struct Entry {
    settings: ProxySettings,
    proxy: Option<ProxyHandle>,
}

/// A running deployment. It ends when it is dropped.
pub struct Embedded {
    deployment: Arc<Deployment>,
    entries: Vec<Entry>,
    decisions: Decisions,
}

impl Embedded {
    /// Starts the stand-ins and a proxy for each VM. Proxies get their configuration a moment
    /// later, see [`Embedded::ready`].
    pub async fn start(
        settings: &DeploymentSettings,
        options: &ProxyOptions,
        ports: Ports,
        clock: Clock,
    ) -> Result<Embedded, EmbedError> {
        let mut settings = settings.clone();
        if ports == Ports::Free {
            free_ports(&mut settings);
        }
        let deployment = Deployment::start(&settings).await.map_err(EmbedError::StandIn)?;
        let platform_address = deployment.settings().platform_address;
        let mut embedded = Embedded {
            deployment: Arc::new(deployment),
            entries: Vec::new(),
            decisions: Decisions::new(clock),
        };
        let mut peers = Vec::new();
        for vm in &settings.vms {
            let mut entry =
                Entry { settings: proxy_settings(vm, platform_address, options), proxy: None };
            entry.settings.peers.clone_from(&peers);
            embedded.start_proxy(&mut entry).await?;
            peers.push(entry.settings.control_address);
            embedded.entries.push(entry);
        }
        Ok(embedded)
    }

    /// The stand-ins.
    pub fn deployment(&self) -> &Arc<Deployment> {
        &self.deployment
    }

    /// What the proxies decided.
    pub fn decisions(&self) -> &Decisions {
        &self.decisions
    }

    /// Where callers connect, in the order of the settings; the addresses stay over restarts.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.settings.listen_address).collect()
    }

    /// The control addresses, in the order of the settings.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.settings.control_address).collect()
    }

    /// Whether every running proxy has a configuration that names its own VM and knows a primary of
    /// each group.
    pub fn ready(&self) -> bool {
        self.entries.iter().filter_map(|entry| entry.proxy.as_ref()).all(|proxy| {
            let published = proxy.published().load();
            let led = published.groups.iter().all(|group| group.leader.is_some());
            published.ready && published.own_vm.is_some() && led
        })
    }

    /// Ends a VM's proxy at once, as if its machine were gone. The platform's list goes on naming
    /// it.
    pub fn kill_vm(&mut self, vm: &str) -> Result<(), EmbedError> {
        let entry = self.entry(vm)?;
        entry.proxy = None;
        Ok(())
    }

    /// Starts a VM's proxy again at its addresses.
    pub async fn restart_vm(&mut self, vm: &str) -> Result<(), EmbedError> {
        let place = self.place(vm)?;
        let mut entry = self.entries.remove(place);
        let started = match entry.proxy {
            Some(_) => Ok(()),
            None => self.start_proxy(&mut entry).await,
        };
        self.entries.insert(place, entry);
        started
    }

    /// Ends all faults and starts every target and proxy again.
    ///
    /// Ports of killed ones may be taken for a moment, because the system gives them to outgoing
    /// connections; it is tried again until they are free.
    pub async fn heal(&mut self, settings: &DeploymentSettings) -> Result<(), EmbedError> {
        let mut attempts = 0;
        while let Err(error) = self.deployment.inject(&Fault::HealAll {}).await {
            attempts += 1;
            if attempts > HEAL_ATTEMPTS {
                return Err(EmbedError::Fault(error));
            }
            time::sleep(HEAL_PAUSE).await;
        }
        for vm in &settings.vms {
            self.restart_vm(&vm.vm).await?;
        }
        Ok(())
    }

    /// Stops every proxy gracefully, all at once.
    pub async fn stop(mut self) {
        let mut stopping = tokio::task::JoinSet::new();
        for proxy in self.entries.iter_mut().filter_map(|entry| entry.proxy.take()) {
            stopping.spawn(proxy.stop());
        }
        while stopping.join_next().await.is_some() {}
    }

    async fn start_proxy(&self, entry: &mut Entry) -> Result<(), EmbedError> {
        let vm = entry.settings.vm.clone();
        let log = self.decisions.log(&vm);
        let proxy = daemon::start(entry.settings.clone(), log)
            .await
            .map_err(|error| EmbedError::Proxy { vm: vm.clone(), error })?;
        entry.settings.listen_address = proxy.listen_address();
        entry.settings.control_address = proxy.control_address();
        self.deployment.set_vm(VmRecord {
            vm,
            zone: entry.settings.zone.clone(),
            address: entry.settings.listen_address.to_string(),
            control_address: entry.settings.control_address.to_string(),
            state: VmState::Live,
        });
        entry.proxy = Some(proxy);
        Ok(())
    }

    fn place(&self, vm: &str) -> Result<usize, EmbedError> {
        let place = self.entries.iter().position(|entry| entry.settings.vm == vm);
        place.ok_or_else(|| EmbedError::UnknownVm(vm.to_owned()))
    }

    fn entry(&mut self, vm: &str) -> Result<&mut Entry, EmbedError> {
        let place = self.place(vm)?;
        Ok(&mut self.entries[place])
    }
}

fn proxy_settings(vm: &Vm, platform_address: SocketAddr, options: &ProxyOptions) -> ProxySettings {
    ProxySettings {
        vm: vm.vm.clone(),
        zone: vm.zone.clone(),
        listen_address: vm.listen_address,
        control_address: vm.control_address,
        platform_address,
        traffic_threads: options.traffic_threads,
        homes_per_target: options.homes_per_target,
        limits: options.limits.clone(),
        timing: options.timing.clone(),
        ..ProxySettings::default()
    }
}

fn free_ports(settings: &mut DeploymentSettings) {
    settings.platform_address = FREE_ADDRESS;
    for vm in &mut settings.vms {
        vm.listen_address = FREE_ADDRESS;
        vm.control_address = FREE_ADDRESS;
    }
    for member in settings.groups.iter_mut().flat_map(|group| &mut group.members) {
        member.address = FREE_ADDRESS;
    }
}
