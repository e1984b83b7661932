//! The schema of settings files: the keys of each section and the values that each key accepts.

use std::fmt;

/// The maximum length of the name of an object, a zone or a VM, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Whether a key may be omitted, and the value that it then has.
#[derive(Clone, Copy)]
pub enum Presence {
    /// The key must be present.
    Required,
    /// The key may be omitted and then has no value.
    Optional,
    /// The key may be omitted and then has the returned value.
    Default(fn() -> serde_json::Value),
}

/// A key of a section.
#[derive(Clone, Copy)]
pub struct Key {
    /// The name of the key in the file.
    pub name: &'static str,
    /// The documentation, one string per line. The settings reference prints it.
    pub doc: &'static [&'static str],
    /// The values that the key accepts.
    pub schema: Schema,
    /// Whether the key may be omitted, and its default.
    pub presence: Presence,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name)
    }
}

/// The values that a key accepts.
#[derive(Clone, Copy)]
pub enum Schema {
    /// An integer between two bounds, inclusive.
    Integer {
        /// The lowest accepted value.
        min: u64,
        /// The highest accepted value.
        max: u64,
    },
    /// A name that needs no escaping in paths and protocols, see [`is_name`].
    Name,
    /// An IP address and a port.
    Address {
        /// Whether port 0 is accepted, which lets the operating system choose a free port.
        allow_port_zero: bool,
    },
    /// `true` or `false`.
    Flag,
    /// One of several keywords.
    Choice(&'static [&'static str]),
    /// A list.
    List {
        /// The schema of the entries.
        item: &'static Schema,
        /// The minimum number of entries.
        min_len: usize,
    },
    /// An object with the given keys.
    Section(&'static [Key]),
}

impl Schema {
    /// Describes the accepted values in English, for error messages and the settings reference.
    pub fn accepted(&self) -> String {
        match self {
            Schema::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Schema::Name => {
                format!("a name of 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`")
            }
            Schema::Address { allow_port_zero: true } => {
                "an IP address and a port, as `127.0.0.1:6432` (port 0 takes a free one)".to_owned()
            }
            Schema::Address { allow_port_zero: false } => {
                "an IP address and a port, as `127.0.0.1:6432`".to_owned()
            }
            Schema::Flag => one_of(&["true", "false"]),
            Schema::Choice(words) => one_of(words),
            Schema::List { item, min_len: 0 } => format!("a list of: {}", item.accepted()),
            Schema::List { item, min_len } => {
                format!("a list of at least {min_len} of: {}", item.accepted())
            }
            Schema::Section(keys) => {
                let names: Vec<&str> = keys.iter().map(|key| key.name).collect();
                format!("an object with the keys {}", quoted(&names))
            }
        }
    }
}

/// Returns whether a text is a valid name. Valid names need no escaping in URL paths of the platform, in
/// tokens, in metrics, or as the `database` parameter of a caller.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Joins words with commas, each in backquotes.
fn quoted(words: &[&str]) -> String {
    let words: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    words.join(", ")
}

/// Describes a choice between words in English.
pub(crate) fn one_of(words: &[&str]) -> String {
    match words {
        [] => "nothing, because none is defined".to_owned(),
        [word] => format!("`{word}`"),
        words => format!("one of {}", quoted(words)),
    }
}
