//! Client of the platform's object API.
//!
//! The API is HTTP with JSON bodies, described in `docs/INTERFACES.md`. [`ObjectStore`] is the
//! small trait that the programs use, so that another platform can take its place;
//! [`http::HttpStore`] is the implementation for the documented API.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;

pub mod http;

/// The body of a conditional update.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// The version that the object must have now; zero when it must not exist.
    pub expected_version: u64,
    /// The new body.
    pub body: serde_json::Value,
}

/// The answer to a conditional update that took.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PutResponse {
    /// The object's new version, which is also the store's revision of the change.
    pub version: u64,
}

/// The answer to a watch: every object that changed after the revision asked for.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The store's revision up to which changes are included.
    pub revision: u64,
    /// The changed objects in their latest version; deleted ones are marked.
    pub objects: Vec<StoredObject>,
}

/// Why a call to the platform gave no result.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreError {
    /// The object has another version than the update expected. `actual` is zero for no object.
    Conflict {
        /// The version that the object has.
        actual: u64,
    },
    /// There is no such object.
    NotFound,
    /// The platform refused the call; repeating it can't help.
    Refused(String),
    /// No answer: the platform is down or slow, or the answer was lost. An update may have taken
    /// effect, and only reading the object back tells.
    NoAnswer(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict { actual } => {
                write!(f, "the object was changed meanwhile and has version {actual}")
            }
            StoreError::NotFound => f.write_str("there is no such object"),
            StoreError::Refused(reason) => write!(f, "the platform refused the call: {reason}"),
            StoreError::NoAnswer(reason) => write!(f, "the platform gave no answer: {reason}"),
        }
    }
}

/// The calls that the system makes to the platform. Each call counts once, a waiting watch too.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> impl Future<Output = Result<StoredObject, StoreError>> + Send;

    /// Reads all objects of the system and the list of VMs.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// The same with a time limit of the caller's, for a platform that is slow but does answer.
    fn snapshot_with_timeout(
        &self,
        limit: Duration,
    ) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Changes one object if it still has `expected_version` (zero creates it).
    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        body: serde_json::Value,
    ) -> impl Future<Output = Result<PutResponse, StoreError>> + Send;

    /// Removes one object if it still has `expected_version`.
    fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
    ) -> impl Future<Output = Result<PutResponse, StoreError>> + Send;

    /// Waits up to `wait` for changes after `after_revision`; an answer without objects means that
    /// none came.
    fn watch(
        &self,
        after_revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, StoreError>> + Send;

    /// Reads the lagging list of live and leaving VMs.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmRecord>, StoreError>> + Send;
}
