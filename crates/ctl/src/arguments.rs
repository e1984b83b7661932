//! The definition of the command line and its conversion to a [`Command`] and [`Options`].

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::value_parser;
use skylark_core::version::plan::intent::Intent;
use skylark_settings::LoadError;
use skylark_settings::Settings;
use skylark_settings::deployment::Group;

use crate::failure::Failure;

/// The default of `--timeout-ms`.
const DEFAULT_TIMEOUT_MS: &str = "30000";

/// The options that are common to all commands.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Options {
    /// The address of the platform's object API. Required by all commands that read or change plans.
    pub platform: Option<SocketAddr>,
    /// The control addresses of the proxies to query. If empty, the VMs that the platform lists are queried.
    pub proxies: Vec<SocketAddr>,
    /// The availability zone that calls to the platform name as their origin.
    pub zone: String,
    /// The time limit of a confirmation.
    pub timeout: Duration,
    /// Whether results and failures are written as JSON.
    pub json: bool,
}

/// The kind of a settings file.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FileKind {
    /// The settings of a proxy.
    Proxy,
    /// The description of a deployment.
    Deployment,
    /// The description of a group for `plan add-group`.
    Group,
}

impl FileKind {
    const NAMES: [&'static str; 3] = ["proxy", "deployment", "group"];

    fn from_name(name: &str) -> Option<FileKind> {
        match name {
            "proxy" => Some(FileKind::Proxy),
            "deployment" => Some(FileKind::Deployment),
            "group" => Some(FileKind::Group),
            _ => None,
        }
    }
}

/// A parsed command.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Command {
    /// Compute a plan for an intent and store it unconfirmed.
    Plan(Intent),
    /// Confirm the plan with this id.
    Confirm(String),
    /// Show the state of the proxies.
    Status,
    /// Show the latest decisions about a group, or the progress of a plan. The value is the group's name or
    /// the plan's id.
    Explain(String),
    /// Show the log lines that explain the outcome of a request.
    ExplainRequest {
        /// The request's id, which its caller chose.
        id: String,
        /// The log files of the VMs.
        logs: Vec<PathBuf>,
    },
    /// Check a settings file.
    Check {
        /// The file's kind, or `None` to infer it from the file's keys.
        kind: Option<FileKind>,
        /// The file's path.
        file: PathBuf,
    },
}

fn required_arg(id: &'static str) -> Arg {
    Arg::new(id).required(true)
}

fn target_or_vm(command: &'static str, about: &'static str) -> clap::Command {
    clap::Command::new(command)
        .about(about)
        .subcommand_required(true)
        .subcommand(clap::Command::new("target").about("A target").arg(required_arg("name")))
        .subcommand(clap::Command::new("vm").about("An entry VM").arg(required_arg("name")))
}

fn plan_command() -> clap::Command {
    let max_age = required_arg("max_age_ms").value_parser(value_parser!(u64));
    let weight = required_arg("weight").value_parser(value_parser!(u32));
    let to = Arg::new("to").long("to").value_name("TARGET").help("The member that is to lead");
    clap::Command::new("plan")
        .about("Says what an intent would change, step by step; changes nothing")
        .subcommand_required(true)
        .subcommand(target_or_vm("drain", "Takes a target or an entry VM out of service"))
        .subcommand(target_or_vm("undrain", "Takes it into service again"))
        .subcommand(
            clap::Command::new("move-primary")
                .about("Lets another member lead a group")
                .arg(required_arg("group"))
                .arg(to),
        )
        .subcommand(
            clap::Command::new("set-staleness")
                .about("Changes how old the data of a read kind may be")
                .args([required_arg("service"), required_arg("read_kind"), max_age]),
        )
        .subcommand(
            clap::Command::new("set-weight")
                .about("Changes a class's share of connections")
                .args([required_arg("service"), required_arg("class"), weight]),
        )
        .subcommand(
            clap::Command::new("add-group")
                .about("Serves a group, described by a settings file")
                .arg(required_arg("file").value_parser(value_parser!(PathBuf))),
        )
        .subcommand(
            clap::Command::new("remove-group")
                .about("Stops serving a group; its databases are left as they are")
                .arg(required_arg("group")),
        )
}

