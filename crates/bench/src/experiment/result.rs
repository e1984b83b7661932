//! The result of an experiment run, stored as JSON lines.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::experiment::reads::CounterSums;
use crate::experiment::reads::ReplicaShare;
use crate::load::series::OperationSummary;
use crate::load::series::Second;

/// The figures of one load phase.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct PhaseResult {
    /// The position of the phase in the experiment, from 1.
    pub phase: usize,
    /// The offered rate, in operations per second.
    pub per_s: f64,
    /// Whether the phase is a surge.
    pub surge: bool,
    /// The figures of each operation in the mix.
    pub operations: Vec<OperationSummary>,
    /// The declared reads by where they were served.
    pub reads: ReplicaShare,
}

/// The declared reads of one second.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ReadSecond {
    /// The index of the second since the start of the load, from 0.
    pub second: u64,
    /// The declared reads by where they were served.
    pub reads: ReplicaShare,
}

/// The counts of the consistency checker's verdict.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct VerdictSummary {
    /// The number of checked operations.
    pub operations: usize,
    /// The number of acknowledged writes.
    pub acknowledged: usize,
    /// The number of answered reads of sessions with an earlier acknowledged write.
    pub reads_after_write: usize,
    /// The number of writes refused with the outcome "not run".
    pub not_run: usize,
    /// The number of writes with an unknown outcome.
    pub unknown: usize,
    /// The number of violations by the name of their kind.
    pub violations: BTreeMap<String, u64>,
}

/// A line of a result file.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum Line {
    /// The experiment and the conditions of the run.
    Experiment {
        /// The name of the experiment.
        name: String,
        /// The seed of arrivals and roaming.
        seed: u64,
        /// The load average of the host before the run.
        load_average: String,
    },
    /// The figures of a phase.
    Phase(PhaseResult),
    /// The figures of one operation in one second.
    Second(Second),
    /// The declared reads of one second.
    Reads(ReadSecond),
    /// The increase of the proxies' counters over the whole load.
    Counters {
        /// The increase by counter name, without counters that didn't increase.
        counters: CounterSums,
    },
    /// The checker's verdict.
    Verdict(VerdictSummary),
}

/// Serialises a result as JSON lines.
pub fn to_text(lines: &[Line]) -> Result<String, serde_json::Error> {
    let mut text = String::new();
    for line in lines {
        text.push_str(&serde_json::to_string(line)?);
        text.push('\n');
    }
    Ok(text)
}

/// Parses a result from JSON lines. Empty lines are ignored.
pub fn from_text(text: &str) -> Result<Vec<Line>, serde_json::Error> {
    text.lines().filter(|line| !line.is_empty()).map(serde_json::from_str).collect()
}
