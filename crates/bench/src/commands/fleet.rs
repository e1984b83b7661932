//! `fleet-file` and `process-cost`: one real proxy in a made-up fleet of the size to come.
//!
//! The file describes a fleet whose VMs are all made up but the first. The operator starts the
//! stand-ins and that one proxy from it as processes, and reads what the proxy needs.

use std::fs;
use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use skylark_settings::deployment::Class;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::deployment::Group;
use skylark_settings::deployment::Member;
use skylark_settings::deployment::Service;
use skylark_settings::deployment::Vm;
use skylark_settings::deployment::Zone;

use crate::commands::CommandError;
use crate::live::threads;
use crate::slopes::measure;
use crate::slopes::measure::Spread;

/// The name of the subcommand that writes the file.
pub const FILE_NAME: &str = "fleet-file";

/// The name of the subcommand that reads a process's cost.
pub const COST_NAME: &str = "process-cost";

const ZONES: usize = 8;
const MEMBERS: usize = 3;
const SAMPLES: usize = 5;
const SAMPLE: Duration = Duration::from_secs(2);
const PLATFORM_PORT: u16 = 7000;
const CALLER_PORT: u16 = 6431;
const CONTROL_PORT: u16 = 6531;

/// Made-up VMs are at addresses of the loopback network where nothing listens.
const MADE_UP_CALLERS: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const MADE_UP_CONTROL: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);
const FIRST_MADE_UP_PORT: u16 = 1000;

/// The arguments of the subcommand that writes the file.
pub fn file_command() -> Command {
    Command::new(FILE_NAME)
        .about("Write a deployment in which only the first VM, entry-0000, is real")
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("N")
                .default_value("550")
                .value_parser(value_parser!(u64).range(8..=2000))
                .help("VMs; there are two targets for each, in groups of three"),
        )
        .arg(
            Arg::new("out")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Where it is written"),
        )
}

/// The arguments of the subcommand that reads a process's cost.
pub fn cost_command() -> Command {
    Command::new(COST_NAME)
        .about("Read a running proxy's memory and its control thread's processor time")
        .arg(
            Arg::new("process")
                .long("process")
                .value_name("PID")
                .required(true)
                .value_parser(value_parser!(u32))
                .help("The process, which the operator started"),
        )
}

/// Writes the file.
pub fn write_file(matches: &ArgMatches) -> Result<(), CommandError> {
    let vms = matches.get_one::<u64>("vms").copied().unwrap_or(550) as usize;
    let out: &PathBuf = matches.get_one("out").expect("the argument is required");
    let text = serde_json::to_string_pretty(&fleet(vms)).map_err(CommandError::other)?;
    fs::write(out, text)?;
    Ok(())
}

/// Reads a process's cost.
pub fn read_cost(matches: &ArgMatches) -> Result<(), CommandError> {
    let process = matches.get_one::<u32>("process").copied().unwrap_or(0).to_string();
    let mut control_ms = Vec::with_capacity(SAMPLES);
    for _ in 0..SAMPLES {
        let (start, before_ns) = (Instant::now(), threads::cpu_ns_of(&process, "control"));
        thread::sleep(SAMPLE);
        let spent_ns = threads::cpu_ns_of(&process, "control").saturating_sub(before_ns);
        control_ms.push(spent_ns as f64 / 1e6 / start.elapsed().as_secs_f64());
    }
    let control = Spread::of(control_ms);
    let resident = measure::resident_bytes_of(&process);
    if resident == 0 {
        return Err(CommandError::other(format!("process {process} can't be read")));
    }
    writeln!(
        io::stdout(),
        "Load average {}. Resident memory {:.1} MB; control thread {:.2} ms a second ({:.2}…{:.2}).",
        measure::load_average(),
        resident as f64 / 1e6,
        control.median,
        control.min,
        control.max
    )?;
    Ok(())
}

fn zone(index: usize) -> String {
    format!("region{}-zone{}", index % ZONES / 4 + 1, index % ZONES + 1)
}

/// A fleet of `vms` VMs with two targets for each, in groups of three over eight zones.
pub fn fleet(vms: usize) -> DeploymentSettings {
    let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let vm = |index: usize| {
        let port = FIRST_MADE_UP_PORT + index as u16;
        let (listen_address, control_address) = match index {
            0 => (local(CALLER_PORT), local(CONTROL_PORT)),
            _ => ((MADE_UP_CALLERS, port).into(), (MADE_UP_CONTROL, port).into()),
        };
        Vm { vm: format!("entry-{index:04}"), zone: zone(index), listen_address, control_address }
    };
    let member = |group: usize, place: usize| Member {
        target: format!("database-{group:05}-{place}"),
        zone: zone(group + place),
        address: local(0),
        slots: 2,
        connections: 16,
        ..Member::default()
    };
    let group = |index: usize| Group {
        name: format!("group-{index:05}"),
        service: "service".to_owned(),
        members: (0..MEMBERS).map(|place| member(index, place)).collect(),
    };
    DeploymentSettings {
        zones: (0..ZONES).map(|index| Zone { zone: zone(index) }).collect(),
        platform_address: local(PLATFORM_PORT),
        vms: (0..vms).map(vm).collect(),
        services: vec![Service {
            name: "service".to_owned(),
            classes: vec![Class { name: "all".to_owned(), weight: 1, goal_ms: 100 }],
            ..Service::default()
        }],
        groups: (0..(2 * vms).div_ceil(MEMBERS)).map(group).collect(),
        ..DeploymentSettings::default()
    }
}
