//! A batch of extended-protocol messages up to a Sync or Flush.
//!
//! The caller's messages are buffered until the batch is complete and then routed as a whole, since a
//! batch up to its Sync is one implicit transaction. [`Batch::plan`] resolves statement names and
//! answers the messages that need no target. [`Plan::encode`] encodes the batch for one connection and
//! adds the Parse messages for statements that this connection lacks.

use std::sync::Arc;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use postgres_protocol::message::backend;
use postgres_protocol::message::frontend;
use skylark_core::request::error_kind::ErrorKind;

use crate::connection::caller_input::CallerMessage;
use crate::connection::frames;
use crate::connection::prepared;
use crate::connection::prepared::PreparedOnConnection;
use crate::connection::prepared::PreparedStatement;
use crate::connection::prepared::StatementTable;
use crate::connection::reply::Replies;
use crate::connection::reply::Reply;
use crate::connection::session::Session;
use crate::request::parameters::LocalStatement;
use crate::request::refusal::Refusal;
use crate::request::statement::StatementTraits;
use crate::version::published::Published;

/// The largest definition of an unnamed statement that is kept for later batches, in bytes.
const MAX_UNNAMED_BYTES: usize = 16 << 10;

/// The message that ends a batch.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum BatchEnd {
    /// Sync: ends the implicit transaction.
    Sync,
    /// Flush: requests the pending answers and leaves the implicit transaction open.
    Flush,
}

/// The messages of a batch as received from the caller.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    messages: Vec<CallerMessage>,
    bytes: usize,
}

/// The process state that planning needs besides the batch and the session.
#[derive(Clone, Copy, Debug)]
pub struct PlanContext<'a> {
    /// The prepared statements shared by all callers of the process.
    pub statements: &'a StatementTable,
    /// The published version in force.
    pub published: &'a Published,
    /// The name of this process's VM.
    pub vm: &'a str,
    /// The maximum number of named prepared statements per caller.
    pub prepared_limit: usize,
}

/// One message of a planned batch.
#[derive(Clone, Debug)]
enum Step {
    ParseNamed(Arc<PreparedStatement>),
    ParseUnnamed(Bytes),
    /// A message that refers to a statement, with the parts of its body before and after the name.
    Use {
        tag: u8,
        before: Bytes,
        after: Bytes,
        statement: StatementRef,
        reply: Reply,
    },
    Raw(Bytes, Reply),
    Local(Bytes),
}

#[derive(Clone, Debug)]
enum StatementRef {
    Named(Arc<PreparedStatement>),
    /// The unnamed statement, with its definition if the batch does not contain its Parse.
    Unnamed(Option<Bytes>),
    Unknown,
}

/// A planned batch, which can be encoded for any connection.
#[derive(Clone, Debug)]
pub struct Plan {
    steps: Vec<Step>,
    /// The combined traits of its statements.
    pub traits: StatementTraits,
    /// The text of the session-level `SET` or `RESET` that the batch executes, if any.
    pub session_set: Option<String>,
    parsed_names: Vec<String>,
}

impl Batch {
    /// Appends a message.
    pub fn push(&mut self, message: CallerMessage) {
        self.bytes += message.frame.len();
        self.messages.push(message);
    }

    /// Returns the total size of all messages in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Resolves the batch against the session. After an error nothing of the batch may be executed.
    pub fn plan(self, session: &mut Session, context: PlanContext<'_>) -> Result<Plan, Refusal> {
        let mut planner = Planner {
            session,
            context,
            unnamed_in_batch: false,
            plan: Plan {
                steps: Vec::with_capacity(self.messages.len()),
                traits: StatementTraits::analyze(""),
                session_set: None,
                parsed_names: Vec::new(),
            },
        };
        for message in &self.messages {
            let planned = planner.add(message);
            if let Err(refusal) = planned {
                planner.plan.forget_parsed(planner.session);
                return Err(refusal);
            }
        }
        let Planner { session, plan, .. } = planner;
        let too_large =
            |unnamed: &Arc<PreparedStatement>| unnamed.definition.len() > MAX_UNNAMED_BYTES;
        if session.unnamed.as_ref().is_some_and(too_large) {
            session.unnamed = None;
        }
        Ok(plan)
    }
}

impl Plan {
    /// Returns whether the batch can be answered without a target.
    pub fn is_local(&self) -> bool {
        self.steps.iter().all(|step| matches!(step, Step::Local(_)))
    }

