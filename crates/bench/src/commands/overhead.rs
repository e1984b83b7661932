//! `overhead`: what the proxy adds to the same clients straight on the stand-in.

use std::io;
use std::io::Write;
use std::time::Duration;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use tokio::time;

use crate::commands::CommandError;
use crate::commands::runtime;
use crate::embedded::deployment::Embedded;
use crate::embedded::deployment::Ports;
use crate::embedded::deployment::ProxyOptions;
use crate::history::record::Refusal;
use crate::load::caller::Caller;
use crate::load::caller::CallerSettings;
use crate::load::caller::Declaration;
use crate::load::clock::Clock;
use crate::overhead::closed_loop::Clients;
use crate::overhead::deployment;
use crate::overhead::rounds;
use crate::overhead::rounds::Compared;
use crate::overhead::rounds::Comparison;
use crate::slopes::measure;
use crate::slopes::measure::Spread;

/// The subcommand's name.
pub const NAME: &str = "overhead";

const CREATE: &str = "CREATE TABLE IF NOT EXISTS loans (chair INTEGER, family TEXT)";
const READ: &str = "SELECT 1";
const WRITE: &str = "INSERT INTO loans VALUES (7, 'family')";
const READY_POLL: Duration = Duration::from_millis(20);
const READY_LIMIT: Duration = Duration::from_secs(20);

const COMPARISONS: &[Comparison] = &[
    Comparison { what: "reads at the primary", group: deployment::SINGLE, statement: READ },
    Comparison { what: "writes, one member", group: deployment::SINGLE, statement: WRITE },
    Comparison { what: "writes, three members", group: deployment::TRIPLE, statement: WRITE },
    Comparison {
        what: "writes, three members, 5 ms replication delay",
        group: deployment::DELAYED,
        statement: WRITE,
    },
];

/// The subcommand's arguments.
pub fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64).range(1..))
            .help(help)
    };
    Command::new(NAME)
        .about("Compare clients through the proxy with the same clients straight on the stand-in")
        .arg(number("clients", "16", "Clients, each with one request at a time"))
        .arg(number("rounds", "10", "Pairs of rounds"))
        .arg(number("round-ms", "1000", "How long a round lasts"))
        .arg(number("traffic-threads", "4", "Traffic threads of the proxy"))
}

/// Runs the subcommand.
pub fn run(matches: &ArgMatches) -> Result<(), CommandError> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let clients = number("clients") as usize;
    let rounds = number("rounds") as usize;
    let lasts = Duration::from_millis(number("round-ms"));
    let options = ProxyOptions {
        traffic_threads: number("traffic-threads") as u32,
        ..ProxyOptions::default()
    };
    let mut out = io::stdout();
    writeln!(out, "Load average at the start: {}.\n", measure::load_average())?;
    writeln!(
        out,
        "| requests | throughput ratio | straight /s | through /s | p50 added µs | p99 added µs | refused |"
    )?;
    writeln!(out, "|---|---|---|---|---|---|---|")?;
    runtime()?.block_on(async {
        let embedded =
            Embedded::start(&deployment::settings(), &options, Ports::Free, Clock::start())
                .await
                .map_err(CommandError::other)?;
        let all_ready = async {
            while !embedded.ready() {
                time::sleep(READY_POLL).await;
            }
        };
        time::timeout(READY_LIMIT, all_ready)
            .await
            .map_err(|_| CommandError::other("the proxy did not become ready in time"))?;
        for comparison in COMPARISONS {
            let compared = compare(&embedded, comparison, clients, rounds, lasts).await?;
            writeln!(out, "{}", row(comparison, &compared))?;
        }
        Ok(())
    })
}

async fn compare(
    embedded: &Embedded,
    comparison: &Comparison,
    clients: usize,
    rounds: usize,
    lasts: Duration,
) -> Result<Compared, CommandError> {
    let refused = |refusal: Refusal| CommandError::other(refusal.reason.name());
    let group = comparison.group;
    let straight = embedded.deployment().group(group)[0].address();
    let through = embedded.addresses()[0];
    let settings = CallerSettings { address: through, group, user: "", session: None };
    let mut caller = Caller::connect(&settings).await.map_err(refused)?;
    caller.run(Declaration::default(), CREATE, READY_LIMIT).await.map_err(refused)?;
    let mut direct = Clients::connect(straight, group, clients).await.map_err(refused)?;
    let mut proxied = Clients::connect(through, group, clients).await.map_err(refused)?;
    rounds::compare(comparison, &mut direct, &mut proxied, rounds, lasts).await.map_err(refused)
}

fn row(comparison: &Comparison, compared: &Compared) -> String {
    format!(
        "| {} | {} | {} | {} | {} | {} | {} |",
        comparison.what,
        spread(&compared.throughput_ratio, 3),
        spread(&compared.direct_per_s, 0),
        spread(&compared.proxied_per_s, 0),
        spread(&compared.p50_added_us, 0),
        spread(&compared.p99_added_us, 0),
        compared.refused,
    )
}

fn spread(value: &Spread, digits: usize) -> String {
    format!("{:.digits$} ({:.digits$}…{:.digits$})", value.median, value.min, value.max)
}
