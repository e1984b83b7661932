//! What the members of a group reported during one takeover, for the log only.

use std::sync::Arc;

use skylark_core::FastMap;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::TargetStatus;

/// What one member reported last.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    is_primary: bool,
    term: u64,
    paused_term: u64,
}

/// The last reports of the members during one takeover.
#[derive(Debug, Default)]
pub(super) struct ObservedMembers {
    last: FastMap<Arc<str>, LastReport>,
    newest_term: u64,
}

impl ObservedMembers {
    /// Records the status of a member, and logs whether a pause of it ended or whether it leads in a new term.
    pub(super) fn record(
        &mut self,
        log: &slog::Logger,
        member: &TargetRecord,
        status: &TargetStatus,
    ) {
        self.newest_term = self.newest_term.max(status.term);
        let TargetStatus { is_primary, term, paused_term, .. } = *status;
        let report = LastReport { is_primary, term, paused_term };
        let Some(before) = self.last.insert(Arc::clone(&member.id), report) else { return };
        if before.paused_term > 0 && paused_term == 0 {
            slog::warn!(log, "a pause ended";
                "service" => &*member.service, "target" => &*member.id,
                "paused_term" => before.paused_term, "newest_term" => self.newest_term,
                "received" => status.received.to_string());
        }
        if is_primary && (!before.is_primary || term > before.term) {
            slog::warn!(log, "a member leads in a new term";
                "service" => &*member.service, "target" => &*member.id,
                "term" => term, "term_before" => before.term, "led_before" => before.is_primary,
                "received" => status.received.to_string());
        }
    }
}

/// Describes what the members reported for the log.
pub(super) fn describe(members: &[Arc<TargetRecord>], statuses: &[Option<TargetStatus>]) -> String {
    let describe_one = |(member, status): (&Arc<TargetRecord>, &Option<TargetStatus>)| match status
    {
        Some(status) => format!(
            "{} term={} paused_term={} received={}",
            member.id, status.term, status.paused_term, status.received
        ),
        None => format!("{} unreachable", member.id),
    };
    let described: Vec<String> = members.iter().zip(statuses).map(describe_one).collect();
    described.join(", ")
}
