//! Proxies and targets in a chosen number, with relays in front of members and control addresses.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::objects::VmState;
use skylark_proxy::process::daemon;
use skylark_proxy::process::daemon::ProxyHandle;
use skylark_settings::deployment::Class;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::deployment::Group;
use skylark_settings::deployment::Member;
use skylark_settings::deployment::Service;
use skylark_settings::deployment::Zone;
use skylark_settings::proxy::ProxySettings;
use skylark_standin::deployment::Deployment;
use tokio::time;

use crate::live::relay::Passed;
use crate::live::relay::Relay;

const SERVICE: &str = "measured";
const MEMBERS: usize = 3;
const CONNECTIONS: u32 = 16;
const SLOTS: u32 = 2;

/// What marks a control connection to a member: the database of its start-up packet.
const CONTROL_MARKER: &str = "group_control";

const READY_LIMIT: Duration = Duration::from_secs(60);
const READY_POLL: Duration = Duration::from_millis(10);

/// How much of everything a site has.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct SiteSpec {
    /// Proxies.
    pub vms: usize,
    /// Zones, over which proxies and members take turns.
    pub zones: usize,
    /// Groups of three.
    pub groups: usize,
    /// The time between two exchanges of versions.
    pub peer_interval_ms: u64,
    /// Whether relays count bytes.
    pub relayed: bool,
    /// How long each call to the platform waits, in milliseconds, from the first one on.
    pub platform_slow_ms: u64,
}

impl Default for SiteSpec {
    fn default() -> SiteSpec {
        SiteSpec {
            vms: 1,
            zones: 1,
            groups: 3,
            peer_interval_ms: 1000,
            relayed: false,
            platform_slow_ms: 0,
        }
    }
}

/// Why a site did not come up.
#[derive(Debug)]
pub struct SiteError(String);

impl SiteError {
    /// An error from its words.
    pub fn new(reason: &str) -> SiteError {
        SiteError(reason.to_owned())
    }
}

impl fmt::Display for SiteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn failed<E>(error: E) -> SiteError
where
    E: fmt::Display,
{
    SiteError(error.to_string())
}

/// A running site. It ends when it is dropped.
pub struct Site {
    /// The stand-ins.
    pub deployment: Arc<Deployment>,
    /// The proxies.
    pub proxies: Vec<ProxyHandle>,
    /// What passed between proxies and members' control endpoints.
    pub member_bytes: Arc<Passed>,
    /// What passed between proxies' control endpoints.
    pub peer_bytes: Arc<Passed>,
    relays: Vec<Relay>,
}

impl Site {
    /// Starts a site and waits until every proxy knows every primary.
    pub async fn start(spec: &SiteSpec) -> Result<Site, SiteError> {
        let settings = settings(spec);
        let deployment = Deployment::start(&settings).await.map_err(failed)?;
        let slow = Duration::from_millis(spec.platform_slow_ms);
        deployment.platform().platform().faults.change(|state| state.slow = slow);
        let mut site = Site {
            deployment: Arc::new(deployment),
            proxies: Vec::new(),
            member_bytes: Arc::default(),
            peer_bytes: Arc::default(),
            relays: Vec::new(),
        };
        if spec.relayed {
            site.relay_members().await?;
        }
        for vm in 0..spec.vms {
            site.start_proxy(spec, vm).await?;
        }
        let all_ready = async {
            while !site.ready() {
                time::sleep(READY_POLL).await;
            }
        };
        let in_time = time::timeout(READY_LIMIT, all_ready).await;
        in_time.map_err(|_| SiteError("the proxies did not become ready in time".to_owned()))?;
        Ok(site)
    }

    /// Whether every proxy is listed, has a configuration, and knows every primary.
    pub fn ready(&self) -> bool {
        self.proxies.iter().all(|proxy| {
            let published = proxy.published().load();
            let led = published.groups.iter().all(|group| group.leader.is_some());
            published.ready && published.own_vm.is_some() && led && !published.groups.is_empty()
        })
    }

    /// The lowest revision in force at any proxy.
    pub fn lowest_revision(&self) -> u64 {
        let revisions = self.proxies.iter().map(|it| it.published().load().topology.revision);
        revisions.min().unwrap_or(0)
    }

    /// The name of a group by its place.
    pub fn group_name(place: usize) -> String {
        format!("group-{place:03}")
    }

    /// Puts a relay in front of each member, and names the relays in the groups' objects.
    async fn relay_members(&mut self) -> Result<(), SiteError> {
        let platform = Arc::clone(self.deployment.platform().platform());
        for group in &self.deployment.settings().groups {
            let mut spec = group.spec();
            for member in &mut spec.members {
                let to = member.address.parse().map_err(failed)?;
                let relay = Relay::start(to, CONTROL_MARKER, &self.member_bytes);
                let relay = relay.await.map_err(failed)?;
                member.address = relay.address().to_string();
                self.relays.push(relay);
            }
            let version = platform.store.get(ObjectKind::Group, &group.name).map(|it| it.version);
            let body = serde_json::to_value(&spec).map_err(failed)?;
            let put =
                platform.store.put(ObjectKind::Group, &group.name, version.unwrap_or(0), body);
            if put.is_err() {
                return Err(SiteError(format!("{} could not be changed", group.name)));
            }
        }
        Ok(())
    }

    async fn start_proxy(&mut self, spec: &SiteSpec, place: usize) -> Result<(), SiteError> {
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut settings = ProxySettings {
            vm: format!("entry-{place:03}"),
            zone: zone_name(spec, place),
            listen_address: free,
            control_address: free,
            platform_address: self.deployment.settings().platform_address,
            traffic_threads: 1,
            ..ProxySettings::default()
        };
        settings.timing.peer_interval_ms = spec.peer_interval_ms;
        settings.peers = self.proxies.iter().take(8).map(ProxyHandle::control_address).collect();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let proxy = daemon::start(settings.clone(), log).await.map_err(failed)?;
        let mut control_address = proxy.control_address();
        if spec.relayed {
            let relay = Relay::start(control_address, "", &self.peer_bytes).await;
            let relay = relay.map_err(failed)?;
            control_address = relay.address();
            self.relays.push(relay);
        }
        self.deployment.set_vm(VmRecord {
            vm: settings.vm,
            zone: settings.zone,
            address: proxy.listen_address().to_string(),
            control_address: control_address.to_string(),
            state: VmState::Live,
        });
        self.proxies.push(proxy);
        Ok(())
    }
}

fn zone_name(spec: &SiteSpec, place: usize) -> String {
    format!("zone-{}", place % spec.zones)
}

fn settings(spec: &SiteSpec) -> DeploymentSettings {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let member = |group: usize, place: usize| Member {
        target: format!("database-{group:03}-{place}"),
        zone: zone_name(spec, group + place),
        address: free,
        slots: SLOTS,
        connections: CONNECTIONS,
        ..Member::default()
    };
    let group = |group: usize| Group {
        name: Site::group_name(group),
        service: SERVICE.to_owned(),
        members: (0..MEMBERS).map(|place| member(group, place)).collect(),
    };
    DeploymentSettings {
        zones: (0..spec.zones).map(|place| Zone { zone: zone_name(spec, place) }).collect(),
        platform_address: free,
        services: vec![Service {
            name: SERVICE.to_owned(),
            classes: vec![Class { name: "all".to_owned(), weight: 1, goal_ms: 100 }],
            ..Service::default()
        }],
        groups: (0..spec.groups).map(group).collect(),
        ..DeploymentSettings::default()
    }
}
