//! The run of one seed, from the start of the processes to the verdict.

use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use skylark_core::version::routes::ReadRule;
use skylark_core::version::routes::Route;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::ServiceLimits;
use skylark_platform::settings::PlatformSettings;
use skylark_proxy::sessions::process::settings::SessionSettings;
use skylark_standin::typed::call_delays::CallDelays;
use skylark_standin::typed::deployment::Deployment;
use skylark_standin::typed::group::Group;
use skylark_standin::typed::group::GroupOptions;
use skylark_standin::typed::group::Record;
use skylark_standin::typed::platform::PromoteCall;
use skylark_standin::typed::ports;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::busy::BusyThreads;
use crate::callers::Caller;
use crate::callers::Observations;
use crate::faults;
use crate::faults::FaultSet;
use crate::faults::SystemUnderTest;
use crate::organisations;
use crate::organisations::Organisations;
use crate::process::Proxy;
use crate::process::ProxySetup;
use crate::promotions;
use crate::relay::Relay;

/// The time after the end of the faults within which writes have to be acknowledged again. The requirement is
/// 12 s; the longer limit keeps a busy machine from changing the verdict.
const RECOVERY_LIMIT: Duration = Duration::from_secs(40);

/// The name of the service that callers use.
const SERVICE: &str = "soak";

/// The name of the database whose reads go to the primary.
const PRIMARY_DATABASE: &str = "primary-db";

/// The name of the database whose reads see the caller's own writes.
const OWN_DATABASE: &str = "own-db";

/// The file that lists the promotions that took effect, in the run's folder.
const PROMOTIONS_FILE: &str = "promotions.log";

/// The time from an accepted promotion call to its effect, in milliseconds, with [`FaultSet::Takeovers`].
const PROMOTION_MS: Range<u64> = 300..600;

/// The share of promotion calls without an answer, with [`FaultSet::Takeovers`]. It is high, since losses need an
/// open call in the next takeover.
const LOST_PROMOTIONS: f64 = 0.5;

/// The share of orders to targets without an answer, with [`FaultSet::Takeovers`].
const LOST_ORDERS: f64 = 0.05;

/// The maximum delay of calls and orders without an answer, in milliseconds. The users' platform takes up to 12 s;
/// the runs of the soak are shorter.
const MAX_LATE_MS: f64 = 4_000.0;

/// The options of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The path of the proxy's program.
    pub program: PathBuf,
    /// The folder for the proxies' settings and logs. It is created if it does not exist.
    pub folder: PathBuf,
    /// The number of proxies.
    pub proxies: usize,
    /// The number of callers.
    pub callers: usize,
    /// The time during which faults are started.
    pub length: Duration,
    /// The kinds of faults.
    pub faults: FaultSet,
    /// The number of threads that compute during the whole run, so that processors are busy.
    pub busy: usize,
}

/// The result of a run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Verdict {
    /// The number of acknowledged writes.
    pub acknowledged: usize,
    /// The number of writes that were reported as not applied, or whose commit was not sent.
    pub denied: usize,
    /// The number of answered reads.
    pub reads: u64,
    /// Descriptions of all violated guarantees; empty if the run passed.
    pub violations: Vec<String>,
}

