//! The recorded surge, as a check that the policy keeps what was measured. Virtual time: every run
//! gives the same figures.

use serde_json::Value;
use skylark_bench::surge::outcome::RunId;
use skylark_bench::surge::simulation;
use skylark_bench::surge::simulation::Setup;
use skylark_bench::surge::trace;
use skylark_bench::surge::trace::Scenario;
use skylark_core::process::sharing::weighted::WeightedMaxMin;

const SEED: u64 = 1;

fn lines(scenario: Scenario, setup: Setup) -> Vec<Value> {
    let arrivals = trace::generate(scenario, SEED);
    let outcome = simulation::run::<WeightedMaxMin>(&arrivals, &setup);
    let name = RunId { scenario: scenario.name(), strategy: "weighted", setup, seed: SEED };
    let lines = outcome.lines(&name);
    lines.iter().map(|line| serde_json::to_value(line).expect("a line is JSON")).collect()
}

fn in_surge<'a>(lines: &'a [Value], class: &str) -> &'a Value {
    let of = |line: &&Value| line["class"] == class && line["phase"] == "surge";
    lines.iter().find(of).expect("each class has a line for the surge")
}

fn number(line: &Value, field: &str) -> f64 {
    line[field].as_f64().expect("a number")
}

fn part(line: &Value, field: &str, whole: &str) -> f64 {
    number(line, field) / number(line, whole)
}

// Everybody looks up at once. The one who books must not notice, lookups must go on, and those that are
// served must be served in time; what is not served is refused when it comes.
#[test]
fn reservations_keep_their_pace_and_lookups_progress_in_a_surge() {
    let lines = lines(Scenario::Lookups, Setup::new([8, 4, 2, 1], 3));
    for class in ["reservation", "return", "report"] {
        assert_eq!(part(in_surge(&lines, class), "served", "offered"), 1.0, "{class}");
    }
    assert!(number(in_surge(&lines, "reservation"), "p99_to_idle") < 2.0);
    let lookup = in_surge(&lines, "lookup");
    assert!(part(lookup, "served", "offered") > 0.5, "{lookup}");
    assert!(part(lookup, "within_goal", "served") > 0.9, "{lookup}");
    assert_eq!(number(lookup, "timed_out"), 0.0, "{lookup}");
}

#[test]
fn no_class_starves_when_everything_surges() {
    let lines = lines(Scenario::Everything, Setup::new([64, 16, 4, 1], 3));
    for class in ["reservation", "return", "lookup", "report"] {
        assert!(part(in_surge(&lines, class), "served", "offered") > 0.04, "{class}");
    }
    assert!(part(in_surge(&lines, "reservation"), "served", "offered") > 0.98);
}

#[test]
fn one_caller_does_not_crowd_out_the_others() {
    let lines = lines(Scenario::OneCaller, Setup::new([8, 4, 2, 1], 3));
    let lookup = in_surge(&lines, "lookup");
    let others_offered = number(lookup, "offered") - number(lookup, "heavy_offered");
    let others_served = number(lookup, "served") - number(lookup, "heavy_served");
    assert!(others_served / others_offered > 0.85, "{lookup}");
}
