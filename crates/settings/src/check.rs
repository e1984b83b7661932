//! Checks a file's value tree against the known keys and lists every mistake.
//!
//! The check also returns the tree without the values that it refused. Every section has defaults,
//! so what is left can be read, and the rules between keys are checked in the same run.

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
use crate::mistake::Place;
use crate::shape;
use crate::shape::Key;
use crate::shape::Presence;
use crate::shape::Shape;

/// How alike an unknown key must be to a known one to be taken for a slip, from 0 to 1.
const MIN_LIKENESS: f64 = 0.8;
/// The longest value that a mistake repeats in full, in characters.
const MAX_SHOWN_CHARS: usize = 60;

/// What the check by keys found.
pub(crate) struct Checked {
    pub(crate) mistakes: Vec<Mistake>,
    /// The accepted part of the file.
    pub(crate) accepted: Value,
    /// Where the value at each path stands.
    pub(crate) places: FastMap<String, Place>,
}

fn options() -> ParseOptions {
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

/// Checks every key by itself. A text that is not JSON has one mistake and no more can be said.
pub(crate) fn check(text: &str, keys: &'static [Key]) -> Result<Checked, Mistakes> {
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options());
    let value = match parsed {
        Ok(parsed) => parsed.value,
        Err(error) => return Err(not_json(text, error.range().start, error.kind().to_string())),
    };
    let Some(value) = value else {
        return Err(not_json(text, 0, "the file is empty".to_owned()));
    };
    let mut checker = Checker { text, mistakes: Vec::new(), places: FastMap::default() };
    let accepted = checker.value("", &value, &Shape::Section(keys));
    let accepted = accepted.unwrap_or_else(|| Value::Object(Map::new()));
    Ok(Checked { mistakes: checker.mistakes, accepted, places: checker.places })
}

/// Reads an accepted tree into its structure.
pub(crate) fn read<S>(accepted: Value) -> Result<S, Mistake>
where
    S: DeserializeOwned,
{
    serde_path_to_error::deserialize(accepted).map_err(|error| Mistake {
        path: error.path().to_string(),
        place: None,
        problem: error.inner().to_string(),
        accepted: String::new(),
    })
}

fn not_json(text: &str, offset: usize, problem: String) -> Mistakes {
    Mistakes(vec![Mistake {
        path: String::new(),
        place: Some(place(text, offset)),
        problem,
        accepted: "JSON with `//` and `/* */` comments and trailing commas".to_owned(),
    }])
}

