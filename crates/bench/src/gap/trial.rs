//! One run: a fresh deployment, a probe writer, background load, a fault, and the history checker.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::log_position::Term;
use skylark_core::member_status::Role;
use skylark_objects::http::HttpStore;
use skylark_settings::deployment::DeploymentSettings;
use skylark_standin::deployment::fault::Fault;
use tokio::time;

use crate::embedded::decisions::Decision;
use crate::embedded::deployment::Embedded;
use crate::embedded::deployment::Ports;
use crate::embedded::deployment::ProxyOptions;
use crate::embedded::operator;
use crate::gap::phases;
use crate::gap::phases::Phases;
use crate::gap::scenario::Scenario;
use crate::history::checker;
use crate::history::checker::Verdict;
use crate::history::record::Ending;
use crate::history::record::Record;
use crate::load::arrivals::Phase;
use crate::load::clock::Clock;
use crate::load::mix::Action;
use crate::load::mix::OperationSpec;
use crate::load::run;
use crate::load::run::RunPlan;
use crate::load::session::Roaming;

/// The delay from the start of the load to the fault, without the jitter.
const FAULT_AT_MS: u64 = 700;

/// The time that the load continues after [`FAULT_AT_MS`].
const AFTER_FAULT_MS: u64 = 2_300;

/// The probe's write rate per second: one write every five milliseconds.
const PROBES_PER_S: f64 = 200.0;

/// The rate of background operations per second.
const BACKGROUND_PER_S: f64 = 200.0;

/// The number of probe sessions, high enough that sessions blocked during a gap don't delay the next probes.
const PROBE_SESSIONS: u32 = 400;

/// The number of background sessions.
const BACKGROUND_SESSIONS: u32 = 60;

/// The time after which a caller abandons a request.
const CALLER_TIMEOUT_MS: u64 = 10_000;

/// The limit for the start of the deployment, for a driver to reach the step at which it is killed, and for
/// the members to agree after the faults ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The time from the last probe write acknowledged before the primary changed to the first one
    /// acknowledged in the new term, in microseconds. Equals [`Trial::longest_us`] if the
    /// probes show no change of term.
    pub gap_us: u64,
    /// The longest time without an acknowledged probe that ends after the fault, in microseconds.
    pub longest_us: u64,
    /// The phases of the gap, if the logged decisions contain a completed change of primary.
    pub phases: Option<Phases>,
    /// The checker's verdict on the histories of the probe and the background load.
    pub verdict: Verdict,
    /// The step that the driver had reached when it was killed, in [`Scenario::DriverKilled`] only.
    pub killed_at: Option<String>,
}

/// The figures of a run as a line of the result file.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct TrialLine {
    /// The scenario's name.
    pub scenario: String,
    /// The seed of the load, of the fault's jitter and of the step at which a driver is killed.
    pub seed: u64,
    /// [`Trial::gap_us`], in microseconds.
    pub gap_us: u64,
    /// [`Trial::longest_us`], in microseconds.
    pub longest_us: u64,
    /// [`Trial::phases`].
    pub phases: Option<Phases>,
    /// The number of checked operations.
    pub checked: usize,
    /// The violations found by the checker, as text.
    pub violations: Vec<String>,
    /// [`Trial::killed_at`].
    pub killed_at: Option<String>,
}

/// The reason why a run failed to give figures.
#[derive(Debug)]
pub struct TrialError(String);

impl fmt::Display for TrialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn trial_error<E>(error: E) -> TrialError
where
    E: fmt::Display,
{
    TrialError(error.to_string())
}

/// Runs one scenario on a fresh deployment. The first group loses its primary.
pub async fn run(
    settings: &DeploymentSettings,
    options: &ProxyOptions,
    scenario: Scenario,
    seed: u64,
) -> Result<Trial, TrialError> {
    let clock = Clock::start();
    let mut embedded =
        Embedded::start(settings, options, Ports::Free, clock).await.map_err(trial_error)?;
    wait_until(|| embedded.ready(), "timed out waiting for the proxies to become ready").await?;
    let setup = TrialSetup::of(settings, &embedded, scenario);
    let (probe, background) = plans(&setup, seed);
    run::prepare(&background).await.map_err(trial_error)?;

    let load = async { tokio::join!(run::offer(&probe, clock), run::offer(&background, clock)) };
    let fault = inject_scenario(&mut embedded, &setup, scenario, seed, clock);
    let ((probe_records, background_records), injected) = tokio::join!(load, fault);
    let injected = injected?;

    end_faults(&mut embedded, settings).await?;
    wait_until_settled(&embedded, &setup.group).await?;
    let rows = run::final_rows(&background).await.map_err(trial_error)?;
    let longest = longest_gap(&probe_records, injected.at_us);
    let failover = failover_gap(&probe_records, injected.at_us);
    let decisions = embedded.decisions().about(&setup.group, injected.at_us);
    let records: Vec<Record> = probe_records.into_iter().chain(background_records).collect();
    Ok(Trial {
        gap_us: failover.unwrap_or(longest).duration_us(),
        longest_us: longest.duration_us(),
        phases: failover.and_then(|gap| phases::split(&decisions, injected.at_us, gap.to_us)),
        verdict: checker::check(&records, &rows),
        killed_at: injected.killed_at,
    })
}

