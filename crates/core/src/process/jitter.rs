//! Delays that differ between processes and tries, without a source of randomness.
//!
//! Proxies that lost the same target at the same moment would come back at the same moment too.
//! Each draws its delays from a seed of its own, such as a hash of its VM's name.

use xxhash_rust::xxh3;

/// A delay below `span_us` (zero for a span of zero), the same for the same seed and step.
pub fn below_us(seed: u64, step: u64, span_us: u64) -> u64 {
    match span_us {
        0 => 0,
        _ => xxh3::xxh3_64_with_seed(&step.to_le_bytes(), seed) % span_us,
    }
}

/// A delay between half of `delay_us` and all of it.
pub fn upper_half_us(seed: u64, step: u64, delay_us: u64) -> u64 {
    let fixed_us = delay_us / 2;
    fixed_us + below_us(seed, step, delay_us - fixed_us + 1)
}

/// A seed from a name.
pub fn seed_of(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}
