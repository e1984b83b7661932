//! The extended protocol: prepared statements and portals.

use std::sync::Arc;

use bytes::BytesMut;
use postgres_protocol::message::backend as tags;
use rusqlite::types::Value;
use skylark_core::FastMap;

use crate::target::database::Database;
use crate::target::error::TargetError;
use crate::target::sql::classify::StatementKind;
use crate::target::sql::infer::Inference;
use crate::target::sql::lexer;
use crate::target::statement::Statement;

use super::backend;
use super::frontend::Bind;
use super::frontend::Message;
use super::rows;
use super::rows::RowWriter;
use super::session::Block;
use super::session::Session;
use super::types;
use super::types::Column;
use super::types::Type;
use super::wire::Wire;
use super::wire::WireError;

const MESSAGE_HEADER_BYTES: usize = 5;

/// A prepared statement.
#[derive(Debug)]
struct Prepared {
    statement: Statement,
    parameter_oids: Vec<u32>,
    columns: Vec<Column>,
}

/// A portal.
#[derive(Debug)]
struct Portal {
    prepared: Arc<Prepared>,
    parameters: Vec<Value>,
    formats: Vec<u16>,
    rest: Option<Rest>,
}

/// The remaining rows of a portal that was run in part.
#[derive(Debug)]
struct Rest {
    rows: BytesMut,
    tag: String,
}

/// The prepared statements and portals of a session.
#[derive(Debug, Default)]
pub struct Extended {
    statements: FastMap<String, Arc<Prepared>>,
    portals: FastMap<String, Portal>,
    /// After an error, messages are skipped up to the end of the batch.
    skipping: bool,
}

impl Extended {
    /// Deallocates a prepared statement, or all.
    ///
    /// # Errors
    ///
    /// If there is none with this name.
    pub fn deallocate(&mut self, name: Option<&str>) -> Result<(), TargetError> {
        let Some(name) = name else {
            self.statements.clear();
            return Ok(());
        };
        let removed = self.statements.remove(name);
        removed.map(drop).ok_or_else(|| TargetError::UnknownStatement(name.to_owned()))
    }

    fn statement(&self, name: &str) -> Result<&Arc<Prepared>, TargetError> {
        let statement = self.statements.get(name);
        statement.ok_or_else(|| TargetError::UnknownStatement(name.to_owned()))
    }

    fn portal(&self, name: &str) -> Result<&Portal, TargetError> {
        let portal = self.portals.get(name);
        portal.ok_or_else(|| TargetError::UnknownPortal(name.to_owned()))
    }
}

impl Session {
    /// Returns whether messages are skipped up to the end of the batch.
    pub(super) fn skips(&self) -> bool {
        self.extended.skipping
    }

    /// Answers a message of the extended protocol.
    pub(super) async fn extended_message(
        &mut self,
        wire: &mut Wire<'_>,
        message: Message,
    ) -> Result<(), WireError> {
        let result = match message {
            Message::Parse { name, sql, types } => self.parse(wire, name, &sql, &types),
            Message::Bind(bind) => self.bind(wire, bind),
            Message::Describe(true, name) => self.describe_statement(wire, &name),
            Message::Describe(false, name) => self.describe_portal(wire, &name),
            Message::Execute(name, max_rows) => {
                self.cancel.begin();
                let result = self.execute(wire, &name, max_rows).await;
                self.cancel.end();
                result
            }
            Message::Close(is_statement, name) => {
                if is_statement {
                    self.extended.statements.remove(&name);
                } else {
                    self.extended.portals.remove(&name);
                }
                backend::bare(&mut wire.output, tags::CLOSE_COMPLETE_TAG);
                Ok(())
            }
            Message::Other(tag) => {
                let tag = char::from(tag);
                Err(TargetError::Protocol(format!("unexpected message type '{tag}'")))
            }
            _ => Ok(()),
        };
        if let Err(error) = result {
            self.fail(wire, &error);
            self.extended.skipping = true;
            // A client that flushes instead of ending its batch waits for the error before it ends
            // the batch, and its flush is among the skipped messages.
            return wire.flush().await;
        }
        wire.flush_if_large().await
    }

    /// Ends a batch.
    pub(super) fn sync(&mut self, wire: &mut Wire<'_>) {
        self.extended.skipping = false;
        if self.block == Block::Implicit
            && let Err(error) = self.commit(wire)
        {
            self.fail(wire, &error);
        }
        if self.block == Block::None {
            self.extended.portals.clear();
        }
    }

    fn parse(
        &mut self,
        wire: &mut Wire<'_>,
        name: String,
        sql: &str,
        types: &[u32],
    ) -> Result<(), TargetError> {
        if lexer::statements(sql).len() > 1 {
            let reason = "cannot insert multiple commands into a prepared statement";
            return Err(TargetError::BadCommand(reason.to_owned()));
        }
        let statement = Statement::read(lexer::statements(sql).first().copied().unwrap_or(""));
        let prepared = match &self.write {
            Some(write) => Prepared::new(write.database(), statement, types)?,
            None => Prepared::new(&self.target.visible.lock().database, statement, types)?,
        };
        self.extended.statements.insert(name, Arc::new(prepared));
        backend::bare(&mut wire.output, tags::PARSE_COMPLETE_TAG);
        Ok(())
    }

