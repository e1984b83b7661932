//! Classifies statements: control of the session or the transaction, or work for the engine.

use super::lexer;
use super::lexer::Token;
use super::lexer::TokenKind;

/// The kinds of statements.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StatementKind {
    /// Nothing but white space and comments.
    Empty,
    /// Opens a transaction.
    Begin {
        /// Whether it is declared read-only.
        read_only: bool,
    },
    /// Ends a transaction and keeps its effects.
    Commit,
    /// Ends a transaction and drops its effects.
    Rollback,
    /// Sets a savepoint.
    Savepoint(String),
    /// Rolls back to a savepoint.
    RollbackTo(String),
    /// Releases a savepoint.
    Release(String),
    /// Sets a parameter of the session, which the stand-in only stores, or resets it without a value.
    Set {
        /// The parameter's name.
        name: String,
        /// The value.
        value: Option<String>,
    },
    /// Makes the open transaction read-only.
    SetReadOnly,
    /// A statement without effect at the stand-in; the text is the command tag.
    Nothing(&'static str),
    /// Shows a parameter of the session.
    Show(String),
    /// Resets the whole session.
    DiscardAll,
    /// Deallocates a prepared statement, or all of them without a name.
    Deallocate(Option<String>),
    /// Listens on a channel.
    Listen(String),
    /// Work for the engine.
    Work(WorkKind),
    /// A statement that the stand-in does not support; the text names it.
    Unsupported(&'static str),
}

/// Work for the engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WorkKind {
    /// The command tag, without the count.
    pub tag: &'static str,
    /// Whether the command tag carries a count of rows.
    pub counted: bool,
    /// Whether the first word shows that it writes.
    pub writes: bool,
    /// Whether it locks rows (`SELECT … FOR UPDATE`), which only a primary can.
    pub locks: bool,
}

impl WorkKind {
    fn read() -> WorkKind {
        WorkKind { tag: "SELECT", counted: true, writes: false, locks: false }
    }

    fn change(tag: &'static str) -> WorkKind {
        WorkKind { tag, counted: true, writes: true, locks: false }
    }

    fn definition(tag: &'static str) -> WorkKind {
        WorkKind { tag, counted: false, writes: true, locks: false }
    }

    /// Returns whether it changes rows and not the schema.
    pub fn changes_rows(self) -> bool {
        self.counted
    }
}

/// Returns the kind of one statement.
pub fn classify(sql: &str) -> StatementKind {
    let tokens = lexer::tokens(sql);
    let Some(first) = tokens.first() else { return StatementKind::Empty };
    let word = first.text(sql).to_ascii_lowercase();
    match word.as_str() {
        "begin" | "start" => {
            StatementKind::Begin { read_only: has(sql, &tokens, &["read", "only"]) }
        }
        "commit" | "end" => StatementKind::Commit,
        "rollback" if has(sql, &tokens, &["to"]) => StatementKind::RollbackTo(last(sql, &tokens)),
        "rollback" | "abort" => StatementKind::Rollback,
        "savepoint" => StatementKind::Savepoint(last(sql, &tokens)),
        "release" => StatementKind::Release(last(sql, &tokens)),
        "set" => set(sql, &tokens),
        "reset" => StatementKind::Set { name: last(sql, &tokens), value: None },
        "show" => StatementKind::Show(words_after_first(sql, &tokens)),
        "discard" if has(sql, &tokens, &["all"]) => StatementKind::DiscardAll,
        "discard" => StatementKind::Nothing("DISCARD"),
        "deallocate" => deallocate(sql, &tokens),
        "listen" => StatementKind::Listen(last(sql, &tokens)),
        "unlisten" => StatementKind::Nothing("UNLISTEN"),
        "copy" => StatementKind::Unsupported("COPY"),
        "prepare" | "execute" => StatementKind::Unsupported("PREPARE and EXECUTE as statements"),
        "declare" | "fetch" | "move" | "close" => StatementKind::Unsupported("cursors"),
        "pragma" | "attach" | "detach" | "vacuum" | "reindex" | "analyze" => {
            StatementKind::Unsupported("this statement")
        }
        "select" | "values" | "table" | "explain" => {
            StatementKind::Work(WorkKind { locks: locks(sql, &tokens), ..WorkKind::read() })
        }
        "with" => StatementKind::Work(with_kind(sql, &tokens)),
        "insert" | "replace" => StatementKind::Work(WorkKind::change("INSERT")),
        "update" => StatementKind::Work(WorkKind::change("UPDATE")),
        "delete" => StatementKind::Work(WorkKind::change("DELETE")),
        "truncate" => StatementKind::Work(WorkKind::definition("TRUNCATE TABLE")),
        "create" => StatementKind::Work(WorkKind::definition(create_tag(sql, &tokens))),
        "drop" => StatementKind::Work(WorkKind::definition(drop_tag(sql, &tokens))),
        "alter" => StatementKind::Work(WorkKind::definition("ALTER TABLE")),
        _ => StatementKind::Work(WorkKind::read()),
    }
}

