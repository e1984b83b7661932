//! The server on the control address, for calls of other proxies, operators and the load balancer.
//!
//! The server is stateless: it passes each call to the control thread, which owns all control state.

use std::io;
use std::net::SocketAddr;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::server::middleware::http::ProxyGetRequestLayer;
use jsonrpsee::types::ErrorObjectOwned;
use skylark_core::version::objects::Snapshot;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::process::peer::api;
use crate::process::peer::api::PeerApiServer;

/// Why the control thread refuses a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// This proxy can't answer now.
    Unavailable,
    /// This proxy knows no group of this name.
    UnknownGroup,
}

/// The sender of a call's answer. Dropping it makes the call fail as unavailable.
pub type Answer<T> = oneshot::Sender<Result<T, Refusal>>;

/// A call passed to the control thread: its parameters and the sender of its answer.
#[derive(Debug)]
pub enum PeerRequest {
    /// `peer_version`
    Version(api::PeerVersion, Answer<api::PeerVersion>),
    /// `peer_snapshot`
    Snapshot(Answer<Snapshot>),
    /// `peer_offer`
    Offer(api::Offer, Answer<api::PeerVersion>),
    /// `peer_leaders`
    Leaders(Answer<Vec<api::LeaderHint>>),
    /// `peer_floor`
    Floor(api::FloorQuestion, Answer<api::FloorAnswer>),
    /// `peer_writes`
    Writes(api::WritesNotice, Answer<api::PeerVersion>),
    /// `status`
    Status(Answer<api::StatusReport>),
    /// `explain`
    Explain(String, Answer<api::ExplainReport>),
    /// `health`
    Health(Answer<api::Health>),
}

/// The maximum size of a request or answer. The largest is a full snapshot, with objects of up to a
/// megabyte each.
const MAX_CALL_BYTES: u32 = 16 * 1024 * 1024;

/// Starts the server on the control address. Returns the bound address and a handle that stops the server.
pub async fn start(
    address: SocketAddr,
    requests: mpsc::UnboundedSender<PeerRequest>,
) -> io::Result<(SocketAddr, ServerHandle)> {
    let paths = [(api::HEALTH_PATH, "health"), (api::READY_PATH, "ready")];
    let health =
        ProxyGetRequestLayer::new(paths).expect("the paths start with a slash and are distinct");
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MAX_CALL_BYTES)
        .max_response_body_size(MAX_CALL_BYTES)
        .build();
    let middleware = tower::ServiceBuilder::new().layer(health);
    let builder = Server::builder().set_config(config).set_http_middleware(middleware);
    let server = builder.build(address).await?;
    let bound = server.local_addr()?;
    Ok((bound, server.start(PeerServer { requests }.into_rpc())))
}

#[derive(Debug)]
struct PeerServer {
    requests: mpsc::UnboundedSender<PeerRequest>,
}

impl PeerServer {
    async fn ask<T, R>(&self, request: R) -> RpcResult<T>
    where
        R: FnOnce(Answer<T>) -> PeerRequest,
    {
        let (answer, answered) = oneshot::channel();
        let _ = self.requests.send(request(answer));
        // The control thread drops the answer without sending when it ends.
        answered.await.unwrap_or(Err(Refusal::Unavailable)).map_err(refused)
    }
}

fn refused(refusal: Refusal) -> ErrorObjectOwned {
    let (code, message) = match refusal {
        Refusal::Unavailable => (api::UNAVAILABLE_CODE, "this proxy can't answer now"),
        Refusal::UnknownGroup => (api::UNKNOWN_GROUP_CODE, "no group has this name"),
    };
    ErrorObjectOwned::owned(code, message, None::<()>)
}

#[async_trait]
impl PeerApiServer for PeerServer {
    async fn peer_version(&self, version: api::PeerVersion) -> RpcResult<api::PeerVersion> {
        self.ask(|answer| PeerRequest::Version(version, answer)).await
    }

    async fn peer_snapshot(&self) -> RpcResult<Snapshot> {
        self.ask(PeerRequest::Snapshot).await
    }

    async fn peer_offer(&self, offer: api::Offer) -> RpcResult<api::PeerVersion> {
        self.ask(|answer| PeerRequest::Offer(offer, answer)).await
    }

    async fn peer_leaders(&self) -> RpcResult<Vec<api::LeaderHint>> {
        self.ask(PeerRequest::Leaders).await
    }

    async fn peer_floor(&self, question: api::FloorQuestion) -> RpcResult<api::FloorAnswer> {
        self.ask(|answer| PeerRequest::Floor(question, answer)).await
    }

    async fn peer_writes(&self, notice: api::WritesNotice) -> RpcResult<api::PeerVersion> {
        self.ask(|answer| PeerRequest::Writes(notice, answer)).await
    }

    async fn status(&self) -> RpcResult<api::StatusReport> {
        self.ask(PeerRequest::Status).await
    }

    async fn explain(&self, group: String) -> RpcResult<api::ExplainReport> {
        self.ask(|answer| PeerRequest::Explain(group, answer)).await
    }

    async fn health(&self) -> RpcResult<api::Health> {
        self.ask(PeerRequest::Health).await
    }

    async fn ready(&self) -> RpcResult<api::Health> {
        let health = self.ask(PeerRequest::Health).await?;
        let accepts_callers = health.ready && !health.stopping && !health.leaving;
        accepts_callers.then_some(health).ok_or_else(|| refused(Refusal::Unavailable))
    }
}
