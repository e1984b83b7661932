//! Checked settings of the skylarklb programs.
//!
//! A settings file is JSON with comments and trailing commas. Each file has one typed structure
//! with defaults: [`proxy::ProxySettings`] and [`deployment::DeploymentSettings`]. [`parse`] checks
//! a file as a whole and lists every [`mistake::Mistake`] with its path, place, value and what is
//! accepted there.
//!
//! The check works on the parsed value tree against the structure's [`shape::Key`]s, which the
//! macro that declares a structure derives from the same lines as its fields: a key can't be known
//! to one and not to the other. Rules between keys follow in [`Settings::check_relations`].

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

/// A structure that a settings file is read into.
pub trait Settings: DeserializeOwned {
    /// The keys at the top of the file.
    const KEYS: &'static [Key];

    /// Checks the rules between several keys, once every key by itself has a readable value.
    fn check_cross_key_rules(&self, checker: &mut CrossKeyChecker);
}

/// Reads settings from a text, or lists every mistake in it.
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

/// Whether the value at `path` is a blank or a default that stands for a refused one, so that what
/// it breaks follows from a mistake already listed.
fn is_within_mistake(mistakes: &[Mistake], path: &str) -> bool {
    mistakes.iter().any(|mistake| {
        path.strip_prefix(&*mistake.path)
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
    })
}

/// Why a settings file could not be loaded.
#[derive(Debug)]
pub enum LoadError {
    /// The file could not be read.
    Unreadable(io::Error),
    /// The file has mistakes.
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

/// Reads settings from a file.
pub fn load<S>(path: &Path) -> Result<S, LoadError>
where
    S: Settings,
{
    let text = fs::read_to_string(path).map_err(LoadError::Unreadable)?;
    parse(&text).map_err(LoadError::Mistakes)
}
