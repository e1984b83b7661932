//! The state of one takeover in progress, and its outcome.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::process::takeover;
use skylark_core::process::takeover::OldLead;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::process::takeover_claim::LATE_EFFECT_US;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::process::takeover::observed::ObservedMembers;
use crate::sessions::process::takeover_trigger::TakeoverTrigger;

/// Maximum duration of one takeover before its driver abandons it and resumes the replicas, in microseconds.
/// If it is still needed, the next check starts another one.
pub(super) const DRIVE_LIMIT_US: u64 = 6_000_000;

/// How a takeover ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Outcome {
    /// Another target is the primary, or will be as soon as the promotion takes effect.
    Promoted,
    /// The takeover was no longer needed.
    NotNeeded,
    /// The takeover exceeded its time limit.
    GaveUp,
    /// The claim was lost, and another driver may hold it.
    ClaimLost,
}

/// A takeover in progress.
pub(super) struct Drive {
    pub(super) service: Arc<str>,
    pub(super) trigger: TakeoverTrigger,
    pub(super) began_us: u64,
    /// The primary that is to be replaced; `None` if the service has none.
    pub(super) old_primary: Option<Arc<TargetRecord>>,
    /// The end of the log of a leaving primary that answered; the lowest position otherwise.
    pub(super) leaving_log_end: LogPosition,
    pub(super) claim: HeldClaim,
    /// How often the overloaded platform refused the promotion.
    pub(super) refusals: u32,
    /// Whether the platform accepted a promotion of this takeover.
    pub(super) is_accepted: bool,
    /// What is known of the old primary's lead.
    pub(super) old_lead: OldLead,
    /// Whether the old primary was requested to step down, so that it may have done so.
    pub(super) step_down_requested: bool,
    /// The term under which the old primary is requested to step down at the least.
    pub(super) step_down_term: u64,
    /// When the old primary first confirmed that it stepped down, in microseconds.
    pub(super) old_lead_ended_us: Option<u64>,
    /// When the list of targets was last read after that, in microseconds.
    pub(super) listed_us: Option<u64>,
    /// Whether the departed members have to be queried again, since some may be back.
    pub(super) checks_departed: bool,
    /// Departed members that are back but not listed yet.
    pub(super) returned: Vec<Arc<TargetRecord>>,
    /// What the members reported last, for the log only.
    pub(super) observed: ObservedMembers,
}

impl Drive {
    /// Whether ending now would leave the group worse off than before. Once the old primary stepped down
    /// there may be no primary, and a promotion that may take effect late must find the replicas paused.
    pub(super) fn must_continue(&self, now_us: u64) -> bool {
        let limit_us = self.began_us + DRIVE_LIMIT_US + LATE_EFFECT_US;
        now_us < limit_us && (self.step_down_requested || self.claim.may_take_effect_late(now_us))
    }

    /// When every member that received from the old primary is listed, in microseconds.
    pub(super) fn registered_us(&self) -> u64 {
        self.old_lead_ended_us.unwrap_or(self.began_us) + takeover::REGISTRATION_US
    }

    /// Whether the list of targets was read since then.
    pub(super) fn members_are_known(&self) -> bool {
        self.listed_us.is_some_and(|listed_us| listed_us >= self.registered_us())
    }

    /// Requires a new confirmation that the old primary does not lead before the next promotion call: it may
    /// have restarted, or be reachable again.
    pub(super) fn forget_old_lead(&mut self) {
        self.old_lead = OldLead::MayContinue;
    }
}
