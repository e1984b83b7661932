//! Revisions of the platform's store that are ordered across restores.
//!
//! A store that is restored from a backup loses its latest writes and assigns their revisions again, to
//! other writes. Such a store counts its restores; the count is called its generation here. A revision is
//! therefore identified and ordered by its generation first, and by the store's own counter second. A
//! fact that was read in an earlier generation may have been lost with the restore.

use serde::Deserialize;
use serde::Serialize;

/// The number of low bits that hold the store's own counter. At a thousand changes a second the counter
/// fits for 34 years.
const NUMBER_BITS: u32 = 40;

/// The highest value of the store's own counter.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// A revision of the store: its generation and its own counter. Zero is before the first revision.
///
/// It is transferred as a single number, whose high bits are the generation. Without a restore it is the
/// store's own counter.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// Creates the revision `number` of a generation.
    pub fn new(generation: u64, number: u64) -> StoreRevision {
        let generation = generation.min(u64::MAX >> NUMBER_BITS);
        StoreRevision(generation << NUMBER_BITS | number.min(MAX_NUMBER))
    }

    /// Returns how often the store had been restored.
    pub fn generation(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the store's own counter, as it appears in calls.
    pub fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Returns the revision as a fencing token. It is higher than the tokens of all earlier revisions.
    pub fn as_token(self) -> u64 {
        self.0
    }

    /// Returns the generation in which a token was assigned.
    pub fn generation_of_token(token: u64) -> u64 {
        token >> NUMBER_BITS
    }
}

/// The newest generation of the store that a process knows, and since when.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct SeenGeneration {
    /// The generation.
    pub number: u64,
    /// When the process first saw it, in microseconds; zero before the first revision. The store was
    /// restored before that.
    pub since_us: u64,
    /// Whether the process saw an earlier generation.
    pub follows_another: bool,
}

impl SeenGeneration {
    /// Records that a revision of `generation` was seen.
    pub fn observe(&mut self, generation: u64, now_us: u64) {
        let is_first = self.since_us == 0;
        if is_first || generation > self.number {
            *self =
                SeenGeneration { number: generation, since_us: now_us, follows_another: !is_first };
        }
    }

    /// Returns when the process noticed the last restore, in microseconds; zero if it noticed none.
    pub fn restored_us(&self) -> u64 {
        if self.follows_another { self.since_us } else { 0 }
    }
}
