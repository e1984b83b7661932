//! What the product asks of a platform: the configuration and the targets by watch, the claims of
//! takeovers, and the promotion of a target.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::TargetRecord;

/// Why a call to the platform gave no result.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreError {
    /// Another change came first.
    Conflict,
    /// The history that a watch asks for is gone; a fresh list tells what holds.
    HistoryGone,
    /// The platform refused the call and did nothing; a later try may succeed.
    Refused(u16),
    /// No answer came: the call may have taken effect, or may still.
    NoAnswer(String),
    /// The answer is not understood.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict => f.write_str("another change came first"),
            StoreError::HistoryGone => f.write_str("the history is gone"),
            StoreError::Refused(status) => write!(f, "refused with status {status}"),
            StoreError::NoAnswer(why) => write!(f, "no answer: {why}"),
            StoreError::Malformed(why) => write!(f, "the answer is not understood: {why}"),
        }
    }
}

/// A target as the platform lists it.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ListedTarget {
    /// The platform's revision of the entry.
    pub revision: u64,
    /// The target.
    pub record: Arc<TargetRecord>,
}

/// One change of the list of targets.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum TargetChange {
    /// The entry is new or changed.
    Listed(ListedTarget),
    /// The entry of this name went, or names no target any more.
    Removed(Arc<str>),
}

/// Where a VM of this system is reached by the others.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct VmAddress {
    /// Its name.
    pub name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it takes other proxies' statements.
    pub peer_address: SocketAddr,
}

/// A result and the platform's revision at which it held, from which a watch goes on.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct AtRevision<T> {
    /// The platform's revision.
    pub revision: u64,
    /// The result.
    pub value: T,
}

/// How new an answer has to be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Freshness {
    /// It holds all that was written before the question.
    Latest,
    /// It may be some seconds old, and costs less.
    MayBeStale,
}

/// The part of the platform that keeps what lasts.
pub trait StateStore: Clone + Send + Sync + 'static {
    /// Reads the configuration; none while there is none.
    fn configuration(
        &self,
    ) -> impl Future<Output = Result<AtRevision<Option<RouteTable>>, StoreError>> + Send;

    /// Waits for a configuration newer than `revision`; none if none came within `wait`.
    fn watch_configuration(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<AtRevision<Option<RouteTable>>, StoreError>> + Send;

    /// Lists all targets.
    fn targets(
        &self,
    ) -> impl Future<Output = Result<AtRevision<Vec<ListedTarget>>, StoreError>> + Send;

    /// Waits for changes of targets after `revision`; none if none came within `wait`.
    fn watch_targets(
        &self,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<AtRevision<Vec<TargetChange>>, StoreError>> + Send;

    /// Writes down where this VM is reached by the others.
    fn register_vm(&self, vm: &VmAddress) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Lists all VMs that ever registered.
    fn vms(
        &self,
        freshness: Freshness,
    ) -> impl Future<Output = Result<AtRevision<Vec<VmAddress>>, StoreError>> + Send;

    /// Asks whether the store answers, by the cheapest call that there is.
    fn probe(&self, vm: &str) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Reads the claim of a service and its revision; none if there never was one.
    fn claim(
        &self,
        service: &str,
    ) -> impl Future<Output = Result<Option<AtRevision<Claim>>, StoreError>> + Send;

    /// Writes the claim of a service in place of the one with `revision`, or the first one if that
    /// is none. Returns the new revision.
    fn write_claim(
        &self,
        service: &str,
        claim: &Claim,
        revision: Option<u64>,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;
}

/// Why a promotion was not accepted.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum PromoteError {
    /// A higher token was seen, or the target does not run.
    Refused,
    /// The platform has too much to do; nothing was done.
    Overloaded,
    /// It was not to be sent any more when there was a connection for it.
    NotSent,
    /// No answer came: the call may still be carried out.
    NoAnswer(String),
}

impl fmt::Display for PromoteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PromoteError::Refused => f.write_str("refused"),
            PromoteError::Overloaded => f.write_str("too many calls"),
            PromoteError::NotSent => f.write_str("not sent"),
            PromoteError::NoAnswer(why) => write!(f, "no answer: {why}"),
        }
    }
}

/// The part of the platform that names primaries.
pub trait Promoter: Clone + Send + Sync + 'static {
    /// Whether a call with a lower token than one that was seen is refused.
    fn checks_tokens(&self) -> bool;

    /// Has `target` lead `service`, as the holder of the claim with `token`. `may_send` is asked right
    /// before the call is sent.
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
