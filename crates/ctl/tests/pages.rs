//! Compares the tables in the operators' documentation with the code: exit codes, refusals, counters and
//! metrics.

use std::fs;
use std::path::Path;

use skylark_core::request::error_kind::ErrorKind;
use skylark_ctl::exit::Exit;
use skylark_proxy::process::counters::Counters;
use skylark_proxy::sessions::process::metrics_text::Metric;

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators").join(name);
    fs::read_to_string(path).expect("the page can be read")
}

/// Returns the cells of each row of the table after a marker, without the table's header.
fn rows(page: &str, marker: &str) -> Vec<Vec<String>> {
    let (_, after) = page.split_once(marker).unwrap_or_else(|| panic!("no marker {marker}"));
    let table = after.trim_start().lines().take_while(|line| line.starts_with('|'));
    let cells = |line: &str| {
        let cells = line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned());
        cells.collect()
    };
    table.skip(2).map(cells).collect()
}

#[test]
fn exit_codes() {
    let rows = rows(&page("skylarkctl.md"), "<!-- exit codes -->");
    let expected: Vec<Vec<String>> = Exit::ALL
        .iter()
        .map(|exit| vec![exit.code().to_string(), format!("`{}`", exit.name()), exit.meaning()])
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn refusals() {
    let rows = rows(&page("refusals-and-metrics.md"), "<!-- refusals -->");
    let (facts, advice): (Vec<_>, Vec<_>) =
        rows.iter().map(|row| (row[..6].to_vec(), row[6..].to_vec())).unzip();
    let expected: Vec<Vec<String>> = ErrorKind::ALL.iter().map(|kind| facts_of(*kind)).collect();
    assert_eq!(facts, expected);
    assert!(advice.iter().all(|cells| cells.len() == 1 && !cells[0].is_empty()));
}

fn facts_of(kind: ErrorKind) -> Vec<String> {
    let answer = kind.answer();
    let retry = match answer.retry_after_ms {
        0 => "-".to_owned(),
        retry_after_ms => format!("{retry_after_ms} ms"),
    };
    vec![
        format!("`refused.{}`", answer.name),
        format!("`{}`", answer.sqlstate),
        answer.outcome.description().to_owned(),
        retry,
        if answer.closes_connection { "yes" } else { "no" }.to_owned(),
        answer.message.to_owned(),
    ]
}

#[test]
fn counters() {
    let rows = rows(&page("refusals-and-metrics.md"), "<!-- counters -->");
    let named: Vec<String> = rows.iter().map(|row| row[0].clone()).collect();
    let counted = Counters::default().snapshot().into_iter().map(|(name, _)| name);
    let others = counted.filter(|name| !name.starts_with("refused."));
    let expected: Vec<String> = others.map(|name| format!("`{name}`")).collect();
    assert_eq!(named, expected);
    assert!(rows.iter().all(|row| row.len() == 2 && !row[1].is_empty()));
}

#[test]
fn scraped_metrics() {
    let rows = rows(&page("refusals-and-metrics.md"), "<!-- metrics -->");
    let named: Vec<String> = rows.iter().map(|row| row[0].clone()).collect();
    let expected: Vec<String> =
        Metric::ALL.iter().map(|metric| format!("`{}`", metric.name())).collect();
    assert_eq!(named, expected);
    assert!(rows.iter().all(|row| row.len() == 3 && !row[2].is_empty()));
}
