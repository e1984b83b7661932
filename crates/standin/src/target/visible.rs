//! The copy of the data that reads see, with checkpoints to rewind to.
//!
//! A rewind can't undo statements. It starts again from the newest checkpoint before the fork and
//! runs the records from there; without checkpoints it would take as long as all writes of the
//! target's life.

use std::sync::Arc;

use super::database::Database;
use super::record::Record;

/// How many records lie between two checkpoints.
const CHECKPOINT_RECORDS: u64 = 4096;

/// How many checkpoints are kept: the fork may lie just before the newest one.
const KEPT_CHECKPOINTS: usize = 2;

#[derive(Debug)]
struct Checkpoint {
    database: Database,
    index: u64,
}

/// The copy that reads see.
#[derive(Debug, Default)]
pub struct Visible {
    /// The data.
    pub database: Database,
    checkpoints: Vec<Checkpoint>,
}

impl Visible {
    /// Runs the next record.
    pub fn apply(&mut self, record: &Record) {
        self.database.apply(record);
        let index = record.position.index;
        if index.is_multiple_of(CHECKPOINT_RECORDS) {
            self.add_checkpoint(index);
        }
    }

    /// Goes back to the state after the last one of `records`, which are all up to the fork.
    pub fn rewind(&mut self, records: &[Arc<Record>]) {
        let fork = records.len() as u64;
        self.checkpoints.retain(|checkpoint| checkpoint.index <= fork);
        let start = match self.checkpoints.last() {
            Some(checkpoint) => {
                self.database.copy_from(&checkpoint.database);
                checkpoint.index
            }
            None => {
                self.database = Database::new();
                0
            }
        };
        for record in &records[start as usize..] {
            self.apply(record);
        }
    }

    fn add_checkpoint(&mut self, index: u64) {
        let mut checkpoint = match self.checkpoints.len() {
            KEPT_CHECKPOINTS => self.checkpoints.remove(0),
            _ => Checkpoint { database: Database::new(), index },
        };
        checkpoint.database.copy_from(&self.database);
        checkpoint.index = index;
        self.checkpoints.push(checkpoint);
    }
}
