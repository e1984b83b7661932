//! The set of log indexes of one term whose records a holder of session floors knows.
//!
//! A record is accounted for if the holder knows which session wrote it, or that no session did. No
//! index at or below the start is accounted for; above it, the set is stored as disjoint,
//! non-adjacent ranges. The size of the state follows the number of gaps; without gaps there is a
//! single range above the start.

use std::collections::BTreeMap;
use std::mem;

/// A set of accounted log indexes above a start index.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
pub(super) struct Accounted {
    start: u64,
    /// Maps the first index of each range to its last. Ranges are disjoint and not adjacent.
    ranges: BTreeMap<u64, u64>,
}

impl Accounted {
    /// Creates an empty set: no index up to `start` is accounted for.
    pub(super) fn new(start: u64) -> Accounted {
        Accounted { start, ranges: BTreeMap::new() }
    }

    pub(super) fn start(&self) -> u64 {
        self.start
    }

    pub(super) fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Adds one index. Indexes at or below the start are ignored.
    pub(super) fn insert(&mut self, index: u64) {
        if index <= self.start {
            return;
        }
        let before = self.ranges.range(..=index).next_back().map(|(&first, &last)| (first, last));
        let first = match before {
            Some((_, last)) if last >= index => return,
            Some((first, last)) if last + 1 == index => first,
            _ => index,
        };
        let last = self.ranges.remove(&(index + 1)).unwrap_or(index);
        self.ranges.insert(first, last);
    }

    /// Returns the highest index at or below `end` that is not accounted for, but at least the
    /// start.
    pub(super) fn highest_gap(&self, end: u64) -> u64 {
        if end <= self.start {
            return self.start;
        }
        match self.ranges.range(..=end).next_back() {
            Some((&first, &last)) if last >= end => first - 1,
            _ => end,
        }
    }

    /// Raises the start to `index` and drops the ranges, or parts of them, at or below it.
    pub(super) fn drop_up_to(&mut self, index: u64) {
        if index <= self.start {
            return;
        }
        self.start = index;
        let kept = self.ranges.split_off(&(index + 1));
        let cut = mem::replace(&mut self.ranges, kept);
        if let Some((_, &last)) = cut.last_key_value()
            && last > index
        {
            self.ranges.insert(index + 1, last);
        }
    }

    /// Drops the lower half of the ranges by raising the start.
    pub(super) fn drop_lower_half(&mut self) {
        if let Some((&first, _)) = self.ranges.iter().nth(self.ranges.len() / 2) {
            self.drop_up_to(first - 1);
        }
    }

    /// Returns the first indexes of ranges that are empty, reach below the start, or touch the
    /// range before them.
    pub(super) fn invalid_ranges(&self) -> Vec<u64> {
        let mut bad = Vec::new();
        let mut below = self.start;
        for (&first, &last) in &self.ranges {
            if first > last || first <= below {
                bad.push(first);
            }
            below = last + 1;
        }
        bad
    }
}
