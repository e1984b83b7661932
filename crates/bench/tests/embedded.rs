//! A whole deployment in this process keeps its promises to callers over a change of primary.
//!
//! The primary of a group is killed under writes, transactions and reads of sessions that roam by
//! token, by identity or not at all. Callers see broken connections and short refusals. Nothing that
//! was acknowledged may be missing, and no session may miss its own writes.

use skylark_bench::embedded::deployment::ProxyOptions;
use skylark_bench::gap::scenario::Scenario;
use skylark_bench::gap::trial;
use skylark_settings::deployment::DeploymentSettings;

const SFAX: &str = include_str!("../../../examples/sfax.jsonc");

#[test]
fn killed_primary_costs_no_promise() {
    let settings: DeploymentSettings =
        skylark_settings::parse(SFAX).unwrap_or_else(|mistakes| panic!("{mistakes}"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime starts");
    let options = ProxyOptions { traffic_threads: 1, ..ProxyOptions::default() };
    let running = trial::run(&settings, &options, Scenario::Killed, 1);
    let trial = runtime.block_on(running).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(trial.verdict.violations, [], "{}", trial.verdict);
    assert!(trial.verdict.acknowledged > 100, "{}", trial.verdict);
    assert!(trial.verdict.reads_after_write > 100, "{}", trial.verdict);
}
