//! Client of the platform's object API.
//!
//! The API is HTTP with JSON bodies and is described in `docs/INTERFACES.md`. The programs depend only
//! on the trait [`ObjectStore`], so that another platform can be supported by another implementation.
//! [`http::HttpStore`] implements the trait for the documented API.

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
    /// The version that the stored object must have for the update to apply; zero if it must not exist.
    pub expected_version: u64,
    /// The new body.
    pub body: serde_json::Value,
}

/// The response to a successful conditional update or deletion.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PutResponse {
    /// The object's new version, which is also the store's revision of the change. In the body of a
    /// conflict response, the object's current version.
    pub version: u64,
}

/// The response to a watch: every object that changed after the requested revision.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The store's revision up to which changes are included.
    pub revision: u64,
    /// The changed objects in their latest version. Deleted objects have their `deleted` flag set.
    pub objects: Vec<StoredObject>,
}

/// The reason why a call to the platform failed.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreError {
    /// The version that the update expected is not the object's current version.
    Conflict {
        /// The object's current version; zero if the object does not exist.
        actual: u64,
    },
    /// The object does not exist.
    NotFound,
    /// The platform rejected the call, and a retry would be rejected as well.
    Refused(String),
    /// The platform is down or slow, or its response was lost or could not be decoded. An update may
    /// have been applied; reading the object back shows whether it was.
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

/// The calls that the system makes to the platform. A watch counts as one call, however long it waits.
pub trait ObjectStore: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn get(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> impl Future<Output = Result<StoredObject, StoreError>> + Send;

    /// Reads all objects of the system and the list of VMs.
    fn snapshot(&self) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Like [`snapshot`](Self::snapshot), with an explicit time limit for the start of the response, so
    /// that a slow platform can still be read.
    fn snapshot_with_timeout(
        &self,
        limit: Duration,
    ) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Replaces the body of an object if its current version is `expected_version`. Zero creates the object.
    fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        body: serde_json::Value,
    ) -> impl Future<Output = Result<PutResponse, StoreError>> + Send;

    /// Deletes an object if its current version is `expected_version`.
    fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
    ) -> impl Future<Output = Result<PutResponse, StoreError>> + Send;

    /// Waits up to `wait` for changes after `after_revision`. A response without objects means that
    /// nothing changed in that time.
    fn watch(
        &self,
        after_revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, StoreError>> + Send;

    /// Reads the list of live and leaving VMs, which is eventually consistent.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmRecord>, StoreError>> + Send;
}
