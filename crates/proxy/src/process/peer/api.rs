//! The control protocol: JSON-RPC over HTTP on each proxy's control address.
//!
//! `jsonrpsee` generates the client and the server from one trait, so both sides use the same message
//! types. Messages between proxies carry the sender's revision, and the side with the lower revision pulls
//! the newer configuration.

use std::collections;

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;

/// The path at which `health` is also answered to HTTP GET requests.
pub const HEALTH_PATH: &str = "/health";

/// The path at which HTTP GET requests succeed only while the proxy accepts new callers, for load
/// balancers that check only the status code.
pub const READY_PATH: &str = "/ready";

/// The JSON-RPC error code of a call that this proxy can't answer now; another proxy may answer it.
pub const UNAVAILABLE_CODE: i32 = -32_001;

/// The JSON-RPC error code of a call for a group that is unknown to this proxy.
pub const UNKNOWN_GROUP_CODE: i32 = -32_002;

/// A proxy's revision and state, exchanged with peers. The default stands for a process without a
/// version that does not name its VM.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct PeerVersion {
    /// The revision in force at the sender; zero before its first version.
    pub revision: u64,
    /// The sender's VM.
    pub vm: String,
    /// Whether the sender is stopping and is to get no new requests.
    #[serde(default)]
    pub stopping: bool,
    /// A digest of the groups' terms known to the sender. If two digests differ, one side knows a
    /// primary that the other does not.
    #[serde(default)]
    pub leaders_digest: u64,
    /// A digest of the sender's list of VMs, which has no revision to compare.
    #[serde(default)]
    pub vms_digest: u64,
    /// Whether the sender currently reads the list of VMs from the platform, so that its list is recent.
    #[serde(default)]
    pub vms_fresh: bool,
}

/// A group's primary as known to the sender.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The group.
    pub group: String,
    /// The primary.
    pub target: String,
    /// Its term.
    pub term: Term,
}

/// The changes between one revision and a later one, offered to a peer.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// The sender's VM.
    pub vm: String,
    /// The revision that the changes are based on; zero for a full snapshot.
    pub base_revision: u64,
    /// The revision after the changes are applied.
    pub revision: u64,
    /// The latest version of each changed object; deleted objects are marked as such.
    pub objects: Vec<StoredObject>,
    /// The complete list of VMs; `None` if it did not change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<Vec<VmRecord>>,
}

/// A query for the read floor of a session: the position that its reads must see.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FloorQuestion {
    /// The sender's VM.
    pub vm: String,
    /// The sender's revision.
    pub revision: u64,
    /// The group.
    pub group: String,
    /// The session's identity.
    pub session: String,
}

/// The answer to a [`FloorQuestion`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FloorAnswer {
    /// The position that the session's reads must see.
    pub position: LogPosition,
    /// The revision in force at the answering proxy.
    pub revision: u64,
}

/// A write of a session with an identity that is acknowledged, or about to be.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SessionWrite {
    /// The session's identity.
    pub session: String,
    /// The commit's position.
    pub position: LogPosition,
}

/// Acknowledged writes in one term by sessions without an identity.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PlainWrites {
    /// The term.
    pub term: Term,
    /// The log indexes of the commits.
    pub indexes: Vec<u64>,
}

/// A notice to another home of a group's primary of writes that it has to record.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct WritesNotice {
    /// The sender's VM.
    pub vm: String,
    /// The sender's revision.
    pub revision: u64,
    /// The group.
    pub group: String,
    /// The writes of sessions with an identity.
    pub writes: Vec<SessionWrite>,
    /// The writes of other sessions. The receiver records their positions as known writes, so that
    /// they do not raise the floor of any session.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub plain: Vec<PlainWrites>,
}

/// The answer to a health check of the load balancer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Health {
    /// Whether a configuration is in force, without which no caller can be served.
    pub ready: bool,
    /// Whether the process is stopping and should get no new callers.
    pub stopping: bool,
    /// Whether the VM is drained or listed as leaving by the platform. It still serves callers that
    /// connect, but should get no new ones.
    #[serde(default)]
    pub leaving: bool,
}

