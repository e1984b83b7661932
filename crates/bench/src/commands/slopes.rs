//! `slopes`: measures how costs grow with the size that they depend on.

use std::io;
use std::io::Write;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::commands::CommandError;
use crate::commands::runtime;
use crate::live;
use crate::slopes::case::Slope;
use crate::slopes::measure;
use crate::slopes::report;

/// The subcommand's name.
pub const NAME: &str = "slopes";

/// The subcommand's arguments.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Measure how costs grow with the size that they depend on")
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("TEXT")
                .default_value("")
                .help("Measure only the cases whose names contain TEXT"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Write JSON lines in place of a table"),
        )
        .arg(
            Arg::new("live")
                .long("live")
                .action(ArgAction::SetTrue)
                .help("Measure at running proxies over stand-ins, which takes some minutes"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let filter = matches.get_one::<String>("only").map_or("", String::as_str);
    let json = matches.get_flag("json");
    let mut out = io::stdout().lock();
    if !json {
        writeln!(out, "Load average at the start: {}.\n", measure::load_average())?;
        writeln!(out, "{}", report::TABLE_HEAD)?;
    }
    if matches.get_flag("live") {
        for case in live::report::CASES.iter().filter(|case| case.name.contains(filter)) {
            let slope = runtime()?.block_on(case.measure()).map_err(CommandError::other)?;
            write(&mut out, &slope, json)?;
        }
        return Ok(());
    }
    for case in report::cases(filter) {
        write(&mut out, &case.measure(), json)?;
    }
    Ok(())
}

fn write<W>(out: &mut W, slope: &Slope, json: bool) -> Result<(), CommandError>
where
    W: Write,
{
    let line = match json {
        true => serde_json::to_string(slope).map_err(CommandError::other)?,
        false => report::table_row(slope),
    };
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}
