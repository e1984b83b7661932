//! `explain`: shows the latest decisions of proxies about a group, or the progress of a plan.

use std::fmt::Write;

use serde::Deserialize;
use serde_json::json;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::plan::Plan;
use skylark_core::version::plan::record::PlanRecord;
use skylark_core::version::plan::record::PlanState;
use skylark_objects::ObjectStore;
use skylark_proxy::process::peer::api::ExplainReport;

use crate::arguments::Options;
use crate::failure::Failure;
use crate::proxy;
use crate::proxy::Answers;
use crate::report::Report;
use crate::store;

pub(crate) async fn run(subject: &str, options: &Options) -> Result<Report, Failure> {
    if Plan::is_id(subject) {
        return explain_plan(&store::open(options)?, subject).await;
    }
    let proxies = proxy::find(options).await?;
    let ask = async |proxy| proxy::explain(proxy, subject).await;
    let answers = Answers::collect(&proxies, ask).await;
    let mut text = String::new();
    for report in &answers.received {
        write_decisions(&mut text, report);
    }
    let json = json!({ "reports": answers.received });
    answers.report(text, json)
}

fn write_decisions(out: &mut String, report: &ExplainReport) {
    let _ = writeln!(out, "group {} at VM {}, latest decisions:", report.group, report.vm);
    for decision in &report.decisions {
        let ago_ms = decision.ago_ms;
        let _ = writeln!(out, "  {ago_ms} ms ago: {}: {}", decision.decision, decision.reason);
    }
    if report.decisions.is_empty() {
        out.push_str("  none since this proxy started\n");
    }
}

async fn explain_plan<S>(store: &S, id: &str) -> Result<Report, Failure>
where
    S: ObjectStore,
{
    let stored = store::get(store, ObjectKind::Plan, id).await?;
    let stored = stored.ok_or_else(|| Failure::UnknownPlan { id: id.to_owned() })?;
    let record = PlanRecord::deserialize(&stored.body)
        .map_err(|error| Failure::PlatformRefused { reason: error.to_string() })?;
    let mut text = format!("{}  {}\n", record.plan, state_text(&record));
    let mut base_objects = Vec::new();
    for base in record.plan.base_versions() {
        let current = store::get(store, base.kind, base.name).await?;
        let version = current.map_or(0, |object| object.version);
        let (kind, name) = (base.kind.name(), base.name);
        let _ =
            writeln!(text, "  {kind} `{name}`: planned on version {}, now {version}", base.version);
        base_objects.push(json!({
            "kind": kind, "name": name, "base_version": base.version, "version": version,
        }));
    }
    Ok(Report::success(text, json!({ "record": record, "objects": base_objects })))
}

fn state_text(record: &PlanRecord) -> String {
    let steps = record.plan.steps.len();
    let done = record.steps_done;
    match record.state {
        PlanState::Proposed => "proposed: nothing has changed".to_owned(),
        PlanState::Confirmed => format!("confirmed: {done} of {steps} steps are known to be done"),
        PlanState::Done => format!("done: {steps} of {steps} steps"),
        PlanState::Superseded => {
            format!("superseded after {done} of {steps} steps: {}", record.cause)
        }
    }
}
