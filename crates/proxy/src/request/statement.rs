//! Classification of query texts without an SQL parser: a text is split into statements, which are
//! classified by their first keyword.
//!
//! Every answer errs on the safe side. A text that might write is not a read, one that might commit is
//! treated as if it committed, and one that might change its session causes a reset.

/// Properties of a query text that routing, retries and pooling depend on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StatementTraits {
    /// Whether all statements only read, so that the text may go to a replica if the caller declared a
    /// read.
    pub only_reads: bool,
    /// Whether some statement may commit a transaction explicitly; the implicit commit at the end of a
    /// query does not count.
    pub may_commit: bool,
    /// Whether some statement may change the state of the target's session beyond the transaction.
    pub changes_session: bool,
    /// Whether some statement is a COPY.
    pub has_copy: bool,
    /// Whether some statement opens a transaction that may write.
    pub opens_writable: bool,
    /// The access mode if the text is a single statement that opens a transaction.
    pub begins: Option<Access>,
    /// Whether the text is a single `SET` or `RESET` of a session parameter.
    pub sets_parameter: bool,
    /// Whether the text contains no statement.
    pub is_empty: bool,
}

/// The access mode in a statement that opens a transaction.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Access {
    /// `READ ONLY`.
    ReadOnly,
    /// `READ WRITE`.
    ReadWrite,
    /// No access mode is given, so the session's default applies.
    Unspecified,
}

impl StatementTraits {
    /// Classifies a query text.
    pub fn analyze(text: &str) -> StatementTraits {
        let mut all = StatementTraits {
            only_reads: true,
            may_commit: false,
            changes_session: false,
            has_copy: false,
            opens_writable: false,
            begins: None,
            sets_parameter: false,
            is_empty: true,
        };
        let mut statements = 0;
        for statement_text in Statements::new(text) {
            statements += 1;
            all.add(statement_text);
        }
        all.is_empty = statements == 0;
        if has_unsupported_quoting(text) {
            all.only_reads = false;
            all.may_commit = true;
            all.changes_session = true;
        }
        if statements > 1 {
            all.begins = None;
            all.sets_parameter = false;
        }
        all
    }

    /// Returns the traits of both texts run one after the other.
    pub fn join(self, other: StatementTraits) -> StatementTraits {
        if self.is_empty {
            return other;
        }
        if other.is_empty {
            return self;
        }
        StatementTraits {
            only_reads: self.only_reads && other.only_reads,
            may_commit: self.may_commit || other.may_commit,
            changes_session: self.changes_session || other.changes_session,
            has_copy: self.has_copy || other.has_copy,
            opens_writable: self.opens_writable || other.opens_writable,
            begins: self.begins.or(other.begins),
            sets_parameter: false,
            is_empty: false,
        }
    }

    fn add(&mut self, statement_text: &str) {
        let keyword = first_word(statement_text).to_ascii_uppercase();
        let keyword = keyword.as_str();
        self.only_reads &= only_reads(keyword, statement_text);
        self.may_commit |= !NEVER_COMMIT.contains(&keyword);
        self.changes_session |= changes_session(keyword, statement_text);
        self.has_copy |= keyword == "COPY";
        self.sets_parameter =
            matches!(keyword, "SET" | "RESET") && changes_session(keyword, statement_text);
        if matches!(keyword, "BEGIN" | "START") {
            let access = access(statement_text);
            self.begins = Some(access);
            self.opens_writable |= access != Access::ReadOnly;
        }
    }
}

/// First keywords of statements that never commit. Procedures and code blocks (`CALL`, `DO`) can, so
/// they are not listed.
const NEVER_COMMIT: &[&str] = &[
    "SELECT",
    "INSERT",
    "UPDATE",
    "DELETE",
    "MERGE",
    "WITH",
    "VALUES",
    "TABLE",
    "SHOW",
    "EXPLAIN",
    "BEGIN",
    "START",
    "SAVEPOINT",
    "RELEASE",
    "ROLLBACK",
    "ABORT",
    "SET",
    "RESET",
    "FETCH",
    "MOVE",
    "CLOSE",
    "DECLARE",
    "LOCK",
    "CREATE",
    "ALTER",
    "DROP",
    "TRUNCATE",
];

/// First keywords of statements that leave the session unchanged once their transaction has ended.
const PRESERVE_SESSION: &[&str] = &[
    "SELECT",
    "INSERT",
    "UPDATE",
    "DELETE",
    "MERGE",
    "WITH",
    "VALUES",
    "TABLE",
    "SHOW",
    "EXPLAIN",
    "BEGIN",
    "START",
    "COMMIT",
    "END",
    "ROLLBACK",
    "ABORT",
    "SAVEPOINT",
    "RELEASE",
    "FETCH",
    "MOVE",
    "CLOSE",
    "LOCK",
    "CREATE",
    "ALTER",
    "DROP",
    "TRUNCATE",
];

/// Substrings that indicate a change of the session in a statement whose keyword does not: a parameter
/// set by a function, an advisory lock, a temporary table.
const SESSION_CHANGE_MARKERS: &[&str] = &["set_config", "advisory", "temp"];

