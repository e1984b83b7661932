//! Calls counted by kind. A waiting watch counts as one.

use serde::Serialize;

use crate::counter::Counter;

/// The counters of the platform.
#[derive(Debug, Default, Serialize)]
pub struct CallCounters {
    /// Reads of one object.
    pub gets: Counter,
    /// Conditional updates.
    pub puts: Counter,
    /// Conditional deletions.
    pub deletes: Counter,
    /// Snapshots.
    pub snapshots: Counter,
    /// Watches.
    pub watches: Counter,
    /// Reads of the list of VMs.
    pub vm_lists: Counter,
    /// Updates and deletions that met another version.
    pub conflicts: Counter,
    /// Calls answered as unavailable.
    pub unavailable: Counter,
    /// Answers lost after the update took effect.
    pub lost_answers: Counter,
}
