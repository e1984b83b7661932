//! Implementation of [`ObjectStore`] over HTTP with JSON bodies.

use std::fmt::Display;
use std::time::Duration;

use serde::de;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;
use tokio::time;

use crate::ObjectStore;
use crate::PutRequest;
use crate::PutResponse;
use crate::StoreError;
use crate::WatchResponse;

/// The request header that carries the availability zone of the calling VM.
pub const ZONE_HEADER: &str = "x-availability-zone";

/// The time limit for connecting and receiving the response headers, in addition to a watch's wait.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(2);

/// The time without data after which a response body counts as lost. Limiting the gaps instead of the
/// whole body lets large responses pass over slow links: with an overall limit this short, a snapshot of
/// 600 KB over a link of 200 KB/s would time out on every attempt and be requested again.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);

/// The time limit for receiving a whole response body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A client of one platform endpoint. Clones share its connections.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: reqwest::Client,
    base_url: String,
    zone: String,
}

impl HttpStore {
    /// Creates a client of the platform at `address` (IP address and port) for a VM in `zone`.
    pub fn new(address: &str, zone: &str) -> HttpStore {
        HttpStore {
            client: reqwest::Client::new(),
            base_url: format!("http://{address}/v1"),
            zone: zone.to_owned(),
        }
    }

    fn object_url(&self, kind: ObjectKind, name: &str) -> String {
        format!("{}/objects/{}/{name}", self.base_url, kind.name())
    }

    /// Sends a request and decodes the response. `timeout` limits the time up to the response headers.
    ///
    /// A server error (5xx) leaves open whether an update was applied.
    async fn call<T>(
        &self,
        request: reqwest::RequestBuilder,
        timeout: Duration,
    ) -> Result<T, StoreError>
    where
        T: de::DeserializeOwned,
    {
        let request = request.header(ZONE_HEADER, &self.zone);
        let sent = time::timeout(timeout, request.send()).await.map_err(no_answer)?;
        let response = sent.map_err(no_answer)?;
        match response.status() {
            reqwest::StatusCode::OK => decode(response).await,
            reqwest::StatusCode::NOT_FOUND => Err(StoreError::NotFound),
            reqwest::StatusCode::CONFLICT => {
                let current: PutResponse = decode(response).await?;
                Err(StoreError::Conflict { actual: current.version })
            }
            status if status.is_client_error() => {
                let body = read_body(response).await.unwrap_or_default();
                let reason = String::from_utf8_lossy(&body);
                Err(StoreError::Refused(format!("{status}: {reason}")))
            }
            status => Err(StoreError::NoAnswer(status.to_string())),
        }
    }
}

impl ObjectStore for HttpStore {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<StoredObject, StoreError> {
        self.call(self.client.get(self.object_url(kind, name)), HEADERS_TIMEOUT).await
    }

    async fn snapshot(&self) -> Result<Snapshot, StoreError> {
        self.snapshot_with_timeout(HEADERS_TIMEOUT).await
    }

    async fn snapshot_with_timeout(&self, limit: Duration) -> Result<Snapshot, StoreError> {
        let url = format!("{}/snapshot", self.base_url);
        self.call(self.client.get(url), limit).await
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        body: serde_json::Value,
    ) -> Result<PutResponse, StoreError> {
        let request = PutRequest { expected_version, body };
        self.call(self.client.put(self.object_url(kind, name)).json(&request), HEADERS_TIMEOUT)
            .await
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
    ) -> Result<PutResponse, StoreError> {
        let request = self.client.delete(self.object_url(kind, name));
        let request = request.query(&[("expected_version", expected_version)]);
        self.call(request, HEADERS_TIMEOUT).await
    }

    async fn watch(
        &self,
        after_revision: u64,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        let url = format!("{}/watch", self.base_url);
        let wait_ms = wait.as_millis() as u64;
        let request =
            self.client.get(url).query(&[("after", after_revision), ("wait_ms", wait_ms)]);
        self.call(request, HEADERS_TIMEOUT + wait).await
    }

    async fn vms(&self) -> Result<Vec<VmRecord>, StoreError> {
        self.call(self.client.get(format!("{}/vms", self.base_url)), HEADERS_TIMEOUT).await
    }
}

/// Reads a response body to its end, within `BODY_TIMEOUT` in all and `CHUNK_TIMEOUT` between chunks.
async fn read_body(mut response: reqwest::Response) -> Result<Vec<u8>, StoreError> {
    let body_deadline = time::Instant::now() + BODY_TIMEOUT;
    let mut body = Vec::new();
    loop {
        let chunk_deadline = body_deadline.min(time::Instant::now() + CHUNK_TIMEOUT);
        let next = time::timeout_at(chunk_deadline, response.chunk()).await.map_err(no_answer)?;
        match next.map_err(no_answer)? {
            Some(chunk) => body.extend_from_slice(&chunk),
            None => return Ok(body),
        }
    }
}

async fn decode<T>(response: reqwest::Response) -> Result<T, StoreError>
where
    T: de::DeserializeOwned,
{
    let body = read_body(response).await?;
    serde_json::from_slice(&body).map_err(no_answer)
}

fn no_answer<E>(error: E) -> StoreError
where
    E: Display,
{
    StoreError::NoAnswer(error.to_string())
}
