//! What a settings file may hold: the keys of each section and the values that each accepts.

use std::fmt;

/// The longest name of an object, a zone or a VM, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// What stands for a key that is not in the file.
#[derive(Clone, Copy)]
pub enum Presence {
    /// Nothing: the key must be there.
    Required,
    /// The key may be left out and then has no value.
    Optional,
    /// This value.
    Default(fn() -> serde_json::Value),
}

/// A key of a section.
#[derive(Clone, Copy)]
pub struct Key {
    /// The name.
    pub name: &'static str,
    /// The documentation, one string a line.
    pub doc: &'static [&'static str],
    /// The values that it accepts.
    pub schema: Schema,
    /// What stands for it where it is left out.
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
    /// A whole number within bounds, both included.
    Integer {
        /// The lowest.
        min: u64,
        /// The highest.
        max: u64,
    },
    /// A name that is safe in paths and on the wire.
    Name,
    /// An IP address and a port.
    Address {
        /// Whether port 0 (any free port) is accepted.
        allow_port_zero: bool,
    },
    /// `true` or `false`.
    Flag,
    /// One of several words.
    Choice(&'static [&'static str]),
    /// A list.
    List {
        /// What its entries accept.
        item: &'static Schema,
        /// The least number of entries.
        min_len: usize,
    },
    /// An object with keys.
    Section(&'static [Key]),
}

impl Schema {
    /// The accepted values in words.
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

/// Whether a text is a name: such names need no escaping in the platform's paths, in tokens, in
/// metrics, or as a caller's `database`.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// The words in backquotes, with commas.
fn quoted(words: &[&str]) -> String {
    let words: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    words.join(", ")
}

/// The accepted words in words.
pub(crate) fn one_of(words: &[&str]) -> String {
    match words {
        [] => "nothing, for none is known".to_owned(),
        [word] => format!("`{word}`"),
        words => format!("one of {}", quoted(words)),
    }
}
