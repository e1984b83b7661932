//! The experiments of the repository are readable, and mistakes in one are named by their path.

use std::fs;
use std::path::Path;

use skylark_bench::experiment::compare;
use skylark_bench::experiment::file;
use skylark_bench::experiment::reads;
use skylark_bench::experiment::reads::ReplicaShare;
use skylark_bench::experiment::report;
use skylark_bench::experiment::result;
use skylark_bench::experiment::result::Line;
use skylark_bench::experiment::result::PhaseResult;
use skylark_bench::load::series::Latency;
use skylark_bench::load::series::OperationSummary;

fn directory() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments"))
}

#[test]
fn every_experiment_names_what_its_deployment_has() {
    let mut count = 0;
    for entry in fs::read_dir(directory()).expect("the directory is there") {
        let path = entry.expect("the directory can be read").path();
        if path.extension().is_none_or(|ending| ending != "jsonc") {
            continue;
        }
        count += 1;
        let (experiment, settings) = file::load(&path).unwrap_or_else(|error| {
            panic!("{}: {error}", path.display());
        });
        assert_eq!(Some(experiment.name.as_str()), path.file_stem().and_then(|stem| stem.to_str()));
        for operation in &experiment.mix {
            let service = &settings.services[0];
            assert!(service.classes.iter().any(|class| class.name == operation.class));
            let kinds = &service.read_kinds;
            let kind = &operation.read_kind;
            assert!(kind.is_empty() || kinds.iter().any(|known| known.name == *kind), "{kind}");
        }
    }
    assert_eq!(count, 8);
}

#[test]
fn mistake_is_named_by_its_path() {
    let path = directory().join("sfax-surge.jsonc");
    let text = fs::read_to_string(path).expect("the experiment is there");
    let wrong = text.replace("\"per_s\": 60", "\"per_s\": \"sixty\"");
    let error = file::parse(&wrong).expect_err("a rate is a number").to_string();
    assert!(error.starts_with("phases[0].per_s: "), "{error}");
    let unknown = text.replace("\"limit_ms\"", "\"limit\"");
    let error = file::parse(&unknown).expect_err("the key is unknown").to_string();
    assert!(error.contains("unknown field `limit`"), "{error}");
    let silent = text.replace("[\"token\", \"identity\", \"stay\"]", "[]");
    let error = file::parse(&silent).expect_err("a list is empty").to_string();
    assert!(error.starts_with("roaming: "), "{error}");
}

fn counters(values: &[(&str, u64)]) -> reads::CounterSums {
    values.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect()
}

#[test]
fn replica_share_counts_each_read_once() {
    let before = counters(&[("reads.replica", 10), ("reads.primary_for_age", 5)]);
    let after = counters(&[
        ("reads.replica", 100),
        ("reads.replica_after_wait", 8),
        ("reads.primary_for_age", 6),
        ("reads.primary_replicas_busy", 1),
        ("reads.wait_for_age", 40),
        ("requests", 1000),
    ]);
    let share = ReplicaShare::of(&reads::growth(&before, &after));
    assert_eq!((share.reads, share.at_replicas, share.eligible), (100, 98, 99));
    assert_eq!(report::percent(share.of_all()), "98.00%");
    assert_eq!(report::percent(ReplicaShare::default().of_all()), "-");
}

fn phase(p99_us: u64) -> Line {
    let answered = Latency { count: 9, p50_us: 1000, p99_us, max_us: p99_us };
    let operation = OperationSummary {
        name: "reservation".to_owned(),
        offered: 10,
        answered,
        refused: counters(&[("queue_full (not run)", 1)]),
    };
    Line::Phase(PhaseResult {
        phase: 1,
        per_s: 20.0,
        surge: false,
        operations: vec![operation],
        reads: ReplicaShare::default(),
    })
}

#[test]
fn results_survive_their_file_and_compare() {
    let (old, new) = (vec![phase(4000)], vec![phase(2000)]);
    let text = result::to_text(&old).expect("a result is plain data");
    assert_eq!(result::from_text(&text).expect("the text was just written"), old);
    let table = compare::markdown(&old, &new);
    assert!(table.contains("| 1 | reservation | 1.0 → 1.0 (×1.00) | 4.0 → 2.0 (×0.50) | 1 → 1 |"));
    assert!(report::markdown(&old, "x.svg").contains("queue_full (not run): 1"));
}
