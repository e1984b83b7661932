//! Deterministic jitter: delays that differ between processes and attempts without a source of
//! randomness.
//!
//! Proxies that lose the same target at the same time would otherwise all retry at the same time.
//! Each process derives its delays from its own seed, such as a hash of its VM's name.

use xxhash_rust::xxh3;

/// The maximum number of doublings of a delay, which keeps the result within its type.
const MAX_DOUBLINGS: u32 = 16;

/// Returns a delay below `span_us`, or zero if that is zero. It is the same for the same seed and
/// step.
pub fn below_us(seed: u64, step: u64, span_us: u64) -> u64 {
    match span_us {
        0 => 0,
        _ => xxh3::xxh3_64_with_seed(&step.to_le_bytes(), seed) % span_us,
    }
}

/// Returns a delay between half of `delay_us` and all of it, both included.
pub fn upper_half_us(seed: u64, step: u64, delay_us: u64) -> u64 {
    let fixed_us = delay_us / 2;
    fixed_us + below_us(seed, step, delay_us - fixed_us + 1)
}

/// Returns a delay that is doubled `doublings` times, but at most `max_us`.
pub fn doubled_us(delay_us: u64, doublings: u32, max_us: u64) -> u64 {
    (delay_us << doublings.min(MAX_DOUBLINGS)).min(max_us)
}

/// Returns the hash of a name, for use as a seed.
pub fn seed_of(name: &str) -> u64 {
    xxh3::xxh3_64(name.as_bytes())
}