    /// Appends the answers of a batch that needs no target.
    pub fn write_local(&self, out: &mut BytesMut) {
        for step in &self.steps {
            if let Step::Local(bytes) = step {
                out.extend_from_slice(bytes);
            }
        }
    }

    fn named_uses(&self) -> usize {
        let named = |step: &&Step| {
            matches!(
                step,
                Step::ParseNamed(_) | Step::Use { statement: StatementRef::Named(_), .. }
            )
        };
        self.steps.iter().filter(named).count()
    }

    /// Removes the statements that the batch prepares from the session, after an error.
    ///
    /// Some may have been prepared before the error. The caller can't tell which and has to prepare
    /// again the ones it needs.
    pub fn forget_parsed(&self, session: &mut Session) {
        for name in &self.parsed_names {
            session.close_statement(name);
        }
    }

    /// Encodes the batch for a connection that has the statements in `prepared`. Returns the number of
    /// Parse messages that were added for statements the connection lacks.
    pub fn encode(
        &self,
        prepared: &mut PreparedOnConnection,
        limit: usize,
        out: &mut BytesMut,
        replies: &mut Replies,
    ) -> std::io::Result<usize> {
        let mut encoder = Encoder { prepared, out, replies, parsing: Vec::new(), injected: 0 };
        // Statements are evicted before the batch begins: closing a statement also closes the portals
        // bound to it, which must not affect the portals of this batch.
        for _ in 0..self.named_uses() {
            encoder.evict(limit)?;
        }
        for step in &self.steps {
            encoder.add(step)?;
        }
        Ok(encoder.injected)
    }
}

struct Planner<'a> {
    session: &'a mut Session,
    context: PlanContext<'a>,
    unnamed_in_batch: bool,
    plan: Plan,
}

