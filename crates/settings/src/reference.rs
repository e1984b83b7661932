//! The settings reference in Markdown, with one table per section. It is generated from the same keys as
//! the validation.

use std::fmt::Write;

use crate::deployment::DeploymentSettings;
use crate::proxy::ProxySettings;
use crate::schema::Key;
use crate::schema::Presence;
use crate::schema::Schema;

/// Returns the tables for proxy and deployment settings, as included in the operators' documentation.
pub fn all() -> String {
    let proxy = markdown("Proxy", ProxySettings::KEYS);
    let deployment = markdown("Deployment", DeploymentSettings::KEYS);
    format!("{proxy}{deployment}").trim_end().to_owned() + "\n"
}

/// Returns the tables for one kind of file. `title` is the heading of the table of top-level keys.
pub fn markdown(title: &str, keys: &[Key]) -> String {
    let mut page = String::new();
    write_section(&mut page, title, keys);
    page
}

fn write_section(page: &mut String, title: &str, keys: &[Key]) {
    let _ = writeln!(page, "### {title}\n");
    let _ = writeln!(page, "| key | meaning | accepted | default |\n|---|---|---|---|");
    for key in keys {
        write_key(page, key);
    }
    page.push('\n');
    for key in keys {
        if let Some((suffix, nested)) = subsection_of(&key.schema) {
            write_section(page, &format!("{title}: `{}{suffix}`", key.name), nested);
        }
    }
}

fn write_key(page: &mut String, key: &Key) {
    let doc: Vec<&str> = key.doc.iter().map(|line| line.trim()).collect();
    let accepted = match subsection_of(&key.schema) {
        Some(("", _)) => "a section, see below".to_owned(),
        Some(_) => "a list, see below".to_owned(),
        None => key.schema.accepted(),
    };
    let default = match key.presence {
        Presence::Required => "required".to_owned(),
        Presence::Optional => "none".to_owned(),
        Presence::Default(_) if matches!(key.schema, Schema::Section(_)) => "see below".to_owned(),
        Presence::Default(value) => format!("`{}`", value()),
    };
    let _ = writeln!(page, "| `{}` | {} | {accepted} | {default} |", key.name, doc.join(" "));
}

/// Returns the keys of a nested section and the suffix of its heading: `[]` for a list of sections.
fn subsection_of(schema: &Schema) -> Option<(&'static str, &'static [Key])> {
    match schema {
        Schema::Section(keys) => Some(("", keys)),
        Schema::List { item: Schema::Section(keys), .. } => Some(("[]", keys)),
        _ => None,
    }
}
