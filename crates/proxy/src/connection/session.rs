//! The state of a caller's session that the proxy keeps between requests.

use std::sync::Arc;

use bytes::BytesMut;
use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::request::error_kind::ErrorKind;

use crate::connection::frames;
use crate::connection::prepared::PreparedStatement;
use crate::request::forward::Forward;
use crate::request::parameters;
use crate::request::parameters::LocalStatement;
use crate::request::parameters::Parameter;
use crate::request::refusal::Refusal;
use crate::version::published::Published;

/// Limits on the number and total length of a session's settings of target parameters, which are sent
/// in front of each transaction.
const MAX_SETTINGS: usize = 32;
const MAX_SETTINGS_BYTES: usize = 2 << 10;

/// The longest identity of a session in bytes.
const MAX_IDENTITY_BYTES: usize = 256;

/// The longest session token in bytes.
const MAX_TOKEN_BYTES: usize = 4 << 10;

/// The longest time limit that a caller can set, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// One caller's session.
#[derive(Debug)]
pub struct Session {
    /// The name of the session's group.
    pub group: Box<str>,
    /// The caller's user name.
    pub user: Box<str>,
    /// The hash of the user name by which admission queues distinguish callers.
    pub caller: CallerId,
    /// The VM of the proxy that forwards requests over this connection; `None` for a caller.
    pub forwarded_by: Option<Box<str>>,
    /// The context of the next forwarded transaction, received from the forwarding proxy.
    pub forward: Option<Box<Forward>>,
    /// The values that the caller declared with `SET`.
    pub declared: Declared,
    /// The declarations made during start-up, which `RESET` and `DISCARD ALL` restore; `None` if there
    /// were none.
    pub initial: Option<Box<Declared>>,
    /// The log position of the session's own group that its reads must cover.
    pub floor: LogPosition,
    /// The entries of other groups in the session's token, which are reported back unchanged.
    pub other_floors: Box<str>,
    /// Target parameters that the caller set for its session, each a complete `SET` statement.
    pub settings: Vec<Box<str>>,
    /// The name of the target that served the last request, and the routing reason, separated by a
    /// blank.
    pub last_served: Box<str>,
    named: FastMap<Box<str>, Arc<PreparedStatement>>,
    /// The unnamed prepared statement.
    pub unnamed: Option<Arc<PreparedStatement>>,
    /// Portals of statements that the proxy answers itself, by portal name.
    pub local_portals: Vec<(Box<str>, Arc<PreparedStatement>)>,
}

