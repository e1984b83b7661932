//! The mix of operations that a run offers.

use serde::Deserialize;
use serde::Serialize;

/// What an operation does.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// One `INSERT`.
    Write,
    /// `BEGIN`, an `INSERT`, a read of the own row, `COMMIT`.
    Transaction,
    /// One `SELECT`.
    Read,
}

/// One kind of operation in the mix.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationSpec {
    /// The name in reports.
    pub name: String,
    /// What it does.
    pub action: Action,
    /// The class that the caller names; empty for the service's default.
    #[serde(default)]
    pub class: String,
    /// The read kind that the caller declares; empty for none, which goes to the primary.
    #[serde(default)]
    pub read_kind: String,
    /// The share in the mix relative to the other operations.
    pub weight: u32,
    /// The weight while a surge lasts; the ordinary weight if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub surge_weight: Option<u32>,
}
