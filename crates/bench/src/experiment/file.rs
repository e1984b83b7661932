//! The experiment file: JSON with comments.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;
use serde::Serialize;
use skylark_settings::deployment::DeploymentSettings;
use skylark_standin::deployment::fault::Fault;

use crate::load::arrivals::Phase;
use crate::load::mix::OperationSpec;
use crate::load::session::Roaming;

/// The contents of an experiment file.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment in results.
    pub name: String,
    /// The path of the deployment file, relative to the directory of the experiment file.
    pub deployment: String,
    /// The service time of each statement at the targets, in microseconds.
    #[serde(default)]
    pub statement_cost_us: u64,
    /// The seed of arrivals and roaming.
    pub seed: u64,
    /// The load phases, in order.
    pub phases: Vec<Phase>,
    /// The operations of the load and their weights.
    pub mix: Vec<OperationSpec>,
    /// The number of sessions in each group.
    pub sessions_per_group: u32,
    /// The roaming modes, assigned to the sessions in turn.
    pub roaming: Vec<Roaming>,
    /// The mean number of operations between a session's moves to another proxy: it moves before one in this
    /// many, chosen at random.
    pub roam_every: u32,
    /// The time after which a caller abandons a request, in milliseconds.
    pub limit_ms: u64,
    /// The timed events, in any order.
    #[serde(default)]
    pub timeline: Vec<TimelineEntry>,
}

/// An event of an experiment with its time.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineEntry {
    /// The time of the event, in milliseconds since the start of the load.
    pub at_ms: u64,
    /// The event.
    pub event: TimelineEvent,
}

/// An event of an experiment.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TimelineEvent {
    /// Starts or ends a fault of the simulated targets, zones or platform.
    Fault(Fault),
    /// Kills the proxy of a VM without a graceful stop.
    KillVm(String),
    /// Restarts the proxy of a VM.
    RestartVm(String),
}

/// An error while reading an experiment file.
#[derive(Debug)]
pub enum ReadError {
    /// The experiment file can't be read.
    Io(io::Error),
    /// The text isn't valid JSON with comments.
    Syntax(String),
    /// A value is invalid.
    Value {
        /// The path of the value within the file.
        path: String,
        /// The reason why the value is invalid.
        reason: String,
    },
    /// The deployment file can't be read or is invalid.
    Deployment(String),
    /// The list of this name needs at least one entry but is empty.
    Empty(&'static str),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Io(error) => error.fmt(f),
            ReadError::Syntax(reason) => f.write_str(reason),
            ReadError::Value { path, reason } => write!(f, "{path}: {reason}"),
            ReadError::Deployment(reason) => write!(f, "deployment file: {reason}"),
            ReadError::Empty(list) => write!(f, "{list}: at least one entry is required"),
        }
    }
}

/// Parses the text of an experiment file.
pub fn parse(text: &str) -> Result<Experiment, ReadError> {
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &Default::default())
        .map_err(|error| ReadError::Syntax(error.to_string()))?;
    let experiment: Experiment = serde_path_to_error::deserialize(value).map_err(|error| {
        ReadError::Value { path: error.path().to_string(), reason: error.inner().to_string() }
    })?;
    let lists = [
        ("phases", experiment.phases.is_empty()),
        ("mix", experiment.mix.is_empty()),
        ("roaming", experiment.roaming.is_empty()),
    ];
    match lists.into_iter().find(|(_, empty)| *empty) {
        Some((list, _)) => Err(ReadError::Empty(list)),
        None => Ok(experiment),
    }
}

/// Reads an experiment file and its deployment file.
///
/// The experiment's `statement_cost_us` overrides the value of every member of the deployment.
pub fn load(path: &Path) -> Result<(Experiment, DeploymentSettings), ReadError> {
    let experiment = parse(&fs::read_to_string(path).map_err(ReadError::Io)?)?;
    let directory = path.parent().unwrap_or(Path::new("."));
    let mut settings: DeploymentSettings =
        skylark_settings::load(&directory.join(&experiment.deployment))
            .map_err(|error| ReadError::Deployment(error.to_string()))?;
    for member in settings.groups.iter_mut().flat_map(|group| &mut group.members) {
        member.statement_cost_us = experiment.statement_cost_us;
    }
    Ok((experiment, settings))
}