/// The group under test and the proxies that receive the load.
struct TrialSetup {
    group: String,
    primary: String,
    primary_zone: String,
    successor: String,
    /// The proxies that a load balancer would use: all except those in the isolated zone.
    probe_entries: Vec<SocketAddr>,
    all_entries: Vec<SocketAddr>,
    read_kind: String,
}

impl TrialSetup {
    fn of(settings: &DeploymentSettings, embedded: &Embedded, scenario: Scenario) -> TrialSetup {
        let group = &settings.groups[0];
        let primary = &group.members[0];
        let all_entries = embedded.addresses();
        let probe_entries = settings
            .vms
            .iter()
            .zip(&all_entries)
            .filter(|(vm, _)| scenario != Scenario::Isolated || vm.zone != primary.zone)
            .map(|(_, address)| *address)
            .collect();
        let kinds = settings.services.iter().find(|service| service.name == group.service);
        let read_kind = kinds.and_then(|service| service.read_kinds.first());
        TrialSetup {
            group: group.name.clone(),
            primary: primary.target.clone(),
            primary_zone: primary.zone.clone(),
            successor: group.members[1].target.clone(),
            probe_entries,
            all_entries,
            read_kind: read_kind.map(|kind| kind.name.clone()).unwrap_or_default(),
        }
    }
}

fn operation(name: &str, action: Action, read_kind: &str, weight: u32) -> OperationSpec {
    OperationSpec {
        name: name.to_owned(),
        action,
        class: String::new(),
        read_kind: read_kind.to_owned(),
        weight,
        surge_weight: None,
    }
}

fn plans(setup: &TrialSetup, seed: u64) -> (RunPlan, RunPlan) {
    let for_ms = FAULT_AT_MS + AFTER_FAULT_MS;
    let probe = RunPlan {
        seed,
        phases: vec![Phase { for_ms, per_s: PROBES_PER_S, surge: false, even: true }],
        mix: vec![operation("probe", Action::Write, "", 1)],
        groups: vec![setup.group.clone()],
        entries: setup.probe_entries.clone(),
        first_session: 0,
        sessions_per_group: PROBE_SESSIONS,
        roaming: vec![Roaming::Stay],
        roam_every: 1,
        limit_ms: CALLER_TIMEOUT_MS,
    };
    let background = RunPlan {
        phases: vec![Phase { for_ms, per_s: BACKGROUND_PER_S, surge: false, even: false }],
        mix: vec![
            operation("write", Action::Write, "", 2),
            operation("transaction", Action::Transaction, "", 1),
            operation("read", Action::Read, "", 1),
            operation("aged read", Action::Read, &setup.read_kind, 4),
        ],
        entries: setup.all_entries.clone(),
        first_session: PROBE_SESSIONS,
        sessions_per_group: BACKGROUND_SESSIONS,
        roaming: vec![Roaming::Token, Roaming::Identity, Roaming::Stay],
        roam_every: 2,
        ..probe.clone()
    };
    (probe, background)
}

/// The fault that was injected.
struct InjectedFault {
    at_us: u64,
    killed_at: Option<String>,
}

async fn inject_scenario(
    embedded: &mut Embedded,
    setup: &TrialSetup,
    scenario: Scenario,
    seed: u64,
    clock: Clock,
) -> Result<InjectedFault, TrialError> {
    // The jitter avoids a fixed phase relation between the fault and the probes and timers.
    let jitter_ms = seed.wrapping_mul(37) % 100;
    time::sleep(Duration::from_millis(FAULT_AT_MS + jitter_ms)).await;
    let at_us = clock.now_us();
    let kill = Fault::KillTarget { target: setup.primary.clone(), on: true };
    let mut killed_at = None;
    match scenario {
        Scenario::Killed => inject(embedded, &kill).await?,
        Scenario::Isolated => {
            let zone = setup.primary_zone.clone();
            inject(embedded, &Fault::IsolateZone { zone, on: true }).await?;
        }
        Scenario::Paused => {
            let target = setup.primary.clone();
            inject(embedded, &Fault::PauseTarget { target, on: true }).await?;
        }
        Scenario::PlatformDown => {
            inject(embedded, &Fault::PlatformDown { on: true }).await?;
            inject(embedded, &kill).await?;
        }
        Scenario::DriverKilled => {
            inject(embedded, &kill).await?;
            killed_at = Some(kill_driver(embedded, &setup.group, at_us, seed).await?);
        }
        Scenario::PlannedMove => {
            let platform = embedded.deployment().settings().platform_address.to_string();
            let store = HttpStore::new(&platform, &setup.primary_zone);
            operator::want_primary(&store, &setup.group, &setup.successor)
                .await
                .map_err(trial_error)?;
        }
    }
    Ok(InjectedFault { at_us, killed_at })
}

