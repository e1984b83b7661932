//! Lines fit their points, and the made-up fleet resolves without problems.

use skylark_bench::commands;
use skylark_bench::slopes::fleet;
use skylark_bench::slopes::line::Line;
use skylark_bench::slopes::measure::Spread;
use skylark_bench::slopes::report;
use skylark_core::version::topology::Topology;

#[test]
fn line_goes_through_points_on_a_line() {
    let line = Line::through(&[(1.0, 7.0), (2.0, 9.0), (10.0, 25.0)]);
    assert!((line.base - 5.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
    assert!((line.at(100.0) - 205.0).abs() < 1e-9);
}

#[test]
fn spread_is_median_between_extremes() {
    let spread = Spread::of(vec![9.0, 1.0, 2.0]);
    assert_eq!(spread, Spread { min: 1.0, median: 2.0, max: 9.0 });
}

#[test]
fn fleet_at_the_size_to_come_has_no_problems() {
    let topology = Topology::build(&fleet::snapshot(550));
    assert_eq!(topology.problems, []);
    assert_eq!((topology.vms.len(), topology.groups.len()), (550, 367));
    assert_eq!((topology.targets.len(), topology.zones.len()), (1101, 8));
}

#[test]
fn every_case_has_three_sizes_and_a_name_of_its_own() {
    let cases = report::cases("");
    let mut names: Vec<&str> = cases.iter().map(|case| case.name).collect();
    names.sort();
    names.dedup();
    assert_eq!(names.len(), cases.len());
    assert!(cases.iter().all(|case| case.sizes.len() >= 3));
}

#[test]
fn fleet_file_is_accepted_as_a_deployment() {
    let text =
        serde_json::to_string(&commands::fleet::fleet(550)).expect("settings are plain data");
    let read = skylark_settings::parse::<skylark_settings::deployment::DeploymentSettings>(&text);
    let settings = read.unwrap_or_else(|mistakes| panic!("{mistakes}"));
    assert_eq!((settings.vms.len(), settings.groups.len()), (550, 367));
}
