//! The presumed primary of a service.
//!
//! Entries that targets write about themselves arrive late or not at all: a primary that lost its role while
//! it was partitioned is still listed as one. Answers of targets therefore take precedence. A target that
//! refused a write is not asked again until there is new evidence for it, and a target that proved to be the
//! primary is preferred until it refuses. Asking the wrong target is safe and only costs time, since targets
//! that are not the primary refuse.

use std::sync::Arc;

use skylark_core::FastMap;
use skylark_core::FastSet;
use skylark_core::store_revision::StoreRevision;

/// How long after its refusal a target is asked again if no other candidate is known, in microseconds. A
/// promotion takes 300 to 600 ms to take effect.
const REFUSAL_RETRY_US: u64 = 150_000;

/// The presumed primary of one service, and the evidence for it.
#[derive(Clone, Debug, Default)]
pub struct LeaderBelief {
    /// The target that last proved or announced to be the primary.
    preferred: Option<Arc<str>>,
    /// The revision of the newest announcement that was applied.
    announced_revision: StoreRevision,
    /// When each target last refused a request because it was not the primary.
    refused_us: FastMap<Arc<str>, u64>,
    /// Targets that answer as primary although a later term is known.
    superseded: FastSet<Arc<str>>,
}

impl LeaderBelief {
    /// Records that a target announced to be the primary at this revision.
    pub fn announced(&mut self, target: &Arc<str>, revision: StoreRevision) {
        if revision > self.announced_revision {
            self.announced_revision = revision;
            self.proved(target);
        }
    }

    /// Records that a target answered as primary, without a proof that no other target is. It becomes the
    /// presumed primary only if there is none. Returns whether the presumed primary changed.
    pub fn answered(&mut self, target: &Arc<str>) -> bool {
        let is_believed = self.preferred.is_none() && !self.superseded.contains(target);
        is_believed && self.proved(target)
    }

    /// Records that a target still answers as primary although it was replaced in a later term.
    pub fn superseded(&mut self, target: &Arc<str>, now_us: u64) {
        self.refused(target, now_us);
        self.superseded.insert(Arc::clone(target));
    }

    /// Records a proof that a target is the primary. Returns whether the presumed primary changed.
    pub fn proved(&mut self, target: &Arc<str>) -> bool {
        self.superseded.remove(target);
        self.refused_us.remove(target);
        if self.preferred.as_ref() == Some(target) {
            return false;
        }
        self.preferred = Some(Arc::clone(target));
        true
    }

    /// Records that a target refused a request because it is not the primary.
    pub fn refused(&mut self, target: &Arc<str>, now_us: u64) {
        self.refused_us.insert(Arc::clone(target), now_us);
        if self.preferred.as_ref() == Some(target) {
            self.preferred = None;
        }
    }

    /// The target that last proved or announced to be the primary and has not refused since.
    pub fn preferred(&self) -> Option<&Arc<str>> {
        self.preferred.as_ref()
    }

    /// Selects the target to ask among the listed ones: the presumed primary, or else the target with the
    /// oldest refusal, if that is old enough. A leaving target is selected only if it is the presumed
    /// primary.
    pub fn pick_target<F>(
        &self,
        listed: &[&Arc<str>],
        is_leaving: F,
        now_us: u64,
    ) -> Option<Arc<str>>
    where
        F: Fn(&str) -> bool,
    {
        if let Some(preferred) = &self.preferred
            && listed.contains(&preferred)
        {
            return Some(Arc::clone(preferred));
        }
        let refused_us = |target: &&Arc<str>| self.refused_us.get(*target).copied().unwrap_or(0);
        let staying = listed.iter().copied().filter(|target| !is_leaving(target));
        let oldest = staying.min_by_key(refused_us)?;
        let oldest_refusal_us = refused_us(&oldest);
        let may_ask = oldest_refusal_us == 0 || now_us >= oldest_refusal_us + REFUSAL_RETRY_US;
        may_ask.then(|| Arc::clone(oldest))
    }

    /// Removes targets that are no longer listed.
    pub fn keep<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.refused_us.retain(|target, _| is_listed(target));
        self.superseded.retain(|target| is_listed(target));
    }
}
