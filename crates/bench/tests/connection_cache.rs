//! The model of connections by organisation, as a check that what was measured with it still holds. Virtual time:
//! every run gives the same figures.

use skylark_bench::connection_cache::STRATEGIES;
use skylark_bench::connection_cache::Setup;
use skylark_bench::connection_cache::report;
use skylark_bench::connection_cache::simulation;
use skylark_bench::connection_cache::simulation::Outcome;

const SEEDS: u64 = 3;

fn short() -> Setup {
    Setup { span_us: 20_000_000, ..Setup::default() }
}

fn misses(setup: &Setup) -> [f64; 3] {
    STRATEGIES.map(|strategy| {
        report::mean(&report::outcomes(setup, strategy, SEEDS), |outcome| outcome.misses)
    })
}

#[test]
fn a_seed_gives_the_same_figures_again() {
    for strategy in STRATEGIES {
        let run = || simulation::run(&short(), strategy, 7);
        assert_eq!(run(), run());
    }
}

// Many organisations share few connections. The homes' pools hold each name once only if an organisation's
// connections lie in one of them, and a replica holds half of the names only if each organisation prefers one.
#[test]
fn placement_by_organisation_finds_more_connections() {
    let [by_vm, by_organisation, with_preferred_replica] = misses(&short());
    assert!(by_organisation < by_vm, "{by_organisation} and {by_vm}");
    assert!(
        with_preferred_replica < by_organisation,
        "{with_preferred_replica} and {by_organisation}"
    );
}

// A single organisation at a single VM has all connections to itself, whichever way they are placed.
#[test]
fn one_organisation_keeps_its_connections() {
    let setup = Setup { organisations: 1, vms: 1, connections: 200, ..short() };
    for misses in misses(&setup) {
        assert!(misses < 0.01, "{misses}");
    }
}

// Sizes that no deployment has: nothing is divided by zero, and what came is accounted for.
#[test]
fn unusual_sizes_are_simulated() {
    for setup in [
        Setup { vms: 1, ..short() },
        Setup { vms: 550, organisations: 2_000, ..short() },
        Setup { slots: 40, connections: 8, ..short() },
        Setup { slots: 1, connections: 1, ..short() },
    ] {
        for strategy in STRATEGIES {
            let Outcome { statements, misses, refused, imbalance, .. } =
                simulation::run(&setup, strategy, 1);
            assert!(statements > 0, "{setup:?}");
            assert!((0.0..=1.0).contains(&misses) && (0.0..=1.0).contains(&refused), "{setup:?}");
            assert!((1.0..=2.0).contains(&imbalance), "{imbalance} at {setup:?}");
        }
    }
}
