//! Runs one statement of a session.

use std::sync::Arc;
use std::time::Duration;

use rusqlite::types::Value;

use crate::target;
use crate::target::database::Moment;
use crate::target::error::TargetError;
use crate::target::sql::classify::StatementKind;
use crate::target::sql::classify::WorkKind;
use crate::target::statement::Statement;
use crate::target::writer::WriteTransaction;
use crate::timer;

use super::rows::Ran;
use super::rows::RowWriter;
use super::session::Block;
use super::session::Session;
use super::wire::Wire;

impl Session {
    /// Runs a statement and returns its command tag. Outside a block it is a transaction of its
    /// own, committed before this returns.
    pub(super) async fn run(
        &mut self,
        wire: &mut Wire<'_>,
        statement: &Statement,
        parameters: &[Value],
        rows: &mut RowWriter<'_>,
    ) -> Result<String, TargetError> {
        self.check_block(&statement.kind)?;
        match &statement.kind {
            StatementKind::Work(kind) => {
                let tag = self.work(wire, statement, *kind, parameters, rows).await?;
                if self.block == Block::None {
                    self.commit(wire)?;
                }
                Ok(tag)
            }
            StatementKind::Savepoint(name) => {
                self.savepoint(name).await?;
                Ok("SAVEPOINT".to_owned())
            }
            StatementKind::Show(name) => {
                self.show(wire, name, rows);
                Ok("SHOW".to_owned())
            }
            StatementKind::Commit => self.end(wire),
            kind => self.control(kind).map(str::to_owned),
        }
    }

    /// Refuses a new transaction at a leaving target.
    pub(super) fn refuse_new_work(&self) -> Result<(), TargetError> {
        if self.target.leaving() {
            return Err(TargetError::Leaving);
        }
        Ok(())
    }

    fn check_block(&self, kind: &StatementKind) -> Result<(), TargetError> {
        let ends =
            matches!(kind, StatementKind::Commit | StatementKind::Rollback | StatementKind::Empty);
        match (self.block, kind) {
            (Block::Failed, StatementKind::RollbackTo(_)) => Ok(()),
            (Block::Failed, _) if !ends => Err(TargetError::FailedTransaction),
            (Block::None, StatementKind::Begin { .. } | StatementKind::Work(_)) => {
                self.refuse_new_work()
            }
            _ => Ok(()),
        }
    }

    /// `COMMIT`, which rolls back a transaction that has failed.
    fn end(&mut self, wire: &mut Wire<'_>) -> Result<String, TargetError> {
        if self.block == Block::Failed {
            self.roll_back();
            return Ok("ROLLBACK".to_owned());
        }
        self.commit(wire)?;
        Ok("COMMIT".to_owned())
    }

