//! Runs the recorded surge through the strategy of sharing and prints the results as JSON lines.
//!
//! Another strategy is compared by running it in `run_strategies` beside the present one.

use std::io;
use std::io::Write;

use skylark_bench::surge::outcome::RunId;
use skylark_bench::surge::outcome::RunOutcome;
use skylark_bench::surge::simulation;
use skylark_bench::surge::simulation::Setup;
use skylark_bench::surge::trace;
use skylark_bench::surge::trace::Arrival;
use skylark_bench::surge::trace::Scenario;
use skylark_bench::surge::trace::Weights;
use skylark_core::process::sharing::weighted::WeightedMaxMin;

/// The seeds of the recorded arrivals.
const SEEDS: [u64; 3] = [1, 2, 3];

/// How many statements the queue lets run at once, in turn.
const RUNNING: [u32; 4] = [2, 3, 4, 16];

/// Weights that double from class to class.
const DOUBLING: Weights = [8, 4, 2, 1];

/// Weights that leave reservations more than they ask for when everything surges.
const STEEP: Weights = [64, 16, 4, 1];

fn main() -> io::Result<()> {
    for scenario in Scenario::ALL {
        for seed in SEEDS {
            let arrivals = trace::generate(scenario, seed);
            for running in RUNNING {
                for weights in [DOUBLING, STEEP] {
                    let setup = Setup::new(weights, running);
                    run_strategies(scenario, seed, setup, &arrivals)?;
                    run_strategies(scenario, seed, setup.without_standing_rule(), &arrivals)?;
                }
            }
        }
    }
    Ok(())
}

fn run_strategies(
    scenario: Scenario,
    seed: u64,
    setup: Setup,
    arrivals: &[Arrival],
) -> io::Result<()> {
    let name = |strategy| RunId { scenario: scenario.name(), strategy, setup, seed };
    let weighted = simulation::run::<WeightedMaxMin>(arrivals, &setup);
    print(&name("weighted_max_min"), &weighted)
}

fn print(name: &RunId<'_>, outcome: &RunOutcome) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    for line in outcome.lines(name) {
        serde_json::to_writer(&mut stdout, &line)?;
        writeln!(stdout)?;
    }
    Ok(())
}
