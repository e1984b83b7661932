//! Counters of calls to the platform by kind. A watch counts as one call, however long it waits.

use serde::Serialize;

use crate::counter::Counter;

/// The platform's call counters, serialised under their field names.
#[derive(Debug, Default, Serialize)]
pub struct CallCounters {
    /// Reads of a single object.
    pub gets: Counter,
    /// Conditional creations and updates, failed ones included.
    pub puts: Counter,
    /// Conditional deletions, failed ones included.
    pub deletes: Counter,
    /// Reads of a snapshot of all objects.
    pub snapshots: Counter,
    /// Long-polling watches.
    pub watches: Counter,
    /// Reads of the list of VMs.
    pub vm_lists: Counter,
    /// Updates and deletions refused because of a version conflict.
    pub conflicts: Counter,
    /// Calls answered with 503 while the platform was down.
    pub unavailable: Counter,
    /// Updates and deletions that took effect and whose answer was replaced by 502.
    pub lost_answers: Counter,
}