/// The state of one proxy, as shown by `skylarkctl status`.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The proxy's VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// The revision in force.
    pub revision: u64,
    /// Whether a configuration is in force, without which no caller can be served.
    pub ready: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Whether this proxy watches the platform on behalf of its availability zone.
    pub watching: bool,
    /// Whether the platform answered this proxy's last call.
    pub platform_answers: bool,
    /// All groups of the configuration.
    pub groups: Vec<GroupReport>,
    /// The objects of the configuration that are invalid, with reasons.
    pub problems: Vec<String>,
    /// The counters since the start of the process, by name.
    pub counters: collections::BTreeMap<String, u64>,
}

/// One group in a [`StatusReport`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group's name.
    pub group: String,
    /// Whether this proxy tracks the group's members. If it does not, it has no reports of theirs.
    pub tracked: bool,
    /// The primary, if one is known.
    pub leader: Option<String>,
    /// The primary's term; zero if no primary is known.
    pub term: Term,
    /// The highest position confirmed by a majority.
    pub confirmed: LogPosition,
    /// Whether new writes are held back for a change of primary requested by an operator.
    pub moving: bool,
    /// Whether a majority is known to be unable to confirm writes.
    pub stalled: bool,
    /// The members, in the order of the group's member list.
    pub members: Vec<MemberReport>,
}

/// One member in a [`GroupReport`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// The target's name.
    pub target: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether the control connection to the member works.
    pub reachable: bool,
    /// Whether the member is leaving or drained.
    pub leaving: bool,
    /// The member's latest report, if there was one.
    pub status: Option<MemberStatus>,
    /// An upper bound of the age of the member's data, in milliseconds, if one can be proved.
    pub age_ms: Option<u64>,
    /// The member's home VMs, in order of rank.
    pub homes: Vec<String>,
}

/// One decision of the control thread with its reason.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DecisionReport {
    /// The time since the decision, in milliseconds.
    pub ago_ms: u64,
    /// The decision.
    pub decision: String,
    /// The reason for the decision.
    pub reason: String,
}

/// The latest decisions about one group, as shown by `skylarkctl explain`.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The VM of the answering proxy.
    pub vm: String,
    /// The group.
    pub group: String,
    /// The decisions, oldest first.
    pub decisions: Vec<DecisionReport>,
}

/// The methods of the control protocol.
#[rpc(server, client)]
pub trait PeerApi {
    /// Exchanges versions: sends the sender's and returns the receiver's.
    #[method(name = "peer_version")]
    async fn peer_version(&self, version: PeerVersion) -> RpcResult<PeerVersion>;

    /// Returns the configuration in force. A proxy without one refuses the call.
    #[method(name = "peer_snapshot")]
    async fn peer_snapshot(&self) -> RpcResult<Snapshot>;

    /// Offers a new version. Returns the receiver's version after it has applied the offer.
    #[method(name = "peer_offer")]
    async fn peer_offer(&self, offer: Offer) -> RpcResult<PeerVersion>;

    /// Returns the primaries known to the receiver. While the platform is down and no lead record can
    /// be written, proxies that do not track a group's members learn its primary by this call.
    #[method(name = "peer_leaders")]
    async fn peer_leaders(&self) -> RpcResult<Vec<LeaderHint>>;

    /// Asks a home of the group's primary for the position that a session's reads must see.
    #[method(name = "peer_floor")]
    async fn peer_floor(&self, question: FloorQuestion) -> RpcResult<FloorAnswer>;

    /// Reports writes to a home. The call returns once the home takes them into account in its answers.
    #[method(name = "peer_writes")]
    async fn peer_writes(&self, notice: WritesNotice) -> RpcResult<PeerVersion>;

    /// Returns the state of this proxy for operators.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<StatusReport>;

    /// Returns the latest decisions about a group.
    #[method(name = "explain")]
    async fn explain(&self, group: String) -> RpcResult<ExplainReport>;

    /// Returns the health of this proxy for the load balancer.
    #[method(name = "health")]
    async fn health(&self) -> RpcResult<Health>;

    /// Returns the health like `health`, but refuses the call unless the proxy is ready and neither
    /// stopping nor leaving.
    #[method(name = "ready")]
    async fn ready(&self) -> RpcResult<Health>;
}