    fn control(&mut self, kind: &StatementKind) -> Result<&'static str, TargetError> {
        match kind {
            StatementKind::Begin { read_only } => {
                if matches!(self.block, Block::None | Block::Implicit) {
                    self.block = Block::Open { read_only: *read_only };
                }
                Ok("BEGIN")
            }
            StatementKind::Rollback => {
                self.roll_back();
                Ok("ROLLBACK")
            }
            StatementKind::RollbackTo(name) => {
                self.open_write(name)?.rollback_to(name)?;
                self.block = Block::Open { read_only: false };
                Ok("ROLLBACK")
            }
            StatementKind::Release(name) => {
                self.open_write(name)?.release(name)?;
                Ok("RELEASE")
            }
            StatementKind::Set { name, value: Some(value) } => {
                self.settings.insert(name.clone(), value.clone());
                Ok("SET")
            }
            StatementKind::Set { name, value: None } => {
                self.settings.remove(name);
                Ok("RESET")
            }
            StatementKind::SetReadOnly => {
                if let Block::Open { read_only } = &mut self.block {
                    *read_only = true;
                }
                Ok("SET")
            }
            StatementKind::DiscardAll => self.discard_all().map(|()| "DISCARD ALL"),
            StatementKind::Deallocate(name) => {
                self.extended.deallocate(name.as_deref())?;
                Ok("DEALLOCATE")
            }
            StatementKind::Nothing(tag) => Ok(tag),
            StatementKind::Listen(_) => {
                Err(TargetError::Unsupported("LISTEN outside control connections".to_owned()))
            }
            StatementKind::Unsupported(what) => Err(TargetError::Unsupported((*what).to_owned())),
            StatementKind::Empty
            | StatementKind::Commit
            | StatementKind::Savepoint(_)
            | StatementKind::Show(_)
            | StatementKind::Work(_) => Ok(""),
        }
    }

    fn open_write(&mut self, savepoint: &str) -> Result<&mut WriteTransaction, TargetError> {
        self.write.as_mut().ok_or_else(|| TargetError::UnknownSavepoint(savepoint.to_owned()))
    }

    async fn savepoint(&mut self, name: &str) -> Result<(), TargetError> {
        if !matches!(self.block, Block::Open { read_only: false }) {
            let what = "SAVEPOINT outside a transaction that may write";
            return Err(TargetError::Unsupported(what.to_owned()));
        }
        self.begin_write().await?.savepoint(name)
    }

    fn show(&self, wire: &mut Wire<'_>, name: &str, rows: &mut RowWriter<'_>) {
        let value = match name {
            "server_version" => "16.0",
            "transaction_isolation" | "transaction isolation level" => "read committed",
            "standard_conforming_strings" | "integer_datetimes" => "on",
            "server_encoding" | "client_encoding" => "UTF8",
            "in_hot_standby" if self.target.writable_term().is_err() => "on",
            "in_hot_standby" => "off",
            _ => self.settings.get(name).map_or("", String::as_str),
        };
        rows.write_text(name, value, &mut wire.output);
    }

    async fn work(
        &mut self,
        wire: &mut Wire<'_>,
        statement: &Statement,
        kind: WorkKind,
        parameters: &[Value],
        rows: &mut RowWriter<'_>,
    ) -> Result<String, TargetError> {
        if kind.writes || kind.locks {
            // The writer's turn comes before the slot: the writer before it may need the slot to
            // come to its end.
            self.begin_write().await?;
        }
        let target = Arc::clone(&self.target);
        let cancel = Arc::clone(&self.cancel);
        let slot = tokio::select! {
            // The semaphore is never closed.
            slot = target.slots.acquire() => slot,
            () = cancel.cancelled() => return Err(TargetError::Cancelled),
        };
        target.awake().await;
        let start = wire.output.len();
        let (ran, asked) = self.run_work(wire, statement, kind, parameters, rows)?;
        let service = asked + Duration::from_micros(target.options.statement_cost_us);
        if !service.is_zero() {
            tokio::select! {
                () = timer::sleep(service) => {}
                () = cancel.cancelled() => {
                    wire.output.truncate(start);
                    return Err(TargetError::Cancelled);
                }
            }
        }
        target.awake().await;
        drop(slot);
        Ok(tag(kind, ran))
    }

    fn run_work(
        &mut self,
        wire: &mut Wire<'_>,
        statement: &Statement,
        kind: WorkKind,
        parameters: &[Value],
        rows: &mut RowWriter<'_>,
    ) -> Result<(Ran, Duration), TargetError> {
        let only_read = !kind.writes;
        if let Some(write) = &mut self.write {
            let database = write.database();
            let ran = rows.run(database, statement, parameters, only_read, &mut wire.output);
            // Taken also after an error: left there, the next statement would serve it.
            let asked = database.take_work();
            let ran = ran?;
            if kind.writes && (ran.wrote || !kind.changes_rows()) {
                write.log(&statement.sql, parameters);
            }
            return Ok((ran, asked));
        }
        let moment = Moment { time_us: target::now_us(), seed: self.target.next_seed() };
        let visible = &self.target.visible.lock().database;
        visible.set_moment(moment);
        let ran = rows.run(visible, statement, parameters, only_read, &mut wire.output);
        let asked = visible.take_work();
        let ran = ran?;
        self.target.counters().reads.add();
        Ok((ran, asked))
    }

    async fn begin_write(&mut self) -> Result<&mut WriteTransaction, TargetError> {
        if self.block == (Block::Open { read_only: true }) {
            return Err(TargetError::ReadOnlyTransaction);
        }
        if self.write.is_none() {
            let write = tokio::select! {
                write = WriteTransaction::begin(&self.target) => write?,
                () = self.cancel.cancelled() => return Err(TargetError::Cancelled),
            };
            self.write = Some(write);
        }
        self.write.as_mut().ok_or(TargetError::NotPrimary)
    }
}

fn tag(kind: WorkKind, ran: Ran) -> String {
    match kind.tag {
        "INSERT" => format!("INSERT 0 {}", ran.changed),
        tag if kind.writes && kind.counted => format!("{tag} {}", ran.changed),
        tag if kind.counted => format!("{tag} {}", ran.rows),
        tag => tag.to_owned(),
    }
}
