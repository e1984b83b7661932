//! Runs the cases of a model: the invariants hold with all safeguards on and break with one off.

use std::io;
use std::io::Write;

use skylark_spec::case;
use skylark_spec::explore::Verdict;

/// Defines a test for each listed safeguard of a model, and a test that no safeguard is missing.
macro_rules! cases {
    ($model:literal; $($(#[$meta:meta])* $name:ident: $without:expr;)*) => {
        $(
            #[test]
            fn $name() {
                $crate::checks::check($model, $without);
            }
        )*

        #[test]
        fn every_safeguard_has_a_test() {
            $crate::checks::check_listed($model, &[$($without),*]);
        }
    };
}

pub(crate) use cases;

/// Runs the cases of a model in which the safeguard `without` is off, or in which all are on.
pub(crate) fn check(model: &str, without: Option<&str>) {
    let cases = case::all();
    let mut ran = 0;
    for case in cases.iter().filter(|case| case.model == model && case.without == without) {
        let exploration = (case.run)();
        // Written directly to stderr, because the test harness hides captured output of passing tests.
        writeln!(io::stderr(), "{case}: {exploration}").expect("standard error is open");
        match (without, exploration.trace()) {
            (None, Some(trace)) => panic!("{case}:\n{trace}"),
            (None, None) => assert_eq!(exploration.verdict, Verdict::Holds, "{case}"),
            (Some(_), trace) => assert!(trace.is_some(), "{case}: no counterexample"),
        }
        ran += 1;
    }
    assert!(ran > 0, "no case of {model} without {without:?}");
}

/// Asserts that every safeguard that a case of the model switches off is listed in the tests.
pub(crate) fn check_listed(model: &str, listed: &[Option<&str>]) {
    let cases = case::all();
    for case in cases.iter().filter(|case| case.model == model) {
        assert!(listed.contains(&case.without), "no test for {case}");
    }
}
