//! Whether positions of a service's primary are brought ahead of the reads that need them.
//!
//! A read that finds no position waits for one, so they are brought ahead where a service is read often.
//! With hundreds of services, each of which a process reads now and then, that would be more questions than
//! reads: there each read that needs a position asks for one. A process that tells others has positions at
//! hand as long as any of them asks, since a position that was taken some time ago is one that more replicas
//! have reached.

use std::collections::VecDeque;

/// Within which time reads count, in microseconds.
pub const WINDOW_US: u64 = 4_000_000;

/// How many reads within [`WINDOW_US`] have positions brought ahead.
pub const MIN_READS: usize = 2;

/// The time between two positions that are brought ahead, in microseconds: a third of the shortest bound on
/// age that is usual.
pub const SPACING_US: u64 = 500_000;

/// The reads of one service by one process.
#[derive(Clone, Debug, Default)]
pub struct PositionDemand {
    /// When the last ones needed a position, at most [`OFTEN`].
    reads_us: VecDeque<u64>,
    /// When a position was last brought ahead.
    prefetched_us: Option<u64>,
}

impl PositionDemand {
    /// A read, or another process, needs a position.
    pub fn record_need(&mut self, now_us: u64) {
        if self.reads_us.len() == MIN_READS {
            self.reads_us.pop_front();
        }
        self.reads_us.push_back(now_us);
    }

    /// Whether any read or other process needed a position lately.
    pub fn is_needed(&self, now_us: u64) -> bool {
        self.recent(now_us) > 0
    }

    fn recent(&self, now_us: u64) -> usize {
        self.reads_us.iter().filter(|at_us| now_us < **at_us + WINDOW_US).count()
    }

    /// Whether a position is to be brought now, where the newest one was taken at `newest_us`. It counts as
    /// brought from then on, whatever comes of it.
    pub fn start_prefetch(
        &mut self,
        serves_peers: bool,
        newest_us: Option<u64>,
        now_us: u64,
    ) -> bool {
        let min_reads = if serves_peers { 1 } else { MIN_READS };
        let is_fresh = |taken_us: u64| now_us < taken_us + SPACING_US;
        let is_needed = self.recent(now_us) >= min_reads;
        if !is_needed || newest_us.is_some_and(is_fresh) || self.prefetched_us.is_some_and(is_fresh)
        {
            return false;
        }
        self.prefetched_us = Some(now_us);
        true
    }
}
