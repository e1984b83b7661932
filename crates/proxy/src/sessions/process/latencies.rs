//! Histograms of statement times by class and stage.

use hdrhistogram::Histogram;
use parking_lot::Mutex;

use crate::sessions::process::metrics_text;
use crate::sessions::process::metrics_text::Metric;
use crate::sessions::process::targets::CLASSES;

/// Largest time that a histogram distinguishes, in microseconds. It exceeds every timeout of the users.
const LONGEST_US: u64 = 20_000_000;

/// One significant digit keeps a histogram below 2 KB and resolves times to a tenth.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Upper bounds of the exported buckets, in milliseconds.
const BOUNDS_MS: [u64; 11] = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000];

/// A part of the time that a statement takes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Stage {
    /// From the statement's arrival to its answer.
    Whole,
    /// Waiting in the admission queue and for a connection.
    Queue,
    /// From sending the statement to a target to the target's answer.
    Target,
}

/// The stages with their names, in the order of their index.
const STAGES: [(Stage, &str); 3] =
    [(Stage::Whole, "whole"), (Stage::Queue, "queue"), (Stage::Target, "target")];

/// The histograms of all stages and classes.
#[derive(Debug)]
pub struct Latencies {
    histograms: Vec<Mutex<Histogram<u32>>>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let new = |_| {
            let histogram = Histogram::new_with_max(LONGEST_US, SIGNIFICANT_DIGITS);
            Mutex::new(histogram.expect("the bounds are valid"))
        };
        Latencies { histograms: (0..STAGES.len() * CLASSES).map(new).collect() }
    }
}

impl Latencies {
    /// Records one statement of a class.
    pub fn record(&self, stage: Stage, class: usize, took_us: u64) {
        let index = stage as usize * CLASSES + class.min(CLASSES - 1);
        self.histograms[index].lock().saturating_record(took_us);
    }

    /// Appends all histograms that are not empty, as cumulative counts.
    pub fn render(&self, out: &mut String) {
        for (stage, name) in STAGES {
            for class in 0..CLASSES {
                let histogram = self.histograms[stage as usize * CLASSES + class].lock();
                if !histogram.is_empty() {
                    render(&histogram, name, class, out);
                }
            }
        }
    }
}

fn render(histogram: &Histogram<u32>, stage: &str, class: usize, out: &mut String) {
    let labels = format!("stage=\"{stage}\",class=\"{class}\"");
    let bucket = |out: &mut String, bound: &str, count: u64| {
        let labels = format!("{{{labels},le=\"{bound}\"}}");
        metrics_text::line(out, Metric::StatementTimes.name(), &labels, count);
    };
    for bound_ms in BOUNDS_MS {
        bucket(out, &bound_ms.to_string(), histogram.count_between(0, bound_ms * 1_000));
    }
    let count = histogram.len();
    bucket(out, "+Inf", count);
    metrics_text::line(out, Metric::StatementCount.name(), &format!("{{{labels}}}"), count);
}
