//! Settings files of the skylarklb programs: typed structures, validation and defaults.
//!
//! A settings file is JSON with comments and trailing commas. Each kind of file is deserialized into
//! a typed structure with defaults, such as [`proxy::ProxySettings`] or
//! [`deployment::DeploymentSettings`]. [`parse`] validates the whole file and reports every
//! [`mistake::Mistake`] with its path, its position in the text, the value found and the accepted
//! values.
//!
//! The parsed value tree is validated against the structure's [`schema::Key`]s. One macro generates
//! both the keys and the fields of a structure, so they always agree.
//! [`Settings::check_cross_key_rules`] then checks the rules that involve several keys.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::cross_key::CrossKeyChecker;
use crate::mistake::Mistake;
use crate::mistake::Mistakes;
use crate::schema::Key;

mod check;
pub mod cross_key;
pub mod deployment;
pub mod mistake;
pub mod proxy;
pub mod reference;
pub mod schema;
mod section;

/// A structure that a settings file is deserialized into.
pub trait Settings: DeserializeOwned {
    /// The keys at the top level of the file.
    const KEYS: &'static [Key];

    /// Checks the rules that involve several keys. Mistakes are added to `checker`.
    ///
    /// Runs after every key was checked by itself. Rejected and missing values are replaced by defaults
    /// or placeholders.
    fn check_cross_key_rules(&self, checker: &mut CrossKeyChecker);
}

/// Parses and validates the text of a settings file. Returns all mistakes if there are any.
pub fn parse<S>(text: &str) -> Result<S, Mistakes>
where
    S: Settings,
{
    let checked = check::check(text, S::KEYS)?;
    let mut mistakes = checked.mistakes;
    match check::read::<S>(checked.accepted) {
        Ok(settings) => {
            let mut checker = CrossKeyChecker::default();
            settings.check_cross_key_rules(&mut checker);
            checker.mistakes.retain(|mistake| !is_within_mistake(&mistakes, &mistake.path));
            let located = checker.mistakes.into_iter().map(|mistake| Mistake {
                position: checked.positions.get(&mistake.path).copied(),
                ..mistake
            });
            mistakes.extend(located);
            if mistakes.is_empty() { Ok(settings) } else { Err(Mistakes(mistakes)) }
        }
        Err(mistake) => {
            mistakes.push(mistake);
            Err(Mistakes(mistakes))
        }
    }
}

/// Returns whether `path` is the path of one of the mistakes or lies below it. The value at such a
/// path is a placeholder or default that replaces a rejected value, so a cross-key mistake there is
/// only a consequence of the reported one.
fn is_within_mistake(mistakes: &[Mistake], path: &str) -> bool {
    mistakes.iter().any(|mistake| {
        path.strip_prefix(&*mistake.path)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
    })
}

/// The reason why a settings file could not be loaded.
#[derive(Debug)]
pub enum LoadError {
    /// The file could not be read.
    Unreadable(io::Error),
    /// The content of the file is not valid.
    Mistakes(Mistakes),
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Unreadable(error) => write!(f, "the file can't be read: {error}"),
            LoadError::Mistakes(mistakes) => fmt::Display::fmt(mistakes, f),
        }
    }
}

/// Reads, parses and validates a settings file.
pub fn load<S>(path: &Path) -> Result<S, LoadError>
where
    S: Settings,
{
    let text = fs::read_to_string(path).map_err(LoadError::Unreadable)?;
    parse(&text).map_err(LoadError::Mistakes)
}
