//! `status`: shows the state of the proxies and of their groups.

use std::fmt::Write;

use serde_json::json;
use skylark_proxy::process::peer::api::GroupReport;
use skylark_proxy::process::peer::api::MemberReport;
use skylark_proxy::process::peer::api::StatusReport;

use crate::arguments::Options;
use crate::failure::Failure;
use crate::proxy;
use crate::proxy::Answers;
use crate::report::Report;

pub(crate) async fn run(options: &Options) -> Result<Report, Failure> {
    let proxies = proxy::find(options).await?;
    let answers = Answers::collect(&proxies, proxy::status).await;
    let mut text = String::new();
    for status in &answers.received {
        write_status(&mut text, status);
    }
    let json = json!({ "proxies": answers.received });
    answers.report(text, json)
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
    // Counters at zero are left out: usually there are about fifty, which would hide the others. The JSON
    // output contains all counters.
    for (name, count) in status.counters.iter().filter(|(_, count)| **count > 0) {
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
