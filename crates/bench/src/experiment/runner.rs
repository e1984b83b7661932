//! Runs an experiment on an embedded deployment.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use skylark_settings::deployment::DeploymentSettings;
use tokio::time;
use tokio::time::Instant;

use crate::embedded::deployment::Embedded;
use crate::embedded::deployment::Ports;
use crate::embedded::deployment::ProxyOptions;
use crate::experiment::file::Experiment;
use crate::experiment::file::TimelineEntry;
use crate::experiment::file::TimelineEvent;
use crate::experiment::reads;
use crate::experiment::reads::CounterSums;
use crate::experiment::reads::ReplicaShare;
use crate::experiment::result::Line;
use crate::experiment::result::PhaseResult;
use crate::experiment::result::ReadSecond;
use crate::experiment::result::VerdictSummary;
use crate::history::checker;
use crate::history::checker::Verdict;
use crate::history::record::Record;
use crate::load::clock::Clock;
use crate::load::run;
use crate::load::run::RunPlan;
use crate::load::series;
use crate::slopes::measure;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const SECOND: Duration = Duration::from_secs(1);
const US_PER_MS: u64 = 1000;

/// The reason why an experiment failed to give a result.
#[derive(Debug)]
pub struct RunnerError(String);

impl fmt::Display for RunnerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

fn runner_error<E>(error: E) -> RunnerError
where
    E: fmt::Display,
{
    RunnerError(error.to_string())
}

/// Runs an experiment on a fresh embedded deployment and returns the lines of its result.
///
/// The run ends all faults before it reads the final rows for the consistency check.
pub async fn run(
    experiment: &Experiment,
    settings: &DeploymentSettings,
    options: &ProxyOptions,
) -> Result<Vec<Line>, RunnerError> {
    let clock = Clock::start();
    let load_average = measure::load_average();
    let mut embedded =
        Embedded::start(settings, options, Ports::Free, clock).await.map_err(runner_error)?;
    wait_ready(&embedded).await?;
    let plan = plan(experiment, settings, embedded.addresses());
    run::prepare(&plan).await.map_err(runner_error)?;

    let controls = embedded.control_addresses();
    let start_us = clock.now_us();
    let total_ms = experiment.phases.iter().map(|phase| phase.for_ms).sum();
    let (records, samples, events) = tokio::join!(
        run::offer(&plan, clock),
        sample(&controls, total_ms),
        run_timeline(&mut embedded, &experiment.timeline)
    );
    events?;

    embedded.heal(settings).await.map_err(runner_error)?;
    let rows = run::final_rows(&plan).await.map_err(runner_error)?;
    let verdict = checker::check(&records, &rows);
    let mut lines = vec![Line::Experiment {
        name: experiment.name.clone(),
        seed: experiment.seed,
        load_average,
    }];
    lines.extend(phase_lines(experiment, &records, &samples, start_us));
    lines.extend(series::by_second(&records, &plan.mix, start_us).into_iter().map(Line::Second));
    lines.extend(read_lines(&samples));
    lines.push(counter_line(&samples));
    lines.push(Line::Verdict(summary(&verdict)));
    Ok(lines)
}

fn plan(
    experiment: &Experiment,
    settings: &DeploymentSettings,
    entries: Vec<SocketAddr>,
) -> RunPlan {
    RunPlan {
        seed: experiment.seed,
        phases: experiment.phases.clone(),
        mix: experiment.mix.clone(),
        groups: settings.groups.iter().map(|group| group.name.clone()).collect(),
        entries,
        first_session: 0,
        sessions_per_group: experiment.sessions_per_group,
        roaming: experiment.roaming.clone(),
        roam_every: experiment.roam_every,
        limit_ms: experiment.limit_ms,
    }
}

async fn wait_ready(embedded: &Embedded) -> Result<(), RunnerError> {
    let all_ready = async {
        while !embedded.ready() {
            time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    let in_time = time::timeout(READY_TIMEOUT, all_ready).await;
    in_time.map_err(|_| RunnerError("the proxies did not become ready in time".to_owned()))
}

/// Samples the proxies' counters at the start of the load and after each second of it.
async fn sample(controls: &[SocketAddr], total_ms: u64) -> Vec<CounterSums> {
    let start = Instant::now();
    let mut samples = vec![reads::counters(controls).await];
    for second in 1..=total_ms.div_ceil(1000) {
        time::sleep_until(start + SECOND * second as u32).await;
        samples.push(reads::counters(controls).await);
    }
    samples
}

async fn run_timeline(
    embedded: &mut Embedded,
    timeline: &[TimelineEntry],
) -> Result<(), RunnerError> {
    let start = Instant::now();
    let mut timeline = timeline.to_vec();
    timeline.sort_by_key(|scheduled| scheduled.at_ms);
    for scheduled in &timeline {
        time::sleep_until(start + Duration::from_millis(scheduled.at_ms)).await;
        match &scheduled.event {
            TimelineEvent::Fault(fault) => {
                embedded.deployment().inject(fault).await.map_err(runner_error)?
            }
            TimelineEvent::KillVm(vm) => embedded.kill_vm(vm).map_err(runner_error)?,
            TimelineEvent::RestartVm(vm) => embedded.restart_vm(vm).await.map_err(runner_error)?,
        }
    }
    Ok(())
}

fn phase_lines(
    experiment: &Experiment,
    records: &[Record],
    samples: &[CounterSums],
    start_us: u64,
) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut from_ms = 0;
    for (index, phase) in experiment.phases.iter().enumerate() {
        let to_ms = from_ms + phase.for_ms;
        let sample_at = |ms: u64| &samples[(ms / 1000).min(samples.len() as u64 - 1) as usize];
        let increase = reads::growth(sample_at(from_ms), sample_at(to_ms));
        let operations = series::summarise(
            records,
            &experiment.mix,
            start_us + from_ms * US_PER_MS,
            start_us + to_ms * US_PER_MS,
        );
        lines.push(Line::Phase(PhaseResult {
            phase: index + 1,
            per_s: phase.per_s,
            surge: phase.surge,
            operations,
            reads: ReplicaShare::of(&increase),
        }));
        from_ms = to_ms;
    }
    lines
}

fn read_lines(samples: &[CounterSums]) -> Vec<Line> {
    samples
        .windows(2)
        .enumerate()
        .map(|(second, pair)| {
            let reads = ReplicaShare::of(&reads::growth(&pair[0], &pair[1]));
            Line::Reads(ReadSecond { second: second as u64, reads })
        })
        .collect()
}

fn counter_line(samples: &[CounterSums]) -> Line {
    let mut counters = match (samples.first(), samples.last()) {
        (Some(first), Some(last)) => reads::growth(first, last),
        _ => CounterSums::new(),
    };
    counters.retain(|_, increase| *increase > 0);
    Line::Counters { counters }
}

fn summary(verdict: &Verdict) -> VerdictSummary {
    let mut violations: BTreeMap<String, u64> = BTreeMap::new();
    for violation in &verdict.violations {
        *violations.entry(violation.name().to_owned()).or_default() += 1;
    }
    VerdictSummary {
        operations: verdict.operations,
        acknowledged: verdict.acknowledged,
        reads_after_write: verdict.reads_after_write,
        not_run: verdict.not_run,
        unknown: verdict.unknown,
        violations,
    }
}
