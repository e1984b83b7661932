//! Session statements that the proxy answers itself: those on `skylark.*` parameters, `DEALLOCATE ALL`
//! and `DISCARD ALL`.
//!
//! `SET`, `RESET` and `SHOW` of one parameter are simple enough to be parsed without an SQL parser.

use skylark_core::request::error_kind::ErrorKind;

use crate::request::refusal::Refusal;
use crate::request::statement;
use crate::request::statement::Statements;

/// The prefix of all parameters of the proxy.
pub const PREFIX: &str = "skylark.";

macro_rules! parameters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $can_set:literal;)*) => {
        /// A session parameter that the proxy itself implements.
        #[derive(Clone, Copy, PartialEq, Eq, Debug)]
        pub enum Parameter {
            $($(#[$doc])* $variant,)*
        }

        impl Parameter {
            /// All parameters, in order of declaration.
            pub const ALL: &'static [Parameter] = &[$(Parameter::$variant,)*];

            /// Returns the parameter's name with its prefix.
            pub fn name(self) -> &'static str {
                match self {
                    $(Parameter::$variant => $name,)*
                }
            }

            /// Returns whether a caller can set the parameter; the others are read-only.
            pub fn can_set(self) -> bool {
                match self {
                    $(Parameter::$variant => $can_set,)*
                }
            }
        }
    };
}

parameters! {
    /// The read kind of subsequent reads, which bounds the age of their data.
    ReadKind = "skylark.read_kind", true;
    /// The class of subsequent requests, for admission.
    Class = "skylark.class", true;
    /// The identity of a session that moves between proxies without carrying a token.
    Session = "skylark.session", true;
    /// The session token: for each group the log position that reads must cover.
    Token = "skylark.token", true;
    /// The time limit of each subsequent statement, in milliseconds.
    DeadlineMs = "skylark.deadline_ms", true;
    /// The context of the next transaction, set by a proxy that forwards it.
    Forward = "skylark.forward", true;
    /// The name of this proxy's VM.
    Vm = "skylark.vm", false;
    /// The term of the group's primary as known to this proxy; empty if unknown.
    Term = "skylark.term", false;
    /// The name of the target, or the VM of the proxy, that served the last statement.
    LastTarget = "skylark.last_target", false;
    /// The routing reason for the last statement.
    LastReason = "skylark.last_reason", false;
    /// The revision of the configuration in force on this proxy.
    Revision = "skylark.revision", false;
}

impl Parameter {
    /// Returns the parameter with this name, ignoring case.
    pub fn from_name(name: &str) -> Option<Parameter> {
        Parameter::ALL.iter().copied().find(|known| known.name().eq_ignore_ascii_case(name))
    }
}

/// A statement that the proxy answers without a target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum LocalStatement {
    /// Sets a parameter; an empty value restores the default.
    Set(Parameter, String),
    /// Resets a parameter to its value at the start of the session.
    Reset(Parameter),
    /// Returns the value of a parameter.
    Show(Parameter),
    /// `DEALLOCATE ALL`: drops the caller's prepared statements.
    DeallocateAll,
    /// `DISCARD ALL`: restores the session to its state after start-up.
    DiscardAll,
}

impl LocalStatement {
    /// Parses a query text. Returns `None` for a text that is for a target, and a refusal for one that
    /// names a parameter of the proxy in an unsupported way.
    pub fn parse(text: &str) -> Result<Option<LocalStatement>, Refusal> {
        let mut statements = Statements::new(text);
        let Some(first) = statements.next() else { return Ok(None) };
        let parsed = LocalStatement::parse_one(first)?;
        if parsed.is_some() && statements.next().is_some() {
            let note = "a statement about the session must be alone in its query".to_owned();
            return Err(Refusal::with_note(ErrorKind::Unsupported, note));
        }
        Ok(parsed)
    }

