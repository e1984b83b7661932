//! `status`: what proxies do.

use std::fmt::Write;
use std::net::SocketAddr;

use serde_json::json;
use skylark_platform::ObjectStore;
use skylark_proxy::process::peer::api::GroupReport;
use skylark_proxy::process::peer::api::MemberReport;
use skylark_proxy::process::peer::api::StatusReport;

use crate::arguments::Options;
use crate::failure::Failure;
use crate::proxy;
use crate::report::Report;
use crate::store;

pub(crate) async fn run(options: &Options) -> Result<Report, Failure> {
    let proxies = find_proxies(options).await?;
    let mut report = Report::success(String::new(), json!({ "proxies": [], "failures": [] }));
    let mut reports = Vec::new();
    let mut failures = Vec::new();
    for proxy in proxies {
        match proxy::status(proxy).await {
            Ok(status) => {
                write_status(&mut report.text, &status);
                reports.push(status);
            }
            // One proxy that is down must not hide what the others say.
            Err(failure) => {
                let _ = writeln!(report.text, "{failure}");
                failures.push((proxy, failure));
            }
        }
    }
    if let Some((_, first)) = failures.first() {
        if reports.is_empty() && failures.len() == 1 {
            return Err(first.clone());
        }
        report.exit = first.exit();
    }
    let failures = failures.iter().map(|(proxy, failure)| {
        json!({ "proxy": proxy, "error": failure.exit().name(), "message": failure.to_string() })
    });
    report.json = json!({ "proxies": reports, "failures": failures.collect::<Vec<_>>() });
    Ok(report)
}

/// The proxies that the operator names, or else all that the platform lists.
async fn find_proxies(options: &Options) -> Result<Vec<SocketAddr>, Failure> {
    if !options.proxies.is_empty() {
        return Ok(options.proxies.clone());
    }
    if options.platform.is_none() {
        return Err(Failure::MissingOption {
            option: "--proxy or --platform",
            purpose: "status asks the proxies named, or those that the platform lists",
        });
    }
    let vms = store::open(options)?.vms().await.map_err(Failure::of_store)?;
    Ok(vms.iter().filter_map(|vm| vm.control_address.parse().ok()).collect())
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn write_status(out: &mut String, status: &StatusReport) {
    let _ = writeln!(
        out,
        "VM {} in {}: revision {}, ready {}, stopping {}, platform answers {}, watches for its zone {}",
        status.vm,
        status.zone,
        status.revision,
        yes_no(status.ready),
        yes_no(status.stopping),
        yes_no(status.platform_answers),
        yes_no(status.watching),
    );
    for group in &status.groups {
        write_group(out, group);
    }
    for problem in &status.problems {
        let _ = writeln!(out, "  problem: {problem}");
    }
    for (name, count) in &status.counters {
        let _ = writeln!(out, "  counter {name}: {count}");
    }
}

fn write_group(out: &mut String, group: &GroupReport) {
    let leader = group.leader.as_deref().unwrap_or("no known primary");
    let _ = write!(out, "  group {}: {leader}, term {}", group.group, group.term);
    if !group.tracked {
        let _ = writeln!(out, ", not tracked here");
        return;
    }
    let moving = if group.moving { ", moving" } else { "" };
    let stalled = if group.stalled { ", confirmations stall" } else { "" };
    let _ = writeln!(out, ", confirmed {}{moving}{stalled}", group.confirmed);
    for member in &group.members {
        write_member(out, member);
    }
}

fn write_member(out: &mut String, member: &MemberReport) {
    let _ = write!(out, "    {} in {}: ", member.target, member.zone);
    match &member.status {
        Some(status) => {
            let _ = write!(out, "{:?}, applied {}", status.role, status.applied);
        }
        None => out.push_str("no report"),
    }
    if let Some(age_ms) = member.age_ms {
        let _ = write!(out, ", at most {age_ms} ms old");
    }
    if !member.reachable {
        out.push_str(", not reachable");
    }
    if member.leaving {
        out.push_str(", leaving or drained");
    }
    let _ = writeln!(out, ", homes: {}", member.homes.join(", "));
}
