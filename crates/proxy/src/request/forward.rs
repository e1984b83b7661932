//! The context that a proxy sends along with a transaction that it forwards to another proxy.
//!
//! It is sent as `SET skylark.forward = 'JSON'` in front of the transaction's first statement, on the
//! same connection and in the same write, so it adds no round trip.

use bytes::BytesMut;
use postgres_protocol::message::frontend;
use serde::Deserialize;
use serde::Serialize;
use skylark_core::log_position::LogPosition;

/// The context of one forwarded transaction.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Forward {
    /// The name of the class.
    pub class: String,
    /// The caller's user name, so that the receiver can share its capacity fairly between callers.
    pub caller: String,
    /// The time that the sender waits for the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The log position that a read of this session must cover.
    pub floor: LogPosition,
    /// The maximum age of the data for a declared read, in milliseconds; `None` if the request may
    /// write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_age_ms: Option<u64>,
    /// The number of times that the request was forwarded, including this one.
    pub hops: u8,
    /// The target that the sender chose; `None` to leave the choice to the receiver.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target: Option<String>,
    /// The session's identity, under which its writes are recorded; `None` if it declared none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
    /// Whether `floor` is complete; otherwise the receiver looks up the session's floor by `session`.
    #[serde(default)]
    pub floor_known: bool,
    /// The session's settings of target parameters, each a complete `SET` statement.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub settings: Vec<String>,
    /// The revision of the sender's configuration.
    pub revision: u64,
}

impl Forward {
    /// Parses the value of `skylark.forward`.
    pub fn parse(json: &str) -> Result<Forward, serde_json::Error> {
        serde_json::from_str(json)
    }

    /// Appends a simple query that sets `skylark.forward` to this context.
    pub fn write(&self, out: &mut BytesMut) -> std::io::Result<()> {
        let json = serde_json::to_string(self)?.replace('\'', "''");
        frontend::query(&format!("SET skylark.forward = '{json}'"), out)
    }
}