/// Runs one seed and returns its verdict. Returns an error if the processes or relays can't be started.
pub async fn run(options: &SoakOptions, seed: u64) -> io::Result<Verdict> {
    std::fs::create_dir_all(&options.folder)?;
    let _busy_threads = BusyThreads::start(options.busy);
    let to_targets = Arc::new(Mutex::new(Vec::new()));
    let relays = Arc::clone(&to_targets);
    let deployment =
        Deployment::start_with_relays(group_options(options.faults), async move |address| {
            let relay = Relay::start(address).await?;
            relays.lock().push(relay.clone());
            Ok(relay.address)
        })
        .await?;
    if !options.faults.checks_tokens() {
        deployment.platform.ignore_tokens();
    }
    let groups: Vec<Arc<Group>> =
        deployment.groups.iter().map(|(group, _)| Arc::clone(group)).collect();
    for (group, number) in groups.iter().zip(0..) {
        prepare_group(group, options.faults, series_seed(seed, number));
    }
    let organisations = match options.faults {
        FaultSet::WithOrganisations => {
            Some(Arc::new(Organisations::start(&deployment.platform, routes(options.faults))))
        }
        FaultSet::Usual
        | FaultSet::WithDataLoss
        | FaultSet::WithLateCalls
        | FaultSet::WithLateListings
        | FaultSet::Takeovers => {
            deployment.configure(&routes(options.faults));
            None
        }
    };
    let (mut proxies, mut to_platform, mut addresses) = (Vec::new(), Vec::new(), Vec::new());
    for number in 1..=options.proxies {
        let relay = Relay::start(deployment.platform_address).await?;
        let sessions = SessionSettings {
            vm: format!("vm-{number}"),
            zone: format!("zone-{}", number % faults::ZONES + 1),
            callers_address: ports::free_address().await?,
            peer_address: ports::free_address().await?,
            link_mbps: 0,
            drain_ms: 7_000,
            grace_ms: 4_000,
            quota: organisations::TOLERANCE,
        };
        addresses.push(sessions.callers_address);
        let settings = PlatformSettings {
            sessions,
            ready_address: ports::free_address().await?,
            store_address: relay.address,
            promote_address: relay.address,
            checks_tokens: options.faults.checks_tokens(),
        };
        let (program, folder) = (options.program.clone(), options.folder.clone());
        let setup = ProxySetup { program, folder, settings };
        proxies.push(Arc::new(tokio::sync::Mutex::new(Proxy::start(setup)?)));
        to_platform.push(relay);
    }
    let observations = Arc::new(Mutex::new(Observations::default()));
    let (is_running, _) = watch::channel(true);
    let mut callers = Vec::new();
    for number in 0..options.callers {
        let caller = Caller {
            number,
            proxies: addresses.clone(),
            observations: Arc::clone(&observations),
            databases: databases(number % groups.len()),
            group: Arc::clone(&groups[number % groups.len()]),
            organisations: organisations.clone(),
            is_running: is_running.subscribe(),
        };
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        callers.push(tokio::spawn(caller.run(caller_seed)));
    }
    let members = groups[0].options.members.len();
    let to_targets: Vec<Vec<Relay>> =
        to_targets.lock().chunks(members).map(<[Relay]>::to_vec).collect();
    let mut series = JoinSet::new();
    for (number, group) in groups.iter().enumerate() {
        let system = SystemUnderTest {
            proxies: proxies.clone(),
            to_platform: to_platform.clone(),
            to_targets: to_targets[number].clone(),
            group: Arc::clone(group),
            groups: groups.iter().cloned().zip(to_targets.iter().cloned()).collect(),
            platform: Arc::clone(&deployment.platform),
            organisations: organisations.clone(),
            rebirth_lock: Arc::default(),
        };
        let (faults, series_seed) = (options.faults, series_seed(seed, number as u64));
        series.spawn(faults::run_series(system, faults, series_seed, options.length));
    }
    series.join_all().await;
    let mut violations = wait_for_recovery(&groups).await;
    is_running.send_replace(false);
    for caller in callers {
        // An error means that the caller panicked. Callers report violations without panicking.
        let _ = caller.await;
    }
    wait_for_leaders(&groups).await;
    if let Some(organisations) = &organisations {
        violations.extend(organisations.withdrawn_keys_are_refused(&addresses).await);
        violations.extend(organisations::violations(&groups[0].runs()));
    }
    for proxy in &proxies {
        let mut proxy = proxy.lock().await;
        if let Some(status) = proxy.unexpected_exit() {
            let vm = &proxy.setup.settings.sessions.vm;
            violations.push(format!("{vm} ended by itself: {status}"));
        }
    }
    let observations = observations.lock();
    violations.extend(observations.violations.iter().cloned());
    let leader_logs: Vec<Record> = groups.iter().flat_map(|group| group.leader_log()).collect();
    violations.extend(log_violations(&observations, &count_writes(&leader_logs)));
    for group in &groups {
        let mut calls = deployment.platform.promote_calls();
        calls.retain(|call| *call.service == *group.options.service);
        violations.extend(token_violations(&calls));
        if options.faults.lists_in_time() && !group.lost().is_empty() {
            violations.push(format!("{} commits lost by promotions", group.lost().len()));
        }
        violations.extend(promotions::violations(group));
    }
    let effects: Vec<String> =
        groups.iter().flat_map(|group| promotions::describe(group)).collect();
    std::fs::write(options.folder.join(PROMOTIONS_FILE), effects.join("\n"))?;
    Ok(Verdict {
        acknowledged: observations.acknowledged.len(),
        denied: observations.denied.len(),
        reads: observations.reads,
        violations,
    })
}

