//! The description of an experiment: JSON with comments.

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

/// An experiment.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name in results.
    pub name: String,
    /// The deployment's file, relative to this one.
    pub deployment: String,
    /// The service time of each statement at the targets, in microseconds.
    #[serde(default)]
    pub statement_cost_us: u64,
    /// The seed of arrivals and roaming.
    pub seed: u64,
    /// The rates over time.
    pub phases: Vec<Phase>,
    /// The operations.
    pub mix: Vec<OperationSpec>,
    /// Sessions in each group.
    pub sessions_per_group: u32,
    /// How sessions roam; they take turns over this list.
    pub roaming: Vec<Roaming>,
    /// Before one of how many operations a session moves to another proxy.
    pub roam_every: u32,
    /// When a caller gives up waiting, in milliseconds.
    pub limit_ms: u64,
    /// What happens when.
    #[serde(default)]
    pub timeline: Vec<TimelineEntry>,
}

/// Something that happens in an experiment.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimelineEntry {
    /// When, in milliseconds since the load began.
    pub at_ms: u64,
    /// What.
    pub event: TimelineEvent,
}

/// What can happen.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TimelineEvent {
    /// A fault of the stand-ins begins or ends.
    Fault(Fault),
    /// The proxy of a VM ends at once.
    KillVm(String),
    /// The proxy of a VM starts again.
    RestartVm(String),
}

/// Why an experiment can't be read.
#[derive(Debug)]
pub enum ReadError {
    /// The file can't be read.
    Io(io::Error),
    /// The text is no JSON with comments.
    Syntax(String),
    /// A value has no accepted form.
    Value {
        /// The path of the value.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The deployment can't be read.
    Deployment(String),
    /// A list that must hold something is empty.
    Empty(&'static str),
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Io(error) => error.fmt(f),
            ReadError::Syntax(reason) => f.write_str(reason),
            ReadError::Value { path, reason } => write!(f, "{path}: {reason}"),
            ReadError::Deployment(reason) => write!(f, "the deployment: {reason}"),
            ReadError::Empty(list) => write!(f, "{list}: at least one entry is needed"),
        }
    }
}

/// Reads an experiment's text.
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

/// Reads an experiment's file and its deployment.
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
