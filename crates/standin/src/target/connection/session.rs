//! A caller's session: its transaction, its settings, and how they end.

use std::sync::Arc;

use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;

use crate::target::Target;
use crate::target::error::TargetError;
use crate::target::writer::WriteTransaction;

use super::backend;
use super::backend::TransactionState;
use super::cancel::CancelFlag;
use super::frontend::Message;
use super::wire::Wire;
use super::wire::WireError;

/// The parameter that carries the position of a commit.
const COMMIT_PARAMETER: &str = "group.commit";

/// The transaction block that a session is in.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Block {
    /// No transaction is open.
    None,
    /// The statements of one simple query, or of a batch up to its `Sync`.
    Implicit,
    /// Opened by `BEGIN`.
    Open {
        /// Whether it was declared read-only.
        read_only: bool,
    },
    /// Opened by `BEGIN`, and a statement has failed.
    Failed,
}

/// A caller's session.
#[derive(Debug)]
pub struct Session {
    pub(super) target: Arc<Target>,
    pub(super) cancel: Arc<CancelFlag>,
    pub(super) block: Block,
    pub(super) write: Option<WriteTransaction>,
    pub(super) settings: FastMap<String, String>,
    pub(super) extended: super::extended::Extended,
}

impl Session {
    /// A session at idle.
    pub fn new(target: &Arc<Target>, cancel: &Arc<CancelFlag>) -> Session {
        Session {
            target: Arc::clone(target),
            cancel: Arc::clone(cancel),
            block: Block::None,
            write: None,
            settings: FastMap::default(),
            extended: super::extended::Extended::default(),
        }
    }

    /// Serves the session until it ends. An open transaction is rolled back then.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection or violates the protocol.
    pub async fn serve(&mut self, wire: &mut Wire<'_>) -> Result<(), WireError> {
        loop {
            match wire.next().await? {
                Message::Terminate => return Ok(()),
                Message::Sync => {
                    self.sync(wire);
                    self.ready(wire).await?;
                }
                _ if self.skips() => {}
                Message::Query(sql) => {
                    self.cancel.begin();
                    self.simple_query(wire, &sql).await?;
                    self.cancel.end();
                    self.ready(wire).await?;
                }
                Message::Flush => wire.flush().await?,
                message => self.extended_message(wire, message).await?,
            }
        }
    }

    async fn ready(&mut self, wire: &mut Wire<'_>) -> Result<(), WireError> {
        let state = match self.block {
            Block::None | Block::Implicit => TransactionState::Idle,
            Block::Open { .. } => TransactionState::Open,
            Block::Failed => TransactionState::Failed,
        };
        backend::ready(&mut wire.output, state);
        wire.flush().await
    }

    /// Answers with an error, and fails the transaction.
    pub(super) fn fail(&mut self, wire: &mut Wire<'_>, error: &TargetError) {
        match error {
            TargetError::NotPrimary => self.target.counters().refused_writes.add(),
            TargetError::Cancelled => self.target.counters().cancelled.add(),
            _ => {}
        }
        backend::error(&mut wire.output, "ERROR", error);
        let in_block = matches!(self.block, Block::Open { .. } | Block::Failed);
        self.block = if in_block { Block::Failed } else { Block::None };
        let can_return = self.write.as_ref().is_some_and(WriteTransaction::has_savepoints);
        if !(in_block && can_return) {
            self.write = None;
        }
    }

    /// Commits what the transaction wrote, and reports the position.
    pub(super) fn commit(&mut self, wire: &mut Wire<'_>) -> Result<(), TargetError> {
        self.block = Block::None;
        let Some(write) = self.write.take() else { return Ok(()) };
        if let Some(position) = write.commit(&self.target)? {
            self.target.counters().commits.add();
            report(wire, position);
        }
        Ok(())
    }

    /// Rolls the transaction back.
    pub(super) fn roll_back(&mut self) {
        self.block = Block::None;
        self.write = None;
    }

    /// Resets everything that a session holds.
    pub(super) fn discard_all(&mut self) -> Result<(), TargetError> {
        if self.block != Block::None {
            return Err(TargetError::InsideTransaction("DISCARD ALL"));
        }
        self.settings.clear();
        self.extended = super::extended::Extended::default();
        Ok(())
    }
}

fn report(wire: &mut Wire<'_>, position: LogPosition) {
    backend::parameter_status(&mut wire.output, COMMIT_PARAMETER, &position.to_string());
}
