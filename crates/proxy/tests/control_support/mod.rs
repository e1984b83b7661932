//! A cluster for tests of the control side: a stand-in platform, three stand-in targets and complete proxies,
//! all in one process.

#![allow(dead_code, reason = "each test binary uses a part of the support")]

use std::net::SocketAddr;
use std::time::Duration;

use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::version::objects::LeadRecord;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::objects::VmState;
use skylark_proxy::process::daemon;
use skylark_proxy::process::daemon::ProxyHandle;
use skylark_proxy::process::peer::api::ExplainReport;
use skylark_proxy::process::peer::api::GroupReport;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::api::StatusReport;
use skylark_proxy::process::peer::client;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::proxy::ProxySettings;
use skylark_standin::deployment::Deployment;
use skylark_standin::deployment::fault::Fault;
use tokio::time;
use tokio_postgres::Client;
use tokio_postgres::SimpleQueryMessage;

/// The name of the deployment's only group.
pub const GROUP: &str = "loans-1";

/// The default interval at which the proxies of a test exchange versions, in milliseconds.
pub const PEER_INTERVAL_MS: u64 = 200;

/// The timeout of each wait and call. It only bounds a hang; no test measures against it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const DEPLOYMENT: &str = r#"{
  "zones": [{ "zone": "medina" }, { "zone": "depot" }, { "zone": "sakiet" }],
  "platform_address": "127.0.0.1:0",
  "vms": [
    { "vm": "unused", "zone": "medina", "listen_address": "127.0.0.1:0", "control_address": "127.0.0.1:0" },
  ],
  "services": [
    {
      "name": "loans-db",
      "read_kinds": [{ "name": "history", "max_age_ms": 5000 }],
      "classes": [{ "name": "reservations", "weight": 4, "goal_ms": 50 }],
    },
  ],
  "groups": [
    {
      "name": "loans-1",
      "service": "loans-db",
      "members": [
        { "target": "loans-1-medina", "zone": "medina", "address": "127.0.0.1:0", "slots": 2, "connections": 16 },
        { "target": "loans-1-depot", "zone": "depot", "address": "127.0.0.1:0", "slots": 2, "connections": 16 },
        { "target": "loans-1-sakiet", "zone": "sakiet", "address": "127.0.0.1:0", "slots": 2, "connections": 16 },
      ],
    },
  ],
}"#;

/// The target that is the primary at the start.
pub const FIRST_PRIMARY: &str = "loans-1-medina";

/// Starts the platform and the targets, with an empty VM list.
pub async fn deployment() -> Deployment {
    let settings: DeploymentSettings =
        skylark_settings::parse(DEPLOYMENT).expect("the deployment's settings are valid");
    let deployment = Deployment::start(&settings).await.expect("the stand-ins start");
    deployment.platform().platform().store.set_vms(Vec::new());
    deployment
}

/// Returns the settings of a proxy that listens on free loopback ports.
pub fn settings(
    vm: &str,
    zone: &str,
    platform: SocketAddr,
    peers: &[SocketAddr],
    peer_interval_ms: u64,
) -> ProxySettings {
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let text = format!(
        r#"{{
          "vm": "{vm}",
          "zone": "{zone}",
          "listen_address": "127.0.0.1:0",
          "control_address": "127.0.0.1:0",
          "platform_address": "{platform}",
          "peers": [{}],
          "traffic_threads": 1,
          "timing": {{ "peer_interval_ms": {peer_interval_ms}, "platform_retry_ms": 100, "vm_list_interval_ms": 200 }},
          "limits": {{ "stop_notice_ms": 10, "stop_grace_ms": 2000 }},
        }}"#,
        peers.join(", "),
    );
    skylark_settings::parse(&text).expect("the proxy's settings are valid")
}

/// A running proxy with the names of its VM and availability zone.
pub struct Proxy {
    pub vm: String,
    pub zone: String,
    pub handle: ProxyHandle,
}

impl Proxy {
    pub async fn start(settings: ProxySettings) -> Proxy {
        let (vm, zone) = (settings.vm.clone(), settings.zone.clone());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let handle = daemon::start(settings, log).await.expect("the proxy starts");
        Proxy { vm, zone, handle }
    }

    /// Returns the proxy's entry for the platform's VM list.
    pub fn vm_record(&self) -> VmRecord {
        VmRecord {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            address: self.handle.listen_address().to_string(),
            control_address: self.handle.control_address().to_string(),
            state: VmState::Live,
        }
    }

    /// Returns the report that `skylarkctl status` requests.
    pub async fn status(&self) -> StatusReport {
        let address = self.handle.control_address().to_string();
        let client = client::open(&address, TEST_TIMEOUT).expect("the address is valid");
        client.status().await.expect("a running proxy answers")
    }

    /// Returns the proxy's recent decisions about the group.
    pub async fn explain(&self) -> ExplainReport {
        let address = self.handle.control_address().to_string();
        let client = client::open(&address, TEST_TIMEOUT).expect("the address is valid");
        client.explain(GROUP.to_owned()).await.expect("a running proxy answers")
    }

