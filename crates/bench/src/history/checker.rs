//! Checks callers' histories against the rows that the groups hold in the end.
//!
//! Each write adds one row with a tag of its own and is never repeated by the caller, so the count
//! of rows with that tag tells what happened to it. Positions of acknowledged writes must grow in
//! real time: a write that began after another was acknowledged stands behind it in the log. A
//! primary that acknowledges after a newer one did breaks that order, and so do two primaries that
//! hand out one position twice.

use std::fmt;

use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::Outcome;

use crate::history::record::Ending;
use crate::history::record::FinalRows;
use crate::history::record::Record;
use crate::history::record::Request;
use crate::history::record::Tag;

/// One thing that must not happen.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Violation {
    /// A write was acknowledged and its row is not there.
    Lost {
        /// The write.
        tag: Tag,
    },
    /// A write's row is there more than once.
    Doubled {
        /// The write.
        tag: Tag,
        /// How often its row is there.
        rows: usize,
    },
    /// A write that began after `newer` was acknowledged was itself acknowledged at a position that
    /// is not behind it: an old primary acknowledged it.
    OldPrimary {
        /// The write with the position that is too low.
        tag: Tag,
        /// The earlier write with the higher position.
        newer: Tag,
    },
    /// Two writes were acknowledged at one position.
    PositionTwice {
        /// One of them.
        tag: Tag,
        /// The other.
        other: Tag,
    },
    /// A read does not show what its own session wrote before it.
    MissedOwnWrite {
        /// The read.
        tag: Tag,
        /// The write number that it had to show.
        must_see_seq: u64,
        /// The write number that it shows.
        seen_seq: u64,
    },
    /// An answer carries the tag of another request, or none.
    Crossed {
        /// The request.
        tag: Tag,
        /// The tag in its answer.
        echo: Option<Tag>,
    },
    /// A write was refused as not run and its row is there.
    UntrueNotRun {
        /// The write.
        tag: Tag,
    },
    /// A row is there that no caller wrote.
    UnknownRow {
        /// The tag in the row.
        tag: Tag,
    },
}

impl Violation {
    /// The kind's name in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Violation::Lost { .. } => "write lost",
            Violation::Doubled { .. } => "write doubled",
            Violation::OldPrimary { .. } => "acknowledged by an old primary",
            Violation::PositionTwice { .. } => "one position acknowledged twice",
            Violation::MissedOwnWrite { .. } => "read missed its own write",
            Violation::Crossed { .. } => "answer crossed",
            Violation::UntrueNotRun { .. } => "untrue `not run`",
            Violation::UnknownRow { .. } => "row of no caller",
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {self:?}", self.name())
    }
}

/// What was checked and what was found.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Verdict {
    /// All operations of the history.
    pub operations: usize,
    /// The acknowledged writes among them.
    pub acknowledged: usize,
    /// The acknowledged writes whose position is known, so that their order was checked.
    pub positioned: usize,
    /// The answered reads.
    pub reads: usize,
    /// The answered reads of sessions that had written before.
    pub reads_after_write: usize,
    /// The writes refused as not run.
    pub not_run: usize,
    /// The writes whose outcome the caller doesn't know.
    pub unknown: usize,
    /// The writes of unknown outcome whose row is there.
    pub unknown_present: usize,
    /// Everything that must not happen.
    pub violations: Vec<Violation>,
}

impl Verdict {
    /// Adds the counts and violations of another run.
    pub fn add(&mut self, other: &Verdict) {
        self.operations += other.operations;
        self.acknowledged += other.acknowledged;
        self.positioned += other.positioned;
        self.reads += other.reads;
        self.reads_after_write += other.reads_after_write;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unknown_present += other.unknown_present;
        self.violations.extend_from_slice(&other.violations);
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} operations checked: {} acknowledged writes ({} with a position), {} reads ({} after \
             a write of their own), {} writes refused as not run, {} of unknown outcome ({} of \
             them present); {} violations",
            self.operations,
            self.acknowledged,
            self.positioned,
            self.reads,
            self.reads_after_write,
            self.not_run,
            self.unknown,
            self.unknown_present,
            self.violations.len()
        )
    }
}