/// Returns the definition of the command line.
pub fn command() -> clap::Command {
    let kind = Arg::new("kind").long("kind").value_parser(FileKind::NAMES);
    clap::Command::new("skylarkctl")
        .about("Plans and confirms changes, and shows what the proxies do and why")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .args([
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS")
                .global(true)
                .value_parser(value_parser!(SocketAddr))
                .help("The platform's object API"),
            Arg::new("proxy")
                .long("proxy")
                .value_name("ADDRESS")
                .global(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("A proxy's control address; may be repeated"),
            Arg::new("zone")
                .long("zone")
                .value_name("ZONE")
                .global(true)
                .default_value("operators")
                .help("The zone that calls to the platform come from"),
            Arg::new("timeout_ms")
                .long("timeout-ms")
                .value_name("MS")
                .global(true)
                .default_value(DEFAULT_TIMEOUT_MS)
                .value_parser(value_parser!(u64))
                .help("How long a confirmation may wait for answers and steps"),
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Writes JSON documents, also for failures"),
        ])
        .subcommand(plan_command())
        .subcommand(
            clap::Command::new("confirm")
                .about("Puts a plan in force; safe to repeat")
                .arg(required_arg("id")),
        )
        .subcommand(clap::Command::new("status").about("Shows what proxies do"))
        .subcommand(
            clap::Command::new("explain")
                .about("Shows the latest decisions about a group, how far a plan has come, or why a request ended as it did")
                .arg(required_arg("subject").value_name("GROUP|PLAN|REQUEST"))
                .arg(
                    Arg::new("log")
                        .long("log")
                        .value_name("FILE")
                        .action(ArgAction::Append)
                        .num_args(1..)
                        .value_parser(value_parser!(PathBuf))
                        .help("The log files of the VMs, to explain a request by its id"),
                ),
        )
        .subcommand(
            clap::Command::new("check")
                .about("Lists every mistake of a settings file")
                .arg(kind.help("What the file describes; found out from its keys by default"))
                .arg(required_arg("file").value_parser(value_parser!(PathBuf))),
        )
}

impl Options {
    pub(crate) fn read(matches: &ArgMatches) -> Options {
        let timeout_ms: Option<&u64> = matches.get_one("timeout_ms");
        Options {
            platform: matches.get_one("platform").copied(),
            proxies: matches.get_many("proxy").unwrap_or_default().copied().collect(),
            zone: text_argument(matches, "zone"),
            timeout: Duration::from_millis(timeout_ms.copied().unwrap_or_default()),
            json: matches.get_flag("json"),
        }
    }
}

/// Returns a text argument, or an empty string if it is absent. The parser rejects command lines without a
/// required argument.
fn text_argument(matches: &ArgMatches, id: &str) -> String {
    matches.get_one::<String>(id).cloned().unwrap_or_default()
}

fn file_argument(matches: &ArgMatches) -> PathBuf {
    matches.get_one::<PathBuf>("file").cloned().unwrap_or_default()
}

/// Converts the parsed arguments to a command. Reads the file of `add-group`.
pub(crate) fn read(matches: &ArgMatches) -> Result<Command, Failure> {
    let (command, matches) = matches.subcommand().expect("a subcommand is required");
    Ok(match command {
        "plan" => Command::Plan(read_intent(matches)?),
        "confirm" => Command::Confirm(text_argument(matches, "id")),
        "status" => Command::Status,
        "explain" => read_explain(matches),
        "check" => Command::Check {
            kind: FileKind::from_name(&text_argument(matches, "kind")),
            file: file_argument(matches),
        },
        other => unreachable!("the command line defines no command {other}"),
    })
}

fn read_explain(matches: &ArgMatches) -> Command {
    let subject = text_argument(matches, "subject");
    match matches.get_many::<PathBuf>("log") {
        Some(logs) => Command::ExplainRequest { id: subject, logs: logs.cloned().collect() },
        None => Command::Explain(subject),
    }
}

fn read_intent(matches: &ArgMatches) -> Result<Intent, Failure> {
    let (intent, matches) = matches.subcommand().expect("a subcommand is required");
    Ok(match intent {
        "drain" => read_drain(matches, true),
        "undrain" => read_drain(matches, false),
        "move-primary" => {
            let to = matches.get_one::<String>("to").cloned();
            Intent::MovePrimary { group: text_argument(matches, "group"), to }
        }
        "set-staleness" => Intent::SetStaleness {
            service: text_argument(matches, "service"),
            read_kind: text_argument(matches, "read_kind"),
            max_age_ms: matches.get_one("max_age_ms").copied().unwrap_or_default(),
        },
        "set-weight" => Intent::SetWeight {
            service: text_argument(matches, "service"),
            class: text_argument(matches, "class"),
            weight: matches.get_one("weight").copied().unwrap_or_default(),
        },
        "add-group" => {
            let group: Group = load(&file_argument(matches))?;
            Intent::AddGroup { spec: group.spec(), group: group.name }
        }
        "remove-group" => Intent::RemoveGroup { group: text_argument(matches, "group") },
        other => unreachable!("the command line defines no intent {other}"),
    })
}

fn read_drain(matches: &ArgMatches, drain: bool) -> Intent {
    let (object_kind, matches) = matches.subcommand().expect("a subcommand is required");
    let name = text_argument(matches, "name");
    match (object_kind, drain) {
        ("target", true) => Intent::DrainTarget { target: name },
        ("target", false) => Intent::UndrainTarget { target: name },
        (_, true) => Intent::DrainVm { vm: name },
        (_, false) => Intent::UndrainVm { vm: name },
    }
}

/// Reads and validates a settings file.
pub(crate) fn load<S>(file: &Path) -> Result<S, Failure>
where
    S: Settings,
{
    skylark_settings::load(file).map_err(|error| match error {
        LoadError::Unreadable(error) => {
            Failure::UnreadableFile { file: file.display().to_string(), reason: error.to_string() }
        }
        LoadError::Mistakes(mistakes) => {
            Failure::Mistakes { file: file.display().to_string(), mistakes }
        }
    })
}
