//! The checker sees each kind of violation in a history that is otherwise good.
//!
//! Each case takes one good history of three sessions over two terms, spoils it in one place as a
//! real failure would, and expects exactly that violation. The good history itself passes.

use skylark_bench::history::checker;
use skylark_bench::history::checker::Violation;
use skylark_bench::history::record::Ending;
use skylark_bench::history::record::FinalRows;
use skylark_bench::history::record::Reason;
use skylark_bench::history::record::Record;
use skylark_bench::history::record::Refusal;
use skylark_bench::history::record::Request;
use skylark_bench::history::record::Tag;
use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::error_kind::Outcome;

struct History {
    records: Vec<Record>,
    rows: Vec<FinalRows>,
}

fn record(session: u32, serial: u32, at_us: u64, request: Request, ending: Ending) -> Record {
    Record {
        operation: 0,
        group: 0,
        session,
        tag: Tag::new(session, serial),
        request,
        intended_us: at_us,
        started_us: at_us,
        ended_us: at_us + 50,
        ending,
    }
}

fn write(session: u32, serial: u32, at_us: u64, term: u64, index: u64) -> Record {
    let position = Some(LogPosition::new(term, index));
    let request = Request::Write { seq: u64::from(serial) };
    record(session, serial, at_us, request, Ending::Acknowledged { position })
}

fn read(session: u32, serial: u32, at_us: u64, must_see_seq: u64) -> Record {
    let echo = Some(Tag::new(session, serial));
    let ending = Ending::Answered { echo, seen_seq: must_see_seq };
    record(session, serial, at_us, Request::Read { must_see_seq }, ending)
}

fn refused(session: u32, serial: u32, at_us: u64, kind: ErrorKind) -> Record {
    let outcome = kind.answer().outcome;
    let ending = Ending::Refused(Refusal { reason: Reason::Kind(kind), outcome });
    record(session, serial, at_us, Request::Write { seq: u64::from(serial) }, ending)
}

/// Sessions 1 and 2 write and read in term 1; the primary changes; session 3 writes in term 2. One
/// write is refused as not run, one has an unknown outcome and ran.
fn good() -> History {
    let records = vec![
        write(1, 1, 100, 1, 2),
        read(1, 2, 200, 1),
        write(2, 1, 210, 1, 3),
        refused(2, 2, 300, ErrorKind::NoPrimary),
        refused(2, 3, 310, ErrorKind::AnswerLost),
        write(3, 1, 400, 2, 6),
        read(3, 2, 500, 1),
        write(1, 3, 600, 2, 7),
    ];
    let tags = vec![Tag::new(1, 1), Tag::new(2, 1), Tag::new(2, 3), Tag::new(3, 1), Tag::new(1, 3)];
    History { records, rows: vec![FinalRows { tags }] }
}

fn found(history: &History) -> Vec<Violation> {
    checker::check(&history.records, &history.rows).violations
}

#[test]
fn good_history_passes_and_is_counted() {
    let history = good();
    let verdict = checker::check(&history.records, &history.rows);
    assert_eq!(verdict.violations, []);
    assert_eq!(verdict.operations, 8);
    assert_eq!((verdict.acknowledged, verdict.positioned), (4, 4));
    assert_eq!((verdict.reads, verdict.reads_after_write), (2, 2));
    assert_eq!((verdict.not_run, verdict.unknown, verdict.unknown_present), (1, 1, 1));
}

macro_rules! spoiled {
    ($($name:ident: $spoil:expr => $expected:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut history = good();
                let spoil: fn(&mut History) = $spoil;
                spoil(&mut history);
                assert_eq!(found(&history), [$expected]);
            }
        )*
    };
}

spoiled! {
    // The caller was told that its write is safe; the new primary was promoted without it.
    acknowledged_write_absent_is_lost:
        |history| history.rows[0].tags.retain(|tag| *tag != Tag::new(2, 1))
        => Violation::Lost { tag: Tag::new(2, 1) };

    // The connection broke, the proxy sent the write again, and both copies ran.
    repeated_row_is_doubled:
        |history| history.rows[0].tags.push(Tag::new(2, 3))
        => Violation::Doubled { tag: Tag::new(2, 3), rows: 2 };

    // Term 2 has acknowledged a write; after that the primary of term 1, paused meanwhile,
    // acknowledges one that was sent to it later.
    write_after_a_newer_term_at_an_older_one_is_by_an_old_primary:
        |history| history.records[7] = write(1, 3, 600, 1, 4)
        => Violation::OldPrimary { tag: Tag::new(1, 3), newer: Tag::new(3, 1) };

    // Two primaries of one term each give out the same index; the writes overlap in time, so their
    // order alone shows nothing.
    overlapping_writes_at_one_position_are_seen:
        |history| {
            history.records[7] = write(1, 3, 440, 2, 6);
        }
        => Violation::PositionTwice { tag: Tag::new(1, 3), other: Tag::new(3, 1) };

    // A session writes, roams, and a lagging replica answers its next read.
    read_that_misses_its_own_write:
        |history| {
            let echo = Some(Tag::new(1, 2));
            history.records[1].ending = Ending::Answered { echo, seen_seq: 0 };
        }
        => Violation::MissedOwnWrite { tag: Tag::new(1, 2), must_see_seq: 1, seen_seq: 0 };

    // A late answer of an abandoned request reaches the connection's next user.
    answer_with_another_tag_is_crossed:
        |history| {
            let echo = Some(Tag::new(1, 2));
            history.records[6].ending = Ending::Answered { echo, seen_seq: 9 };
        }
        => Violation::Crossed { tag: Tag::new(3, 2), echo: Some(Tag::new(1, 2)) };

    // A write gets the rows of somebody's read as its answer.
    write_answered_like_a_read_is_crossed:
        |history| {
            history.records[5].ending = Ending::Answered { echo: None, seen_seq: 0 };
        }
        => Violation::Crossed { tag: Tag::new(3, 1), echo: None };

    // The answer was lost after the write ran, and the proxy guessed.
    refused_as_not_run_though_present:
        |history| history.rows[0].tags.push(Tag::new(2, 2))
        => Violation::UntrueNotRun { tag: Tag::new(2, 2) };

    // A statement of one transaction was committed with another caller's values.
    row_of_no_caller:
        |history| history.rows[0].tags.push(Tag::new(9, 9))
        => Violation::UnknownRow { tag: Tag::new(9, 9) };
}

#[test]
fn unknown_outcome_is_no_violation_either_way() {
    let mut history = good();
    history.rows[0].tags.retain(|tag| *tag != Tag::new(2, 3));
    assert_eq!(found(&history), []);
}

#[test]
fn verdicts_of_runs_add_up() {
    let history = good();
    let mut sum = checker::check(&history.records, &history.rows);
    sum.add(&checker::check(&history.records, &history.rows));
    assert_eq!((sum.operations, sum.acknowledged), (16, 8));
    let told = Ending::Refused(Refusal { reason: Reason::Broken, outcome: Outcome::Unknown });
    assert!(
        matches!(told, Ending::Refused(refusal) if refusal.reason.name() == "caller_connection_broke")
    );
}
