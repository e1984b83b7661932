//! Explores the models of the specification and prints the results.
//!
//! Without arguments the program runs every case and prints one line for each. With the name of a model it
//! runs the cases of that model. With `--without SAFEGUARD` it runs the cases that switch this safeguard
//! off, and prints the counterexample as numbered steps. An unexpected counterexample is always printed.
//!
//! The exit code is a failure if no case matches, or if a verdict differs from the expected one: the
//! invariants hold with all safeguards on, and break with one off.

use std::io;
use std::io::Write;
use std::process::ExitCode;

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use skylark_spec::case;
use skylark_spec::case::Case;
use skylark_spec::explore::Verdict;

fn command() -> Command {
    Command::new("skylark-spec")
        .about("Explores the models of the core protocol exhaustively within bounds")
        .arg(Arg::new("model").help("Only this model").value_name("MODEL"))
        .arg(
            Arg::new("without")
                .long("without")
                .help("Only the cases with this safeguard off; prints the counterexample")
                .value_name("SAFEGUARD"),
        )
}

fn selected(case: &Case, arguments: &ArgMatches) -> bool {
    let model = arguments.get_one::<String>("model");
    let without = arguments.get_one::<String>("without");
    model.is_none_or(|model| model == case.model)
        && without.is_none_or(|without| case.without == Some(without))
}

fn as_expected(case: &Case, verdict: &Verdict) -> bool {
    match case.without {
        None => *verdict == Verdict::Holds,
        Some(_) => matches!(verdict, Verdict::Violated(_)),
    }
}

fn main() -> io::Result<ExitCode> {
    let arguments = command().get_matches();
    let mut out = io::stdout().lock();
    let cases = case::all();
    let chosen = cases.iter().filter(|case| selected(case, &arguments)).collect::<Vec<_>>();
    if chosen.is_empty() {
        writeln!(out, "no such case; there are:")?;
        cases.iter().try_for_each(|case| writeln!(out, "  {case}"))?;
        return Ok(ExitCode::FAILURE);
    }
    let mut code = ExitCode::SUCCESS;
    for case in chosen {
        let exploration = (case.run)();
        writeln!(out, "{case}: {exploration}")?;
        if let Some(trace) = exploration.trace()
            && (arguments.contains_id("without") || case.without.is_none())
        {
            writeln!(out, "{trace}")?;
        }
        if !as_expected(case, &exploration.verdict) {
            writeln!(out, "not as expected")?;
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}
