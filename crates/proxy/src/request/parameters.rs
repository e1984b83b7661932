//! The statements about `skylark.*` parameters that the proxy answers itself.
//!
//! `SET`, `RESET` and `SHOW` of one parameter have a form simple enough to be read without an SQL
//! parser.

use skylark_core::request::error_kind::ErrorKind;

use crate::request::refusal::Refusal;
use crate::request::statement;
use crate::request::statement::Statements;

/// What all names of the proxy's parameters begin with.
pub const PREFIX: &str = "skylark.";

macro_rules! parameters {
    ($($(#[$doc:meta])* $variant:ident = $name:literal, $can_set:literal;)*) => {
        /// A parameter of the proxy.
        #[derive(Clone, Copy, PartialEq, Eq, Debug)]
        pub enum Parameter {
            $($(#[$doc])* $variant,)*
        }

        impl Parameter {
            /// Every parameter.
            pub const ALL: &'static [Parameter] = &[$(Parameter::$variant,)*];

            /// The whole name.
            pub fn name(self) -> &'static str {
                match self {
                    $(Parameter::$variant => $name,)*
                }
            }

            /// Whether a caller can set it.
            pub fn can_set(self) -> bool {
                match self {
                    $(Parameter::$variant => $can_set,)*
                }
            }
        }
    };
}

parameters! {
    /// The kind of the reads that follow.
    ReadKind = "skylark.read_kind", true;
    /// The class of the requests that follow.
    Class = "skylark.class", true;
    /// The identity of a session that roams without a token.
    Session = "skylark.session", true;
    /// The session's floors.
    Token = "skylark.token", true;
    /// The time limit of each following statement.
    DeadlineMs = "skylark.deadline_ms", true;
    /// What another proxy says about the transaction that follows.
    Forward = "skylark.forward", true;
    /// The VM of this proxy.
    Vm = "skylark.vm", false;
    /// The term of the group's primary, as far as it is known here.
    Term = "skylark.term", false;
    /// The target that served the last statement.
    LastTarget = "skylark.last_target", false;
    /// Why the last statement was served there.
    LastReason = "skylark.last_reason", false;
    /// The revision of the configuration in force here.
    Revision = "skylark.revision", false;
}

impl Parameter {
    /// The parameter with this name, in any case.
    pub fn from_name(name: &str) -> Option<Parameter> {
        Parameter::ALL.iter().copied().find(|known| known.name().eq_ignore_ascii_case(name))
    }
}

/// A statement that the proxy answers itself.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum LocalStatement {
    /// Sets a parameter; an empty value is the default.
    Set(Parameter, String),
    /// Sets a parameter back to its default.
    Reset(Parameter),
    /// Shows a parameter.
    Show(Parameter),
    /// `DEALLOCATE ALL`: forgets the caller's prepared statements.
    DeallocateAll,
    /// `DISCARD ALL`: the caller's session as after its start-up.
    DiscardAll,
}

impl LocalStatement {
    /// Reads a query text. `None` where it is for a target; an error where it names a parameter of
    /// the proxy in a way that is not accepted.
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

    /// The words of its CommandComplete.
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

/// The refusal of a parameter that there is not.
pub fn unknown_parameter(name: &str) -> Refusal {
    let known: Vec<&str> = Parameter::ALL.iter().map(|known| known.name()).collect();
    let note = format!("there is no `{name}`; there are {}", known.join(", "));
    Refusal::with_note(ErrorKind::BadParameter, note)
}

/// The refusal of a value.
pub fn bad_value(parameter: Parameter, value: &str) -> Refusal {
    let note = format!("`{}` can't be `{value}`", parameter.name());
    Refusal::with_note(ErrorKind::BadParameter, note)
}

/// The text of a literal: quoted with doubled quotes inside, or one bare word or number.
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
