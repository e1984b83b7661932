//! What a run of an experiment gives, as JSON lines.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::experiment::reads::CounterSums;
use crate::experiment::reads::ReplicaShare;
use crate::load::series::OperationSummary;
use crate::load::series::Second;

/// What became of one phase.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct PhaseResult {
    /// The phase's place, from 1.
    pub phase: usize,
    /// Operations offered a second.
    pub per_s: f64,
    /// Whether it is a surge.
    pub surge: bool,
    /// Each operation.
    pub operations: Vec<OperationSummary>,
    /// Where declared reads were served.
    pub reads: ReplicaShare,
}

/// The reads and refusals of one second.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct ReadSecond {
    /// The second since the load began.
    pub second: u64,
    /// Where declared reads were served.
    pub reads: ReplicaShare,
}

/// The checker's verdict in numbers.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct VerdictSummary {
    /// Operations checked.
    pub operations: usize,
    /// Acknowledged writes among them.
    pub acknowledged: usize,
    /// Reads of sessions that had written before.
    pub reads_after_write: usize,
    /// Writes refused as not run.
    pub not_run: usize,
    /// Writes of unknown outcome.
    pub unknown: usize,
    /// Violations by kind.
    pub violations: BTreeMap<String, u64>,
}

/// A line of a result file.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
pub enum Line {
    /// What ran.
    Experiment {
        /// The name.
        name: String,
        /// The seed.
        seed: u64,
        /// The machine's load average before the run.
        load_average: String,
    },
    /// A phase.
    Phase(PhaseResult),
    /// A second of one operation.
    Second(Second),
    /// A second's reads.
    Reads(ReadSecond),
    /// What the proxies counted over the whole load.
    Counters {
        /// Growth by name, without those that did not grow.
        counters: CounterSums,
    },
    /// The checker's verdict.
    Verdict(VerdictSummary),
}

/// Writes a result as JSON lines.
pub fn to_text(lines: &[Line]) -> Result<String, serde_json::Error> {
    let mut text = String::new();
    for line in lines {
        text.push_str(&serde_json::to_string(line)?);
        text.push('\n');
    }
    Ok(text)
}

/// Reads a result from JSON lines.
pub fn from_text(text: &str) -> Result<Vec<Line>, serde_json::Error> {
    text.lines().filter(|line| !line.is_empty()).map(serde_json::from_str).collect()
}