/// Kills the proxy that drives the failover when it reaches a step, and returns the step.
///
/// The seed selects the step, so consecutive seeds cover all steps.
async fn kill_driver(
    embedded: &mut Embedded,
    group: &str,
    from_us: u64,
    seed: u64,
) -> Result<String, TrialError> {
    const STEPS: [&str; 4] = ["started", "claimed", "fenced", "promoted"];
    let step = STEPS[seed as usize % STEPS.len()];
    let reached = |it: &Decision| phases::step_of(it).is_some_and(|(_, of)| of == step);
    let decisions = embedded.decisions().clone();
    let waited = time::timeout(SETTLE_TIMEOUT, decisions.wait_for(group, from_us, reached)).await;
    let decision = waited.map_err(|_| TrialError(format!("no driver reached `{step}` in time")))?;
    embedded.kill_vm(&decision.vm).map_err(trial_error)?;
    Ok(step.to_owned())
}

async fn inject(embedded: &Embedded, fault: &Fault) -> Result<(), TrialError> {
    embedded.deployment().inject(fault).await.map_err(trial_error)
}

async fn end_faults(
    embedded: &mut Embedded,
    settings: &DeploymentSettings,
) -> Result<(), TrialError> {
    embedded.heal(settings).await.map_err(trial_error)
}

/// Waits until exactly one member is the primary and all members have applied the same log position.
async fn wait_until_settled(embedded: &Embedded, group: &str) -> Result<(), TrialError> {
    let settled = || {
        let statuses: Vec<_> = embedded
            .deployment()
            .group(group)
            .iter()
            .map(|server| server.target().status())
            .collect();
        let leaders = statuses.iter().filter(|status| status.role == Role::Primary).count();
        leaders == 1 && statuses.windows(2).all(|pair| pair[0].applied == pair[1].applied)
    };
    wait_until(settled, "timed out waiting for the members to agree after the faults ended").await
}

async fn wait_until<F>(holds: F, timeout_message: &str) -> Result<(), TrialError>
where
    F: Fn() -> bool,
{
    let waiting = async {
        while !holds() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(SETTLE_TIMEOUT, waiting).await.map_err(|_| TrialError(timeout_message.to_owned()))
}

/// The interval between two consecutive probe acknowledgements.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Gap {
    from_us: u64,
    to_us: u64,
}

impl Gap {
    fn duration_us(self) -> u64 {
        self.to_us.saturating_sub(self.from_us)
    }
}

/// Returns the interval from the last probe acknowledgement before the first one of a newer term to that one.
///
/// The old term is the highest one acknowledged before the fault. Returns `None` if no probe was acknowledged
/// before the fault or in a newer term.
fn failover_gap(probes: &[Record], fault_us: u64) -> Option<Gap> {
    let acknowledged = |record: &Record| match record.ending {
        Ending::Acknowledged { position: Some(position) } => Some((record.ended_us, position.term)),
        _ => None,
    };
    let mut ends: Vec<(u64, Term)> = probes.iter().filter_map(acknowledged).collect();
    ends.sort_unstable();
    let old = ends.iter().filter(|(at_us, _)| *at_us < fault_us).map(|(_, term)| *term).max()?;
    let first_new = ends.iter().position(|(_, term)| *term > old)?;
    let from_us = ends[..first_new].last().map_or(fault_us, |(at_us, _)| *at_us);
    Some(Gap { from_us, to_us: ends[first_new].0 })
}

/// Returns the longest interval between two probe acknowledgements that ends after the fault.
///
/// An interval that is still open when the last probe is due ends at that time.
fn longest_gap(probes: &[Record], fault_us: u64) -> Gap {
    let acknowledged = |record: &&Record| matches!(record.ending, Ending::Acknowledged { .. });
    let last_us = probes.iter().map(|it| it.intended_us).max().unwrap_or(fault_us);
    let mut ends: Vec<u64> = probes.iter().filter(acknowledged).map(|it| it.ended_us).collect();
    ends.retain(|at_us| *at_us < last_us);
    ends.push(last_us);
    ends.sort_unstable();
    let gaps = ends.windows(2).map(|pair| Gap { from_us: pair[0], to_us: pair[1] });
    gaps.filter(|gap| gap.to_us >= fault_us)
        .max_by_key(|gap| gap.duration_us())
        .unwrap_or(Gap { from_us: fault_us, to_us: fault_us })
}

impl Trial {
    /// Returns the run's figures as a line of the result file.
    pub fn line(&self, scenario: Scenario, seed: u64) -> TrialLine {
        TrialLine {
            scenario: scenario.name().to_owned(),
            seed,
            gap_us: self.gap_us,
            longest_us: self.longest_us,
            phases: self.phases,
            checked: self.verdict.operations,
            violations: self.verdict.violations.iter().map(ToString::to_string).collect(),
            killed_at: self.killed_at.clone(),
        }
    }
}
