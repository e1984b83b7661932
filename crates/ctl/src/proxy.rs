//! Calls to the control addresses of proxies.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::client;
use jsonrpsee::http_client::HttpClient;
use serde_json::Value;
use serde_json::json;
use skylark_objects::ObjectStore;
use skylark_proxy::process::peer;
use skylark_proxy::process::peer::api;
use skylark_proxy::process::peer::api::ExplainReport;
use skylark_proxy::process::peer::api::PeerApiClient;
use skylark_proxy::process::peer::api::StatusReport;

use crate::arguments::Options;
use crate::exit::Exit;
use crate::failure::Failure;
use crate::report::Report;
use crate::store;

/// The time limit of a call to a proxy.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the control addresses given with `--proxy`, or else those of all VMs that the platform lists.
/// Skips a listed VM whose control address can't be parsed.
pub(crate) async fn find(options: &Options) -> Result<Vec<SocketAddr>, Failure> {
    if !options.proxies.is_empty() {
        return Ok(options.proxies.clone());
    }
    if options.platform.is_none() {
        return Err(Failure::MissingOption {
            option: "--proxy or --platform",
            purpose: "the proxies named are asked, or those that the platform lists",
        });
    }
    let vms = store::open(options)?.vms().await.map_err(Failure::from_store_error)?;
    Ok(vms.iter().filter_map(|vm| vm.control_address.parse().ok()).collect())
}

/// The results of the same call to several proxies.
pub(crate) struct Answers<T> {
    /// The answers, in the order of the proxies.
    pub(crate) received: Vec<T>,
    /// The failures of the other proxies, in the same order.
    failures: Vec<(SocketAddr, Failure)>,
}

impl<T> Answers<T> {
    /// Calls all proxies, one after the other. The failure of one does not prevent the calls to the others.
    pub(crate) async fn collect<F>(proxies: &[SocketAddr], ask: F) -> Answers<T>
    where
        F: AsyncFn(SocketAddr) -> Result<T, Failure>,
    {
        let mut answers = Answers { received: Vec::new(), failures: Vec::new() };
        for proxy in proxies {
            match ask(*proxy).await {
                Ok(answer) => answers.received.push(answer),
                Err(failure) => answers.failures.push((*proxy, failure)),
            }
        }
        answers
    }

    /// Returns the result of the command, with the failures appended to the answers. The exit is that of the
    /// first failure. Returns the failure itself if only one proxy was called and its call failed.
    pub(crate) fn report(self, mut text: String, mut json: Value) -> Result<Report, Failure> {
        if let ([(_, only)], true) = (&*self.failures, self.received.is_empty()) {
            return Err(only.clone());
        }
        let exit = self.failures.first().map_or(Exit::Success, |(_, failure)| failure.exit());
        for (_, failure) in &self.failures {
            let _ = writeln!(text, "{failure}");
        }
        let failures = self.failures.iter().map(|(proxy, failure)| {
            json!({
                "proxy": proxy,
                "error": failure.exit().name(),
                "message": failure.to_string(),
            })
        });
        json["failures"] = failures.collect();
        Ok(Report { exit, text, json })
    }
}

fn open(proxy: SocketAddr) -> Result<HttpClient, Failure> {
    let client = peer::client::open(&proxy.to_string(), CALL_TIMEOUT);
    client.ok_or_else(|| Failure::ProxyDown {
        proxy: proxy.to_string(),
        reason: "the address can't be called".to_owned(),
    })
}

/// Requests a proxy's status.
pub(crate) async fn status(proxy: SocketAddr) -> Result<StatusReport, Failure> {
    open(proxy)?.status().await.map_err(|error| failure(proxy, error))
}

/// Requests a proxy's latest decisions about a group.
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
