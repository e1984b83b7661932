//! The interface that a platform implements: watches of the configuration and of the targets, takeover
//! claims, and the promotion of a target.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::TargetRecord;

/// A failed call to the platform's store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreError {
    /// The object was changed by another writer since it was read.
    Conflict,
    /// The store no longer has the history from the watch's revision on, or was restored since; the caller has to
    /// list again.
    HistoryGone,
    /// The platform rejected the call with this HTTP status and did nothing; a retry may succeed.
    Refused(u16),
    /// No reply arrived: the call may have taken effect, or may still take effect.
    NoAnswer(String),
    /// The reply could not be decoded, or is too large. A watch that is repeated from the same revision would
    /// receive it again, so the caller has to list again.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict => f.write_str("changed by another writer"),
            StoreError::HistoryGone => f.write_str("the watched revision is no longer available"),
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            StoreError::NoAnswer(why) => write!(f, "no response: {why}"),
            StoreError::Malformed(why) => write!(f, "invalid response: {why}"),
        }
    }
}

/// A target as listed by the platform.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ListedTarget {
    /// The platform's revision of the entry.
    pub revision: StoreRevision,
    /// The target's registration.
    pub record: Arc<TargetRecord>,
}

/// A change in the list of targets.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum TargetChange {
    /// The entry was added or changed.
    Listed(ListedTarget),
    /// The entry of this name was removed, or no longer describes a usable target.
    Removed(Arc<str>),
}

/// The address at which other VMs of this system reach a VM.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmAddress {
    /// The VM's name.
    pub name: Arc<str>,
    /// The VM's availability zone.
    pub zone: Arc<str>,
    /// The address at which the VM accepts connections of other proxies.
    pub peer_address: SocketAddr,
    /// The bandwidth of the VM's link, in Mbit/s; zero if it is unknown.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub link_mbps: u32,
    /// Whether the VM queues forwarded statements by the class that they carry. False for VMs of versions
    /// that don't understand the class.
    #[serde(default, skip_serializing_if = "is_false")]
    pub admits_by_class: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// A result together with the platform's revision at which it was read. A watch resumes from that revision.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AtRevision<T> {
    /// The platform's revision.
    pub revision: StoreRevision,
    /// The result.
    pub value: T,
}

/// How recent the reply to a list call has to be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Freshness {
    /// The reply reflects every write that completed before the call.
    Latest,
    /// The reply may be some seconds old, which makes the call cheaper for the platform.
    MayBeStale,
}

/// The platform's store, which persists the configuration, the targets, the VMs and the takeover claims.
pub trait StateStore: Clone + Send + Sync + 'static {
    /// Reads the configuration; `None` if there is none yet.
    fn configuration(
        &self,
    ) -> impl Future<Output = Result<AtRevision<Option<RouteTable>>, StoreError>> + Send;

    /// Waits for a configuration newer than `revision`. The value is `None` if no newer one appears within
    /// `wait`.
    fn watch_configuration(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<AtRevision<Option<RouteTable>>, StoreError>> + Send;

    /// Lists all targets.
    fn targets(
        &self,
    ) -> impl Future<Output = Result<AtRevision<Vec<ListedTarget>>, StoreError>> + Send;

    /// Waits for changes of targets after `revision`. The value is empty if none appears within `wait`.
    fn watch_targets(
        &self,
        revision: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<AtRevision<Vec<TargetChange>>, StoreError>> + Send;

    /// Publishes the address at which other VMs reach this one.
    fn register_vm(&self, vm: &VmAddress) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists all VMs that ever registered.
    fn vms(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<AtRevision<Vec<VmAddress>>, StoreError>> + Send;

    /// Checks that the store replies, with the cheapest call available.
    fn probe(&self, vm: &str) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the takeover claim of a service with its revision. The value is `None` if there is no claim, and
    /// then only the generation of the revision is meaningful.
    fn claim(
        &self,
        service: &str,
        freshness: Freshness,
    ) -> impl Future<Output = Result<AtRevision<Option<Claim>>, StoreError>> + Send;

    /// Replaces the takeover claim of a service if its revision is still `revision`, or creates it if
    /// `revision` is `None`. Returns the new revision. If its generation is not that of `revision`, the store
    /// was restored meanwhile, and the claim that the write replaced is not the one that was read.
    ///
    /// # Errors
    ///
    /// [`StoreError::Conflict`] if another claim was written meanwhile.
    fn write_claim(
        &self,
        service: &str,
        claim: &Claim,
        revision: Option<StoreRevision>,
    ) -> impl Future<Output = Result<StoreRevision, StoreError>> + Send;
}

/// A promotion that was not accepted.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PromoteError {
    /// The platform has seen a higher fencing token, or the target is not running.
    Refused,
    /// The platform is overloaded and did nothing.
    Overloaded,
    /// The call was no longer allowed by the time a connection was available.
    NotSent,
    /// No reply arrived: the promotion may still be carried out.
    NoAnswer(String),
}

impl fmt::Display for PromoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PromoteError::Refused => f.write_str("refused"),
            PromoteError::Overloaded => f.write_str("the platform is overloaded"),
            PromoteError::NotSent => f.write_str("not sent"),
            PromoteError::NoAnswer(why) => write!(f, "no response: {why}"),
        }
    }
}

/// The part of the platform that appoints primaries.
pub trait Promoter: Clone + Send + Sync + 'static {
    /// Returns whether the platform refuses a call whose fencing token is lower than one that it has seen.
    fn checks_tokens(&self) -> bool;

    /// Promotes `target` to primary of `service` on behalf of `holder`, whose claim has the fencing token
    /// `token`. `may_send` is evaluated immediately before the call is sent.
    fn promote<F>(
        &self,
        service: &str,
        target: &TargetRecord,
        holder: &str,
        token: u64,
        may_send: F,
    ) -> impl Future<Output = Result<(), PromoteError>> + Send
    where
        F: Fn() -> bool + Send + Sync;
}
