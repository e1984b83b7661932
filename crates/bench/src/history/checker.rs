//! Checks the histories of callers against the rows that the groups hold at the end of a run.
//!
//! Each write inserts one row with a unique tag and is never retried by the caller. The number of rows with
//! that tag shows whether the write was lost, applied once or duplicated. The log positions of acknowledged
//! writes must follow real time: a write that starts after another write was acknowledged must get a higher
//! position. A primary that acknowledges a write after a newer primary did so violates this order. Two
//! primaries that assign the same position violate the uniqueness of positions.

use std::fmt;

use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::Outcome;

use crate::history::record::Ending;
use crate::history::record::FinalRows;
use crate::history::record::Record;
use crate::history::record::Request;
use crate::history::record::Tag;

/// A violation of consistency. Reports contain the variants' names and fields as `Debug` writes them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Violation {
    /// An acknowledged write has no row.
    Lost {
        /// The write.
        tag: Tag,
    },
    /// A write has more than one row.
    Doubled {
        /// The write.
        tag: Tag,
        /// The number of rows with the write's tag.
        rows: usize,
    },
    /// A write that started after `newer` was acknowledged got a lower position, so a superseded primary
    /// acknowledged it.
    OldPrimary {
        /// The write with the lower position, which started later.
        tag: Tag,
        /// The write with the higher position, which was acknowledged earlier.
        newer: Tag,
    },
    /// Two writes were acknowledged at the same position.
    PositionTwice {
        /// The write that started later.
        tag: Tag,
        /// The write that started earlier.
        other: Tag,
    },
    /// A read misses an acknowledged write of its own session (violates read-your-writes).
    MissedOwnWrite {
        /// The read.
        tag: Tag,
        /// The lowest write number that the read was required to return.
        must_see_seq: u64,
        /// The write number that the read returned.
        seen_seq: u64,
    },
    /// A response carries the tag of another request or no tag.
    Crossed {
        /// The request.
        tag: Tag,
        /// The tag in the response, or `None` if there is none.
        echo: Option<Tag>,
    },
    /// A write that was refused with the outcome "not run" has a row.
    UntrueNotRun {
        /// The write.
        tag: Tag,
    },
    /// A row has a tag that no caller wrote.
    UnknownRow {
        /// The tag in the row.
        tag: Tag,
    },
}

impl Violation {
    /// Returns the name of the kind of violation in reports.
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

/// The counts of checked operations and the violations found.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Verdict {
    /// The number of operations in the history.
    pub operations: usize,
    /// The number of acknowledged writes.
    pub acknowledged: usize,
    /// The number of acknowledged writes with a known position. Only the order of these is checked.
    pub positioned: usize,
    /// The number of answered reads.
    pub reads: usize,
    /// The number of answered reads of sessions with an earlier acknowledged write.
    pub reads_after_write: usize,
    /// The number of writes refused with the outcome "not run".
    pub not_run: usize,
    /// The number of writes with any other failure, whose outcome counts as unknown to the caller.
    pub unknown: usize,
    /// The number of writes of unknown outcome that have a row.
    pub unknown_present: usize,
    /// The violations found.
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

/// Checks a history against the final rows of its groups. `rows` is indexed by [`Record::group`].
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

    // Merges both lists: each write must have a higher position than all writes that ended before it
    // started. The highest position of those is enough for the comparison.
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