    /// Returns the group's part of the status, if the proxy knows the group.
    pub async fn group(&self) -> Option<GroupReport> {
        self.status().await.groups.into_iter().find(|group| group.group == GROUP)
    }

    /// Returns the primary that this proxy believes in, with its term.
    pub async fn leader(&self) -> Option<(String, Term)> {
        let group = self.group().await?;
        Some((group.leader?, group.term))
    }
}

/// The platform, the targets and the proxies of a test.
pub struct Cluster {
    pub deployment: Deployment,
    pub proxies: Vec<Proxy>,
    peer_interval_ms: u64,
}

impl Cluster {
    /// Starts one proxy in each zone and waits until every proxy knows the first primary and tracks the
    /// group.
    pub async fn start() -> Cluster {
        let cluster = Cluster::start_with_placements(&[
            ("vm-1", "medina"),
            ("vm-2", "depot"),
            ("vm-3", "sakiet"),
        ])
        .await;
        cluster.wait_for_primary(FIRST_PRIMARY).await;
        for proxy in &cluster.proxies {
            wait_until("the proxy tracks the group", async || {
                proxy.group().await.filter(|group| group.tracked)
            })
            .await;
        }
        cluster
    }

    /// Starts a proxy for each pair of VM and zone, and registers them with the platform.
    pub async fn start_with_placements(placements: &[(&str, &str)]) -> Cluster {
        Cluster::start_with_exchange_interval(placements, PEER_INTERVAL_MS).await
    }

    /// Does the same as [`Cluster::start_with_placements`], with another interval between exchanges of
    /// versions.
    pub async fn start_with_exchange_interval(
        placements: &[(&str, &str)],
        peer_interval_ms: u64,
    ) -> Cluster {
        let deployment = deployment().await;
        let mut cluster = Cluster { deployment, proxies: Vec::new(), peer_interval_ms };
        for (vm, zone) in placements {
            cluster.add(vm, zone).await;
        }
        cluster.register_proxies();
        cluster
    }

    /// Starts another proxy, with all previous ones as its peers. The platform's VM list does not contain it
    /// until [`Cluster::register_proxies`] is called.
    pub async fn add(&mut self, vm: &str, zone: &str) -> &Proxy {
        let peers: Vec<SocketAddr> =
            self.proxies.iter().map(|proxy| proxy.handle.control_address()).collect();
        let platform = self.deployment.platform().address();
        let settings = settings(vm, zone, platform, &peers, self.peer_interval_ms);
        self.proxies.push(Proxy::start(settings).await);
        &self.proxies[self.proxies.len() - 1]
    }

    /// Replaces the platform's VM list by the running proxies.
    pub fn register_proxies(&self) {
        let records = self.proxies.iter().map(Proxy::vm_record).collect();
        self.deployment.platform().platform().store.set_vms(records);
    }

    /// Starts or ends a fault of a stand-in.
    pub async fn inject(&self, fault: Fault) {
        self.deployment.inject(&fault).await.expect("the fault's target exists");
    }

    /// Returns a member's status, read from the stand-in itself.
    pub fn member(&self, target: &str) -> MemberStatus {
        self.deployment.target(target).expect("the target exists").target().status()
    }

    /// Returns the group's lead record in the platform's store.
    pub fn lead_record(&self) -> Option<LeadRecord> {
        let object = self.deployment.platform().platform().store.get(ObjectKind::Lead, GROUP)?;
        serde_json::from_value(object.body).ok()
    }

    /// Requests a planned change of primary, as an operator does, by setting `wanted` in the lead record.
    pub fn set_wanted_primary(&self, target: &str) {
        let store = &self.deployment.platform().platform().store;
        let current = store.get(ObjectKind::Lead, GROUP).expect("the record exists");
        let mut body = current.body.clone();
        body["wanted"] = target.into();
        store
            .put(ObjectKind::Lead, GROUP, current.version, body)
            .expect("there is no concurrent writer");
    }

    /// Changes the read kind's staleness bound in the platform's store, and returns the store's new revision.
    pub fn set_max_age(&self, max_age_ms: u64) -> u64 {
        let store = &self.deployment.platform().platform().store;
        let current = store.get(ObjectKind::Service, "loans-db").expect("the service exists");
        let mut body = current.body.clone();
        body["read_kinds"][0]["max_age_ms"] = max_age_ms.into();
        let put = store.put(ObjectKind::Service, "loans-db", current.version, body);
        put.expect("there is no concurrent writer")
    }

    /// Changes the group's member list in the platform's store.
    pub fn change_members<F>(&self, change: F)
    where
        F: FnOnce(&mut Vec<serde_json::Value>),
    {
        let store = &self.deployment.platform().platform().store;
        let current = store.get(ObjectKind::Group, GROUP).expect("the group exists");
        let mut body = current.body.clone();
        change(body["members"].as_array_mut().expect("members are a list"));
        store
            .put(ObjectKind::Group, GROUP, current.version, body)
            .expect("there is no concurrent writer");
    }