/// Returns the index at which the row lock at the end of a statement begins.
pub fn row_lock(sql: &str, tokens: &[Token]) -> Option<usize> {
    let start = tokens.iter().rposition(|token| token.is_word(sql, "for"))?;
    let next = tokens.get(start + 1)?;
    let is_lock = ["update", "share", "no", "key"].iter().any(|word| next.is_word(sql, word));
    is_lock.then_some(start)
}

fn locks(sql: &str, tokens: &[Token]) -> bool {
    row_lock(sql, tokens).is_some()
}

fn has(sql: &str, tokens: &[Token], wanted: &[&str]) -> bool {
    tokens
        .windows(wanted.len())
        .any(|window| window.iter().zip(wanted).all(|(token, word)| token.is_word(sql, word)))
}

/// Returns the last token as a name: without quotes, and in lower case if it has none.
fn last(sql: &str, tokens: &[Token]) -> String {
    tokens.last().map_or_else(String::new, |token| name(sql, *token))
}

/// Returns a token as a name.
pub fn name(sql: &str, token: Token) -> String {
    match token.kind {
        TokenKind::QuotedWord => token.text(sql).trim_matches('"').to_owned(),
        _ => token.text(sql).to_ascii_lowercase(),
    }
}

fn words_after_first(sql: &str, tokens: &[Token]) -> String {
    match (tokens.get(1), tokens.last()) {
        (Some(first), Some(last)) => sql[first.start..last.end].to_ascii_lowercase(),
        _ => String::new(),
    }
}

/// `SET [SESSION | LOCAL] name { TO | = } value`, or of the transaction's kind.
fn set(sql: &str, tokens: &[Token]) -> StatementKind {
    if has(sql, tokens, &["transaction"]) || has(sql, tokens, &["characteristics"]) {
        let read_only = has(sql, tokens, &["transaction", "read", "only"]);
        return if read_only { StatementKind::SetReadOnly } else { StatementKind::Nothing("SET") };
    }
    let is_assignment =
        |token: &Token| token.is_word(sql, "to") || token.kind == TokenKind::Symbol(b'=');
    let Some(assignment) = tokens.iter().position(is_assignment) else {
        return StatementKind::Nothing("SET");
    };
    let is_scope = |token: &Token| token.is_word(sql, "session") || token.is_word(sql, "local");
    let start = if tokens.get(1).is_some_and(is_scope) { 2 } else { 1 };
    let text = |part: &[Token]| match (part.first(), part.last()) {
        (Some(first), Some(last)) => sql[first.start..last.end].trim_matches('\'').to_owned(),
        _ => String::new(),
    };
    let name = text(tokens.get(start..assignment).unwrap_or_default()).to_ascii_lowercase();
    StatementKind::Set { name, value: Some(text(&tokens[assignment + 1..])) }
}

fn deallocate(sql: &str, tokens: &[Token]) -> StatementKind {
    let named = last(sql, tokens);
    StatementKind::Deallocate((named != "all").then_some(named))
}

/// Returns the kind of a statement with common table expressions: that of its outermost part.
fn with_kind(sql: &str, tokens: &[Token]) -> WorkKind {
    let mut depth = 0;
    for token in tokens {
        match token.kind {
            TokenKind::Symbol(b'(') => depth += 1,
            TokenKind::Symbol(b')') => depth -= 1,
            TokenKind::Word if depth == 0 => match token.text(sql).to_ascii_lowercase().as_str() {
                "insert" => return WorkKind::change("INSERT"),
                "update" => return WorkKind::change("UPDATE"),
                "delete" => return WorkKind::change("DELETE"),
                "select" => break,
                _ => {}
            },
            _ => {}
        }
    }
    WorkKind { locks: locks(sql, tokens), ..WorkKind::read() }
}

fn create_tag(sql: &str, tokens: &[Token]) -> &'static str {
    object_tag(sql, tokens, ["CREATE TABLE", "CREATE INDEX", "CREATE VIEW", "CREATE TRIGGER"])
}

fn drop_tag(sql: &str, tokens: &[Token]) -> &'static str {
    object_tag(sql, tokens, ["DROP TABLE", "DROP INDEX", "DROP VIEW", "DROP TRIGGER"])
}

fn object_tag(sql: &str, tokens: &[Token], tags: [&'static str; 4]) -> &'static str {
    let objects = ["table", "index", "view", "trigger"];
    let found = tokens
        .iter()
        .find_map(|token| objects.iter().position(|object| token.is_word(sql, object)));
    tags[found.unwrap_or_default()]
}
