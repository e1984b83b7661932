//! Tests that the soak's checks of organisations report violations, and only violations.

use std::time::Duration;
use std::time::Instant;

use skylark_soak::organisations;
use skylark_standin::typed::group::Run;

fn run(id: &str, user: &str, at: Instant) -> Run {
    Run {
        target: "i-1".into(),
        id: id.to_owned(),
        user: user.to_owned(),
        text: String::new(),
        values: Vec::new(),
        at,
    }
}

/// Returns reads of caller 0, whose organisation's limit is fixed, spread over four seconds and so within one
/// window.
fn reads(count: u32) -> Vec<Run> {
    let start = Instant::now();
    let read = |number: u32| {
        let at = start + Duration::from_secs(4) * number / count;
        run(&format!("r0x{number}"), "organisation-0", at)
    };
    (0..count).map(read).collect()
}

#[test]
fn a_statement_under_another_name_is_found() {
    let now = Instant::now();
    let correct = [run("w4x1", "organisation-1", now), run("", "vm-1", now)];
    assert_eq!(organisations::violations(&correct), Vec::<String>::new());
    let crossed = [run("w4x1", "organisation-2", now)];
    assert_eq!(organisations::violations(&crossed), ["crossed: w4x1 ran as organisation-2"]);
}

// The limit allows 20 operations per second for 5 s plus a burst of 10, which is 110. With the tolerance of
// 10 % and a slack of 20, a window may have 141.
#[test]
fn a_window_beyond_the_limit_is_found() {
    assert_eq!(organisations::violations(&reads(141)), Vec::<String>::new());
    assert_eq!(organisations::violations(&reads(142)).len(), 1);
}

// A transaction counts as one operation, regardless of its number of statements.
#[test]
fn statements_of_one_transaction_count_once() {
    let start = Instant::now();
    let statements: Vec<Run> = (0..500)
        .map(|number| run(&format!("t0x{}", number / 5), "organisation-0", start))
        .collect();
    assert_eq!(organisations::violations(&statements), Vec::<String>::new());
}
