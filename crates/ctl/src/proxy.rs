//! Calls to proxies.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::client;
use jsonrpsee::http_client::HttpClient;
use skylark_proxy::process::peer;
use skylark_proxy::process::peer::api;
use skylark_proxy::process::peer::api::ExplainReport;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::api::StatusReport;

use crate::failure::Failure;

/// The time limit of a call to a proxy.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn open(proxy: SocketAddr) -> Result<HttpClient, Failure> {
    let client = peer::client::open(&proxy.to_string(), CALL_TIMEOUT);
    client.ok_or_else(|| Failure::ProxyDown {
        proxy: proxy.to_string(),
        reason: "the address can't be called".to_owned(),
    })
}

/// What a proxy says of itself.
pub(crate) async fn status(proxy: SocketAddr) -> Result<StatusReport, Failure> {
    open(proxy)?.status().await.map_err(|error| failure(proxy, error))
}

/// A proxy's latest decisions about a group.
pub(crate) async fn explain(proxy: SocketAddr, group: &str) -> Result<ExplainReport, Failure> {
    let answer = open(proxy)?.explain(group.to_owned()).await;
    answer.map_err(|error| match error {
        client::Error::Call(call) if call.code() == api::UNKNOWN_GROUP_CODE => {
            Failure::UnknownGroup { group: group.to_owned(), proxy: proxy.to_string() }
        }
        error => failure(proxy, error),
    })
}

fn failure(proxy: SocketAddr, error: client::Error) -> Failure {
    let proxy = proxy.to_string();
    match error {
        client::Error::Call(call) => {
            Failure::BadProxyAnswer { proxy, reason: call.message().to_owned() }
        }
        client::Error::ParseError(error) => {
            Failure::BadProxyAnswer { proxy, reason: error.to_string() }
        }
        error => Failure::ProxyDown { proxy, reason: error.to_string() },
    }
}