impl Planner<'_> {
    fn add(&mut self, message: &CallerMessage) -> Result<(), Refusal> {
        match message.tag {
            b'P' => self.parse(message),
            b'B' => self.bind(message),
            b'D' => self.describe(message),
            b'E' => self.execute(message),
            b'C' => self.close(message),
            _ => Err(ErrorKind::ProtocolViolation.into()),
        }
    }

    fn parse(&mut self, message: &CallerMessage) -> Result<(), Refusal> {
        let (name, definition) = split_name(message.body())?;
        let created = match name {
            "" => PreparedStatement::new(0, Bytes::copy_from_slice(definition))
                .map(|created| created.map(Arc::new)),
            _ => self.context.statements.intern(definition),
        };
        let statement = created.ok_or(ErrorKind::ProtocolViolation)??;
        let step = match (&statement.local, name) {
            (Some(_), _) => Step::Local(empty_message(backend::PARSE_COMPLETE_TAG)),
            (None, "") => Step::ParseUnnamed(message.frame.clone()),
            (None, _) => Step::ParseNamed(Arc::clone(&statement)),
        };
        self.plan.steps.push(step);
        self.plan.traits = self.plan.traits.join(statement.traits);
        self.refuse_copy()?;
        if name.is_empty() {
            self.unnamed_in_batch = true;
        } else {
            self.plan.parsed_names.push(name.to_owned());
        }
        if !self.session.prepare(name, statement, self.context.prepared_limit) {
            let note = "too many prepared statements in one session".to_owned();
            return Err(Refusal::with_note(ErrorKind::Unsupported, note));
        }
        Ok(())
    }

    fn bind(&mut self, message: &CallerMessage) -> Result<(), Refusal> {
        let (portal, rest) = split_name(message.body())?;
        let (name, _) = split_name(rest)?;
        self.session.local_portals.retain(|(known, _)| **known != *portal);
        let known = self.session.prepared(name).cloned();
        if let Some(statement) = known.as_ref().filter(|known| known.local.is_some()) {
            self.session.local_portals.push((portal.into(), Arc::clone(statement)));
            self.plan.steps.push(Step::Local(empty_message(backend::BIND_COMPLETE_TAG)));
            return Ok(());
        }
        if let Some(statement) = &known {
            self.plan.traits = self.plan.traits.join(statement.traits);
            self.record_session_set(statement);
            self.refuse_copy()?;
        }
        let name_at = frames::HEADER_BYTES + portal.len() + 1;
        self.use_statement(message, name_at, name, known, Reply::Bind);
        Ok(())
    }

    fn record_session_set(&mut self, statement: &PreparedStatement) {
        if statement.traits.sets_parameter {
            let text = frames::split_cstr(&statement.definition).map(|(text, _)| text);
            let text = text.and_then(|text| std::str::from_utf8(text).ok());
            self.plan.session_set = text.map(str::to_owned);
        }
    }

    fn describe(&mut self, message: &CallerMessage) -> Result<(), Refusal> {
        let (variant, name) = split_variant(message.body())?;
        if variant == b'S' {
            let known = self.session.prepared(name).cloned();
            if let Some(local) = known.as_ref().and_then(|known| known.local.as_ref()) {
                let described = describe_local(local, true);
                self.plan.steps.push(Step::Local(described));
                return Ok(());
            }
            if let Some(statement) = &known {
                self.plan.traits = self.plan.traits.join(statement.traits);
            }
            self.use_statement(message, frames::HEADER_BYTES + 1, name, known, Reply::Describe);
            return Ok(());
        }
        let step = match self.local_portal(name) {
            Some(statement) => match &statement.local {
                Some(local) => Step::Local(describe_local(local, false)),
                None => Step::Raw(message.frame.clone(), Reply::Describe),
            },
            None => Step::Raw(message.frame.clone(), Reply::Describe),
        };
        self.plan.steps.push(step);
        Ok(())
    }

    fn execute(&mut self, message: &CallerMessage) -> Result<(), Refusal> {
        let (portal, _) = split_name(message.body())?;
        let Some(statement) = self.local_portal(portal) else {
            self.plan.steps.push(Step::Raw(message.frame.clone(), Reply::Execute));
            return Ok(());
        };
        let Some(local) = &statement.local else { return Ok(()) };
        let mut out = BytesMut::new();
        let PlanContext { published, vm, .. } = self.context;
        let shown = self.session.apply_and_report(local, published, vm, &mut out)?;
        if let Some(shown) = shown {
            frames::text_row(&mut out, &shown);
        }
        frames::command_complete(&mut out, local.command_tag());
        self.plan.steps.push(Step::Local(out.freeze()));
        Ok(())
    }

    fn close(&mut self, message: &CallerMessage) -> Result<(), Refusal> {
        let (variant, name) = split_variant(message.body())?;
        if variant == b'S' {
            self.session.close_statement(name);
            self.plan.steps.push(Step::Local(empty_message(backend::CLOSE_COMPLETE_TAG)));
            return Ok(());
        }
        if self.local_portal(name).is_some() {
            self.session.local_portals.retain(|(known, _)| **known != *name);
            self.plan.steps.push(Step::Local(empty_message(backend::CLOSE_COMPLETE_TAG)));
            return Ok(());
        }
        self.plan.steps.push(Step::Raw(message.frame.clone(), Reply::Close));
        Ok(())
    }

    fn local_portal(&self, name: &str) -> Option<Arc<PreparedStatement>> {
        let found = self.session.local_portals.iter().find(|(known, _)| **known == *name);
        found.map(|(_, statement)| Arc::clone(statement))
    }

    fn refuse_copy(&self) -> Result<(), Refusal> {
        match self.plan.traits.has_copy {
            true => Err(copy_refused()),
            false => Ok(()),
        }
    }

    fn use_statement(
        &mut self,
        message: &CallerMessage,
        name_at: usize,
        name: &str,
        known: Option<Arc<PreparedStatement>>,
        reply: Reply,
    ) {
        let statement = match (known, name) {
            (Some(_), "") if self.unnamed_in_batch => StatementRef::Unnamed(None),
            (Some(known), "") => StatementRef::Unnamed(Some(known.definition.clone())),
            (Some(known), _) => StatementRef::Named(known),
            (None, _) => StatementRef::Unknown,
        };
        self.plan.steps.push(Step::Use {
            tag: message.tag,
            before: message.frame.slice(frames::HEADER_BYTES..name_at),
            after: message.frame.slice(name_at + name.len() + 1..),
            statement,
            reply,
        });
    }
}

/// Returns the refusal of a COPY statement.
pub fn copy_refused() -> Refusal {
    Refusal::with_note(ErrorKind::Unsupported, "COPY".to_owned())
}

