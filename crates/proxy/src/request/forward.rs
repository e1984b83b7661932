//! What a proxy says to another about a transaction that it forwards.
//!
//! It travels as `SET skylark.forward = 'JSON'` in front of the transaction's first statement, on
//! the same connection and in the same write, so it costs no round trip.

use bytes::BytesMut;
use postgres_protocol::message::frontend;
use serde::Deserialize;
use serde::Serialize;
use skylark_core::log_position::LogPosition;

/// The context of one forwarded transaction.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The class, by name.
    pub class: String,
    /// The caller's user name, for fairness between callers.
    pub caller: String,
    /// How long the sender waits.
    pub deadline_ms: u64,
    /// What the session must see.
    pub floor: LogPosition,
    /// For a declared read the oldest age of its data; none for what may write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_age_ms: Option<u64>,
    /// How often the request was forwarded, this time included.
    pub hops: u8,
    /// The target that the sender chose.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// The session's identity, under which its writes are recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    /// Whether `floor` is all that the session must see; otherwise it is asked for by `session`.
    #[serde(default)]
    pub floor_known: bool,
    /// The session's own settings, each a whole `SET`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub settings: Vec<String>,
    /// The revision of the sender's configuration.
    pub revision: u64,
}

impl Forward {
    /// Reads the value of `skylark.forward`.
    pub fn parse(json: &str) -> Result<Forward, serde_json::Error> {
        serde_json::from_str(json)
    }

    /// Appends the simple query that carries this.
    pub fn write(&self, out: &mut BytesMut) -> std::io::Result<()> {
        let json = serde_json::to_string(self)?.replace('\'', "''");
        frontend::query(&format!("SET skylark.forward = '{json}'"), out)
    }
}
