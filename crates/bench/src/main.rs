//! `skylark-bench`: load and experiments over the stand-ins.

use std::io;
use std::io::Write;
use std::process::ExitCode;

use clap::Command;
use skylark_bench::commands;

fn main() -> ExitCode {
    let command = Command::new("skylark-bench")
        .version(clap::crate_version!())
        .about("Load and experiments over stand-ins of targets and of the platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(commands::slopes::command());
    let result = match command.get_matches().subcommand() {
        Some((commands::slopes::NAME, matches)) => commands::slopes::run(matches),
        _ => unreachable!("a subcommand is required"),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "skylark-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
