//! Validates the value tree of a file against its schema and collects every mistake.
//!
//! The check also returns the tree without the rejected values. Because every section has defaults, the
//! remaining tree can be deserialized even if there are mistakes, so that the rules between keys are
//! checked in the same run.

use std::net::SocketAddr;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use skylark_core::FastMap;

use crate::mistake::Mistake;
use crate::mistake::Mistakes;
use crate::mistake::SourcePosition;
use crate::schema;
use crate::schema::Key;
use crate::schema::Presence;
use crate::schema::Schema;

/// The minimum Jaro-Winkler similarity, from 0 to 1, at which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.8;
/// The maximum length of a value that a mistake quotes in full, in characters.
const MAX_SHOWN_CHARS: usize = 60;

/// The result of checking every key by itself.
pub(crate) struct Checked {
    pub(crate) mistakes: Vec<Mistake>,
    /// The value tree of the file without the rejected values.
    pub(crate) accepted: Value,
    /// The position in the text of the value at each path.
    pub(crate) positions: FastMap<String, SourcePosition>,
}

fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_extended_string_escapes: false,
        allow_non_finite_numbers: false,
    }
}

/// Checks every key by itself. Fails with one mistake if the text is not valid JSON with comments.
pub(crate) fn check(text: &str, keys: &'static [Key]) -> Result<Checked, Mistakes> {
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &parse_options());
    let value = match parsed {
        Ok(parsed) => parsed.value,
        Err(error) => return Err(json_error(text, error.range().start, error.kind().to_string())),
    };
    let Some(value) = value else {
        return Err(json_error(text, 0, "the file is empty".to_owned()));
    };
    let mut checker = Checker { text, mistakes: Vec::new(), positions: FastMap::default() };
    let accepted = checker.check_value("", &value, &Schema::Section(keys));
    let accepted = accepted.unwrap_or_else(|| Value::Object(Map::new()));
    Ok(Checked { mistakes: checker.mistakes, accepted, positions: checker.positions })
}

/// Deserializes a tree of accepted values.
pub(crate) fn read<S>(accepted: Value) -> Result<S, Mistake>
where
    S: DeserializeOwned,
{
    serde_path_to_error::deserialize(accepted).map_err(|error| Mistake {
        path: error.path().to_string(),
        position: None,
        problem: error.inner().to_string(),
        accepted: String::new(),
    })
}

fn json_error(text: &str, offset: usize, problem: String) -> Mistakes {
    Mistakes(vec![Mistake {
        path: String::new(),
        position: Some(position_at(text, offset)),
        problem,
        accepted: "JSON with `//` and `/* */` comments and trailing commas".to_owned(),
    }])
}

