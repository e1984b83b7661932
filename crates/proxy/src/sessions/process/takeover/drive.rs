//! One takeover under way, and how it ended.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::process::takeover_claim::LATE_EFFECT_US;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::process::takeover_trigger::TakeoverTrigger;

/// How long a driver works at one takeover before it gives up and undoes its pauses, in
/// microseconds. The next look begins anew if it is still needed.
pub(super) const DRIVE_LIMIT_US: u64 = 6_000_000;

/// How a takeover ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Outcome {
    /// Another target leads, or will in a moment.
    Promoted,
    /// It was needed no longer.
    NotNeeded,
    /// It took too long.
    GaveUp,
    /// Another driver may hold the claim now.
    ClaimLost,
}

/// One takeover under way.
pub(super) struct Drive {
    pub(super) service: Arc<str>,
    pub(super) trigger: TakeoverTrigger,
    pub(super) began_us: u64,
    /// The target that is replaced.
    pub(super) old: Option<Arc<TargetRecord>>,
    /// The end of the log of a primary that leaves and answered.
    pub(super) leaving_log_end: LogPosition,
    pub(super) claim: HeldClaim,
    /// Whether the old primary was told to step down.
    pub(super) stepped_down: bool,
    /// Whether members that left have to be asked whether they are back.
    pub(super) checks_departed: bool,
    /// Members that left and are back, but not listed yet.
    pub(super) returned: Vec<Arc<TargetRecord>>,
}

impl Drive {
    /// Whether ending now would leave the group worse than it was: nobody leads once the old primary was
    /// stepped down, and a promotion that may come late must find the replicas paused.
    pub(super) fn must_continue(&self, now_us: u64) -> bool {
        let limit_us = self.began_us + DRIVE_LIMIT_US + LATE_EFFECT_US;
        now_us < limit_us && (self.stepped_down || self.claim.may_come_late(now_us))
    }

    /// Whether the old primary has to step down before another is promoted. Where commits are stuck nothing
    /// is acknowledged anyway. A replica that comes back before the promotion takes effect would have them
    /// acknowledged after all, and they were lost with the promotion: 21 to 60 commits of a soak seed.
    pub(super) fn needs_step_down(&self) -> bool {
        self.trigger == TakeoverTrigger::CommitsStuck && !self.stepped_down
    }
}
