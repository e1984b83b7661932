//! Sends callers elsewhere while the process is cut off from other availability zones.

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
use crate::sessions::process::target_calls::Said;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::prove;

/// How often a process that is cut off asks whether it still is. Each question is paid for like a
/// health check, and callers that come back a little later lose nothing.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// The time that a target of another zone has to answer.
const ASK_LIMIT: Duration = Duration::from_millis(300);

/// Whether this process is cut off.
#[derive(Debug)]
pub struct Isolation<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    since: Option<Instant>,
    asked: Instant,
}

impl<C> Isolation<C>
where
    C: Codec,
{
    /// A process that is not cut off.
    pub fn new(gateway: &Arc<Gateway<C>>) -> Isolation<C> {
        Isolation { gateway: Arc::clone(gateway), since: None, asked: Instant::now() }
    }

    /// Looks at the targets, and changes what the balancer and the callers are told.
    pub fn look(&mut self) {
        let outside: Vec<_> = self.other_zone_targets();
        let seen: Vec<OtherZoneTarget> = outside
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
                let last = outside.iter().max_by_key(|target| target.health().answered_us);
                slog::warn!(self.gateway.log, "other availability zones are reached again";
                    "target" => last.map(|target| target.record.id.to_string()),
                    "via" => last.and_then(|target| target.via()).as_deref());
                self.since = None;
                self.gateway.enter_unless_stopping(StopPhase::Serving);
            }
            return;
        }
        if !was_isolated {
            slog::warn!(self.gateway.log, "cut off from other availability zones";
                "targets" => outside.len(), "zone_is_cut" => self.gateway.zone_is_cut());
        }
        let since = *self.since.get_or_insert_with(Instant::now);
        // The balancer would send callers that are let go at once back to this zone.
        let phase = match since.elapsed() >= limits::BALANCER_NOTICES {
            true => StopPhase::ClosingIdle,
            false => StopPhase::NotReady,
        };
        self.gateway.enter_unless_stopping(phase);
        self.ask(&outside);
    }

    fn other_zone_targets(&self) -> Vec<Arc<TargetState<C>>> {
        let targets = self.gateway.targets();
        targets.all().filter(|target| target.record.zone != self.gateway.zone).cloned().collect()
    }

    /// Asks one target of another zone: without callers there would be no other sign.
    fn ask(&mut self, outside: &[Arc<TargetState<C>>]) {
        if self.asked.elapsed() < ASK_INTERVAL || outside.is_empty() {
            return;
        }
        self.asked = Instant::now();
        let turn = self.gateway.clock.now_us() / ASK_INTERVAL.as_micros() as u64;
        let target = Arc::clone(&outside[turn as usize % outside.len()]);
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move {
            if !target.is_own() {
                // Reaching the target by itself would not serve callers, whose statements go another way.
                let until_us = gateway.clock.now_us() + ASK_LIMIT.as_micros() as u64;
                let _ = prove::request_status(&gateway, &target, until_us).await;
                return;
            }
            let (record, query) = (&target.record, Query::Status);
            let said = target_calls::ask_within::<C>(record, &gateway.vm, &query, ASK_LIMIT).await;
            match said {
                Said::Nothing => target.failed(gateway.clock.now_us()),
                Said::Status(_) | Said::Refused => target.answered(gateway.clock.now_us(), None),
            }
        });
    }
}