struct Encoder<'a> {
    prepared: &'a mut PreparedOnConnection,
    out: &'a mut BytesMut,
    replies: &'a mut Replies,
    /// The ids of statements whose Parse occurs earlier in this batch.
    parsing: Vec<u64>,
    injected: usize,
}

impl Encoder<'_> {
    fn add(&mut self, step: &Step) -> std::io::Result<()> {
        match step {
            Step::Local(bytes) => self.replies.push(Reply::Local(bytes.clone())),
            Step::Raw(frame, reply) => {
                self.out.extend_from_slice(frame);
                self.replies.push(reply.clone());
            }
            Step::ParseUnnamed(frame) => {
                self.out.extend_from_slice(frame);
                self.replies.push(Reply::UnnamedParse);
            }
            Step::ParseNamed(statement) if self.is_prepared(statement.id) => {
                self.replies.push(Reply::Local(empty_message(backend::PARSE_COMPLETE_TAG)));
            }
            Step::ParseNamed(statement) => {
                self.parse(statement);
                self.replies.push(Reply::Parse { id: statement.id });
            }
            Step::Use { tag, before, after, statement, reply } => {
                let name = self.name_of(statement)?;
                frames::frame(self.out, *tag, |out| {
                    out.put_slice(before);
                    frames::put_cstr(out, &name);
                    out.put_slice(after);
                });
                self.replies.push(reply.clone());
            }
        }
        Ok(())
    }

    fn is_prepared(&self, id: u64) -> bool {
        self.prepared.is_prepared(id) || self.parsing.contains(&id)
    }

    fn name_of(&mut self, statement: &StatementRef) -> std::io::Result<String> {
        match statement {
            StatementRef::Named(statement) => {
                if !self.is_prepared(statement.id) {
                    self.parse(statement);
                    self.replies.push(Reply::InjectedParse { id: statement.id });
                    self.injected += 1;
                }
                Ok(statement.name())
            }
            StatementRef::Unnamed(None) => Ok(String::new()),
            StatementRef::Unnamed(Some(definition)) => {
                write_parse(self.out, "", definition);
                self.replies.push(Reply::InjectedUnnamedParse);
                self.injected += 1;
                Ok(String::new())
            }
            // No statement has this name. The target reports the error.
            StatementRef::Unknown => Ok("unknown".to_owned()),
        }
    }

    /// Closes the oldest statement if the connection has reached `limit`.
    fn evict(&mut self, limit: usize) -> std::io::Result<()> {
        if let Some(evicted) = self.prepared.evict(limit) {
            frontend::close(b'S', &prepared::shared_name(evicted), self.out)?;
            self.replies.push(Reply::InjectedClose);
        }
        Ok(())
    }

    fn parse(&mut self, statement: &PreparedStatement) {
        write_parse(self.out, &statement.name(), &statement.definition);
        self.parsing.push(statement.id);
    }
}

fn write_parse(out: &mut BytesMut, name: &str, definition: &[u8]) {
    frames::frame(out, b'P', |out| {
        frames::put_cstr(out, name);
        out.put_slice(definition);
    });
}

fn empty_message(tag: u8) -> Bytes {
    let mut out = BytesMut::with_capacity(frames::HEADER_BYTES);
    frames::empty(&mut out, tag);
    out.freeze()
}

fn describe_local(local: &LocalStatement, with_parameters: bool) -> Bytes {
    let mut out = BytesMut::new();
    if with_parameters {
        frames::no_parameters(&mut out);
    }
    match local {
        LocalStatement::Show(parameter) => frames::text_column(&mut out, parameter.name()),
        _ => frames::empty(&mut out, backend::NO_DATA_TAG),
    }
    out.freeze()
}

fn split_name(bytes: &[u8]) -> Result<(&str, &[u8]), Refusal> {
    let (name, rest) = frames::split_cstr(bytes).ok_or(ErrorKind::ProtocolViolation)?;
    let name = std::str::from_utf8(name).map_err(|_| ErrorKind::ProtocolViolation)?;
    Ok((name, rest))
}

fn split_variant(body: &[u8]) -> Result<(u8, &str), Refusal> {
    let (variant, rest) = body.split_first().ok_or(ErrorKind::ProtocolViolation)?;
    let (name, _) = split_name(rest)?;
    match variant {
        b'S' | b'P' => Ok((*variant, name)),
        _ => Err(ErrorKind::ProtocolViolation.into()),
    }
}
