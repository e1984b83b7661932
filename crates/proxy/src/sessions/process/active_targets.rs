//! The targets that need maintenance: those that this process connects to directly, and those that its
//! callers used lately.
//!
//! A large fleet has thousands of targets, of which a VM uses a few at a time. Periodic work over all of them
//! took more than a tenth of the processor time of a small VM without any callers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::FastMap;

use crate::sessions::codec::Codec;
use crate::sessions::process::targets::TargetState;

/// Whether a target is among the active ones, and its last use. Requests read it without the lock of the table.
#[derive(Debug, Default)]
pub struct Activity {
    is_active: AtomicBool,
    /// When a statement last used the target, in microseconds; zero before.
    used_us: AtomicU64,
}

impl Activity {
    /// Whether the target is active.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Relaxed)
    }

    /// Records a use. Returns whether the target was not active before.
    fn begin(&self, now_us: u64) -> bool {
        self.used_us.store(now_us, Ordering::SeqCst);
        !self.is_active.swap(true, Ordering::SeqCst)
    }

    /// Ends the activity, unless the target was used after `since_us`. Returns whether it ended.
    fn end(&self, since_us: u64) -> bool {
        self.is_active.store(false, Ordering::SeqCst);
        // A use before that store found the target active and relies on it.
        let was_used = self.used_us.load(Ordering::SeqCst) > since_us;
        if was_used {
            self.is_active.store(true, Ordering::SeqCst);
        }
        !was_used
    }
}

/// The active targets by id.
#[derive(Debug)]
pub struct ActiveTargets<C>
where
    C: Codec,
{
    by_id: Mutex<FastMap<Arc<str>, Arc<TargetState<C>>>>,
}

impl<C> Default for ActiveTargets<C>
where
    C: Codec,
{
    fn default() -> ActiveTargets<C> {
        ActiveTargets { by_id: Mutex::default() }
    }
}

impl<C> ActiveTargets<C>
where
    C: Codec,
{
    /// Records a use of a target, which makes it active.
    pub fn record_use(&self, target: &Arc<TargetState<C>>, now_us: u64) {
        if target.activity.begin(now_us) {
            self.by_id.lock().insert(Arc::clone(&target.record.id), Arc::clone(target));
        }
    }

    /// Removes the targets that are idle and were not used after `since_us`, and those that `is_listed` does
    /// not name once their connections are closed.
    pub fn remove_idle<F>(&self, since_us: u64, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.by_id.lock().retain(|id, target| {
            let is_gone = target.connections() == 0 && !is_listed(id);
            !(is_gone || target.is_idle()) || !target.activity.end(since_us)
        });
    }

    /// Returns the active targets.
    pub fn all(&self) -> Vec<Arc<TargetState<C>>> {
        self.by_id.lock().values().cloned().collect()
    }

    /// Returns the services with a member that this process connects to directly, sorted by name.
    pub fn connected_services(&self) -> Vec<Arc<str>> {
        let by_id = self.by_id.lock();
        let connected = by_id.values().filter(|target| target.is_direct());
        let mut services: Vec<Arc<str>> =
            connected.map(|target| Arc::clone(&target.record.service)).collect();
        services.sort_unstable();
        services.dedup();
        services
    }
}
