//! Transactions that write: one at a time, on the working copy of the data.
//!
//! The engine has one writer per database, and its readers would see or wait for what is not yet
//! committed. So a transaction that writes uses the working copy exclusively, and at its commit the
//! statements that wrote are appended to the log and run on the copy that reads see.

use std::sync::Arc;

use rusqlite::types::Value;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use tokio::sync::OwnedMutexGuard;

use super::Target;
use super::database::Database;
use super::database::Moment;
use super::error::TargetError;
use super::record::LoggedStatement;

/// The copy that transactions write to.
#[derive(Debug, Default)]
pub struct Working {
    /// The data.
    pub database: Database,
    /// The index of the last record in it.
    pub applied: u64,
    /// The member's generation that `applied` belongs to.
    pub generation: u64,
}

#[derive(Debug)]
struct Savepoint {
    name: String,
    logged: usize,
}

/// A transaction that may write. Dropping it rolls it back.
#[derive(Debug)]
pub struct WriteTransaction {
    working: OwnedMutexGuard<Working>,
    term: Term,
    time_us: i64,
    seed: u64,
    logged: Vec<LoggedStatement>,
    savepoints: Vec<Savepoint>,
    open: bool,
}

impl WriteTransaction {
    /// Opens a transaction at a primary, once no other one writes.
    ///
    /// # Errors
    ///
    /// [`TargetError::NotPrimary`], with nothing run.
    pub async fn begin(target: &Arc<Target>) -> Result<WriteTransaction, TargetError> {
        target.writable_term()?;
        let mut working = Arc::clone(&target.working).lock_owned().await;
        target.catch_up(&mut working);
        let term = target.writable_term()?;
        working.database.control("BEGIN IMMEDIATE")?;
        Ok(WriteTransaction {
            working,
            term,
            time_us: super::now_us(),
            seed: target.next_seed(),
            logged: Vec::new(),
            savepoints: Vec::new(),
            open: true,
        })
    }

    /// Returns the transaction's data, with the inputs of its next statement set.
    pub fn database(&self) -> &Database {
        let moment = Moment { time_us: self.time_us, seed: self.next_seed() };
        self.working.database.set_moment(moment);
        &self.working.database
    }

    /// Records that the last statement run on [`WriteTransaction::database`] wrote.
    pub fn log(&mut self, sql: &Arc<str>, parameters: &[Value]) {
        let seed = self.next_seed();
        let parameters = parameters.to_vec();
        self.logged.push(LoggedStatement { sql: Arc::clone(sql), parameters, seed });
    }

    /// Sets a savepoint.
    ///
    /// # Errors
    ///
    /// The error of the engine.
    pub fn savepoint(&mut self, name: &str) -> Result<(), TargetError> {
        self.working.database.control(&format!("SAVEPOINT {}", quoted(name)))?;
        self.savepoints.push(Savepoint { name: name.to_owned(), logged: self.logged.len() });
        Ok(())
    }

    /// Rolls back to a savepoint, which is kept.
    ///
    /// # Errors
    ///
    /// If there is none with this name.
    pub fn rollback_to(&mut self, name: &str) -> Result<(), TargetError> {
        let place = self.savepoint_place(name)?;
        self.working.database.control(&format!("ROLLBACK TO {}", quoted(name)))?;
        self.logged.truncate(self.savepoints[place].logged);
        self.savepoints.truncate(place + 1);
        Ok(())
    }

    /// Releases a savepoint and those after it.
    ///
    /// # Errors
    ///
    /// If there is none with this name.
    pub fn release(&mut self, name: &str) -> Result<(), TargetError> {
        let place = self.savepoint_place(name)?;
        self.working.database.control(&format!("RELEASE {}", quoted(name)))?;
        self.savepoints.truncate(place);
        Ok(())
    }

    /// Returns whether a failed transaction can be rolled back to a savepoint.
    pub fn has_savepoints(&self) -> bool {
        !self.savepoints.is_empty()
    }

    /// Commits, and returns the record's position if something was written.
    ///
    /// # Errors
    ///
    /// [`TargetError::NotPrimary`] if the target was fenced since the transaction began, or the error
    /// of the engine. The transaction is rolled back in both cases.
    pub fn commit(mut self, target: &Target) -> Result<Option<LogPosition>, TargetError> {
        if self.logged.is_empty() {
            return Ok(None);
        }
        let mut visible = target.visible.lock();
        let mut member = target.member.lock();
        // Term, record and data change in one step: a commit that passed the check after a vote for
        // a new term would stay on a member that no longer confirms it.
        if member.writable_term() != Some(self.term) {
            return Err(TargetError::NotPrimary);
        }
        self.working.database.control("COMMIT")?;
        self.open = false;
        let position = member.append(self.time_us, std::mem::take(&mut self.logged));
        for record in member.records_after(position.index - 1) {
            visible.apply(record);
        }
        member.set_applied(position.index);
        self.working.applied = position.index;
        target.publish(&member);
        Ok(Some(position))
    }

    fn next_seed(&self) -> u64 {
        self.seed.wrapping_add(self.logged.len() as u64)
    }

    fn savepoint_place(&self, name: &str) -> Result<usize, TargetError> {
        let place = self.savepoints.iter().rposition(|savepoint| savepoint.name == name);
        place.ok_or_else(|| TargetError::UnknownSavepoint(name.to_owned()))
    }
}

impl Drop for WriteTransaction {
    fn drop(&mut self) {
        if self.open {
            // An engine that has rolled back by itself already answers with an error.
            let _ = self.working.database.control("ROLLBACK");
        }
    }
}

fn quoted(name: &str) -> String {
    format!("\"{}\"", name.replace('"', "\"\""))
}
