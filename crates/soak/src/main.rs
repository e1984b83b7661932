//! Runs the soak from the command line: `skylark-soak --program target/release/skylark-platform --seeds 50`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Arg;
use clap::Command;
use clap::value_parser;
use skylark_soak::faults::FaultSet;
use skylark_soak::run;
use skylark_soak::run::SoakOptions;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    clap::command!()
        .about("Randomized fault soak of the real proxy processes")
        .arg(
            Arg::new("program")
                .long("program")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The proxy's program"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .default_value("usual")
                .value_parser(FaultSet::ALL.map(FaultSet::name))
                .help("Which kinds of fault come"),
        )
        .arg(number("first", "1", "The first seed"))
        .arg(number("seeds", "10", "How many seeds"))
        .arg(number("proxies", "4", "How many proxies"))
        .arg(number("callers", "12", "How many callers"))
        .arg(number("busy", "0", "How many threads keep processors busy"))
        .arg(
            Arg::new("keep")
                .long("keep")
                .value_name("FOLDER")
                .value_parser(value_parser!(PathBuf))
                .help("Where the logs of all seeds are kept"),
        )
        .arg(number("seconds", "8", "How long faults come, in seconds"))
}

#[tokio::main]
#[expect(clippy::print_stdout, reason = "the verdicts are what the command is for")]
async fn main() -> ExitCode {
    let arguments = command().get_matches();
    let number = |name: &str| *arguments.get_one::<u64>(name).expect("it has a default");
    let program: &PathBuf = arguments.get_one("program").expect("the argument is required");
    let faults: Option<&String> = arguments.get_one("faults");
    let faults = faults.and_then(|name| FaultSet::from_name(name)).expect("it is one of the names");
    let keep: Option<&PathBuf> = arguments.get_one("keep");
    let folder = |seed: u64| match keep {
        Some(keep) => keep.join(format!("{}-{seed}", faults.name())),
        None => run::folder_of(faults, seed),
    };
    let mut failed = 0;
    for seed in number("first")..number("first") + number("seeds") {
        let options = SoakOptions {
            program: program.clone(),
            folder: folder(seed),
            proxies: number("proxies") as usize,
            callers: number("callers") as usize,
            length: Duration::from_secs(number("seconds")),
            faults,
            busy: number("busy") as usize,
        };
        match run::run(&options, seed).await {
            Ok(verdict) => {
                let (acknowledged, denied, reads) =
                    (verdict.acknowledged, verdict.denied, verdict.reads);
                println!(
                    "seed {seed}: {acknowledged} acknowledged, {denied} denied, {reads} reads"
                );
                for violation in &verdict.violations {
                    println!("  {violation}");
                }
                match verdict.violations.is_empty() {
                    // The logs of a failed seed are kept.
                    true if keep.is_some() => (),
                    true => drop(std::fs::remove_dir_all(&options.folder)),
                    false => {
                        println!("  logs: {}", options.folder.display());
                        failed += 1;
                    }
                }
            }
            Err(error) => {
                println!("seed {seed}: not run: {error}");
                failed += 1;
            }
        }
    }
    println!("{failed} seeds failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
