//! Runs the platform and all targets of a deployment as one process of test servers.

use std::error::Error;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use skylark_settings::deployment::DeploymentSettings;
use skylark_standin::deployment::Deployment;
use skylark_standin::deployment::admin::AdminServer;
use slog::Drain;
use slog::Logger;
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;

fn command() -> Command {
    Command::new("skylark-standin")
        .about("Stand-ins of the platform and of all targets of a deployment")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The deployment's settings, JSON with comments"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP")
                .value_parser(value_parser!(IpAddr))
                .help("Listens on this IP address in place of those of the settings"),
        )
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("ADDRESS")
                .default_value("127.0.0.1:0")
                .value_parser(value_parser!(SocketAddr))
                .help("Where faults are switched and counters are read"),
        )
}

fn main() -> ExitCode {
    let arguments = command().get_matches();
    // A closed log pipe must not terminate the process.
    let drain = slog_json::Json::default(io::stderr()).ignore_res();
    let drain = slog_async::Async::new(drain).build().ignore_res();
    let log = Logger::root(drain, slog::o!());
    match run(&arguments, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            slog::crit!(log, "can't run"; "error" => error.to_string());
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &clap::ArgMatches, log: &Logger) -> Result<(), Box<dyn Error>> {
    let file: &PathBuf = arguments.get_one("deployment").ok_or("no deployment is given")?;
    let mut settings: DeploymentSettings =
        skylark_settings::load(file).map_err(|error| error.to_string())?;
    if let Some(ip) = arguments.get_one::<IpAddr>("listen") {
        listen_on(&mut settings, *ip);
    }
    let admin: &SocketAddr = arguments.get_one("admin").ok_or("no admin address is given")?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(serve(&settings, *admin, log))
}

fn listen_on(settings: &mut DeploymentSettings, ip: IpAddr) {
    settings.platform_address.set_ip(ip);
    let members = settings.groups.iter_mut().flat_map(|group| &mut group.members);
    members.for_each(|member| member.address.set_ip(ip));
}

async fn serve(
    settings: &DeploymentSettings,
    admin: SocketAddr,
    log: &Logger,
) -> Result<(), Box<dyn Error>> {
    let mut interrupted = unix::signal(SignalKind::interrupt())?;
    let mut terminated = unix::signal(SignalKind::terminate())?;
    let deployment = Deployment::start(settings).await.map_err(|error| error.to_string())?;
    let deployment = Arc::new(deployment);
    let admin = AdminServer::start(&deployment, admin).await?;
    log_addresses(&deployment, &admin, log);
    tokio::select! {
        _ = interrupted.recv() => {}
        _ = terminated.recv() => {}
    }
    slog::info!(log, "shutting down");
    Ok(())
}

fn log_addresses(deployment: &Deployment, admin: &AdminServer, log: &Logger) {
    let platform = deployment.platform().address().to_string();
    slog::info!(log, "platform listens"; "address" => platform);
    for server in deployment.targets() {
        let options = server.target().options();
        slog::info!(log, "target listens";
            "target" => &options.name,
            "group" => &options.group,
            "zone" => &options.zone,
            "address" => server.address().to_string());
    }
    slog::info!(log, "ready"; "admin" => admin.address().to_string());
}
