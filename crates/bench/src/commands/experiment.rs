//! `experiment` and `compare`: runs described in files, and their results side by side.

use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::commands::CommandError;
use crate::commands::runtime;
use crate::embedded::deployment::ProxyOptions;
use crate::experiment::compare;
use crate::experiment::file;
use crate::experiment::plot;
use crate::experiment::report;
use crate::experiment::result;
use crate::experiment::result::Line;
use crate::experiment::runner;

/// The name of the subcommand that runs.
pub const NAME: &str = "experiment";

/// The name of the subcommand that compares.
pub const COMPARE_NAME: &str = "compare";

/// The arguments of the subcommand that runs.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Run an experiment and write its result, a report and a plot")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The experiment, JSON with comments"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("DIRECTORY")
                .default_value("results")
                .value_parser(value_parser!(PathBuf))
                .help("Where NAME.jsonl, NAME.md and NAME.svg are written"),
        )
}

/// The arguments of the subcommand that compares.
pub fn compare_command() -> Command {
    let result = |name: &'static str| {
        Arg::new(name).value_name(name).required(true).value_parser(value_parser!(PathBuf))
    };
    Command::new(COMPARE_NAME)
        .about("Compare two result files")
        .arg(result("OLD"))
        .arg(result("NEW"))
}

/// Runs an experiment.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let path: &PathBuf = matches.get_one("file").expect("the argument is required");
    let out: &PathBuf = matches.get_one("out").expect("the argument has a default");
    let (experiment, settings) = file::load(path).map_err(CommandError::other)?;
    let options = ProxyOptions::default();
    let running = runner::run(&experiment, &settings, &options);
    let lines = runtime()?.block_on(running).map_err(CommandError::other)?;
    fs::create_dir_all(out)?;
    let named = |ending: &str| format!("{}.{ending}", experiment.name);
    fs::write(out.join(named("jsonl")), result::to_text(&lines).map_err(CommandError::other)?)?;
    let text = report::markdown(&lines, &named("svg"));
    fs::write(out.join(named("md")), &text)?;
    plot::draw(&lines, &out.join(named("svg"))).map_err(CommandError::other)?;
    writeln!(io::stdout(), "{text}")?;
    Ok(())
}

/// Compares two results.
pub fn run_compare(matches: &ArgMatches) -> Result<(), CommandError> {
    let read = |name: &str| -> Result<Vec<Line>, CommandError> {
        let path: &Path = matches.get_one::<PathBuf>(name).expect("the argument is required");
        result::from_text(&fs::read_to_string(path)?).map_err(CommandError::other)
    };
    writeln!(io::stdout(), "{}", compare::markdown(&read("OLD")?, &read("NEW")?))?;
    Ok(())
}