/// Checks a history against the final rows of its groups, which are indexed as in the records.
pub fn check(records: &[Record], rows: &[FinalRows]) -> Verdict {
    let mut verdict = Verdict { operations: records.len(), ..Verdict::default() };
    for record in records {
        match record.request {
            Request::Write { .. } => {}
            Request::Read { must_see_seq } => check_read(record, must_see_seq, &mut verdict),
        }
    }
    for (group, rows) in rows.iter().enumerate() {
        let writes: Vec<&Record> = records
            .iter()
            .filter(|record| {
                record.group == group && matches!(record.request, Request::Write { .. })
            })
            .collect();
        check_rows(&writes, rows, &mut verdict);
        check_order(&writes, &mut verdict);
    }
    verdict
}

fn check_read(record: &Record, must_see_seq: u64, verdict: &mut Verdict) {
    let Ending::Answered { echo, seen_seq } = record.ending else { return };
    verdict.reads += 1;
    verdict.reads_after_write += usize::from(must_see_seq > 0);
    if echo != Some(record.tag) {
        verdict.violations.push(Violation::Crossed { tag: record.tag, echo });
    } else if seen_seq < must_see_seq {
        let violation = Violation::MissedOwnWrite { tag: record.tag, must_see_seq, seen_seq };
        verdict.violations.push(violation);
    }
}

fn check_rows(writes: &[&Record], rows: &FinalRows, verdict: &mut Verdict) {
    let mut count_by_tag: FastMap<Tag, usize> = FastMap::default();
    for tag in &rows.tags {
        *count_by_tag.entry(*tag).or_default() += 1;
    }
    for write in writes {
        let count = count_by_tag.remove(&write.tag).unwrap_or(0);
        check_write(write, count, verdict);
    }
    let mut unknown: Vec<Tag> = count_by_tag.into_keys().collect();
    unknown.sort();
    verdict.violations.extend(unknown.into_iter().map(|tag| Violation::UnknownRow { tag }));
}

fn check_write(write: &Record, rows: usize, verdict: &mut Verdict) {
    let tag = write.tag;
    match &write.ending {
        Ending::Acknowledged { .. } => {
            verdict.acknowledged += 1;
            if rows == 0 {
                verdict.violations.push(Violation::Lost { tag });
            }
        }
        Ending::Answered { echo, .. } => {
            verdict.violations.push(Violation::Crossed { tag, echo: *echo });
        }
        Ending::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
            verdict.not_run += 1;
            if rows > 0 {
                verdict.violations.push(Violation::UntrueNotRun { tag });
            }
        }
        Ending::Refused(_) => {
            verdict.unknown += 1;
            verdict.unknown_present += usize::from(rows > 0);
        }
    }
    if rows > 1 {
        verdict.violations.push(Violation::Doubled { tag, rows });
    }
}

/// An acknowledged write with a known position.
#[derive(Clone, Copy)]
struct PositionedWrite {
    tag: Tag,
    position: LogPosition,
    started_us: u64,
    ended_us: u64,
}

fn check_order(writes: &[&Record], verdict: &mut Verdict) {
    let mut by_start: Vec<PositionedWrite> =
        writes.iter().filter_map(|write| positioned_write(write)).collect();
    verdict.positioned += by_start.len();
    by_start.sort_by_key(|write| write.started_us);
    let mut by_end = by_start.clone();
    by_end.sort_by_key(|write| write.ended_us);

    // Both lists are walked together: before each write's start, the highest position among the
    // writes that had ended by then is the one that it must pass.
    let mut ended = by_end.iter().peekable();
    let mut highest: Option<PositionedWrite> = None;
    for write in &by_start {
        while let Some(earlier) = ended.next_if(|earlier| earlier.ended_us < write.started_us) {
            if highest.is_none_or(|known| known.position < earlier.position) {
                highest = Some(*earlier);
            }
        }
        if let Some(newer) = highest.filter(|newer| newer.position > write.position) {
            let violation = Violation::OldPrimary { tag: write.tag, newer: newer.tag };
            verdict.violations.push(violation);
        }
    }
    check_positions_unique(&by_start, verdict);
}

fn positioned_write(write: &Record) -> Option<PositionedWrite> {
    let Ending::Acknowledged { position: Some(position) } = write.ending else { return None };
    Some(PositionedWrite {
        tag: write.tag,
        position,
        started_us: write.started_us,
        ended_us: write.ended_us,
    })
}

fn check_positions_unique(writes: &[PositionedWrite], verdict: &mut Verdict) {
    let mut by_position: FastMap<LogPosition, Tag> = FastMap::default();
    for write in writes {
        if let Some(other) = by_position.insert(write.position, write.tag) {
            verdict.violations.push(Violation::PositionTwice { tag: write.tag, other });
        }
    }
}
