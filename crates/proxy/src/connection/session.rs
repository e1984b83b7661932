//! What a caller said about itself and what the proxy remembers of it between requests.

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

/// How many settings of its own, and of which length in all, a session may have: they are sent in
/// front of each transaction.
const MAX_SETTINGS: usize = 32;
const MAX_SETTINGS_BYTES: usize = 2 << 10;

/// The longest identity of a session.
const MAX_IDENTITY_BYTES: usize = 256;

/// The longest token.
const MAX_TOKEN_BYTES: usize = 4 << 10;

/// The longest time limit that a caller can set.
const MAX_DEADLINE_MS: u64 = 600_000;

/// One caller's session.
#[derive(Debug)]
pub struct Session {
    /// The group's name.
    pub group: Box<str>,
    /// The user name.
    pub user: Box<str>,
    /// The user name as the queues know it.
    pub caller: CallerId,
    /// The proxy that forwards its callers' requests over this connection.
    pub forwarded_by: Option<Box<str>>,
    /// The context of the next forwarded transaction.
    pub forward: Option<Box<Forward>>,
    /// What the session can be told to be.
    pub declared: Declared,
    /// The declarations of the start-up, which `RESET` and `DISCARD ALL` go back to.
    pub initial: Option<Box<Declared>>,
    /// What the session must see of its own group.
    pub floor: LogPosition,
    /// Floors of other groups in the session's token, kept to be reported again.
    pub other_floors: Box<str>,
    /// Parameters of the target that the caller set for its session, each a whole `SET`.
    pub settings: Vec<Box<str>>,
    /// The target that served the last request, and why.
    pub last_served: Box<str>,
    named: FastMap<Box<str>, Arc<PreparedStatement>>,
    /// The unnamed prepared statement.
    pub unnamed: Option<Arc<PreparedStatement>>,
    /// Portals of statements that the proxy answers itself.
    pub local_portals: Vec<(Box<str>, Arc<PreparedStatement>)>,
}

/// What a caller declares about its session.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Declared {
    /// The kind of its reads.
    pub read_kind: Option<Box<str>>,
    /// Its class.
    pub class: Option<Box<str>>,
    /// Its identity.
    pub identity: Option<Box<str>>,
    /// Whether it carries a token, so that nobody else needs to be asked for its floors.
    pub has_token: bool,
    /// The time limit of its statements.
    pub deadline_ms: Option<u64>,
}

impl Session {
    /// A new session.
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

    /// Keeps the declarations made so far as those of the start-up.
    pub fn record_initial_declarations(&mut self) {
        if self.declared != Declared::default() {
            self.initial = Some(Box::new(self.declared.clone()));
        }
    }

    /// Carries out a statement about the session, and reports the token if that changed it. Returns
    /// what a `SHOW` shows.
    ///
    /// A caller that roams takes the token that a connection last reported for the session's own.
    /// If a `SET` changed it unreported, the caller would carry the older one on, and read without
    /// its latest write at a proxy that can't know better. Reporting every change is enough, since
    /// reports and answers reach the caller in order.
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

    /// Carries out a statement about the session. Returns what a `SHOW` shows.
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
            // The floors of writes that were made are never taken back.
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
        // An older token must not take back what this connection wrote itself.
        self.floor = self.floor.max(floor);
        self.other_floors = others.join(",").into();
        self.declared.has_token = !token.is_empty();
        Ok(())
    }

    /// The session's floors as the caller can carry them.
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

    /// Remembers a `SET` of a target's parameter, to be sent in front of each transaction.
    ///
    /// Without it a caller's setting would be lost, or stay on for another caller, as soon as its
    /// connection to the target changes.
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

    /// The caller's prepared statement of this name.
    pub fn prepared(&self, name: &str) -> Option<&Arc<PreparedStatement>> {
        match name {
            "" => self.unnamed.as_ref(),
            _ => self.named.get(name),
        }
    }

    /// Remembers a prepared statement. Returns whether there was room.
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

    /// Forgets a prepared statement.
    pub fn close_statement(&mut self, name: &str) {
        match name {
            "" => self.unnamed = None,
            _ => {
                self.named.remove(name);
            }
        }
    }

    /// Gives back memory that an idle session does not need.
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
