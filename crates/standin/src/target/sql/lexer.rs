//! Splits SQL into tokens and statements, without comments and white space.

/// The kind of a token.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TokenKind {
    /// A keyword or a plain identifier.
    Word,
    /// An identifier in double quotes.
    QuotedWord,
    /// A string in single or dollar quotes.
    Text,
    /// A number.
    Number,
    /// `$n`, a parameter.
    Parameter(u16),
    /// `::`, a cast.
    Cast,
    /// Any other single character.
    Symbol(u8),
}

/// A token and its range in the text, in bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Token {
    /// The kind.
    pub kind: TokenKind,
    /// The offset of the first byte.
    pub start: usize,
    /// The offset after the last byte.
    pub end: usize,
}

impl Token {
    /// Returns the token's text.
    pub fn text(self, sql: &str) -> &str {
        &sql[self.start..self.end]
    }

    /// Returns whether the token is this keyword, given in lower case.
    pub fn is_word(self, sql: &str, keyword: &str) -> bool {
        self.kind == TokenKind::Word && self.text(sql).eq_ignore_ascii_case(keyword)
    }
}

/// Returns the tokens of a text. A quote that is not closed extends to the end; the engine reports it.
pub fn tokens(sql: &str) -> Vec<Token> {
    let bytes = sql.as_bytes();
    let mut tokens = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let start = at;
        let kind = match bytes[at] {
            byte if byte.is_ascii_whitespace() => {
                at += 1;
                continue;
            }
            b'-' if bytes[at..].starts_with(b"--") => {
                at = find(bytes, at, b"\n");
                continue;
            }
            b'/' if bytes[at..].starts_with(b"/*") => {
                at = find(bytes, at + 2, b"*/");
                continue;
            }
            b'\'' => {
                at = quoted(bytes, at, b'\'');
                TokenKind::Text
            }
            b'"' => {
                at = quoted(bytes, at, b'"');
                TokenKind::QuotedWord
            }
            b'$' => dollar(bytes, &mut at),
            b':' if bytes[at..].starts_with(b"::") => {
                at += 2;
                TokenKind::Cast
            }
            byte if byte.is_ascii_digit() => {
                at = run(bytes, at, |byte| byte.is_ascii_alphanumeric() || byte == b'.');
                TokenKind::Number
            }
            byte if is_word(byte) => {
                at = run(bytes, at, |byte| is_word(byte) || byte == b'$');
                TokenKind::Word
            }
            byte => {
                at += 1;
                TokenKind::Symbol(byte)
            }
        };
        tokens.push(Token { kind, start, end: at });
    }
    tokens
}

/// Returns the non-empty statements of a text, without their semicolons.
pub fn statements(sql: &str) -> Vec<&str> {
    let tokens = tokens(sql);
    tokens
        .split(|token| token.kind == TokenKind::Symbol(b';'))
        .filter_map(|part| Some(&sql[part.first()?.start..part.last()?.end]))
        .collect()
}

fn is_word(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

fn run<F>(bytes: &[u8], start: usize, belongs: F) -> usize
where
    F: Fn(u8) -> bool,
{
    let length = bytes[start..].iter().take_while(|byte| belongs(**byte)).count();
    start + length
}

/// Returns the offset after the next occurrence of `wanted`, or of the end.
fn find(bytes: &[u8], start: usize, wanted: &[u8]) -> usize {
    let rest = &bytes[start.min(bytes.len())..];
    let found = rest.windows(wanted.len()).position(|window| window == wanted);
    found.map_or(bytes.len(), |offset| start + offset + wanted.len())
}

/// Returns the offset after a quoted text, in which quotes are escaped by doubling.
fn quoted(bytes: &[u8], start: usize, quote: u8) -> usize {
    let mut at = start + 1;
    while at < bytes.len() {
        if bytes[at] != quote {
            at += 1;
        } else if bytes.get(at + 1) == Some(&quote) {
            at += 2;
        } else {
            return at + 1;
        }
    }
    bytes.len()
}

/// A parameter or a dollar-quoted string.
fn dollar(bytes: &[u8], at: &mut usize) -> TokenKind {
    let start = *at;
    let digits_end = run(bytes, start + 1, |byte| byte.is_ascii_digit());
    let digits = str::from_utf8(&bytes[start + 1..digits_end]).unwrap_or_default();
    if let Ok(number) = digits.parse() {
        *at = digits_end;
        return TokenKind::Parameter(number);
    }
    let tag_end = run(bytes, start + 1, is_word);
    if bytes.get(tag_end) == Some(&b'$') {
        *at = find(bytes, tag_end + 1, &bytes[start..=tag_end]);
        return TokenKind::Text;
    }
    *at = start + 1;
    TokenKind::Symbol(b'$')
}
