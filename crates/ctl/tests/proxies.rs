//! Tests of `status` and `explain` against control addresses that return fixed answers.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use jsonrpsee::server::ServerHandle;
use serde_json::Value;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_ctl::exit::Exit;
use skylark_proxy::process::peer::api::DecisionReport;
use skylark_proxy::process::peer::api::ExplainReport;
use skylark_proxy::process::peer::api::GroupReport;
use skylark_proxy::process::peer::api::MemberReport;
use skylark_proxy::process::peer::api::StatusReport;
use skylark_proxy::process::peer::server;
use skylark_proxy::process::peer::server::PeerRequest;
use skylark_proxy::process::peer::server::Refusal;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn status(vm: &str) -> StatusReport {
    let member = MemberReport {
        target: "loans-1-medina".to_owned(),
        zone: "sfax-medina".to_owned(),
        reachable: false,
        leaving: true,
        status: None,
        age_ms: Some(40),
        homes: vec!["sfax-1".to_owned(), "sfax-2".to_owned()],
    };
    let group = GroupReport {
        group: "loans-1".to_owned(),
        tracked: true,
        leader: Some("loans-1-depot".to_owned()),
        term: Term(2),
        confirmed: LogPosition::new(2, 17),
        moving: false,
        stalled: true,
        members: vec![member],
    };
    StatusReport {
        vm: vm.to_owned(),
        zone: "sfax-medina".to_owned(),
        revision: 12,
        ready: true,
        stopping: false,
        watching: true,
        platform_answers: false,
        groups: vec![group],
        problems: vec!["group `x`: there is no service `y`".to_owned()],
        counters: BTreeMap::from([
            ("refused.queue_full".to_owned(), 3),
            ("refused.no_primary".to_owned(), 0),
        ]),
    }
}

fn explain(group: &str) -> Result<ExplainReport, Refusal> {
    if group != "loans-1" {
        return Err(Refusal::UnknownGroup);
    }
    let decision = DecisionReport {
        ago_ms: 250,
        decision: "promote loans-1-depot in term 2".to_owned(),
        reason: "it holds most of the majority".to_owned(),
    };
    Ok(ExplainReport {
        vm: "sfax-1".to_owned(),
        group: group.to_owned(),
        decisions: vec![decision],
    })
}

/// Starts a control address that answers every request with a fixed report.
async fn start_proxy(vm: &'static str) -> (String, ServerHandle) {
    let (requests, mut received) = mpsc::unbounded_channel();
    let (address, handle) = server::start(LOOPBACK, requests).await.expect("a free port");
    tokio::spawn(async move {
        while let Some(request) = received.recv().await {
            match request {
                PeerRequest::Status(answer) => drop(answer.send(Ok(status(vm)))),
                PeerRequest::Explain(group, answer) => drop(answer.send(explain(&group))),
                _ => {}
            }
        }
    });
    (address.to_string(), handle)
}

async fn skylarkctl(arguments: &[&str]) -> (Exit, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let arguments = [&["skylarkctl"], arguments].concat();
    let exit = skylark_ctl::run(arguments, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    (exit, text(out), text(err))
}

const STATUS: &str = "\
VM sfax-1 in sfax-medina: revision 12, ready yes, stopping no, platform answers no, watches for its zone yes
  group loans-1: loans-1-depot, term 2, confirmed 2/17, confirmations stall
    loans-1-medina in sfax-medina: no report, at most 40 ms old, not reachable, leaving or drained, homes: sfax-1, sfax-2
  problem: group `x`: there is no service `y`
  counter refused.queue_full: 3
";

#[tokio::test]
async fn status_for_people_and_machines() {
    let (address, _server) = start_proxy("sfax-1").await;
    let (exit, out, err) = skylarkctl(&["--proxy", &address, "status"]).await;
    assert_eq!((exit, &*out, &*err), (Exit::Success, STATUS, ""));
    let (_, out, _) = skylarkctl(&["--proxy", &address, "--json", "status"]).await;
    let json: Value = serde_json::from_str(&out).expect("the output is JSON");
    assert_eq!(json["proxies"][0]["counters"]["refused.queue_full"], 3);
    assert_eq!(json["proxies"][0]["counters"]["refused.no_primary"], 0);
}

#[tokio::test]
async fn one_proxy_down_does_not_hide_the_others() {
    // The first of two proxies is down. The answer of the second is shown, and the exit code reports that one
    // did not answer.
    let listener = TcpListener::bind(LOOPBACK).await.expect("a free port");
    let down = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let (address, _server) = start_proxy("sfax-1").await;
    let arguments = ["--proxy", &down, "--proxy", &address, "status"];
    let (exit, out, _) = skylarkctl(&arguments).await;
    assert_eq!(exit, Exit::ProxyDown);
    let failure = out.strip_prefix(STATUS).expect("the other proxy's answer comes first");
    assert!(failure.starts_with(&format!("the proxy {down} does not answer")), "{out}");
}

#[tokio::test]
async fn explain_a_group() {
    let (address, _server) = start_proxy("sfax-1").await;
    let (exit, out, _) = skylarkctl(&["--proxy", &address, "explain", "loans-1"]).await;
    assert_eq!(exit, Exit::Success);
    let expected = "group loans-1 at VM sfax-1, latest decisions:\n  250 ms ago: promote \
                    loans-1-depot in term 2: it holds most of the majority\n";
    assert_eq!(out, expected);
    let (other, _other_server) = start_proxy("sfax-2").await;
    let both = ["--json", "--proxy", &address, "--proxy", &other, "explain", "loans-1"];
    let (_, out, _) = skylarkctl(&both).await;
    let json: Value = serde_json::from_str(&out).expect("the output is JSON");
    assert_eq!(json["reports"].as_array().map(Vec::len), Some(2));
    let (exit, _, err) = skylarkctl(&["--proxy", &address, "explain", "loans"]).await;
    assert_eq!(exit, Exit::UnknownObject);
    assert_eq!(err, format!("skylarkctl: there is no group `loans` at the proxy {address}\n"));
}
