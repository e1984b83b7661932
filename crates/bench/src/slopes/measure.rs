//! Measures time and memory on this process.

use std::fs;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// How many batches a time is the median of.
const BATCHES: usize = 15;

/// How long a batch runs at least, in nanoseconds.
const BATCH_NS: u128 = 4_000_000;

/// How much memory a measurement of memory takes at least.
const GROWTH_BYTES: u64 = 24 << 20;

const PAGE_BYTES: u64 = 4096;

/// A median and the spread around it.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct Spread {
    /// The lowest value.
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The highest value.
    pub max: f64,
}

impl Spread {
    /// The spread of some values, of which there is at least one.
    pub fn of(mut values: Vec<f64>) -> Spread {
        assert!(!values.is_empty(), "a spread needs a value");
        values.sort_by(f64::total_cmp);
        Spread { min: values[0], median: values[values.len() / 2], max: values[values.len() - 1] }
    }

    /// A value that is counted, not sampled.
    pub fn exact(value: f64) -> Spread {
        Spread { min: value, median: value, max: value }
    }
}

/// The time of one call in nanoseconds of wall time, over batches long enough for the clock.
pub fn time_ns<F>(mut call: F) -> Spread
where
    F: FnMut(),
{
    let mut calls = 1_u32;
    // The first batches warm caches and find the batch's length.
    while batch_ns(&mut call, calls) < BATCH_NS && calls < u32::MAX / 2 {
        calls *= 2;
    }
    let values =
        (0..BATCHES).map(|_| batch_ns(&mut call, calls) as f64 / f64::from(calls)).collect();
    Spread::of(values)
}

fn batch_ns<F>(call: &mut F, calls: u32) -> u128
where
    F: FnMut(),
{
    let start = Instant::now();
    for _ in 0..calls {
        call();
    }
    start.elapsed().as_nanos()
}

/// The resident memory of one copy in bytes.
///
/// Copies are made until the process has grown by tens of megabytes, and are kept until the process
/// ends: pages that one measurement gave back would make the next one look smaller.
pub fn memory_bytes<T, F>(mut make: F) -> Spread
where
    F: FnMut() -> T,
{
    let mut kept = vec![make()];
    let mut measured = Vec::new();
    for _ in 0..3 {
        let before_bytes = resident_bytes();
        let mut copies = 0_u64;
        while resident_bytes() < before_bytes + GROWTH_BYTES {
            kept.push(make());
            copies += 1;
        }
        let grown_bytes = resident_bytes() - before_bytes;
        measured.push(grown_bytes as f64 / copies as f64);
    }
    std::mem::forget(kept);
    Spread::of(measured)
}

/// The resident memory of this process in bytes; zero where the system doesn't tell.
pub fn resident_bytes() -> u64 {
    resident_bytes_of("self")
}

/// The resident memory of a process by its number in bytes; zero where the system doesn't tell.
pub fn resident_bytes_of(process: &str) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// The machine's load average over the last minute, as the system tells it.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().unwrap_or("unknown").to_owned()
}
