//! Whether a process is cut off from the other availability zones.
//!
//! Such a process goes on serving what its own zone's targets can answer, but its callers are served
//! better by another zone's processes, which reach the primaries. So it says that it is not ready and
//! lets resting callers go; open work goes on.
//!
//! One target that fails says nothing, and a platform that does not answer is no sign either: what
//! counts is that several targets of other zones fail at once while none of them answers.
//!
//! With many VMs each one sends other zones a statement only now and then, and would notice late or never.
//! The balancer sends callers to other zones only when no VM of this one takes any, so those that noticed
//! first helped nobody. So the VMs that watch the store for a zone also ask VMs of the others, and tell those
//! of their own when no other zone answers any more.

use std::sync::Arc;

use crate::FastMap;

/// How long targets of other zones have to fail before it counts, in microseconds. A primary that is
/// being replaced fails for about as long.
pub const MIN_FAILURE_US: u64 = 500_000;

/// How many targets of other zones have to fail. With two the failure of a single target, or the
/// replacement of a single primary, isolates nobody.
pub const MIN_FAILING_TARGETS: usize = 2;

/// For how long no other zone may have answered before targets there are asked as well, in microseconds. VMs
/// that answer no longer may have lost power all together.
pub const SUSPECT_US: u64 = 250_000;

/// For how long neither VMs nor targets of any other zone may have answered before this one counts as cut off,
/// in microseconds.
pub const CUT_OFF_US: u64 = 500_000;

/// What is known of one target of another zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OtherZoneTarget {
    /// When it answered last; zero for never.
    pub answered_us: u64,
    /// Since when it fails.
    pub failed_since_us: Option<u64>,
}

/// Whether the process is cut off, given all targets of other zones and whether those that watch for its zone
/// say that all of it is.
pub fn is_isolated(targets: &[OtherZoneTarget], zone_is_cut: bool, now_us: u64) -> bool {
    let has_failed_long = |target: &&OtherZoneTarget| {
        target.failed_since_us.is_some_and(|since_us| now_us >= since_us + MIN_FAILURE_US)
    };
    let answers = |target: &OtherZoneTarget| {
        target.failed_since_us.is_none() && now_us < target.answered_us + MIN_FAILURE_US
    };
    let many_fail = || targets.iter().filter(has_failed_long).count() >= MIN_FAILING_TARGETS;
    (zone_is_cut || many_fail()) && !targets.iter().any(answers)
}

/// What one that watches for its zone hears of the others.
#[derive(Clone, Debug, Default)]
pub struct ZoneReachability {
    /// Since when each other zone was asked without an answer; none while it answers.
    unanswered_since_us: FastMap<Arc<str>, Option<u64>>,
}

impl ZoneReachability {
    /// The other zones are these.
    pub fn set_zones(&mut self, zones: &[Arc<str>]) {
        self.unanswered_since_us.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            self.unanswered_since_us.entry(Arc::clone(zone)).or_default();
        }
    }

    /// A VM of another zone is asked.
    pub fn asked(&mut self, zone: &str, now_us: u64) {
        if let Some(since_us) = self.unanswered_since_us.get_mut(zone) {
            since_us.get_or_insert(now_us);
        }
    }

    /// A VM or a target of another zone answered.
    pub fn answered(&mut self, zone: &str) {
        if let Some(since_us) = self.unanswered_since_us.get_mut(zone) {
            *since_us = None;
        }
    }

    /// Whether it is time to ask targets of other zones as well.
    pub fn is_suspect(&self, now_us: u64) -> bool {
        self.all_silent_for(SUSPECT_US, now_us)
    }

    /// Whether this zone is cut off from all others.
    pub fn is_cut_off(&self, now_us: u64) -> bool {
        self.all_silent_for(CUT_OFF_US, now_us)
    }

    fn all_silent_for(&self, duration_us: u64, now_us: u64) -> bool {
        let is_silent =
            |since_us: &Option<u64>| since_us.is_some_and(|it| now_us >= it + duration_us);
        !self.unanswered_since_us.is_empty() && self.unanswered_since_us.values().all(is_silent)
    }
}
