//! The control protocol: JSON-RPC over HTTP on each proxy's control address.
//!
//! `jsonrpsee` makes the client and the server from one trait, so both sides use the same typed
//! messages. Every message between proxies carries its sender's revision, and the lower side pulls.

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

/// The path at which the health answer is also served to HTTP GET.
pub const HEALTH_PATH: &str = "/health";

/// The path at which HTTP GET is answered with success only while new callers are welcome: for
/// balancers that look at the status code alone.
pub const READY_PATH: &str = "/ready";

/// The JSON-RPC code of a call that this proxy can't answer now; the caller asks another one.
pub const UNAVAILABLE_CODE: i32 = -32_001;

/// The JSON-RPC code of a call that names a group that this proxy does not know.
pub const UNKNOWN_GROUP_CODE: i32 = -32_002;

/// A proxy's revision. The default is that of a process that has no version and names no VM.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct PeerVersion {
    /// The revision in force at the sender; zero before the first.
    pub revision: u64,
    /// The sender's VM.
    pub vm: String,
    /// Whether the sender is stopping, so that it gets no new work.
    #[serde(default)]
    pub stopping: bool,
    /// A digest of the groups' terms as the sender knows them: where two differ, one side knows a
    /// leader that the other does not.
    #[serde(default)]
    pub leaders_digest: u64,
    /// A digest of the sender's list of VMs, which carries no revision.
    #[serde(default)]
    pub vms_digest: u64,
    /// Whether the sender reads that list from the platform now, so that it is as fresh as can be.
    #[serde(default)]
    pub vms_fresh: bool,
}

/// A group's primary as the sender knows it.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The group.
    pub group: String,
    /// The primary.
    pub target: String,
    /// Its term.
    pub term: Term,
}

/// The changes that lead from one revision to a later one.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Offer {
    /// The sender's VM.
    pub vm: String,
    /// The revision that the changes start from; zero for a whole snapshot.
    pub base_revision: u64,
    /// The revision that they lead to.
    pub revision: u64,
    /// The changed objects in their latest version; deleted ones are marked.
    pub objects: Vec<StoredObject>,
    /// The list of VMs, where it changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub vms: Option<Vec<VmRecord>>,
}

/// A question for the position that a session's reads must cover.
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
    /// The position that the session's reads must cover.
    pub position: LogPosition,
    /// The answering side's revision.
    pub revision: u64,
}

/// A write that a session had acknowledged, or that is about to be.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct SessionWrite {
    /// The session's identity.
    pub session: String,
    /// The commit's position.
    pub position: LogPosition,
}

/// Acknowledged writes of one term that belong to no session with an identity.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PlainWrites {
    /// The term.
    pub term: Term,
    /// The indexes of the commits' records.
    pub indexes: Vec<u64>,
}

/// Writes that the receiver is to remember as a home of the group.
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
    /// The other ones, which the receiver accounts for: they raise no session's floor.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub plain: Vec<PlainWrites>,
}

/// The health answer for the balancer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Health {
    /// Whether there is a configuration, so that callers can be served.
    pub ready: bool,
    /// Whether the process is stopping and is to get no new callers.
    pub stopping: bool,
    /// Whether the VM is drained or the platform lists it as leaving: it serves what arrives, and is
    /// to get no new callers.
    #[serde(default)]
    pub leaving: bool,
}

/// What `skylarkctl status` shows of one proxy.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// The revision in force.
    pub revision: u64,
    /// Whether there is a configuration, so that callers are served.
    pub ready: bool,
    /// Whether the process is stopping.
    pub stopping: bool,
    /// Whether this proxy watches the platform for its zone.
    pub watching: bool,
    /// Whether the platform answered this proxy's last call.
    pub platform_answers: bool,
    /// The groups.
    pub groups: Vec<GroupReport>,
    /// The objects of the configuration that could not be used, with reasons.
    pub problems: Vec<String>,
    /// Counters of this process since its start, by name.
    pub counters: collections::BTreeMap<String, u64>,
}

/// One group in a [`StatusReport`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group's name.
    pub group: String,
    /// Whether this proxy tracks the group's members; only then are their reports known.
    pub tracked: bool,
    /// The primary, if one is known.
    pub leader: Option<String>,
    /// The primary's term; zero for none.
    pub term: Term,
    /// The highest position that a majority confirmed.
    pub confirmed: LogPosition,
    /// Whether an ordered change of primary holds back writes.
    pub moving: bool,
    /// Whether a majority is known to be unable to confirm writes.
    pub stalled: bool,
    /// The members.
    pub members: Vec<MemberReport>,
}

/// One member in a [`GroupReport`].
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MemberReport {
    /// The target's name.
    pub target: String,
    /// Its availability zone.
    pub zone: String,
    /// Whether it answers now.
    pub reachable: bool,
    /// Whether it is leaving or drained.
    pub leaving: bool,
    /// Its latest report, if one came.
    pub status: Option<MemberStatus>,
    /// How old its data can be now, in milliseconds, where that can be shown.
    pub age_ms: Option<u64>,
    /// The VMs that are home to it, in order of rank.
    pub homes: Vec<String>,
}

/// One decision with its reason, newest last in an [`ExplainReport`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DecisionReport {
    /// How long ago it was taken, in milliseconds.
    pub ago_ms: u64,
    /// What was decided.
    pub decision: String,
    /// Why.
    pub reason: String,
}

/// The latest decisions about one group.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The VM that answers.
    pub vm: String,
    /// The group.
    pub group: String,
    /// The decisions, oldest first.
    pub decisions: Vec<DecisionReport>,
}

/// The control protocol.
#[rpc(server, client)]
pub trait PeerApi {
    /// Tells the sender's revision and asks for the receiver's.
    #[method(name = "peer_version")]
    async fn peer_version(&self, version: PeerVersion) -> RpcResult<PeerVersion>;

    /// Asks for the configuration in force; refused by a proxy that has none.
    #[method(name = "peer_snapshot")]
    async fn peer_snapshot(&self) -> RpcResult<Snapshot>;

    /// Passes a new version on. The answer is the receiver's version afterwards.
    #[method(name = "peer_offer")]
    async fn peer_offer(&self, offer: Offer) -> RpcResult<PeerVersion>;

    /// Asks for the primaries that the receiver knows. They reach a proxy that tracks none of a
    /// group's members while the platform, whose lead records say the same, is down.
    #[method(name = "peer_leaders")]
    async fn peer_leaders(&self) -> RpcResult<Vec<LeaderHint>>;

    /// Asks a home for the position that a session's reads must cover.
    #[method(name = "peer_floor")]
    async fn peer_floor(&self, question: FloorQuestion) -> RpcResult<FloorAnswer>;

    /// Tells a home about writes; answered once it will answer for them.
    #[method(name = "peer_writes")]
    async fn peer_writes(&self, notice: WritesNotice) -> RpcResult<PeerVersion>;

    /// What an operator wants to know of this proxy.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<StatusReport>;

    /// The latest decisions about a group.
    #[method(name = "explain")]
    async fn explain(&self, group: String) -> RpcResult<ExplainReport>;

    /// What the balancer wants to know.
    #[method(name = "health")]
    async fn health(&self) -> RpcResult<Health>;

    /// The same, refused unless the proxy is ready and neither stopping nor leaving.
    #[method(name = "ready")]
    async fn ready(&self) -> RpcResult<Health>;
}
