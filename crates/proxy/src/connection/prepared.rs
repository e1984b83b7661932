//! Prepared statements that outlive a pooled connection.
//!
//! A caller's named statement is remembered with its text. Statements with the same text and
//! parameter types share one name over the whole process, so that a target connection has each
//! prepared at most once, whoever asks. A connection that lacks one gets its Parse before the
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

/// What the shared names of statements begin with.
const NAME_PREFIX: &str = "skylark_";

/// After how many new statements the table forgets those that nobody holds.
const SWEEP_EVERY: usize = 1_024;

/// A prepared statement as callers of one process share it.
#[derive(Debug)]
pub struct PreparedStatement {
    /// The number in its shared name; never used again.
    pub id: u64,
    /// The text and parameter types, as they stand in a Parse after the name.
    pub definition: Bytes,
    /// What its text shows.
    pub traits: StatementTraits,
    /// The statement that the proxy answers itself, if it is one.
    pub local: Option<LocalStatement>,
}

impl PreparedStatement {
    /// A statement from the part of a Parse that follows the name.
    ///
    /// Fails where the text names a parameter of the proxy in a way that is not accepted; `None`
    /// where the Parse is malformed.
    pub fn new(id: u64, definition: Bytes) -> Option<Result<PreparedStatement, Refusal>> {
        let (text, _) = frames::split_cstr(&definition)?;
        let text = String::from_utf8_lossy(text);
        let traits = StatementTraits::analyze(&text);
        let parsed = LocalStatement::parse(&text);
        Some(parsed.map(|local| PreparedStatement { id, definition, traits, local }))
    }

    /// The shared name.
    pub fn name(&self) -> String {
        shared_name(self.id)
    }
}

/// The statements of one process by their definition.
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
    /// The shared statement of this definition. Errors as for [`PreparedStatement::new`].
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

/// Which shared statements one connection has prepared: the oldest is given up for a new one.
#[derive(Debug, Default)]
pub struct PreparedOnConnection {
    ids: FastSet<u64>,
    by_age: VecDeque<u64>,
}

impl PreparedOnConnection {
    /// Whether the statement is prepared.
    pub fn is_prepared(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Notes a statement that is prepared now.
    pub fn insert(&mut self, id: u64) {
        if self.ids.insert(id) {
            self.by_age.push_back(id);
        }
    }

    /// Takes the oldest statement out while there are `limit` or more.
    pub fn evict(&mut self, limit: usize) -> Option<u64> {
        if self.by_age.len() < limit {
            return None;
        }
        let id = self.by_age.pop_front()?;
        self.ids.remove(&id);
        Some(id)
    }

    /// Forgets all, after a reset of the connection.
    pub fn clear(&mut self) {
        self.ids.clear();
        self.by_age.clear();
    }
}

/// The shared name of the statement with this number.
pub fn shared_name(id: u64) -> String {
    format!("{NAME_PREFIX}{id}")
}
