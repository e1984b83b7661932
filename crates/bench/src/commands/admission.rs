//! `admission`: compares arrangements of the VMs that admit statements to an overloaded target.

use std::io;
use std::io::Write;
use std::path::Path;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::admission::LOAD_FACTORS;
use crate::admission::Setup;
use crate::admission::report::Report;
use crate::commands;
use crate::commands::CommandError;

/// The subcommand's name.
pub const NAME: &str = "admission";

const US_PER_S: u64 = 1_000_000;

/// The shortest run, in seconds. Two seconds lie between the warm-up and the loss of the admitting VM.
const MIN_SPAN_S: u64 = 5;

/// The subcommand's arguments.
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("N").help(help)
    };
    Command::new(NAME)
        .about(
            "Compare arrangements of the VMs that admit to an overloaded target, in virtual time",
        )
        .arg(number("vms", "VMs that callers are spread over [default: 67]"))
        .arg(number("organisations", "Organisations; 0: callers are not identified [default: 76]"))
        .arg(number("surge", "Factor on the load of the largest organisation [default: 1]"))
        .arg(number("slots", "Statements that the target runs at once [default: 4]"))
        .arg(number("target-queue", "Statements that wait at the target [default: 32]"))
        .arg(number("connections", "Connections that the target accepts [default: 56]"))
        .arg(number("span-s", "Seconds of virtual time of each run [default: 20]"))
        .arg(number("seeds", "Runs of each arrangement [default: 20]"))
        .arg(
            number("load", "Load relative to the slots; repeatable [default: 0.5 0.9 1.2 1.7]")
                .action(ArgAction::Append),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Draw the shares served in time over the load into an SVG file"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let usual = Setup::default();
    let span_s = commands::number(matches, "span-s", usual.span_us / US_PER_S)?;
    let setup = Setup {
        vms: commands::number(matches, "vms", usual.vms)?.max(1),
        organisations: commands::number(matches, "organisations", usual.organisations)?,
        surge: commands::number(matches, "surge", usual.surge)?,
        slots: commands::number(matches, "slots", usual.slots)?.max(1),
        target_queue: commands::number(matches, "target-queue", usual.target_queue)?.max(1),
        connections: commands::number(matches, "connections", usual.connections)?.max(1),
        span_us: span_s.max(MIN_SPAN_S) * US_PER_S,
    };
    let loads = matches.get_many::<String>("load").into_iter().flatten();
    let mut factors = loads
        .map(|text| commands::parse_number("load", text))
        .collect::<Result<Vec<f64>, CommandError>>()?;
    if factors.is_empty() {
        factors = LOAD_FACTORS.to_vec();
    }
    let is_positive = |number: &f64| number.is_finite() && *number > 0.0;
    if !factors.iter().chain([&setup.surge]).all(is_positive) {
        return Err(CommandError::other("--load and --surge have to be positive"));
    }
    let report = Report::run(setup, &factors, commands::number(matches, "seeds", 20)?);
    write!(io::stdout().lock(), "{report}")?;
    if let Some(path) = matches.get_one::<String>("plot") {
        report.draw(Path::new(path)).map_err(|error| CommandError::other(error.to_string()))?;
    }
    Ok(())
}
