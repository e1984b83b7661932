//! Random delays from a seed that the embedder gives.

/// A small generator (SplitMix64, Steele, Lea and Flood 2014). Its numbers only spread retries, so
/// quality matters little; that equal seeds give equal runs matters for tests.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct Jitter(u64);

impl Jitter {
    pub(super) fn new(seed: u64) -> Jitter {
        Jitter(seed)
    }

    /// A delay between half of `most_us` and all of it.
    pub(super) fn spread(&mut self, most_us: u64) -> u64 {
        let half_us = most_us / 2;
        half_us + self.next() % (most_us - half_us + 1)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}
