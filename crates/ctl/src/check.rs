//! `check`: validates a settings file and lists all its mistakes.

use std::fs;
use std::path::Path;

use serde_json::json;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::deployment::Group;
use skylark_settings::proxy::ProxySettings;

use crate::arguments;
use crate::arguments::FileKind;
use crate::failure::Failure;
use crate::report::Report;

pub(crate) fn run(kind: Option<FileKind>, file: &Path) -> Result<Report, Failure> {
    let kind = kind.unwrap_or_else(|| guess_kind(file));
    let name = match kind {
        FileKind::Proxy => arguments::load::<ProxySettings>(file).map(|_| "a proxy"),
        FileKind::Deployment => arguments::load::<DeploymentSettings>(file).map(|_| "a deployment"),
        FileKind::Group => arguments::load::<Group>(file).map(|_| "a group"),
    }?;
    let text = format!("{}: accepted as settings of {name}\n", file.display());
    Ok(Report::success(text, json!({ "file": file, "accepted": true })))
}

/// Infers the kind of a file from its keys. A file that can't be read counts as a proxy's settings; the
/// check then reports the I/O error.
fn guess_kind(file: &Path) -> FileKind {
    let text = fs::read_to_string(file).unwrap_or_default();
    let has = |key: &str| text.contains(&format!("\"{key}\""));
    if has("groups") || has("zones") {
        FileKind::Deployment
    } else if has("members") {
        FileKind::Group
    } else {
        FileKind::Proxy
    }
}
