//! `explain`: why a group is served as it is, or how far a plan has come.

use std::fmt::Write;

use serde::Deserialize;
use serde_json::json;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::plan::Plan;
use skylark_core::version::plan::record::PlanRecord;
use skylark_core::version::plan::record::PlanState;
use skylark_platform::ObjectStore;

use crate::arguments::Options;
use crate::failure::Failure;
use crate::proxy;
use crate::report::Report;
use crate::store;

pub(crate) async fn run(subject: &str, options: &Options) -> Result<Report, Failure> {
    if Plan::is_id(subject) {
        return explain_plan(&store::open(options)?, subject).await;
    }
    let Some(proxy) = options.proxies.first() else {
        return Err(Failure::MissingOption {
            option: "--proxy",
            purpose: "decisions about a group are kept by the proxies that take them",
        });
    };
    let report = proxy::explain(*proxy, subject).await?;
    let mut text = format!("group {} at VM {}, latest decisions:\n", report.group, report.vm);
    for decision in &report.decisions {
        let ago_ms = decision.ago_ms;
        let _ = writeln!(text, "  {ago_ms} ms ago: {}: {}", decision.decision, decision.reason);
    }
    if report.decisions.is_empty() {
        text.push_str("  none since this proxy started\n");
    }
    Ok(Report::success(text, json!(report)))
}

async fn explain_plan<S>(store: &S, id: &str) -> Result<Report, Failure>
where
    S: ObjectStore,
{
    let stored = store::get(store, ObjectKind::Plan, id).await?;
    let stored = stored.ok_or_else(|| Failure::UnknownPlan { id: id.to_owned() })?;
    let record = PlanRecord::deserialize(&stored.body)
        .map_err(|error| Failure::PlatformRefused { reason: error.to_string() })?;
    let mut text = format!("{}  {}\n", record.plan, state_words(&record));
    let mut bases = Vec::new();
    for base in record.plan.base_versions() {
        let current = store::get(store, base.kind, base.name).await?;
        let version = current.map_or(0, |object| object.version);
        let (kind, name) = (base.kind.name(), base.name);
        let _ =
            writeln!(text, "  {kind} `{name}`: planned on version {}, now {version}", base.version);
        bases.push(json!({
            "kind": kind, "name": name, "base_version": base.version, "version": version,
        }));
    }
    Ok(Report::success(text, json!({ "record": record, "objects": bases })))
}

fn state_words(record: &PlanRecord) -> String {
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
