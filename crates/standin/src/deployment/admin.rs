//! HTTP endpoint that injects faults and reports statuses and counters.
//!
//! - `POST /fault` with a [`Fault`] as JSON: injects or ends it; 200, or 400 with the reason.
//! - `POST /vm` with a `VmRecord`: adds or replaces a VM in the platform's list; 200, or 400 with
//!   the reason.
//! - `GET /counters`: the platform's call counters and the counters of each target, by name.
//! - `GET /status`: the status of each target, by name.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing;
use serde::Serialize;
use skylark_core::member_status::MemberStatus;
use skylark_core::version::objects::VmRecord;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::platform::counters::CallCounters;
use crate::target::counters::Counters;

use super::Deployment;
use super::fault::Fault;

type Shared = State<Arc<Deployment>>;

/// The body of the answer to `GET /counters`.
#[derive(Debug, Serialize)]
struct CountersAnswer<'a> {
    platform: &'a CallCounters,
    targets: BTreeMap<&'a str, &'a Counters>,
}

/// The running endpoint; it stops when this is dropped.
#[derive(Debug)]
pub struct AdminServer {
    address: SocketAddr,
    serving: JoinHandle<()>,
}

impl AdminServer {
    /// Starts the endpoint of a deployment in the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if the server can't listen on the address.
    pub async fn start(
        deployment: &Arc<Deployment>,
        listen: SocketAddr,
    ) -> Result<AdminServer, io::Error> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let router = Router::new()
            .route("/fault", routing::post(fault))
            .route("/vm", routing::post(vm))
            .route("/counters", routing::get(counters))
            .route("/status", routing::get(status))
            .with_state(Arc::clone(deployment));
        let serving = tokio::spawn(async move {
            // Serving ends only when the task is aborted.
            let _ = axum::serve(listener, router).await;
        });
        Ok(AdminServer { address, serving })
    }

    /// Returns the address that the server listens on, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

async fn fault(State(deployment): Shared, body: Bytes) -> Response {
    let fault: Fault = match serde_json::from_slice(&body) {
        Ok(fault) => fault,
        Err(error) => return (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    };
    match deployment.inject(&fault).await {
        Ok(()) => StatusCode::OK.into_response(),
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

async fn vm(State(deployment): Shared, body: Bytes) -> Response {
    match serde_json::from_slice::<VmRecord>(&body) {
        Ok(record) => {
            deployment.set_vm(record);
            StatusCode::OK.into_response()
        }
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

async fn counters(State(deployment): Shared) -> Response {
    let by_target = deployment.states().map(|target| (&*target.options().name, target.counters()));
    let answer = CountersAnswer {
        platform: &deployment.platform().platform().counters,
        targets: by_target.collect(),
    };
    Json(answer).into_response()
}

async fn status(State(deployment): Shared) -> Response {
    let by_target = deployment.states().map(|target| (&*target.options().name, target.status()));
    let statuses: BTreeMap<&str, MemberStatus> = by_target.collect();
    Json(statuses).into_response()
}