    fn bind(&mut self, wire: &mut Wire<'_>, bind: Bind) -> Result<(), TargetError> {
        let prepared = Arc::clone(self.extended.statement(&bind.statement)?);
        let wanted = prepared.parameter_oids.len();
        if bind.values.len() != wanted {
            let reason = format!("{} parameters for {wanted}", bind.values.len());
            return Err(TargetError::Protocol(reason));
        }
        let values = bind.values.iter().zip(&prepared.parameter_oids).enumerate();
        let decode = |(place, (value, oid)): (usize, (&Option<bytes::Bytes>, &u32))| match value {
            Some(bytes) => types::decode(bytes, *oid, types::is_binary(&bind.formats, place)),
            None => Ok(Value::Null),
        };
        let parameters = values.map(decode).collect::<Result<_, _>>()?;
        let formats = bind.result_formats;
        let portal = Portal { prepared, parameters, formats, rest: None };
        self.extended.portals.insert(bind.portal, portal);
        backend::bare(&mut wire.output, tags::BIND_COMPLETE_TAG);
        Ok(())
    }

    fn describe_statement(&self, wire: &mut Wire<'_>, name: &str) -> Result<(), TargetError> {
        let prepared = self.extended.statement(name)?;
        backend::parameter_description(&mut wire.output, &prepared.parameter_oids);
        describe(wire, prepared, &[]);
        Ok(())
    }

    fn describe_portal(&self, wire: &mut Wire<'_>, name: &str) -> Result<(), TargetError> {
        let portal = self.extended.portal(name)?;
        describe(wire, &portal.prepared, &portal.formats);
        Ok(())
    }

    async fn execute(
        &mut self,
        wire: &mut Wire<'_>,
        name: &str,
        max_rows: usize,
    ) -> Result<(), TargetError> {
        self.extended.portal(name)?;
        let Some(mut portal) = self.extended.portals.remove(name) else { return Ok(()) };
        let result = self.execute_portal(wire, &mut portal, max_rows).await;
        self.extended.portals.insert(name.to_owned(), portal);
        result
    }

    async fn execute_portal(
        &mut self,
        wire: &mut Wire<'_>,
        portal: &mut Portal,
        max_rows: usize,
    ) -> Result<(), TargetError> {
        let start = wire.output.len();
        let tag = match portal.rest.take() {
            Some(rest) => {
                wire.output.extend_from_slice(&rest.rows);
                rest.tag
            }
            None => self.run_portal(wire, portal).await?,
        };
        let kind = &portal.prepared.statement.kind;
        if *kind == StatementKind::Empty {
            backend::bare(&mut wire.output, tags::EMPTY_QUERY_RESPONSE_TAG);
            return Ok(());
        }
        let reads = matches!(kind, StatementKind::Work(work) if !work.writes);
        if reads
            && max_rows > 0
            && let Some(rows) = split_after(&mut wire.output, start, max_rows)
        {
            portal.rest = Some(Rest { rows, tag });
            backend::bare(&mut wire.output, tags::PORTAL_SUSPENDED_TAG);
            return Ok(());
        }
        backend::command_complete(&mut wire.output, &tag);
        // Run again, a portal at its end has no more rows and does nothing.
        let tag = if reads { "SELECT 0".to_owned() } else { tag };
        portal.rest = Some(Rest { rows: BytesMut::new(), tag });
        Ok(())
    }

    async fn run_portal(
        &mut self,
        wire: &mut Wire<'_>,
        portal: &Portal,
    ) -> Result<String, TargetError> {
        // A statement that is alone in its batch commits before its answer, so that the position
        // comes first; several are one transaction, which the end of the batch commits.
        let alone = self.block != Block::None || matches!(wire.peek().await, Ok(b'S'));
        if !alone {
            self.refuse_new_work()?;
            self.block = Block::Implicit;
        }
        let prepared = &portal.prepared;
        let mut rows = RowWriter::for_portal(&prepared.columns, &portal.formats);
        self.run(wire, &prepared.statement, &portal.parameters, &mut rows).await
    }
}

impl Prepared {
    fn new(
        database: &Database,
        statement: Statement,
        types: &[u32],
    ) -> Result<Prepared, TargetError> {
        match &statement.kind {
            StatementKind::Work(_) => {}
            StatementKind::Show(name) => {
                let columns = vec![Column { name: name.clone(), type_: Type::Text }];
                return Ok(Prepared { statement, parameter_oids: Vec::new(), columns });
            }
            _ => {
                return Ok(Prepared { statement, parameter_oids: Vec::new(), columns: Vec::new() });
            }
        }
        let inference = Inference::new(&statement.source, database);
        let inferred = inference.parameters();
        let engine_statement = database.prepare(&statement.sql)?;
        let columns = rows::columns(&engine_statement, |width| inference.results(&inferred, width));
        drop(engine_statement);
        let declared = |place: usize| types.get(place).copied().filter(|oid| *oid != 0);
        let oid = |(place, type_): (usize, &Type)| declared(place).unwrap_or(type_.oid());
        let parameter_oids = inferred.iter().enumerate().map(oid).collect();
        Ok(Prepared { statement, parameter_oids, columns })
    }
}

fn describe(wire: &mut Wire<'_>, prepared: &Prepared, formats: &[u16]) {
    if prepared.columns.is_empty() {
        backend::bare(&mut wire.output, tags::NO_DATA_TAG);
        return;
    }
    let binary = |place| types::is_binary(formats, place);
    backend::row_description(&mut wire.output, &prepared.columns, binary);
}

/// Takes all messages after the first `count` off the output's part from `start`.
fn split_after(output: &mut BytesMut, start: usize, count: usize) -> Option<BytesMut> {
    let mut at = start;
    for _ in 0..count {
        let length = output.get(at + 1..at + MESSAGE_HEADER_BYTES)?;
        at += 1 + u32::from_be_bytes(length.try_into().ok()?) as usize;
    }
    (at < output.len()).then(|| output.split_off(at))
}
