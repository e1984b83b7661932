//! Redirects callers to other zones while this process is partitioned from the other availability zones.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use skylark_core::process::isolation;
use skylark_core::process::isolation::OtherZoneTarget;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::stop::StopPhase;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::prove;

/// Interval between probes of a partitioned process. Each probe is billed like a health check, and callers
/// that return slightly later lose nothing.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a probe to a target of another zone.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Detects whether this process is partitioned.
#[derive(Debug)]
pub struct Isolation<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    since: Option<Instant>,
    probed_at: Instant,
}

impl<C> Isolation<C>
where
    C: Codec,
{
    /// Creates the detector for a process that is not partitioned.
    pub fn new(gateway: &Arc<Gateway<C>>) -> Isolation<C> {
        Isolation { gateway: Arc::clone(gateway), since: None, probed_at: Instant::now() }
    }

    /// Evaluates the health of the targets in other zones, and sets the phase that the balancer and the
    /// callers see.
    pub fn check(&mut self) {
        let remote_targets: Vec<_> = self.other_zone_targets();
        let seen: Vec<OtherZoneTarget> = remote_targets
            .iter()
            .map(|target| {
                let health = target.health();
                let failed_since_us = health.failed_since_us.or(health.path_failed_since_us);
                OtherZoneTarget { answered_us: health.answered_us, failed_since_us }
            })
            .collect();
        let was_isolated = self.since.is_some();
        if !isolation::is_isolated(&seen, self.gateway.zone_is_cut(), self.gateway.clock.now_us()) {
            if was_isolated {
                let last = remote_targets.iter().max_by_key(|target| target.health().answered_us);
                slog::warn!(self.gateway.log, "other availability zones are reached again";
                    "target" => last.map(|target| target.record.id.to_string()),
                    "via" => last.and_then(|target| target.via()).as_deref());
                self.since = None;
                self.gateway.set_phase_unless_stopping(StopPhase::Serving);
            }
            return;
        }
        if !was_isolated {
            slog::warn!(self.gateway.log, "cut off from other availability zones";
                "targets" => remote_targets.len(), "zone_is_cut" => self.gateway.zone_is_cut());
        }
        let since = *self.since.get_or_insert_with(Instant::now);
        // Until the balancer has noticed, it would send callers that are closed back to this zone.
        let phase = match since.elapsed() >= limits::BALANCER_REACTION_TIME {
            true => StopPhase::ClosingIdle,
            false => StopPhase::NotReady,
        };
        self.gateway.set_phase_unless_stopping(phase);
        self.probe();
    }

    /// The active targets of other zones. The others have neither answered lately nor failed.
    fn other_zone_targets(&self) -> Vec<Arc<TargetState<C>>> {
        let mut targets = self.gateway.active_targets.all();
        targets.retain(|target| target.record.zone != self.gateway.zone);
        targets
    }

    /// Probes one target of another zone. Without callers there would be no other evidence of a recovery.
    fn probe(&mut self) {
        if self.probed_at.elapsed() < PROBE_INTERVAL {
            return;
        }
        let targets = self.gateway.targets();
        let is_remote = |target: &&Arc<TargetState<C>>| target.record.zone != self.gateway.zone;
        let remote_targets: Vec<_> = targets.all().filter(is_remote).collect();
        if remote_targets.is_empty() {
            return;
        }
        self.probed_at = Instant::now();
        let turn = self.gateway.clock.now_us() / PROBE_INTERVAL.as_micros() as u64;
        let target = Arc::clone(remote_targets[turn as usize % remote_targets.len()]);
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            gateway.prepare_path(&target);
            if !target.is_direct() {
                // If statements take the path through another VM, a direct probe would not show that callers
                // can be served.
                let until_us = gateway.clock.now_us() + PROBE_TIMEOUT.as_micros() as u64;
                let _ = prove::request_status(&gateway, &target, until_us).await;
                return;
            }
            let (record, query) = (&target.record, Query::Status);
            let reply =
                target_calls::ask_with_timeout::<C>(record, &gateway.vm, &query, PROBE_TIMEOUT)
                    .await;
            match reply {
                CallReply::Unanswered | CallReply::Nothing => {
                    target.failed(gateway.clock.now_us());
                }
                CallReply::Status(_) | CallReply::Refused(_) => {
                    target.answered(gateway.clock.now_us(), None);
                }
            }
        });
    }
}
