//! `connection-cache`: compares placement strategies for the connections of organisations.

use std::io;
use std::io::Write;
use std::path::Path;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::commands;
use crate::commands::CommandError;
use crate::connection_cache::STRATEGIES;
use crate::connection_cache::Setup;
use crate::connection_cache::report;

/// The subcommand's name.
pub const NAME: &str = "connection-cache";

/// The subcommand's arguments.
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("N").help(help)
    };
    Command::new(NAME)
        .about("Compare placement strategies for the connections of organisations, in virtual time")
        .arg(number("organisations", "Organisations that send statements"))
        .arg(number("zipf-exponent", "Exponent of their sizes"))
        .arg(number("vms", "VMs that callers are spread over"))
        .arg(number("connections", "Connections that each of the three targets accepts"))
        .arg(number("slots", "Statements that a target runs at once"))
        .arg(number("per-s", "Statements a second"))
        .arg(number("seeds", "Runs of each strategy").default_value("20"))
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Draw misses over the connections of a target into an SVG file"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let usual = Setup::default();
    let setup = Setup {
        organisations: commands::number(matches, "organisations", usual.organisations)?.max(1),
        zipf_exponent: commands::number(matches, "zipf-exponent", usual.zipf_exponent)?,
        vms: commands::number(matches, "vms", usual.vms)?.max(1),
        connections: commands::number(matches, "connections", usual.connections)?.max(1),
        slots: commands::number(matches, "slots", usual.slots)?.max(1),
        per_s: commands::number(matches, "per-s", usual.per_s)?,
        ..usual
    };
    let seeds = commands::number(matches, "seeds", 1)?;
    let mut out = io::stdout().lock();
    writeln!(out, "{}", report::TABLE_HEAD)?;
    for strategy in STRATEGIES {
        let outcomes = report::outcomes(&setup, strategy, seeds);
        writeln!(out, "{}", report::table_row(strategy, &outcomes))?;
    }
    if let Some(path) = matches.get_one::<String>("plot") {
        let drawn = report::draw(&setup, seeds, Path::new(path));
        drawn.map_err(|error| CommandError::other(error.to_string()))?;
    }
    Ok(())
}
