//! Which positions of one term's log a holder can account for.
//!
//! Positions up to a beginning are not accounted for; above it, disjoint ranges are. The state is
//! as small as the gaps are few: in the ordinary case one range follows the beginning.

use std::collections::BTreeMap;
use std::mem;

/// The indexes that are accounted for.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Default)]
pub(super) struct Accounted {
    start: u64,
    /// First index → last index. Ranges don't touch each other.
    ranges: BTreeMap<u64, u64>,
}

impl Accounted {
    /// Nothing is accounted for up to `beginning`.
    pub(super) fn new(start: u64) -> Accounted {
        Accounted { start, ranges: BTreeMap::new() }
    }

    pub(super) fn start(&self) -> u64 {
        self.start
    }

    pub(super) fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Accounts for one index.
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

    /// The highest index at or below `end` that is not accounted for, but never less than the
    /// beginning.
    pub(super) fn highest_gap(&self, end: u64) -> u64 {
        if end <= self.start {
            return self.start;
        }
        match self.ranges.range(..=end).next_back() {
            Some((&first, &last)) if last >= end => first - 1,
            _ => end,
        }
    }

    /// Moves the beginning up: what is at or below need not be told apart any more.
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

    /// Forgets the lower half of the ranges.
    pub(super) fn drop_lower_half(&mut self) {
        if let Some((&first, _)) = self.ranges.iter().nth(self.ranges.len() / 2) {
            self.drop_up_to(first - 1);
        }
    }

    /// The first indexes of ranges that are empty, reach below the beginning, or touch the range
    /// before.
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
