//! The operators' command line.
//!
//! An operator plans an intent (`plan`), reads the plan, and confirms it by its id (`confirm`).
//! `status` and `explain` query proxies for their state and latest decisions; `check` validates settings
//! files. [`skylark_core::version::plan`] computes plans and drives confirmations as a state machine. This
//! crate makes the calls to the platform and the proxies, formats the results and defines the exit codes.
//!
//! [`run`] is the whole program. It takes the arguments and the output streams as parameters, so that tests
//! can call it in-process.

use std::ffi::OsString;
use std::io;
use std::io::Write;

use crate::arguments::Command;
use crate::arguments::Options;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::report::Report;

pub mod arguments;
mod check;
pub mod confirm;
pub mod exit;
mod explain;
pub mod failure;
mod plan;
mod proxy;
pub mod report;
mod request;
mod status;
mod store;

/// Runs one command, writes its result to `out` or its failure to `err`, and returns the exit.
///
/// `arguments` starts with the program's name. Help and version texts go to `out`.
pub async fn run<I, T, O, E>(arguments: I, out: &mut O, err: &mut E) -> Exit
where
    I: IntoIterator<Item = T>,
    T: Into<OsString> + Clone,
    O: Write,
    E: Write,
{
    let matches = match arguments::command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(usage) => {
            let is_help_or_version = !usage.use_stderr();
            let text = usage.render();
            let written =
                if is_help_or_version { write!(out, "{text}") } else { write!(err, "{text}") };
            return if is_help_or_version {
                exit_after_write(written, Exit::Success)
            } else {
                Exit::Usage
            };
        }
    };
    let options = Options::read(&matches);
    let outcome = match arguments::read(&matches) {
        Ok(command) => execute(&command, &options).await,
        Err(failure) => Err(failure),
    };
    match outcome {
        Ok(report) => {
            let written = report.write(options.json, out);
            exit_after_write(written, report.exit)
        }
        Err(failure) => {
            let written = failure.write(options.json, err);
            exit_after_write(written, failure.exit())
        }
    }
}

async fn execute(command: &Command, options: &Options) -> Result<Report, Failure> {
    match command {
        Command::Plan(intent) => plan::run(&store::open(options)?, intent).await,
        Command::Confirm(id) => confirm::run(&store::open(options)?, id, options.timeout).await,
        Command::Status => status::run(options).await,
        Command::Explain(subject) => explain::run(subject, options).await,
        Command::ExplainRequest { id, logs } => request::run(id, logs),
        Command::Check { kind, file } => check::run(*kind, file),
    }
}

/// Returns `exit`, or [`Exit::Output`] if the result could not be written.
fn exit_after_write(written: io::Result<()>, exit: Exit) -> Exit {
    if written.is_ok() { exit } else { Exit::Output }
}
