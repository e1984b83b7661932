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
        .subcommand(commands::admission::command())
        .subcommand(commands::connection_cache::command())
        .subcommand(commands::experiment::command())
        .subcommand(commands::experiment::compare_command())
        .subcommand(commands::failover_gap::command())
        .subcommand(commands::fleet::file_command())
        .subcommand(commands::fleet::cost_command())
        .subcommand(commands::idle_memory::command())
        .subcommand(commands::overhead::command())
        .subcommand(commands::quickstart::command())
        .subcommand(commands::slopes::command());
    let result = match command.get_matches().subcommand() {
        Some((commands::admission::NAME, matches)) => commands::admission::run(matches),
        Some((commands::connection_cache::NAME, matches)) => {
            commands::connection_cache::run(matches)
        }
        Some((commands::experiment::NAME, matches)) => commands::experiment::run(matches),
        Some((commands::experiment::COMPARE_NAME, matches)) => {
            commands::experiment::run_compare(matches)
        }
        Some((commands::failover_gap::NAME, matches)) => commands::failover_gap::run(matches),
        Some((commands::fleet::FILE_NAME, matches)) => commands::fleet::write_file(matches),
        Some((commands::fleet::COST_NAME, matches)) => commands::fleet::read_cost(matches),
        Some((commands::idle_memory::NAME, matches)) => commands::idle_memory::run(matches),
        Some((commands::overhead::NAME, matches)) => commands::overhead::run(matches),
        Some((commands::quickstart::NAME, matches)) => commands::quickstart::run(matches),
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
