//! Log positions of a primary with the times by which they were reached.
//!
//! Whoever asks a target for "at least position P" has a read refused where P is missing, so no
//! member's position needs to be known. P has to cover all that was acknowledged by the time that
//! the read's bound on age allows. Each answer by which a primary proves that it led, such as that
//! to a commit, brings such a position: it covers all that was acknowledged before the request was
//! *sent*. The time of the answer would be wrong: what was acknowledged while it travelled may be
//! missing.
//!
//! Of the samples that are young enough the oldest is taken, since more replicas have reached it.

use std::collections;

use crate::log_position::LogPosition;
use crate::process::read_age::Sample;

/// The time between two samples that are kept. The choice of the oldest one that is young enough is
/// at most this much younger than it could be.
pub const SPACING_US: u64 = 50_000;

/// How many samples are kept: with [`SPACING_US`] apart, 3.2 s, above the usual bounds on age.
pub const MAX_SAMPLES: usize = 64;

/// Why a position can't be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PositionError {
    /// It was taken before this process's clock began.
    BeforeClock,
}

/// The samples of one group, in the order of their times.
#[derive(Clone, Debug, Default)]
pub struct PrimaryPositions {
    samples: collections::VecDeque<Sample>,
}

impl PrimaryPositions {
    /// A primary that proved its lead answered a request sent at `sent_us` with `position`.
    pub fn record(&mut self, sent_us: u64, position: LogPosition) {
        let newest = self.samples.back();
        if newest.is_some_and(|newest| newest.taken_us > sent_us) {
            return;
        }
        let highest = newest.map_or(position, |newest| newest.position.max(position));
        let sample = Sample { taken_us: sent_us, position: highest };
        if self.replaces_newest(sent_us) {
            self.samples.pop_back();
        }
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Another process, asked at `asked_us`, told a position that was `age_us` old when it answered.
    ///
    /// It measured the age after the question was sent, so the primary had proved its lead at
    /// `asked_us - age_us` or later.
    ///
    /// A position from before this process's clock began is refused. Taken for one of the clock's
    /// first moment it would count as younger than it is, here and at those whom this process tells,
    /// and reads would miss what was acknowledged in between.
    ///
    /// # Errors
    ///
    /// [`PositionError::BeforeClock`] for such a position.
    pub fn told(
        &mut self,
        asked_us: u64,
        age_us: u64,
        position: LogPosition,
    ) -> Result<(), PositionError> {
        let taken_us = asked_us.checked_sub(age_us).ok_or(PositionError::BeforeClock)?;
        self.record(taken_us, position);
        Ok(())
    }

    /// The lowest known position that covers all that was acknowledged by `as_of_us`.
    pub fn covering(&self, as_of_us: u64) -> Option<LogPosition> {
        self.first_since(as_of_us).map(|sample| sample.position)
    }

    /// The oldest sample that was taken at `as_of_us` or later.
    pub fn first_since(&self, as_of_us: u64) -> Option<Sample> {
        let first = self.samples.partition_point(|sample| sample.taken_us < as_of_us);
        self.samples.get(first).copied()
    }

    /// The oldest position that is kept: what it covers was acknowledged some seconds ago.
    pub fn oldest(&self) -> Option<LogPosition> {
        self.samples.front().map(|sample| sample.position)
    }

    /// The newest sample.
    pub fn newest(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let pairs = self.samples.iter().zip(self.samples.iter().skip(1));
        let backward =
            pairs.filter(|(a, b)| a.taken_us > b.taken_us || a.position > b.position).count();
        match backward {
            0 => Vec::new(),
            _ => vec![format!("{backward} samples go back")],
        }
    }

    /// Whether the newest sample stands too close after the one before it to be kept beside the
    /// next one.
    fn replaces_newest(&self, sent_us: u64) -> bool {
        let Some(before) = self.samples.len().checked_sub(2).and_then(|at| self.samples.get(at))
        else {
            return false;
        };
        sent_us < before.taken_us + SPACING_US
    }
}
