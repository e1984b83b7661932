//! `slopes`: measures how costs grow with the size that they depend on.

use std::io;
use std::io::Write;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;

use crate::commands::CommandError;
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
    for case in report::cases(filter) {
        let slope = case.measure();
        match json {
            true => {
                writeln!(out, "{}", serde_json::to_string(&slope).map_err(CommandError::other)?)?
            }
            false => writeln!(out, "{}", report::table_row(&slope))?,
        }
        out.flush()?;
    }
    Ok(())
}
