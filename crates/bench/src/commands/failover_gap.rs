//! `failover-gap`: how long no primary accepts writes, over many runs of each scenario.

use std::fs;
use std::io;
use std::io::Write;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use skylark_settings::deployment::DeploymentSettings;

use crate::commands::CommandError;
use crate::commands::runtime;
use crate::embedded::deployment::ProxyOptions;
use crate::gap::scenario::Scenario;
use crate::gap::summary;
use crate::gap::trial;
use crate::gap::trial::Trial;
use crate::slopes::measure;

/// The subcommand's name.
pub const NAME: &str = "failover-gap";

/// The deployment that is used unless another one is named.
const SFAX: &str = include_str!("../../../../examples/sfax.jsonc");

/// The subcommand's arguments.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Measure how long no primary accepts writes, with the checker in the same runs")
        .arg(
            Arg::new("runs")
                .long("runs")
                .value_name("N")
                .default_value("30")
                .value_parser(value_parser!(u64).range(1..))
                .help("Runs of each scenario"),
        )
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_name("NAME")
                .action(ArgAction::Append)
                .value_parser(Scenario::ALL.map(Scenario::name))
                .help("Only this scenario; may be given several times"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("The seed of the first run; each next one takes the next number"),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("A deployment in place of Sfax's"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Write each run's figures to FILE as a JSON line"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let settings: DeploymentSettings = match matches.get_one::<PathBuf>("deployment") {
        Some(file) => skylark_settings::load(file).map_err(CommandError::other)?,
        None => skylark_settings::parse(SFAX).map_err(CommandError::other)?,
    };
    let runs = matches.get_one::<u64>("runs").copied().unwrap_or(30);
    let first_seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let scenarios: Vec<Scenario> = match matches.get_many::<String>("scenario") {
        Some(names) => names.filter_map(|name| Scenario::from_name(name)).collect(),
        None => Scenario::ALL.to_vec(),
    };
    let mut lines = match matches.get_one::<PathBuf>("json") {
        Some(file) => Some(fs::File::create(file)?),
        None => None,
    };
    let mut out = io::stdout();
    writeln!(out, "Load average at the start: {}.\n", measure::load_average())?;
    writeln!(out, "{}", summary::TABLE_HEAD)?;
    let mut violations = 0;
    for scenario in scenarios {
        let seeds = first_seed..first_seed + runs;
        let trials = run_scenario(&settings, scenario, seeds, &mut lines)?;
        violations += trials.iter().map(|trial| trial.verdict.violations.len()).sum::<usize>();
        if let Some(row) = summary::table_row(scenario, &trials) {
            writeln!(out, "{row}")?;
        }
    }
    match violations {
        0 => Ok(()),
        count => Err(CommandError::Other(format!("{count} violations"))),
    }
}

fn run_scenario(
    settings: &DeploymentSettings,
    scenario: Scenario,
    seeds: std::ops::Range<u64>,
    lines: &mut Option<fs::File>,
) -> Result<Vec<Trial>, CommandError> {
    let mut trials = Vec::new();
    for seed in seeds {
        // Each run has a runtime of its own, so that nothing of the run before goes on in it.
        let options = ProxyOptions::default();
        let result = runtime()?.block_on(trial::run(settings, &options, scenario, seed));
        let trial = match result {
            Ok(trial) => trial,
            Err(error) => {
                writeln!(io::stderr(), "{} with seed {seed}: {error}", scenario.name())?;
                continue;
            }
        };
        for violation in &trial.verdict.violations {
            writeln!(io::stderr(), "{} with seed {seed}: {violation}", scenario.name())?;
        }
        if let Some(file) = lines {
            let line = trial.line(scenario, seed);
            writeln!(file, "{}", serde_json::to_string(&line).map_err(CommandError::other)?)?;
        }
        trials.push(trial);
    }
    Ok(trials)
}
