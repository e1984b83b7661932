//! Detects whether a process is isolated from the other availability zones.
//!
//! An isolated process still serves what the targets of its own zone can answer, but its callers
//! are served better by processes of another zone, which reach the primaries. So it reports that it
//! is not ready and closes idle callers' connections; open work continues.
//!
//! The failure of a single target is not sufficient evidence, and neither is a platform that does
//! not answer: a process is isolated if several targets of other zones fail at the same time and
//! none of them answers.
//!
//! In a fleet of many VMs each one sends statements to other zones only rarely, and would notice
//! the isolation late or never. The balancer sends callers to other zones only if no VM of this
//! zone accepts any, so it is not sufficient that a few VMs notice. So the VMs that watch the store
//! for a zone also probe VMs of the other zones, and notify the VMs of their own zone when no other
//! zone answers any more.

use std::sync::Arc;

use crate::FastMap;

/// How long a target of another zone must fail before it counts, in microseconds. A primary that is
/// being replaced fails for about as long.
pub const MIN_FAILURE_US: u64 = 500_000;

/// How many targets of other zones must fail. With two, the failure of a single target or the
/// replacement of a single primary does not make a process isolated.
pub const MIN_FAILING_TARGETS: usize = 2;

/// How long no other zone may have answered before targets there are probed as well, in
/// microseconds. VMs that stopped answering may all have lost power.
pub const SUSPECT_US: u64 = 250_000;

/// How long neither VMs nor targets of any other zone may have answered before this zone counts as
/// cut off, in microseconds.
pub const CUT_OFF_US: u64 = 500_000;

/// The last results of statements and probes to a target of another zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OtherZoneTarget {
    /// The time of the last answer in microseconds; zero for never.
    pub answered_us: u64,
    /// The time since which the target has failed; `None` while it does not.
    pub failed_since_us: Option<u64>,
}

/// Returns whether the process is isolated, given all targets of other zones and whether the
/// watchers of its zone report that the whole zone is cut off. One target that answers is proof to
/// the contrary.
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

/// The reachability of the other zones, as probed by a watcher of this zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneReachability {
    /// For each other zone, the time of the first probe without an answer; `None` while the zone
    /// answers.
    unanswered_since_us: FastMap<Arc<str>, Option<u64>>,
}

impl ZoneReachability {
    /// Sets the other zones. The state of zones that remain is kept.
    pub fn set_zones(&mut self, zones: &[Arc<str>]) {
        self.unanswered_since_us.retain(|zone, _| zones.contains(zone));
        for zone in zones {
            self.unanswered_since_us.entry(Arc::clone(zone)).or_default();
        }
    }

    /// Records that a VM of another zone is probed.
    pub fn asked(&mut self, zone: &str, now_us: u64) {
        if let Some(since_us) = self.unanswered_since_us.get_mut(zone) {
            since_us.get_or_insert(now_us);
        }
    }

    /// Records that a VM or a target of another zone answered.
    pub fn answered(&mut self, zone: &str) {
        if let Some(since_us) = self.unanswered_since_us.get_mut(zone) {
            *since_us = None;
        }
    }

    /// Returns whether targets of other zones should be probed as well.
    pub fn is_suspect(&self, now_us: u64) -> bool {
        self.all_silent_for(SUSPECT_US, now_us)
    }

    /// Returns whether this zone is cut off from all others.
    pub fn is_cut_off(&self, now_us: u64) -> bool {
        self.all_silent_for(CUT_OFF_US, now_us)
    }

    fn all_silent_for(&self, duration_us: u64, now_us: u64) -> bool {
        let is_silent =
            |since_us: &Option<u64>| since_us.is_some_and(|it| now_us >= it + duration_us);
        !self.unanswered_since_us.is_empty() && self.unanswered_since_us.values().all(is_silent)
    }
}