    /// Returns the members that believe that they lead, with their terms.
    pub fn primaries(&self) -> Vec<(String, Term)> {
        let targets = self.deployment.targets().iter().map(|server| server.target());
        targets
            .filter(|target| target.status().role == Role::Primary)
            .map(|target| (target.options().name.clone(), target.status().raised_term))
            .collect()
    }

    /// Waits until every proxy believes that `target` is the primary.
    pub async fn wait_for_primary(&self, target: &str) {
        for proxy in &self.proxies {
            wait_until(&format!("{} knows that {target} leads", proxy.vm), async || {
                proxy.leader().await.filter(|(leader, _)| leader == target)
            })
            .await;
        }
    }

    /// Returns the recent decisions of all proxies, for the message of a failing test.
    pub async fn explain(&self) -> String {
        let mut text = String::new();
        for proxy in &self.proxies {
            let report = proxy.explain().await;
            let lines = report.decisions.iter().map(|decision| {
                format!("{} ms ago: {} ({})", decision.ago_ms, decision.decision, decision.reason)
            });
            let lines: Vec<String> = lines.collect();
            text += &format!("{}:\n  {}\n", proxy.vm, lines.join("\n  "));
        }
        text
    }

    /// Runs a setup statement, and retries it while it is refused as "not run". On a machine that is busy
    /// with other tests, members may miss status requests for a moment, and writes are refused meanwhile.
    pub async fn run_setup_statement(&self, client: &Client, sql: &str) {
        wait_until(&format!("{sql} is served"), async || match client.simple_query(sql).await {
            Ok(_) => Some(()),
            Err(error) => {
                let detail = error.as_db_error().and_then(|error| error.detail());
                assert_eq!(detail, Some("not run"), "{sql}: {error:?}");
                None
            }
        })
        .await;
    }

    /// Runs a query that has to succeed and returns its response. An error fails the test and prints the
    /// decisions and counters of all proxies, since the error alone doesn't tell which proxy could not reach
    /// which target.
    pub async fn query_ok(&self, client: &Client, sql: &str) -> Vec<SimpleQueryMessage> {
        let error = match client.simple_query(sql).await {
            Ok(answer) => return answer,
            Err(error) => error,
        };
        let mut counter_report = String::new();
        for proxy in &self.proxies {
            let counters = proxy.status().await.counters;
            let counters = counters.into_iter().filter(|(_, value)| *value > 0);
            let counters: Vec<String> =
                counters.map(|(name, value)| format!("{name} {value}")).collect();
            counter_report += &format!("{}: {}\n", proxy.vm, counters.join(", "));
        }
        panic!(
            "{sql}: {error:?}\ndecisions:\n{}\ncounters:\n{counter_report}",
            self.explain().await
        );
    }

    /// Waits until all proxies agree on a primary with a term above `term`, and returns both.
    pub async fn wait_for_primary_above_term(&self, term: Term) -> (String, Term) {
        let agreed = async || {
            let mut leaders = Vec::new();
            for proxy in &self.proxies {
                leaders.push(proxy.leader().await?);
            }
            let first = leaders[0].clone();
            let agreed = leaders.iter().all(|leader| *leader == first);
            (agreed && first.1 > term).then_some(first)
        };
        match poll_until_timeout(agreed).await {
            Some(leader) => leader,
            None => {
                panic!("timed out waiting for a new primary; decisions:\n{}", self.explain().await)
            }
        }
    }

    /// Waits until a member is a replica in exactly this term.
    pub async fn wait_until_following(&self, target: &str, term: Term) {
        wait_until(&format!("{target} follows in term {term}"), async || {
            let status = self.member(target);
            (status.role == Role::Replica && status.raised_term == term).then_some(())
        })
        .await;
    }

    /// Runs a statement at a target, bypassing the proxies, and returns whether it succeeded.
    pub async fn write_to_target(&self, target: &str, sql: &str) -> bool {
        let address = self.deployment.target(target).expect("the target exists").address();
        let config = format!(
            "host=127.0.0.1 port={} user=test dbname={GROUP} application_name=medina/test",
            address.port(),
        );
        let connected = tokio_postgres::connect(&config, tokio_postgres::NoTls).await;
        let Ok((client, connection)) = connected else { return false };
        let connection_task = tokio::spawn(connection);
        let succeeded = client.simple_query(sql).await.is_ok();
        connection_task.abort();
        succeeded
    }
}

/// Polls the probe until it returns a value. Panics after [`TEST_TIMEOUT`] with the condition's description.
pub async fn wait_until<T, P>(condition: &str, probe: P) -> T
where
    P: AsyncFnMut() -> Option<T>,
{
    match poll_until_timeout(probe).await {
        Some(found) => found,
        None => panic!("timed out waiting until {condition}"),
    }
}

async fn poll_until_timeout<T, P>(mut probe: P) -> Option<T>
where
    P: AsyncFnMut() -> Option<T>,
{
    let deadline = time::Instant::now() + TEST_TIMEOUT;
    while time::Instant::now() < deadline {
        if let Some(found) = probe().await {
            return Some(found);
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    None
}