/// Converts a byte offset into a line and column.
fn position_at(text: &str, offset: usize) -> SourcePosition {
    let before = &text[..offset.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    SourcePosition {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

struct Checker<'a> {
    text: &'a str,
    mistakes: Vec<Mistake>,
    positions: FastMap<String, SourcePosition>,
}

impl Checker<'_> {
    fn report(&mut self, path: &str, offset: usize, problem: String, accepted: String) {
        let position = Some(position_at(self.text, offset));
        self.mistakes.push(Mistake { path: path.to_owned(), position, problem, accepted });
    }

    /// Returns the value as written in the text, truncated to `MAX_SHOWN_CHARS`.
    fn excerpt(&self, value: &ast::Value<'_>) -> String {
        match value {
            ast::Value::Object(_) => "an object".to_owned(),
            ast::Value::Array(_) => "a list".to_owned(),
            other => {
                let text = other.text(self.text);
                match text.char_indices().nth(MAX_SHOWN_CHARS) {
                    Some((end, _)) => format!("`{}…`", &text[..end]),
                    None => format!("`{text}`"),
                }
            }
        }
    }

    /// Checks a value and reports its mistakes. Returns its accepted part, or `None` if the value itself is
    /// rejected.
    fn check_value(
        &mut self,
        path: &str,
        value: &ast::Value<'_>,
        schema: &Schema,
    ) -> Option<Value> {
        self.positions.insert(path.to_owned(), position_at(self.text, value.start()));
        match (schema, value) {
            (Schema::Section(keys), ast::Value::Object(object)) => {
                return Some(self.check_section(path, object, keys));
            }
            (Schema::List { item, min_len }, ast::Value::Array(array)) => {
                return Some(self.check_list(path, array, item, *min_len));
            }
            (Schema::Integer { min, max }, ast::Value::NumberLit(number)) => {
                let parsed = number.value.parse().ok();
                if let Some(number) = parsed.filter(|number| (*min..=*max).contains(number)) {
                    return Some(Value::from(number));
                }
            }
            (Schema::Flag, ast::Value::BooleanLit(flag)) => return Some(Value::from(flag.value)),
            (_, ast::Value::StringLit(text)) if accepts_text(schema, &text.value) => {
                return Some(Value::from(&*text.value));
            }
            _ => {}
        }
        let problem = format!("{} is not accepted", self.excerpt(value));
        self.report(path, value.start(), problem, schema.accepted());
        None
    }

    fn check_list(
        &mut self,
        path: &str,
        array: &ast::Array<'_>,
        item: &Schema,
        min_len: usize,
    ) -> Value {
        if array.elements.len() < min_len {
            let problem = format!("{} entries are too few", array.elements.len());
            self.report(path, array.range.start, problem, format!("at least {min_len}"));
        }
        let mut accepted = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let element = self.check_value(&format!("{path}[{index}]"), element, item);
            match item {
                // An empty section replaces a rejected one, so that the sections after it keep their
                // index and thereby their path.
                Schema::Section(_) => accepted.push(element.unwrap_or(Value::Object(Map::new()))),
                _ => accepted.extend(element),
            }
        }
        Value::Array(accepted)
    }

    fn check_section(&mut self, path: &str, object: &ast::Object<'_>, keys: &[Key]) -> Value {
        let mut accepted = Map::new();
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let key_path = join_path(path, name);
            if seen.contains(&name) {
                let problem = "duplicate key".to_owned();
                self.report(&key_path, property.range.start, problem, "one value".to_owned());
                continue;
            }
            seen.push(name);
            let Some(key) = keys.iter().find(|key| key.name == name) else {
                self.report_unknown_key(&key_path, property, keys);
                continue;
            };
            // For an optional key, `null` means that the key is omitted.
            if is_omitted(key, &property.value) {
                continue;
            }
            if let Some(value) = self.check_value(&key_path, &property.value, &key.schema) {
                accepted.insert(name.to_owned(), value);
            }
        }
        self.report_missing_keys(path, object, keys, &seen);
        Value::Object(accepted)
    }

    fn report_missing_keys(
        &mut self,
        path: &str,
        object: &ast::Object<'_>,
        keys: &[Key],
        seen: &[&str],
    ) {
        for key in keys {
            let required = matches!(key.presence, Presence::Required);
            if required && !seen.contains(&key.name) {
                let problem = "the key is missing".to_owned();
                let accepted = key.schema.accepted();
                self.report(&join_path(path, key.name), object.range.start, problem, accepted);
            }
        }
    }

    fn report_unknown_key(&mut self, path: &str, property: &ast::ObjectProp<'_>, keys: &[Key]) {
        let name = property.name.as_str();
        let similarity = |key: &&Key| (strsim::jaro_winkler(name, key.name) * 1e6) as u64;
        let nearest = keys.iter().max_by_key(similarity);
        let nearest = nearest.filter(|key| strsim::jaro_winkler(name, key.name) >= MIN_SIMILARITY);
        let (problem, accepted) = match nearest {
            Some(key) => (format!("unknown key; nearest is `{}`", key.name), String::new()),
            None => (
                "unknown key".to_owned(),
                schema::one_of(&keys.iter().map(|key| key.name).collect::<Vec<_>>()),
            ),
        };
        self.report(path, property.range.start, problem, accepted);
    }
}

fn is_omitted(key: &Key, value: &ast::Value<'_>) -> bool {
    matches!(key.presence, Presence::Optional) && matches!(value, ast::Value::NullKeyword(_))
}

fn accepts_text(schema: &Schema, text: &str) -> bool {
    match schema {
        Schema::Name => schema::is_name(text),
        Schema::Address { allow_port_zero } => {
            text.parse().is_ok_and(|address: SocketAddr| *allow_port_zero || address.port() != 0)
        }
        Schema::Choice(words) => words.contains(&text),
        Schema::Integer { .. } | Schema::Flag | Schema::List { .. } | Schema::Section(_) => false,
    }
}
