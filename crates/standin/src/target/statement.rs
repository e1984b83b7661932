//! A statement, read once: its kind and the engine's text.

use std::sync::Arc;

use super::sql::classify;
use super::sql::classify::StatementKind;
use super::sql::translate;

/// A statement that can be run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Statement {
    /// What it asks for.
    pub kind: StatementKind,
    /// The text as the caller sent it.
    pub source: String,
    /// The engine's text; empty where the engine is not asked.
    pub sql: Arc<str>,
}

impl Statement {
    /// Reads one statement.
    pub fn read(source: &str) -> Statement {
        let kind = classify::classify(source);
        let sql = match kind {
            StatementKind::Work(_) => translate::translate(source).into(),
            _ => Arc::from(""),
        };
        Statement { kind, source: source.to_owned(), sql }
    }
}
