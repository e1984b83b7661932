//! Decides whether log positions of a service's primary are prefetched for the reads that need them.
//!
//! A read without a known position waits for one, so positions are prefetched for services that are read
//! often. With hundreds of services that a process reads only occasionally, prefetching would send more
//! requests than there are reads; each read of such a service requests a position itself. A process that
//! serves positions to peers prefetches as long as any peer asks, since more replicas have reached an older
//! position than a new one.

use std::collections::VecDeque;

/// The time window in which reads are counted, in microseconds.
pub const WINDOW_US: u64 = 4_000_000;

/// The number of reads within [`WINDOW_US`] from which on positions are prefetched.
pub const MIN_READS: usize = 2;

/// The time between two prefetched positions, in microseconds: a third of the shortest usual bound on the
/// age of data.
pub const SPACING_US: u64 = 500_000;

/// The demand of one process for positions of one service.
#[derive(Clone, Debug, Default)]
pub struct PositionDemand {
    /// The times of the last reads that needed a position, at most [`MIN_READS`].
    reads_us: VecDeque<u64>,
    /// When the last prefetch started.
    prefetched_us: Option<u64>,
}

impl PositionDemand {
    /// Records that a read, or a peer, needs a position.
    pub fn record_need(&mut self, now_us: u64) {
        if self.reads_us.len() == MIN_READS {
            self.reads_us.pop_front();
        }
        self.reads_us.push_back(now_us);
    }

    /// Returns whether a read or a peer needed a position within [`WINDOW_US`].
    pub fn is_needed(&self, now_us: u64) -> bool {
        self.recent(now_us) > 0
    }

    fn recent(&self, now_us: u64) -> usize {
        self.reads_us.iter().filter(|at_us| now_us < **at_us + WINDOW_US).count()
    }

    /// Returns whether to prefetch a position now, when the newest known one was taken at `newest_us`.
    /// If so, the prefetch counts as started, even if it fails later: failing prefetches are not
    /// repeated more often than [`SPACING_US`].
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
