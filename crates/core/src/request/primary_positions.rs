//! Samples of a primary's log position, with the times by which the primary had reached them.
//!
//! A read can require "at least position P" of a target, which refuses it if its log lacks P, so the
//! positions of members need not be known. P must cover everything that was acknowledged by the oldest
//! time that the read's bound on age allows. Each answer by which a primary proves that it led, such
//! as the answer to a commit, gives such a position: it covers everything that was acknowledged before the
//! request was *sent*. The time when the answer arrived would be wrong: commits that were acknowledged
//! while the answer was in transit may be missing.
//!
//! Of the samples that are recent enough the oldest is used, since more replicas have reached it.

use std::collections;

use crate::log_position::LogPosition;
use crate::process::read_age::Sample;

/// The minimum time between two stored samples, in microseconds. The oldest sample that is recent enough
/// is at most this much newer than the optimum.
pub const SPACING_US: u64 = 50_000;

/// The maximum number of stored samples. Spaced by [`SPACING_US`] they span 3.2 s, more than the usual
/// bounds on the age of data.
pub const MAX_SAMPLES: usize = 64;

/// The reason why a position of another process is rejected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PositionError {
    /// It was taken before this process's clock started.
    BeforeClock,
}

/// The samples of one group, ordered by time.
#[derive(Clone, Debug, Default)]
pub struct PrimaryPositions {
    samples: collections::VecDeque<Sample>,
}

impl PrimaryPositions {
    /// Records that a primary with proved leadership answered a request sent at `sent_us` with `position`.
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

    /// Records a position that another process, asked at `asked_us`, reported to be `age_us` old.
    ///
    /// The other process measured the age after the request was sent, so the primary had proved its
    /// leadership at `asked_us - age_us` or later.
    ///
    /// A position from before this process's clock started is rejected. With its time clamped to the
    /// start of the clock it would count as newer than it is, here and at peers that get it from this
    /// process, and reads would miss commits that were acknowledged in between.
    ///
    /// # Errors
    ///
    /// Returns [`PositionError::BeforeClock`] for a position from before the clock started.
    pub fn record_from_peer(
        &mut self,
        asked_us: u64,
        age_us: u64,
        position: LogPosition,
    ) -> Result<(), PositionError> {
        let taken_us = asked_us.checked_sub(age_us).ok_or(PositionError::BeforeClock)?;
        self.record(taken_us, position);
        Ok(())
    }

    /// Returns the lowest known position that covers everything that was acknowledged by `as_of_us`.
    pub fn covering(&self, as_of_us: u64) -> Option<LogPosition> {
        self.first_since(as_of_us).map(|sample| sample.position)
    }

    /// Returns the oldest sample that was taken at `as_of_us` or later.
    pub fn first_since(&self, as_of_us: u64) -> Option<Sample> {
        let first = self.samples.partition_point(|sample| sample.taken_us < as_of_us);
        self.samples.get(first).copied()
    }

    /// Returns the oldest stored position. It covers commits that were acknowledged up to a few seconds ago.
    pub fn oldest(&self) -> Option<LogPosition> {
        self.samples.front().map(|sample| sample.position)
    }

    /// Returns the newest sample.
    pub fn newest(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// Returns a description of every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let pairs = self.samples.iter().zip(self.samples.iter().skip(1));
        let backward =
            pairs.filter(|(a, b)| a.taken_us > b.taken_us || a.position > b.position).count();
        match backward {
            0 => Vec::new(),
            _ => vec![format!("{backward} samples go back")],
        }
    }

    /// Returns whether a sample at `sent_us` replaces the newest one, because it is less than
    /// [`SPACING_US`] after the sample before the newest.
    fn replaces_newest(&self, sent_us: u64) -> bool {
        let Some(before) = self.samples.len().checked_sub(2).and_then(|at| self.samples.get(at))
        else {
            return false;
        };
        sent_us < before.taken_us + SPACING_US
    }
}
