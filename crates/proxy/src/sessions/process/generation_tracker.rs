//! The store's generation, as far as this process knows it.
//!
//! All tasks that read revisions, from the store or from other VMs, report them here. A task that relies on
//! what the store said asks since when the generation has been known.

use std::sync::Arc;

use skylark_core::store_revision::SeenGeneration;
use skylark_core::store_revision::StoreRevision;
use tokio::sync::watch;

use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::process::counters::Event;

/// The newest known generation of the store.
#[derive(Debug)]
pub struct GenerationTracker {
    clock: MonotonicClock,
    counters: Arc<Counters>,
    log: slog::Logger,
    newest: watch::Sender<SeenGeneration>,
}

impl GenerationTracker {
    /// Creates the state of a process that knows no revision.
    pub fn new(
        clock: MonotonicClock,
        counters: &Arc<Counters>,
        log: &slog::Logger,
    ) -> GenerationTracker {
        let newest = watch::Sender::new(SeenGeneration::default());
        GenerationTracker { clock, counters: Arc::clone(counters), log: log.clone(), newest }
    }

    /// Records that a revision is known, and returns the newest generation.
    pub fn observe(&self, revision: StoreRevision) -> SeenGeneration {
        let generation = revision.generation();
        self.newest.send_if_modified(|newest| {
            let before = *newest;
            newest.observe(generation, self.clock.now_us());
            let is_newer = *newest != before;
            if is_newer && newest.follows_another {
                self.counters.event(Event::StoreRestored);
                slog::warn!(self.log, "the store was restored from an earlier state";
                    "generation" => generation, "before" => before.number);
            }
            is_newer
        });
        self.newest()
    }

    /// Returns the newest generation.
    pub fn newest(&self) -> SeenGeneration {
        *self.newest.borrow()
    }

    /// Subscribes to newer generations.
    pub fn subscribe(&self) -> watch::Receiver<SeenGeneration> {
        self.newest.subscribe()
    }
}