/// The values that a caller can declare for its session.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Declared {
    /// The read kind, which bounds the age of the data.
    pub read_kind: Option<Box<str>>,
    /// The class, for admission.
    pub class: Option<Box<str>>,
    /// The identity by which the session's writes are recorded.
    pub identity: Option<Box<str>>,
    /// Whether the session carries a token, so that its floor need not be looked up.
    pub has_token: bool,
    /// The time limit of each statement, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl Session {
    /// Creates a session without declarations.
    pub fn new(group: &str, user: &str) -> Session {
        let caller = CallerId(skylark_core::process::jitter::seed_of(user));
        Session {
            group: group.into(),
            user: user.into(),
            caller,
            forwarded_by: None,
            forward: None,
            declared: Declared::default(),
            initial: None,
            floor: LogPosition::default(),
            other_floors: "".into(),
            settings: Vec::new(),
            last_served: "".into(),
            named: FastMap::default(),
            unnamed: None,
            local_portals: Vec::new(),
        }
    }

    /// Stores the current declarations as those of the start-up.
    pub fn record_initial_declarations(&mut self) {
        if self.declared != Declared::default() {
            self.initial = Some(Box::new(self.declared.clone()));
        }
    }

    /// Executes a session statement, and reports the token if the statement changed it. Returns the
    /// value for a `SHOW`.
    ///
    /// A caller that moves to another proxy takes along the last token reported on its connection. If a
    /// `SET` changed the token without a report, the caller would present the older one, and another
    /// proxy could serve a read without the caller's latest write. Reporting every change is
    /// sufficient, since reports and answers reach the caller in order.
    pub fn apply_and_report(
        &mut self,
        statement: &LocalStatement,
        published: &Published,
        vm: &str,
        out: &mut BytesMut,
    ) -> Result<Option<String>, Refusal> {
        let before = self.token();
        let shown = self.apply(statement, published, vm)?;
        let token = self.token();
        if token != before {
            frames::parameter_status(out, Parameter::Token.name(), &token);
        }
        Ok(shown)
    }

    /// Executes a session statement. Returns the value for a `SHOW`.
    pub fn apply(
        &mut self,
        statement: &LocalStatement,
        published: &Published,
        vm: &str,
    ) -> Result<Option<String>, Refusal> {
        match statement {
            LocalStatement::Set(parameter, value) => {
                self.set(*parameter, value, published)?;
                Ok(None)
            }
            LocalStatement::Reset(parameter) => {
                self.reset(*parameter);
                Ok(None)
            }
            LocalStatement::Show(parameter) => Ok(Some(self.show(*parameter, published, vm))),
            LocalStatement::DeallocateAll => {
                self.named.clear();
                Ok(None)
            }
            LocalStatement::DiscardAll => {
                self.discard();
                Ok(None)
            }
        }
    }

    fn discard(&mut self) {
        self.declared = self.initial.as_deref().cloned().unwrap_or_default();
        self.settings.clear();
        self.named.clear();
        self.unnamed = None;
        self.forward = None;
    }

    fn set(
        &mut self,
        parameter: Parameter,
        value: &str,
        published: &Published,
    ) -> Result<(), Refusal> {
        let text = (!value.is_empty()).then(|| Box::from(value));
        match parameter {
            Parameter::ReadKind => {
                self.check_read_kind(value, published)?;
                self.declared.read_kind = text;
            }
            Parameter::Class => {
                self.check_class(value, published)?;
                self.declared.class = text;
            }
            Parameter::Session => {
                if value.len() > MAX_IDENTITY_BYTES {
                    return Err(parameters::bad_value(parameter, "longer than 256 bytes"));
                }
                self.declared.identity = text;
            }
            Parameter::Token => self.set_token(value)?,
            Parameter::DeadlineMs => {
                self.declared.deadline_ms = match value.parse() {
                    Ok(deadline_ms @ 1..=MAX_DEADLINE_MS) => Some(deadline_ms),
                    _ if value.is_empty() => None,
                    _ => return Err(parameters::bad_value(parameter, value)),
                };
            }
            Parameter::Forward => self.set_forward(value)?,
            _ => return Err(parameters::bad_value(parameter, value)),
        }
        Ok(())
    }

    fn reset(&mut self, parameter: Parameter) {
        let initial = self.initial.as_deref().cloned().unwrap_or_default();
        match parameter {
            Parameter::ReadKind => self.declared.read_kind = initial.read_kind,
            Parameter::Class => self.declared.class = initial.class,
            Parameter::Session => self.declared.identity = initial.identity,
            Parameter::DeadlineMs => self.declared.deadline_ms = initial.deadline_ms,
            // The floor itself is not lowered: the session's writes stay visible to it.
            Parameter::Token => self.declared.has_token = initial.has_token,
            _ => (),
        }
    }

    fn check_read_kind(&self, name: &str, published: &Published) -> Result<(), Refusal> {
        let Some(group) = published.topology.group_id(&self.group) else { return Ok(()) };
        let service = published.topology.service_of(group);
        if name.is_empty() || service.read_kind(name).is_some() {
            return Ok(());
        }
        let known: Vec<&str> = service.read_kinds.iter().map(|kind| kind.name.as_str()).collect();
        Err(unknown_name("read kind", name, &known))
    }

    fn check_class(&self, name: &str, published: &Published) -> Result<(), Refusal> {
        let Some(group) = published.topology.group_id(&self.group) else { return Ok(()) };
        let service = published.topology.service_of(group);
        if name.is_empty() || service.class(name).is_some() {
            return Ok(());
        }
        let known: Vec<&str> = service.classes.iter().map(|class| class.name.as_str()).collect();
        Err(unknown_name("class", name, &known))
    }

    fn set_forward(&mut self, json: &str) -> Result<(), Refusal> {
        if self.forwarded_by.is_none() {
            let note = "`skylark.forward` is for proxies".to_owned();
            return Err(Refusal::with_note(ErrorKind::BadParameter, note));
        }
        let forward = Forward::parse(json).map_err(|error| {
            Refusal::with_note(ErrorKind::BadParameter, format!("`skylark.forward`: {error}"))
        })?;
        self.settings = forward.settings.iter().map(|set| set.as_str().into()).collect();
        self.forward = Some(Box::new(forward));
        Ok(())
    }

    fn set_token(&mut self, token: &str) -> Result<(), Refusal> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(parameters::bad_value(Parameter::Token, "longer than 4096 bytes"));
        }
        let mut floor = LogPosition::default();
        let mut others = Vec::new();
        for entry in token.split(',').filter(|entry| !entry.is_empty()) {
            let parsed = entry
                .rsplit_once(':')
                .and_then(|(group, position)| Some((group, position.parse::<LogPosition>().ok()?)));
            match parsed {
                Some((group, position)) if *group == *self.group => floor = floor.max(position),
                Some(_) => others.push(entry),
                None => return Err(parameters::bad_value(Parameter::Token, entry)),
            }
        }
        // An older token must not hide writes made on this connection.
        self.floor = self.floor.max(floor);
        self.other_floors = others.join(",").into();
        self.declared.has_token = !token.is_empty();
        Ok(())
    }

    /// Returns the session token: `GROUP:POSITION` entries separated by commas, empty if there are
    /// none.
    pub fn token(&self) -> String {
        let own = match self.floor {
            floor if floor == LogPosition::default() => String::new(),
            floor => format!("{}:{floor}", self.group),
        };
        match (self.other_floors.is_empty(), own.is_empty()) {
            (true, _) => own,
            (false, true) => self.other_floors.to_string(),
            (false, false) => format!("{},{own}", self.other_floors),
        }
    }

    fn show(&self, parameter: Parameter, published: &Published, vm: &str) -> String {
        let or_empty = |text: &Option<Box<str>>| text.as_deref().unwrap_or("").to_owned();
        let served = self.last_served.split_once(' ').unwrap_or((&self.last_served, ""));
        match parameter {
            Parameter::ReadKind => or_empty(&self.declared.read_kind),
            Parameter::Class => or_empty(&self.declared.class),
            Parameter::Session => or_empty(&self.declared.identity),
            Parameter::Token => self.token(),
            Parameter::DeadlineMs => {
                self.declared.deadline_ms.map_or(String::new(), |deadline| deadline.to_string())
            }
            Parameter::Forward => String::new(),
            Parameter::Vm => vm.to_owned(),
            Parameter::Term => self.known_term(published),
            Parameter::LastTarget => served.0.to_owned(),
            Parameter::LastReason => served.1.to_owned(),
            Parameter::Revision => published.topology.revision.to_string(),
        }
    }

    fn known_term(&self, published: &Published) -> String {
        let group = published.topology.group_id(&self.group);
        let leader = group.and_then(|group| published.groups.get(group.index())?.leader);
        leader.map_or(String::new(), |leader| leader.term.to_string())
    }

    /// Stores a `SET` of a target parameter, to be sent in front of each transaction.
    ///
    /// Otherwise the setting would be lost as soon as the caller's target connection changes, or would
    /// remain in effect for another caller.
    ///
    /// Fails if the session has too many settings.
    pub fn remember_setting(&mut self, set: &str) -> Result<(), Refusal> {
        let bytes: usize = self.settings.iter().map(|known| known.len()).sum();
        self.settings.retain(|known| **known != *set);
        if self.settings.len() >= MAX_SETTINGS || bytes + set.len() > MAX_SETTINGS_BYTES {
            let note = "too many settings in one session".to_owned();
            return Err(Refusal::with_note(ErrorKind::Unsupported, note));
        }
        self.settings.push(set.into());
        Ok(())
    }

    /// Returns the caller's prepared statement with this name.
    pub fn prepared(&self, name: &str) -> Option<&Arc<PreparedStatement>> {
        match name {
            "" => self.unnamed.as_ref(),
            _ => self.named.get(name),
        }
    }

    /// Stores a prepared statement. Returns false if the session already has `limit` named statements.
    pub fn prepare(&mut self, name: &str, statement: Arc<PreparedStatement>, limit: usize) -> bool {
        if name.is_empty() {
            self.unnamed = Some(statement);
            return true;
        }
        if self.named.len() >= limit && !self.named.contains_key(name) {
            return false;
        }
        self.named.insert(name.into(), statement);
        true
    }

    /// Removes a prepared statement.
    pub fn close_statement(&mut self, name: &str) {
        match name {
            "" => self.unnamed = None,
            _ => {
                self.named.remove(name);
            }
        }
    }

    /// Frees memory that an idle session does not need.
    pub fn shrink(&mut self) {
        if self.named.is_empty() {
            self.named = FastMap::default();
        }
    }
}

fn unknown_name(what: &str, name: &str, known: &[&str]) -> Refusal {
    let note = format!("there is no {what} `{name}`; there are {}", known.join(", "));
    Refusal::with_note(ErrorKind::BadParameter, note)
}
