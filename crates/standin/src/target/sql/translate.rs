//! Translates statements of PostgreSQL's dialect into the embedded engine's.
//!
//! Only spelling changes: `$1` becomes `?1`, casts `::type` and row locks are left out (a
//! transaction that writes has the database for itself), a serial column becomes the engine's
//! counted key, and `TRUNCATE` becomes a `DELETE`. The engine reports what it does not support.

use std::fmt::Write;

use super::classify;
use super::lexer;
use super::lexer::Token;
use super::lexer::TokenKind;

/// The second words of two-word type names.
const SECOND_WORDS: [&str; 3] = ["precision", "varying", "unsigned"];

/// Translates one statement.
pub fn translate(sql: &str) -> String {
    let mut tokens = lexer::tokens(sql);
    if let Some(start) = classify::row_lock(sql, &tokens) {
        tokens.truncate(start);
    }
    let mut text = String::with_capacity(sql.len());
    let mut at = 0;
    if tokens.first().is_some_and(|first| first.is_word(sql, "truncate")) {
        text.push_str("DELETE FROM");
        at = if tokens.get(1).is_some_and(|second| second.is_word(sql, "table")) { 2 } else { 1 };
    }
    let mut previous_end = None;
    while let Some(token) = tokens.get(at) {
        if token.kind == TokenKind::Cast {
            at = after_type(sql, &tokens, at + 1);
            continue;
        }
        if previous_end != Some(token.start) {
            text.push(' ');
        }
        previous_end = Some(token.end);
        push(&mut text, sql, *token);
        at += 1;
    }
    text
}

fn push(text: &mut String, sql: &str, token: Token) {
    match token.kind {
        TokenKind::Parameter(number) => {
            // Writing to a string can't fail.
            let _ = write!(text, "?{number}");
        }
        TokenKind::Text if token.text(sql).starts_with('$') => push_dollar_quoted(text, sql, token),
        TokenKind::Word if is_serial(token.text(sql)) => text.push_str("INTEGER"),
        TokenKind::Word if token.is_word(sql, "ilike") => text.push_str("LIKE"),
        _ => text.push_str(token.text(sql)),
    }
}

fn push_dollar_quoted(text: &mut String, sql: &str, token: Token) {
    let quoted = token.text(sql);
    let tag_length = quoted[1..].find('$').map_or(0, |end| end + 2);
    let inner = quoted.get(tag_length..quoted.len().saturating_sub(tag_length)).unwrap_or_default();
    text.push('\'');
    text.push_str(&inner.replace('\'', "''"));
    text.push('\'');
}

fn is_serial(word: &str) -> bool {
    ["serial", "bigserial", "smallserial"].iter().any(|serial| word.eq_ignore_ascii_case(serial))
}

/// Returns the index after a type's name, including its second word, sizes and brackets.
fn after_type(sql: &str, tokens: &[Token], start: usize) -> usize {
    let mut at = start + 1;
    if tokens.get(at).is_some_and(|token| SECOND_WORDS.iter().any(|word| token.is_word(sql, word)))
    {
        at += 1;
    }
    for (open, close) in [(b'(', b')'), (b'[', b']')] {
        if tokens.get(at).is_some_and(|token| token.kind == TokenKind::Symbol(open)) {
            let rest = &tokens[at..];
            let length = rest.iter().position(|token| token.kind == TokenKind::Symbol(close));
            at += length.map_or(rest.len(), |length| length + 1);
        }
    }
    at
}