fn only_reads(keyword: &str, statement_text: &str) -> bool {
    match keyword {
        "SELECT" | "VALUES" | "TABLE" => {
            !contains_any(statement_text, &["into", "for update", "for share"])
        }
        "SHOW" => true,
        "EXPLAIN" => !contains_any(statement_text, &["analy"]),
        "WITH" => !contains_any(statement_text, &["insert", "update", "delete", "merge", "into"]),
        "BEGIN" | "START" => access(statement_text) != Access::ReadWrite,
        "COMMIT" | "END" | "ROLLBACK" | "ABORT" => true,
        _ => false,
    }
}

fn changes_session(keyword: &str, statement_text: &str) -> bool {
    if keyword == "SET" {
        let second = first_word(after_first_word(statement_text)).to_ascii_uppercase();
        return !matches!(second.as_str(), "LOCAL" | "TRANSACTION" | "CONSTRAINTS");
    }
    !PRESERVE_SESSION.contains(&keyword) || contains_any(statement_text, SESSION_CHANGE_MARKERS)
}

fn access(statement_text: &str) -> Access {
    if contains_any(statement_text, &["read only"]) {
        return Access::ReadOnly;
    }
    if contains_any(statement_text, &["read write"]) {
        return Access::ReadWrite;
    }
    Access::Unspecified
}

/// Returns whether the text contains one of the lower-case `words`, ignoring case. Literals and parts
/// of longer words match too. A run of white space counts as one blank.
fn contains_any(text: &str, words: &[&str]) -> bool {
    words.iter().any(|word| contains_ignoring_case(text.as_bytes(), word.as_bytes()))
}

fn contains_ignoring_case(text: &[u8], word: &[u8]) -> bool {
    (0..text.len()).any(|start| starts_ignoring_case(&text[start..], word))
}

fn starts_ignoring_case(mut text: &[u8], word: &[u8]) -> bool {
    for wanted in word {
        let Some((found, rest)) = text.split_first() else { return false };
        let found = if found.is_ascii_whitespace() { b' ' } else { found.to_ascii_lowercase() };
        if found != *wanted {
            return false;
        }
        text = if found == b' ' { rest.trim_ascii_start() } else { rest };
    }
    true
}

/// Returns the leading run of ASCII letters, digits and underscores.
pub fn first_word(text: &str) -> &str {
    let end = text.find(|c: char| !c.is_ascii_alphanumeric() && c != '_').unwrap_or(text.len());
    &text[..end]
}

/// Returns the text after the first word, without leading white space.
pub fn after_first_word(text: &str) -> &str {
    text[first_word(text).len()..].trim_start()
}

/// Iterator over the statements of a text, split at semicolons outside of literals, quoted names and
/// comments. Leading white space and comments are stripped, empty statements are skipped.
#[derive(Debug)]
pub struct Statements<'a> {
    rest: &'a str,
}

impl<'a> Statements<'a> {
    /// Creates an iterator over the statements of `text`.
    pub fn new(text: &'a str) -> Statements<'a> {
        Statements { rest: text }
    }
}

impl<'a> Iterator for Statements<'a> {
    type Item = &'a str;

    fn next(&mut self) -> Option<&'a str> {
        loop {
            let text = skip_blanks_and_comments(self.rest);
            if text.is_empty() {
                return None;
            }
            let end = statement_end(text);
            self.rest = text.get(end + 1..).unwrap_or("");
            if end > 0 {
                return Some(text[..end].trim_end());
            }
        }
    }
}

/// Returns whether the text uses quoting that [`Statements`] does not handle: backslash escapes, dollar
/// quotes or nested comments. A statement could hide in what looks like a literal.
fn has_unsupported_quoting(text: &str) -> bool {
    let bytes = text.as_bytes();
    let dollar_quote = bytes.windows(2).any(|pair| pair[0] == b'$' && !pair[1].is_ascii_digit());
    dollar_quote || bytes.contains(&b'\\') || text.matches("/*").count() > 1
}

/// Strips leading white space and comments.
fn skip_blanks_and_comments(mut text: &str) -> &str {
    loop {
        text = text.trim_start();
        text = if text.starts_with("--") {
            text.find('\n').map_or("", |end| &text[end..])
        } else if text.starts_with("/*") {
            text.find("*/").map_or("", |end| &text[end + 2..])
        } else {
            return text;
        };
    }
}

/// Returns the offset of the semicolon that ends the first statement, or the length of the text.
fn statement_end(text: &str) -> usize {
    let bytes = text.as_bytes();
    let mut offset = 0;
    while offset < bytes.len() {
        match bytes[offset] {
            b';' => return offset,
            quote @ (b'\'' | b'"') => offset = after_quoted(bytes, offset, quote),
            b'-' if bytes[offset + 1..].first() == Some(&b'-') => {
                offset += text[offset..].find('\n').unwrap_or(text.len() - offset);
            }
            b'/' if bytes[offset + 1..].first() == Some(&b'*') => {
                offset += text[offset..].find("*/").map_or(text.len() - offset, |end| end + 2);
            }
            _ => offset += 1,
        }
    }
    text.len()
}

fn after_quoted(bytes: &[u8], start: usize, quote: u8) -> usize {
    let close = bytes[start + 1..].iter().position(|byte| *byte == quote);
    close.map_or(bytes.len(), |end| start + 1 + end + 1)
}
