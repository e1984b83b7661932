//! The proxy daemon.

use std::fmt;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use skylark_proxy::process::daemon;
use skylark_proxy::process::log;
use skylark_settings::proxy::ProxySettings;
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;

/// An error that keeps the daemon from starting.
#[derive(Debug)]
enum RunError {
    Start(daemon::StartError),
    Signals(std::io::Error),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Start(error) => error.fmt(f),
            RunError::Signals(error) => write!(f, "can't listen for signals: {error}"),
        }
    }
}

fn command() -> Command {
    clap::command!().about("Proxy between callers and database groups").arg(
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .required(true)
            .value_parser(value_parser!(PathBuf))
            .help("The proxy's settings, JSON with comments"),
    )
}

#[expect(clippy::print_stderr, reason = "without settings there is no log to write to")]
fn main() -> ExitCode {
    let arguments = command().get_matches();
    let file: &PathBuf = arguments.get_one("settings").expect("the argument is required");
    let settings: ProxySettings = match skylark_settings::load(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let log = log::open(&settings);
    match run(settings, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            slog::crit!(log, "the proxy failed to start"; "reason" => error.to_string());
            ExitCode::FAILURE
        }
    }
}

#[tokio::main(flavor = "current_thread")]
async fn run(settings: ProxySettings, log: &slog::Logger) -> Result<(), RunError> {
    let mut terminate = unix::signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = unix::signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let proxy = daemon::start(settings, log.clone()).await.map_err(RunError::Start)?;
    slog::info!(log, "started";
        "listen" => proxy.listen_address().to_string(),
        "control" => proxy.control_address().to_string());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    slog::info!(log, "stopping");
    proxy.stop().await;
    Ok(())
}