fn place(text: &str, offset: usize) -> Place {
    let before = &text[..offset.min(text.len())];
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    Place {
        line: before.matches('\n').count() + 1,
        column: before[line_start..].chars().count() + 1,
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

struct Checker<'a> {
    text: &'a str,
    mistakes: Vec<Mistake>,
    places: FastMap<String, Place>,
}

impl Checker<'_> {
    fn refuse(&mut self, path: &str, offset: usize, problem: String, accepted: String) {
        let place = Some(place(self.text, offset));
        self.mistakes.push(Mistake { path: path.to_owned(), place, problem, accepted });
    }

    /// The value as it stands in the text, cut short.
    fn shown(&self, value: &ast::Value<'_>) -> String {
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

    /// The accepted part of a value; none where the value itself is refused.
    fn value(&mut self, path: &str, value: &ast::Value<'_>, shape: &Shape) -> Option<Value> {
        self.places.insert(path.to_owned(), place(self.text, value.start()));
        match (shape, value) {
            (Shape::Section(keys), ast::Value::Object(object)) => {
                return Some(self.section(path, object, keys));
            }
            (Shape::List { of, min_len }, ast::Value::Array(array)) => {
                return Some(self.list(path, array, of, *min_len));
            }
            (Shape::Integer { min, max }, ast::Value::NumberLit(number)) => {
                let parsed = number.value.parse().ok();
                if let Some(number) = parsed.filter(|number| (*min..=*max).contains(number)) {
                    return Some(Value::from(number));
                }
            }
            (Shape::Flag, ast::Value::BooleanLit(flag)) => return Some(Value::from(flag.value)),
            (_, ast::Value::StringLit(text)) if accepts_text(shape, &text.value) => {
                return Some(Value::from(&*text.value));
            }
            _ => {}
        }
        let problem = format!("{} is not accepted", self.shown(value));
        self.refuse(path, value.start(), problem, shape.accepted());
        None
    }

    fn list(&mut self, path: &str, array: &ast::Array<'_>, of: &Shape, min_len: usize) -> Value {
        if array.elements.len() < min_len {
            let problem = format!("{} entries are too few", array.elements.len());
            self.refuse(path, array.range.start, problem, format!("at least {min_len}"));
        }
        let mut accepted = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let element = self.value(&format!("{path}[{index}]"), element, of);
            match of {
                // A refused section leaves an empty one behind, so that the next ones keep their
                // place in the list and with it their path.
                Shape::Section(_) => accepted.push(element.unwrap_or(Value::Object(Map::new()))),
                _ => accepted.extend(element),
            }
        }
        Value::Array(accepted)
    }

    fn section(&mut self, path: &str, object: &ast::Object<'_>, keys: &[Key]) -> Value {
        let mut accepted = Map::new();
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let key_path = join(path, name);
            if seen.contains(&name) {
                let problem = "the key stands twice".to_owned();
                self.refuse(&key_path, property.range.start, problem, "one value".to_owned());
                continue;
            }
            seen.push(name);
            let Some(key) = keys.iter().find(|key| key.name == name) else {
                self.unknown_key(&key_path, property, keys);
                continue;
            };
            // `null` reads as left out where a key may be left out.
            if is_left_out(key, &property.value) {
                continue;
            }
            if let Some(value) = self.value(&key_path, &property.value, &key.shape) {
                accepted.insert(name.to_owned(), value);
            }
        }
        self.missing_keys(path, object, keys, &seen);
        Value::Object(accepted)
    }

    fn missing_keys(&mut self, path: &str, object: &ast::Object<'_>, keys: &[Key], seen: &[&str]) {
        for key in keys {
            let required = matches!(key.presence, Presence::Required);
            if required && !seen.contains(&key.name) {
                let problem = "the key is missing".to_owned();
                let accepted = key.shape.accepted();
                self.refuse(&join(path, key.name), object.range.start, problem, accepted);
            }
        }
    }

    fn unknown_key(&mut self, path: &str, property: &ast::ObjectProp<'_>, keys: &[Key]) {
        let name = property.name.as_str();
        let likeness = |key: &&Key| (strsim::jaro_winkler(name, key.name) * 1e6) as u64;
        let nearest = keys.iter().max_by_key(likeness);
        let nearest = nearest.filter(|key| strsim::jaro_winkler(name, key.name) >= MIN_LIKENESS);
        let (problem, accepted) = match nearest {
            Some(key) => (format!("unknown key; nearest is `{}`", key.name), String::new()),
            None => (
                "unknown key".to_owned(),
                shape::one_of(&keys.iter().map(|key| key.name).collect::<Vec<_>>()),
            ),
        };
        self.refuse(path, property.range.start, problem, accepted);
    }
}

fn is_left_out(key: &Key, value: &ast::Value<'_>) -> bool {
    matches!(key.presence, Presence::Optional) && matches!(value, ast::Value::NullKeyword(_))
}

fn accepts_text(shape: &Shape, text: &str) -> bool {
    match shape {
        Shape::Name => shape::is_name(text),
        Shape::Address { any_port } => {
            text.parse().is_ok_and(|address: SocketAddr| *any_port || address.port() != 0)
        }
        Shape::Choice(words) => words.contains(&text),
        Shape::Integer { .. } | Shape::Flag | Shape::List { .. } | Shape::Section(_) => false,
    }
}
