//! Which target of a service is asked as its primary.
//!
//! What targets write about themselves comes late or not at all: a primary that lost its lead while
//! it was cut off still stands there as one. So the answers of targets go first: one that refused a
//! write is not asked again until something speaks for it, and one that proved its lead is
//! preferred until it refuses. Asking the wrong one is safe, it only costs time: targets that don't
//! lead refuse.

use std::sync::Arc;

use skylark_core::FastMap;
use skylark_core::FastSet;

/// How long after its refusal a target is asked again where no other is known, in microseconds. A
/// promote takes 300 to 600 ms to take effect.
const REFUSAL_RETRY_US: u64 = 150_000;

/// What is believed of the lead of one service.
#[derive(Clone, Debug, Default)]
pub struct LeaderBelief {
    /// The target that last proved or announced its lead.
    preferred: Option<Arc<str>>,
    /// The revision of the newest announcement that was taken in.
    announced_revision: u64,
    /// When each target last refused for not leading.
    refused_us: FastMap<Arc<str>, u64>,
    /// Targets that answer as primary although a later term is known.
    superseded: FastSet<Arc<str>>,
}

impl LeaderBelief {
    /// A target announced its lead at this revision.
    pub fn announced(&mut self, target: &Arc<str>, revision: u64) {
        if revision > self.announced_revision {
            self.announced_revision = revision;
            self.proved(target);
        }
    }

    /// A target answered as primary, without any proof that no other one leads. Returns whether that is
    /// news: it is believed where nothing else is known.
    pub fn answered(&mut self, target: &Arc<str>) -> bool {
        let is_believed = self.preferred.is_none() && !self.superseded.contains(target);
        is_believed && self.proved(target)
    }

    /// A target answers as primary although a later term is known: it was replaced.
    pub fn superseded(&mut self, target: &Arc<str>, now_us: u64) {
        self.refused(target, now_us);
        self.superseded.insert(Arc::clone(target));
    }

    /// A target proved that it leads. Returns whether that is news.
    pub fn proved(&mut self, target: &Arc<str>) -> bool {
        self.superseded.remove(target);
        self.refused_us.remove(target);
        if self.preferred.as_ref() == Some(target) {
            return false;
        }
        self.preferred = Some(Arc::clone(target));
        true
    }

    /// A target refused because it does not lead.
    pub fn refused(&mut self, target: &Arc<str>, now_us: u64) {
        self.refused_us.insert(Arc::clone(target), now_us);
        if self.preferred.as_ref() == Some(target) {
            self.preferred = None;
        }
    }

    /// The target that last proved or announced its lead and did not refuse since.
    pub fn preferred(&self) -> Option<&Arc<str>> {
        self.preferred.as_ref()
    }

    /// The target to ask, out of the listed ones: the one that is believed to lead, otherwise the
    /// one whose refusal is the oldest and not fresh. One that is leaving is asked only if it is
    /// believed to lead.
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
        let asked_us = refused_us(&oldest);
        let may_ask = asked_us == 0 || now_us >= asked_us + REFUSAL_RETRY_US;
        may_ask.then(|| Arc::clone(oldest))
    }

    /// Forgets targets that are no longer listed.
    pub fn keep<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.refused_us.retain(|target, _| is_listed(target));
        self.superseded.retain(|target| is_listed(target));
    }
}
