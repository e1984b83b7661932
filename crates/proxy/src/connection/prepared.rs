//! Prepared statements across pooled connections.
//!
//! A caller's named statement is stored with its text. Statements with the same text and parameter
//! types share one name throughout the process, so that each is prepared at most once per target
//! connection, regardless of the caller. A connection that lacks a statement gets its Parse before the
//! first use.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Weak;

use bytes::Bytes;
use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::FastSet;

use crate::connection::frames;
use crate::request::parameters::LocalStatement;
use crate::request::refusal::Refusal;
use crate::request::statement::StatementTraits;

/// The prefix of shared statement names.
const NAME_PREFIX: &str = "skylark_";

/// The number of new statements after which unreferenced ones are removed from the table.
const SWEEP_EVERY: usize = 1_024;

/// A prepared statement shared by the callers of one process.
#[derive(Debug)]
pub struct PreparedStatement {
    /// The number in the shared name; never reused.
    pub id: u64,
    /// The text and parameter types, encoded as in a Parse message after the name.
    pub definition: Bytes,
    /// The traits of the text.
    pub traits: StatementTraits,
    /// The parsed statement if the proxy answers it itself.
    pub local: Option<LocalStatement>,
}

impl PreparedStatement {
    /// Creates a statement from the part of a Parse message that follows the name.
    ///
    /// Returns `None` if the Parse is malformed, and a refusal if the text names a parameter of the
    /// proxy in an unsupported way.
    pub fn new(id: u64, definition: Bytes) -> Option<Result<PreparedStatement, Refusal>> {
        let (text, _) = frames::split_cstr(&definition)?;
        let text = String::from_utf8_lossy(text);
        let traits = StatementTraits::analyze(&text);
        let parsed = LocalStatement::parse(&text);
        Some(parsed.map(|local| PreparedStatement { id, definition, traits, local }))
    }

    /// Returns the shared name.
    pub fn name(&self) -> String {
        shared_name(self.id)
    }
}

/// The prepared statements of one process by definition.
#[derive(Debug, Default)]
pub struct StatementTable {
    inner: Mutex<TableInner>,
}

#[derive(Debug, Default)]
struct TableInner {
    by_definition: FastMap<Bytes, Weak<PreparedStatement>>,
    last_id: u64,
    since_sweep: usize,
}

impl StatementTable {
    /// Returns the shared statement with this definition, and creates it if needed. Errors are those of
    /// [`PreparedStatement::new`].
    pub fn intern(&self, definition: &[u8]) -> Option<Result<Arc<PreparedStatement>, Refusal>> {
        let mut inner = self.inner.lock();
        if let Some(known) = inner.by_definition.get(definition).and_then(Weak::upgrade) {
            return Some(Ok(known));
        }
        inner.last_id += 1;
        let definition = Bytes::copy_from_slice(definition);
        let statement = match PreparedStatement::new(inner.last_id, definition.clone())? {
            Ok(statement) => Arc::new(statement),
            Err(refusal) => return Some(Err(refusal)),
        };
        inner.by_definition.insert(definition, Arc::downgrade(&statement));
        inner.since_sweep += 1;
        if inner.since_sweep >= SWEEP_EVERY {
            inner.since_sweep = 0;
            inner.by_definition.retain(|_, statement| statement.strong_count() > 0);
        }
        Some(Ok(statement))
    }
}

/// The shared statements that are prepared on one connection, evicted in order of preparation.
#[derive(Debug, Default)]
pub struct PreparedOnConnection {
    ids: FastSet<u64>,
    by_age: VecDeque<u64>,
}

impl PreparedOnConnection {
    /// Returns whether the statement is prepared.
    pub fn is_prepared(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Records a statement as prepared.
    pub fn insert(&mut self, id: u64) {
        if self.ids.insert(id) {
            self.by_age.push_back(id);
        }
    }

    /// Removes and returns the oldest statement if there are `limit` or more.
    pub fn evict(&mut self, limit: usize) -> Option<u64> {
        if self.by_age.len() < limit {
            return None;
        }
        let id = self.by_age.pop_front()?;
        self.ids.remove(&id);
        Some(id)
    }

    /// Removes all statements, after a reset of the connection.
    pub fn clear(&mut self) {
        self.ids.clear();
        self.by_age.clear();
    }
}

/// Returns the shared name of the statement with this id.
pub fn shared_name(id: u64) -> String {
    format!("{NAME_PREFIX}{id}")
}
