//! `explain --log`: explains the outcome of a request from the log files of the VMs.
//!
//! Selects and shows in the order of time:
//!
//! - the state of the VMs that logged the request, as each knew it before the request's first line;
//! - all lines that contain the request's id;
//! - the decisions of all VMs about the request's service and targets around that time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use time::Duration;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::failure::Failure;
use crate::report::Report;

/// Decisions about the service and the targets are shown from this long before the request's first line. A
/// takeover that delayed the request started or ended within that time.
const WINDOW_BEFORE: Duration = Duration::seconds(3);

/// Decisions are shown until this long after the request's last line. They show whether the cause persisted.
const WINDOW_AFTER: Duration = Duration::seconds(1);

/// The messages by which a VM logs a change of its own state or of its connection to the platform. The last
/// line with each message before a request is shown.
const STATE_MESSAGES: [&str; 9] = [
    "configuration in force",
    "cut off from other availability zones",
    "list of VMs",
    "not told by a watcher",
    "other availability zones are reached again",
    "started",
    "stopping",
    "the store answers again",
    "the store does not answer",
];

/// The fields that are left out of a line's details: they are shown elsewhere in the output, or do not help
/// to explain a request.
const HIDDEN_FIELDS: [&str; 7] = ["left_out", "level", "msg", "request", "ts", "vm", "zone"];

/// One line of a VM's log.
#[derive(Clone, Debug)]
struct LogLine {
    at: OffsetDateTime,
    vm: String,
    message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Returns `None` if it is not a log line of a proxy. Text before the JSON object is
    /// skipped: log collectors insert their own timestamp and the VM's name there.
    fn parse(text: &str) -> Option<LogLine> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let text_field = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
        let at = OffsetDateTime::parse(&text_field("ts")?, &Rfc3339).ok()?;
        Some(LogLine { at, vm: text_field("vm")?, message: text_field("msg")?, fields })
    }

    fn text_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn names_request(&self, id: &str) -> bool {
        self.text_field("request") == Some(id)
    }

    /// Returns the targets in the line's fields.
    fn targets(&self) -> impl Iterator<Item = &str> {
        let named = ["target", "primary", "chosen"].into_iter();
        named.filter_map(|name| self.text_field(name)).filter(|target| !target.is_empty())
    }

    fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()));
        let mut details = String::new();
        for (name, value) in shown {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            // Writing to a string does not fail.
            let _ = write!(details, " {name}={text}");
        }
        details
    }
}

/// The VMs, services, targets and times in the lines that contain a request's id.
struct RequestContext {
    vms: BTreeSet<String>,
    services: BTreeSet<String>,
    targets: BTreeSet<String>,
    first: OffsetDateTime,
    last: OffsetDateTime,
}

impl RequestContext {
    fn of(request_lines: &[LogLine]) -> Option<RequestContext> {
        let services = request_lines.iter().filter_map(|line| line.text_field("service"));
        Some(RequestContext {
            vms: request_lines.iter().map(|line| line.vm.clone()).collect(),
            services: services.map(str::to_owned).collect(),
            targets: request_lines.iter().flat_map(LogLine::targets).map(str::to_owned).collect(),
            first: request_lines.iter().map(|line| line.at).min()?,
            last: request_lines.iter().map(|line| line.at).max()?,
        })
    }

    /// Returns whether a line logs a decision about the request's service or targets close to the request's
    /// time. Lines about single requests are excluded because they do not explain another request.
    fn is_related(&self, line: &LogLine) -> bool {
        let is_near = self.first - WINDOW_BEFORE <= line.at && line.at <= self.last + WINDOW_AFTER;
        let same_service =
            line.text_field("service").is_some_and(|name| self.services.contains(name));
        let same_target = line.targets().any(|target| self.targets.contains(target));
        is_near && !line.fields.contains_key("request") && (same_service || same_target)
    }

    /// Returns whether a line logs the state of one of the request's VMs before the request.
    fn is_state_before(&self, line: &LogLine) -> bool {
        let is_state_message = STATE_MESSAGES.contains(&line.message.as_str());
        is_state_message && line.at <= self.first && self.vms.contains(&line.vm)
    }
}

pub(crate) fn run(id: &str, logs: &[PathBuf]) -> Result<Report, Failure> {
    let mut lines = Vec::new();
    for log in logs {
        lines.extend(read(log)?);
    }
    lines.sort_by_key(|line| line.at);
    let request_lines: Vec<LogLine> =
        lines.iter().filter(|line| line.names_request(id)).cloned().collect();
    let context = RequestContext::of(&request_lines)
        .ok_or_else(|| Failure::UnknownRequest { id: id.to_owned() })?;
    let selected = select_lines(id, &context, &lines);
    let mut text = format!("request {id}, times in ms from its first line:\n");
    for line in &selected {
        let at_ms = (line.at - context.first).as_seconds_f64() * 1_000.0;
        // Writing to a string does not fail.
        let _ = writeln!(text, "{at_ms:10.1}  {}: {}{}", line.vm, line.message, line.details());
    }
    let json: Vec<&Map<String, Value>> = selected.iter().map(|line| &line.fields).collect();
    Ok(Report::success(text, json!({ "request": id, "lines": json })))
}

/// Returns the lines to show, in the order of time.
fn select_lines<'a>(id: &str, context: &RequestContext, lines: &'a [LogLine]) -> Vec<&'a LogLine> {
    let mut states: BTreeMap<(&str, &str), &LogLine> = BTreeMap::new();
    for line in lines.iter().filter(|line| context.is_state_before(line)) {
        states.insert((&line.vm, &line.message), line);
    }
    let related = lines.iter().filter(|line| line.names_request(id) || context.is_related(line));
    let mut selected: Vec<&LogLine> = states.into_values().chain(related).collect();
    selected.sort_by_key(|line| line.at);
    selected
}

fn read(log: &Path) -> Result<Vec<LogLine>, Failure> {
    let bytes = fs::read(log).map_err(|error| Failure::UnreadableFile {
        file: log.display().to_string(),
        reason: error.to_string(),
    })?;
    // A log file may be truncated within a UTF-8 sequence; the rest is still read.
    Ok(String::from_utf8_lossy(&bytes).lines().filter_map(LogLine::parse).collect())
}