    fn parse_one(statement_text: &str) -> Result<Option<LocalStatement>, Refusal> {
        let keyword = statement::first_word(statement_text);
        let rest = statement::after_first_word(statement_text);
        if keyword.eq_ignore_ascii_case("SHOW") {
            return Ok(proxy_parameter(rest.trim())?.map(LocalStatement::Show));
        }
        if keyword.eq_ignore_ascii_case("RESET") {
            return Ok(proxy_parameter(rest.trim())?.map(LocalStatement::Reset));
        }
        if keyword.eq_ignore_ascii_case("SET") {
            return parse_set(rest);
        }
        let is_all = rest.trim().eq_ignore_ascii_case("ALL");
        if keyword.eq_ignore_ascii_case("DEALLOCATE") && is_all {
            return Ok(Some(LocalStatement::DeallocateAll));
        }
        if keyword.eq_ignore_ascii_case("DISCARD") && is_all {
            return Ok(Some(LocalStatement::DiscardAll));
        }
        Ok(None)
    }

    /// Returns the command tag for CommandComplete.
    pub fn command_tag(&self) -> &'static str {
        match self {
            LocalStatement::Set(..) => "SET",
            LocalStatement::Reset(_) => "RESET",
            LocalStatement::Show(_) => "SHOW",
            LocalStatement::DeallocateAll => "DEALLOCATE ALL",
            LocalStatement::DiscardAll => "DISCARD ALL",
        }
    }
}

fn parse_set(rest: &str) -> Result<Option<LocalStatement>, Refusal> {
    let first = statement::first_word(rest);
    let scoped = first.eq_ignore_ascii_case("SESSION") || first.eq_ignore_ascii_case("LOCAL");
    let rest = match statement::after_first_word(rest) {
        after if scoped && !after.starts_with(['=', '.']) => after,
        _ => rest,
    };
    let name_end = rest.find(|c: char| c == '=' || c.is_whitespace()).unwrap_or(rest.len());
    let Some(parameter) = proxy_parameter(&rest[..name_end])? else { return Ok(None) };
    if !parameter.can_set() {
        let note = format!("`{}` can't be set", parameter.name());
        return Err(Refusal::with_note(ErrorKind::BadParameter, note));
    }
    let value = rest[name_end..].trim();
    let value = match value.strip_prefix('=') {
        Some(value) => value,
        None if statement::first_word(value).eq_ignore_ascii_case("TO") => {
            statement::after_first_word(value)
        }
        None => return Err(bad_value(parameter, value)),
    };
    let value = unquote(value.trim()).ok_or_else(|| bad_value(parameter, value))?;
    Ok(Some(LocalStatement::Set(parameter, value)))
}

fn proxy_parameter(name: &str) -> Result<Option<Parameter>, Refusal> {
    let name = name.trim_matches('"');
    let has_prefix =
        name.get(..PREFIX.len()).is_some_and(|start| start.eq_ignore_ascii_case(PREFIX));
    if !has_prefix {
        return Ok(None);
    }
    match Parameter::from_name(name) {
        Some(parameter) => Ok(Some(parameter)),
        None => Err(unknown_parameter(name)),
    }
}

/// Returns the refusal for an unknown parameter.
pub fn unknown_parameter(name: &str) -> Refusal {
    let known: Vec<&str> = Parameter::ALL.iter().map(|known| known.name()).collect();
    let note = format!("there is no `{name}`; there are {}", known.join(", "));
    Refusal::with_note(ErrorKind::BadParameter, note)
}

/// Returns the refusal for an invalid value of a parameter.
pub fn bad_value(parameter: Parameter, value: &str) -> Refusal {
    let note = format!("`{}` can't be `{value}`", parameter.name());
    Refusal::with_note(ErrorKind::BadParameter, note)
}

/// Returns the value of a literal: a quoted string with doubled quotes inside, or a single bare word or
/// number. `DEFAULT` gives an empty value.
fn unquote(literal: &str) -> Option<String> {
    if let Some(quoted) = literal.strip_prefix('\'') {
        let inner = quoted.strip_suffix('\'')?;
        let single = inner.replace("''", "");
        return (!single.contains('\'')).then(|| inner.replace("''", "'"));
    }
    if literal.eq_ignore_ascii_case("DEFAULT") {
        return Some(String::new());
    }
    let is_bare =
        !literal.is_empty() && !literal.contains(|c: char| c.is_whitespace() || c == '\'');
    is_bare.then(|| literal.to_owned())
}
