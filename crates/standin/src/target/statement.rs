//! A parsed statement: its kind and the engine's text.

use std::sync::Arc;

use super::sql::classify;
use super::sql::classify::StatementKind;
use super::sql::translate;

/// A statement that can be run.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Statement {
    /// The kind.
    pub kind: StatementKind,
    /// The text as the caller sent it.
    pub source: String,
    /// The engine's text; empty if the engine does not run it.
    pub sql: Arc<str>,
}

impl Statement {
    /// Parses one statement.
    pub fn read(source: &str) -> Statement {
        let kind = classify::classify(source);
        let sql = match kind {
            StatementKind::Work(_) => translate::translate(source).into(),
            _ => Arc::from(""),
        };
        Statement { kind, source: source.to_owned(), sql }
    }
}
