//! `idle-memory`: memory of a running proxy for callers that do nothing.

use std::io;
use std::io::Write;
use std::net::SocketAddr;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::commands::CommandError;
use crate::commands::runtime;
use crate::overhead::idle;
use crate::slopes::line::Line;
use crate::slopes::measure;

/// The subcommand's name.
pub const NAME: &str = "idle-memory";

/// The subcommand's arguments.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Measure the memory that a running proxy needs for each idle caller")
        .arg(
            Arg::new("process")
                .long("process")
                .value_name("PID")
                .required(true)
                .value_parser(value_parser!(u32))
                .help("The process of the proxy, which the operator started"),
        )
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Where the proxy serves callers"),
        )
        .arg(
            Arg::new("group")
                .long("group")
                .value_name("NAME")
                .default_value("loans-1")
                .help("The group to connect to"),
        )
        .arg(
            Arg::new("connections")
                .long("connections")
                .value_name("N")
                .default_value("10000")
                .value_parser(value_parser!(u64).range(4..))
                .help("The largest number of callers"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let process = matches.get_one::<u32>("process").copied().unwrap_or(0).to_string();
    let address = matches.get_one::<SocketAddr>("address").expect("the argument is required");
    let group = matches.get_one::<String>("group").map_or("", String::as_str);
    let most = matches.get_one::<u64>("connections").copied().unwrap_or(4) as usize;
    let steps = [0, most / 4, most / 2, most];
    let mut out = io::stdout();
    writeln!(out, "Load average at the start: {}.\n", measure::load_average())?;
    let measuring = idle::measure(&process, *address, group, &steps);
    let sizes = runtime()?.block_on(measuring).map_err(CommandError::other)?;
    writeln!(out, "| idle callers | resident bytes |\n|---|---|")?;
    for size in &sizes {
        writeln!(out, "| {} | {} |", size.callers, size.resident_bytes)?;
    }
    let points: Vec<(f64, f64)> =
        sizes.iter().map(|size| (size.callers as f64, size.resident_bytes as f64)).collect();
    let line = Line::through(&points);
    writeln!(out, "\n{:.0} bytes for each idle caller, on top of {:.0}.", line.slope, line.base)?;
    Ok(())
}