/// Waits until 20 more writes are acknowledged after the last fault. Returns a violation if that takes longer
/// than [`RECOVERY_LIMIT`].
async fn wait_for_recovery(groups: &[Arc<Group>]) -> Vec<String> {
    let goals: Vec<usize> = groups.iter().map(|group| group.confirmed() + 20).collect();
    let deadline = Instant::now() + RECOVERY_LIMIT;
    for (group, goal) in groups.iter().zip(goals) {
        while group.confirmed() < goal || group.leader().is_none() {
            if Instant::now() >= deadline {
                return vec!["writes are not acknowledged after the faults".to_owned()];
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Vec::new()
}

/// Stops the spare targets of a group, and makes calls for it late if the faults include that.
fn prepare_group(group: &Group, faults: FaultSet, seed: u64) {
    let members = group.options.members.len();
    for member in members - faults.spares() as usize..members {
        group.change(member, |member| member.alive = false);
    }
    if faults == FaultSet::Takeovers {
        group.delay_calls(CallDelays {
            promotion_ms: PROMOTION_MS,
            lost_promotions: LOST_PROMOTIONS,
            lost_orders: LOST_ORDERS,
            max_late_ms: MAX_LATE_MS,
            rng: StdRng::seed_from_u64(seed),
        });
    }
}

/// Waits until each group has a primary, whose log the check of the writes needs.
async fn wait_for_leaders(groups: &[Arc<Group>]) {
    let deadline = Instant::now() + RECOVERY_LIMIT;
    while groups.iter().any(|group| group.leader().is_none()) && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the seed of a service's series of faults. That of the first service is the run's seed.
fn series_seed(seed: u64, service: u64) -> u64 {
    seed.wrapping_add(service << 32)
}

/// Returns the calls that named a primary with a lower token than the call before, or with the same token as
/// another driver.
fn token_violations(promote_calls: &[PromoteCall]) -> Vec<String> {
    let pairs = promote_calls.windows(2);
    let falls = pairs.filter(|pair| {
        let shared = pair[1].token == pair[0].token && pair[1].holder != pair[0].holder;
        pair[1].token < pair[0].token || shared
    });
    falls.map(|pair| format!("token: {:?} after {:?}", pair[1], pair[0])).collect()
}

/// Returns how often each write's data is in a log.
fn count_writes(log: &[Record]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, data) in log.iter().flat_map(|record| record.writes.iter()) {
        *counts.entry(data.clone()).or_default() += 1;
    }
    counts
}

/// Compares the callers' observations with the primary's log. Returns lost writes, duplicated writes, and
/// applied writes that were reported as not applied.
fn log_violations(
    observations: &Observations,
    write_counts: &BTreeMap<String, usize>,
) -> Vec<String> {
    let lost = observations.acknowledged.iter().filter(|data| !write_counts.contains_key(*data));
    let lost = lost.map(|data| format!("lost: {data} was acknowledged"));
    let doubled = write_counts.iter().filter(|(_, count)| **count > 1);
    let doubled = doubled.map(|(data, count)| format!("doubled: {data} is there {count} times"));
    let untrue = observations.denied.iter().filter(|data| write_counts.contains_key(*data));
    let untrue = untrue.map(|data| format!("untrue refusal: {data} is there"));
    lost.chain(doubled).chain(untrue).collect()
}

fn group_options(faults: FaultSet) -> Vec<GroupOptions> {
    (0..faults.services()).map(|service| service_options(faults, service)).collect()
}

fn service_options(faults: FaultSet, service: u32) -> GroupOptions {
    let member = |number: u32| {
        let zone = format!("zone-{}", (number - 1) % faults::ZONES as u32 + 1);
        (format!("i-{}", number + 10 * service).into(), zone.into())
    };
    // In the users' platform a replaced primary loses its lead when the promotion takes effect.
    let is_replaced_at_once = faults == FaultSet::Takeovers;
    GroupOptions {
        service: numbered(SERVICE, service as usize),
        members: (1..=3 + faults.spares()).map(member).collect(),
        sync_replicas: 1,
        apply_lag: Duration::from_millis(20),
        promotion_delay: Duration::from_millis(200),
        max_connections: 24,
        old_primary_grace: (!is_replaced_at_once).then_some(Duration::from_millis(1_000)),
    }
}

/// Returns the name of a service or a database of a service. Those of the first one have no number.
fn numbered(name: &str, service: usize) -> Arc<str> {
    match service {
        0 => name.into(),
        _ => format!("{name}-{service}").into(),
    }
}

/// Returns the databases of a service, in the order of [`Caller::databases`].
fn databases(service: usize) -> [Arc<str>; 2] {
    [numbered(PRIMARY_DATABASE, service), numbered(OWN_DATABASE, service)]
}

fn routes(faults: FaultSet) -> RouteTable {
    let max_age_ms = 1_500;
    let services = 0..faults.services() as usize;
    let rules = services.clone().flat_map(|service| {
        let [primary_db, own_db] = databases(service);
        let own_writes = ReadRule::ReadYourWrites { max_age_ms };
        [(primary_db, service, ReadRule::Primary), (own_db, service, own_writes)]
    });
    let route = |(database, service, reads): (Arc<str>, usize, ReadRule)| {
        let route = Route {
            database: Arc::clone(&database),
            service: numbered(SERVICE, service),
            reads,
            timeout_ms: 1_000,
            objective_ms: 400,
            priority: 1,
            is_public: false,
        };
        (database, Arc::new(route))
    };
    let limits = ServiceLimits { max_connections: 24, sync_replicas: 1 };
    RouteTable {
        version: 1,
        routes: rules.map(route).collect(),
        services: services.map(|service| (numbered(SERVICE, service), limits)).collect(),
        transaction_idle_ms: 3_000,
        organisations: None,
    }
}

/// Returns a folder for the files of one run, below the system's temporary folder.
pub fn folder_of(faults: FaultSet, seed: u64) -> PathBuf {
    let name = format!("skylark-soak-{}-{}-{seed}", std::process::id(), faults.name());
    Path::new(&std::env::temp_dir()).join(name)
}
