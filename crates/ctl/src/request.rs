//! `explain --log`: why a request ended as it did, from the log files of the VMs.
//!
//! Shown are, in the order of time: what the VM that served the request believed just before, all
//! lines that name the request, and what any VM decided meanwhile about its service and its targets.

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

/// How long before the first line of a request decisions about its service are shown. A takeover that it
/// waited for began within that time, or ended.
const BEFORE: Duration = Duration::seconds(3);

/// How long after its last line they are shown: whether the cause went on.
const AFTER: Duration = Duration::seconds(1);

/// What a VM believes of itself and the platform. The last line of each kind before a request holds.
const BELIEFS: [&str; 9] = [
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

/// Fields that are shown in a place of their own, or say nothing here.
const HIDDEN: [&str; 7] = ["left_out", "level", "msg", "request", "ts", "vm", "zone"];

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    at: OffsetDateTime,
    vm: String,
    message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; none if it is none of a process of ours. What stands before the JSON is passed over:
    /// collectors put their own time and the VM there.
    fn parse(text: &str) -> Option<Line> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let word = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
        let at = OffsetDateTime::parse(&word("ts")?, &Rfc3339).ok()?;
        Some(Line { at, vm: word("vm")?, message: word("msg")?, fields })
    }

    fn word(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn names_request(&self, id: &str) -> bool {
        self.word("request") == Some(id)
    }

    /// The targets that it names.
    fn targets(&self) -> impl Iterator<Item = &str> {
        let named = ["target", "primary", "chosen"].into_iter();
        named.filter_map(|name| self.word(name)).filter(|target| !target.is_empty())
    }

    fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, _)| !HIDDEN.contains(&name.as_str()));
        let mut details = String::new();
        for (name, value) in shown {
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            // Writing to a string does not fail.
            let _ = write!(details, " {name}={text}");
        }
        details
    }
}

/// What the lines that name a request say of it.
struct Subject {
    vms: BTreeSet<String>,
    services: BTreeSet<String>,
    targets: BTreeSet<String>,
    first: OffsetDateTime,
    last: OffsetDateTime,
}

impl Subject {
    fn of(own: &[Line]) -> Option<Subject> {
        let services = own.iter().filter_map(|line| line.word("service"));
        Some(Subject {
            vms: own.iter().map(|line| line.vm.clone()).collect(),
            services: services.map(str::to_owned).collect(),
            targets: own.iter().flat_map(Line::targets).map(str::to_owned).collect(),
            first: own.iter().map(|line| line.at).min()?,
            last: own.iter().map(|line| line.at).max()?,
        })
    }

    /// Whether a line tells of a decision about the service or the targets, near the request. Lines of other
    /// requests tell nothing of this one.
    fn is_about(&self, line: &Line) -> bool {
        let is_near = self.first - BEFORE <= line.at && line.at <= self.last + AFTER;
        let same_service = line.word("service").is_some_and(|name| self.services.contains(name));
        let same_target = line.targets().any(|target| self.targets.contains(target));
        is_near && !line.fields.contains_key("request") && (same_service || same_target)
    }

    /// Whether a line tells what a VM of the request believed before it.
    fn is_belief(&self, line: &Line) -> bool {
        let is_belief = BELIEFS.contains(&line.message.as_str());
        is_belief && line.at <= self.first && self.vms.contains(&line.vm)
    }
}

pub(crate) fn run(id: &str, logs: &[PathBuf]) -> Result<Report, Failure> {
    let mut lines = Vec::new();
    for log in logs {
        lines.extend(read(log)?);
    }
    lines.sort_by_key(|line| line.at);
    let own: Vec<Line> = lines.iter().filter(|line| line.names_request(id)).cloned().collect();
    let subject = Subject::of(&own).ok_or_else(|| Failure::UnknownRequest { id: id.to_owned() })?;
    let chain = chain(id, &subject, &lines);
    let mut text = format!("request {id}, times in ms from its first line:\n");
    for line in &chain {
        let at_ms = (line.at - subject.first).as_seconds_f64() * 1_000.0;
        // Writing to a string does not fail.
        let _ = writeln!(text, "{at_ms:10.1}  {}: {}{}", line.vm, line.message, line.details());
    }
    let json: Vec<&Map<String, Value>> = chain.iter().map(|line| &line.fields).collect();
    Ok(Report::success(text, json!({ "request": id, "lines": json })))
}

/// The lines to show, in the order of time.
fn chain<'a>(id: &str, subject: &Subject, lines: &'a [Line]) -> Vec<&'a Line> {
    let mut beliefs: BTreeMap<(&str, &str), &Line> = BTreeMap::new();
    for line in lines.iter().filter(|line| subject.is_belief(line)) {
        beliefs.insert((&line.vm, &line.message), line);
    }
    let related = lines.iter().filter(|line| line.names_request(id) || subject.is_about(line));
    let mut chain: Vec<&Line> = beliefs.into_values().chain(related).collect();
    chain.sort_by_key(|line| line.at);
    chain
}

fn read(log: &Path) -> Result<Vec<Line>, Failure> {
    let bytes = fs::read(log).map_err(|error| Failure::UnreadableFile {
        file: log.display().to_string(),
        reason: error.to_string(),
    })?;
    // A log that was cut in the middle of a character is still worth reading.
    Ok(String::from_utf8_lossy(&bytes).lines().filter_map(Line::parse).collect())
}
