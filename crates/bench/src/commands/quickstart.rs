//! `quickstart`: the Sfax deployment in this process, to try with any PostgreSQL client.

use std::fmt::Write as _;
use std::io;
use std::io::Write as _;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use skylark_settings::deployment::DeploymentSettings;
use skylark_standin::deployment::admin::AdminServer;
use tokio::signal::unix;
use tokio::signal::unix::SignalKind;
use tokio::time;

use crate::commands::CommandError;
use crate::commands::runtime;
use crate::embedded::deployment::Embedded;
use crate::embedded::deployment::Ports;
use crate::embedded::deployment::ProxyOptions;
use crate::load::clock::Clock;

/// The subcommand's name.
pub const NAME: &str = "quickstart";

/// The deployment that runs unless another one is named.
const SFAX: &str = include_str!("../../../../examples/sfax.jsonc");

/// Where faults are switched.
const ADMIN_ADDRESS: &str = "127.0.0.1:7099";

/// How often it is looked whether the proxies are ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// How long the proxies may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// The subcommand's arguments.
pub fn command() -> Command {
    Command::new(NAME)
        .about("Run a whole deployment on loopback in the foreground")
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Run this deployment in place of Sfax's"),
        )
        .arg(
            Arg::new("for-s")
                .long("for-s")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("End after N seconds; without it, at SIGINT or SIGTERM"),
        )
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let settings = match matches.get_one::<PathBuf>("deployment") {
        Some(file) => skylark_settings::load(file).map_err(CommandError::other)?,
        None => skylark_settings::parse(SFAX).map_err(CommandError::other)?,
    };
    let limit = matches.get_one::<u64>("for-s").copied().map(Duration::from_secs);
    runtime()?.block_on(serve(&settings, limit))
}

async fn serve(settings: &DeploymentSettings, limit: Option<Duration>) -> Result<(), CommandError> {
    let mut interrupted = unix::signal(SignalKind::interrupt())?;
    let mut terminated = unix::signal(SignalKind::terminate())?;
    let options = ProxyOptions::default();
    let embedded = Embedded::start(settings, &options, Ports::AsSet, Clock::start())
        .await
        .map_err(CommandError::other)?;
    let admin_address = ADMIN_ADDRESS.parse().expect("the address is a constant");
    let admin = AdminServer::start(embedded.deployment(), admin_address).await?;
    wait_ready(&embedded).await?;
    writeln!(io::stdout(), "{}", guide(&embedded, &admin, settings))?;
    tokio::select! {
        _ = interrupted.recv() => {}
        _ = terminated.recv() => {}
        () = sleep_for(limit) => {}
    }
    writeln!(io::stdout(), "Stopping: requests in flight end first.")?;
    embedded.stop().await;
    Ok(())
}

async fn wait_ready(embedded: &Embedded) -> Result<(), CommandError> {
    let all_ready = async {
        while !embedded.ready() {
            time::sleep(READY_POLL).await;
        }
    };
    let in_time = time::timeout(READY_LIMIT, all_ready).await;
    in_time.map_err(|_| CommandError::other("the proxies did not become ready in time"))
}

async fn sleep_for(limit: Option<Duration>) {
    match limit {
        Some(limit) => time::sleep(limit).await,
        None => std::future::pending().await,
    }
}

/// What to try, as text for a terminal.
fn guide(embedded: &Embedded, admin: &AdminServer, settings: &DeploymentSettings) -> String {
    let addresses = embedded.addresses();
    let controls = embedded.control_addresses();
    let group = &settings.groups[0];
    let (first, last) = (addresses[0], addresses[addresses.len() - 1]);
    let read_kind = settings
        .services
        .iter()
        .find(|service| service.name == group.service)
        .and_then(|service| service.read_kinds.first());
    let mut text = String::new();
    let name = &group.name;
    let _ = writeln!(text, "Ready. The proxies of {} entry VMs serve:", addresses.len());
    for ((vm, address), control) in settings.vms.iter().zip(&addresses).zip(&controls) {
        let _ = writeln!(text, "  {:<10} callers {address}   control {control}", vm.vm);
    }
    let groups: Vec<&str> = settings.groups.iter().map(|group| group.name.as_str()).collect();
    let _ = writeln!(text, "Groups, which are the databases' names: {}.", groups.join(", "));
    let _ = writeln!(text, "\nConnect with any PostgreSQL client, here psql:");
    let _ = writeln!(text, "  psql \"{}\"", url(first, name));
    let _ = writeln!(text, "Write, and see where it went:");
    let _ = writeln!(text, "  CREATE TABLE loans (chair INTEGER, family TEXT);");
    let _ = writeln!(text, "  INSERT INTO loans VALUES (7, 'Trabelsi');");
    let _ = writeln!(text, "  SHOW skylark.token;  SHOW skylark.last_target;  SHOW skylark.term;");
    if let Some(kind) = read_kind {
        let (kind, age_ms) = (&kind.name, kind.max_age_ms);
        let _ = writeln!(text, "Read data up to {age_ms} ms old at a replica:");
        let _ = writeln!(text, "  SET skylark.read_kind = '{kind}';");
        let _ = writeln!(text, "  SELECT * FROM loans;  SHOW skylark.last_target;");
    }
    let _ = writeln!(text, "Go on at another proxy, and still read your own writes:");
    let _ = writeln!(text, "  psql \"{}\"", url(last, name));
    let _ = writeln!(text, "  SET skylark.token = 'WHAT SHOW skylark.token SAID';");
    let _ = writeln!(text, "  SELECT * FROM loans;");
    let _ = writeln!(text, "Kill the group's first primary, write again, and start it again:");
    for on in ["true", "false"] {
        let target = &group.members[0].target;
        let _ = writeln!(
            text,
            "  curl -d '{{\"fault\":\"kill_target\",\"target\":\"{target}\",\"on\":{on}}}' \
             http://{}/fault",
            admin.address()
        );
    }
    let _ = write!(text, "\nCtrl-C ends it.");
    text
}

fn url(address: std::net::SocketAddr, group: &str) -> String {
    format!("host={} port={} dbname={group} user=me sslmode=disable", address.ip(), address.port())
}
