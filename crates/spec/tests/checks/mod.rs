//! Runs the cases of a model: invariants hold with every safeguard on and break without one.

use std::io;
use std::io::Write;

use skylark_spec::case;
use skylark_spec::explore::Verdict;

/// Names a test for each safeguard of a model, and checks that none is left out.
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

/// Runs the model's cases that lack `without`.
pub(crate) fn check(model: &str, without: Option<&str>) {
    let cases = case::all();
    let mut ran = 0;
    for case in cases.iter().filter(|case| case.model == model && case.without == without) {
        let exploration = (case.run)();
        // Straight to the stream, so that the number of states is seen in passing runs too.
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

/// Asserts that the tests name exactly the safeguards that the model's cases switch off.
pub(crate) fn check_listed(model: &str, listed: &[Option<&str>]) {
    let cases = case::all();
    for case in cases.iter().filter(|case| case.model == model) {
        assert!(listed.contains(&case.without), "no test for {case}");
    }
}
