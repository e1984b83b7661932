//! Detects that the primary of a service has to be replaced.
//!
//! A suspicion arises from this process's own requests. One status query to the primary confirms it.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::StateStore;
use crate::sessions::version::view::Member;

/// How long requests to a primary have to fail before it is queried, in microseconds. The query decides; this
/// only avoids queries for single failures.
const SUSPECT_US: u64 = 100_000;

/// Timeout of the query to a suspected primary. Its slots are busy for some 10 ms at a time, and at most 16
/// statements wait for them. Each further 100 ms mean that writes are refused for 100 ms longer when the
/// primary is lost.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(250);

/// How long statements may wait without any answer before the primary is queried, in microseconds. The
/// slowest statement takes 110 ms. If the few connections all wait for a silent primary, no other statement
/// gets one and fails, and detection would take two seconds without this rule.
const UNANSWERED_US: u64 = 250_000;

/// Maximum age of the last failure for a suspicion to hold, in microseconds. Without requests to the primary
/// there is no evidence.
const EVIDENCE_US: u64 = 1_500_000;

/// How long commits may wait without any being acknowledged, in microseconds. They take 10 to 60 ms. A
/// primary acknowledges none while its replicas don't receive.
const COMMITS_STUCK_US: u64 = 400_000;

/// How long commits may wait without any being acknowledged before a connection for calls to the primary is
/// opened, in microseconds.
const COMMITS_SLOW_US: u64 = 150_000;

/// How long a service may be listed without a primary before a target is promoted, in microseconds.
const UNLED_US: u64 = 400_000;

/// Why a primary has to be replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TakeoverTrigger {
    /// The primary announced its shutdown.
    Leaving,
    /// The primary does not answer.
    Silent,
    /// The primary acknowledges no commits.
    CommitsStuck,
    /// No target is listed as primary.
    Unled,
}

/// Detection of takeover triggers for all services.
#[derive(Debug)]
pub struct TakeoverTriggers<C, S>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    watcher: Arc<Watcher<C, S>>,
    /// Since when services have been listed without a primary, in microseconds.
    unled_since_us: Mutex<FastMap<Arc<str>, u64>>,
}

impl<C, S> TakeoverTriggers<C, S>
where
    C: Codec,
    S: StateStore,
{
    /// Creates the detection without any observations.
    pub fn new(gateway: &Arc<Gateway<C>>, watcher: &Arc<Watcher<C, S>>) -> TakeoverTriggers<C, S> {
        let (gateway, watcher) = (Arc::clone(gateway), Arc::clone(watcher));
        TakeoverTriggers { gateway, watcher, unled_since_us: Mutex::default() }
    }

    /// Returns why the primary of a service has to be replaced; `None` if it does not, or if this process
    /// does not monitor the service.
    pub fn detect(&self, service: &Arc<str>) -> Option<TakeoverTrigger> {
        if !self.gateway.monitors_primary(service) {
            return None;
        }
        let now_us = self.gateway.clock.now_us();
        let view = self.gateway.view();
        let Some(primary) = self.current_primary(service) else {
            let mut unled = self.unled_since_us.lock();
            let since_us = *unled.entry(Arc::clone(service)).or_insert(now_us);
            let is_unled = now_us >= since_us + UNLED_US && self.watcher.list_is_settled();
            let may_act = view.routes.is_some() && self.watcher.may_promote(service);
            return (is_unled && may_act).then_some(TakeoverTrigger::Unled);
        };
        self.unled_since_us.lock().remove(service);
        if primary.record.leaving {
            return Some(TakeoverTrigger::Leaving);
        }
        if !self.watcher.may_promote(service) {
            return None;
        }
        let health = self.gateway.target(&primary.record.id)?.health();
        if health.commits_stuck_for(COMMITS_STUCK_US, now_us) {
            return Some(TakeoverTrigger::CommitsStuck);
        }
        let unanswered_since_us = health.unanswered_since_us.filter(|_| health.in_flight > 0);
        if unanswered_since_us.is_some_and(|since_us| now_us >= since_us + UNANSWERED_US) {
            return Some(TakeoverTrigger::Silent);
        }
        let is_fresh = now_us < health.failed_us + EVIDENCE_US;
        let failed_since_us = health.failed_since_us.filter(|_| is_fresh)?;
        (now_us >= failed_since_us + SUSPECT_US).then_some(TakeoverTrigger::Silent)
    }

    /// Returns the primary of a service if its commits have waited for so long that a takeover is near.
    pub fn nearly_stuck_primary(&self, service: &Arc<str>) -> Option<Arc<TargetRecord>> {
        let primary = self.current_primary(service)?.record;
        let health = self.gateway.target(&primary.id)?.health();
        let is_near = health.commits_stuck_for(COMMITS_SLOW_US, self.gateway.clock.now_us());
        (is_near && self.gateway.monitors_primary(service)).then_some(primary)
    }

    /// Returns the presumed primary if it is listed, and else the one that is listed as primary.
    pub fn current_primary(&self, service: &Arc<str>) -> Option<Member> {
        let view = self.gateway.view();
        let state = self.gateway.service(service);
        let preferred = state.leader.lock().preferred().cloned();
        let members = view.members(service);
        let believed = members.iter().find(|member| Some(&member.record.id) == preferred.as_ref());
        believed.or(view.listed_primary(service)).cloned()
    }

    /// Queries whether the primary is alive. Also records if it answers that it is not the primary.
    pub async fn primary_answers(&self, service: &Arc<str>) -> bool {
        let Some(primary) = self.current_primary(service) else { return false };
        let (record, vm) = (&primary.record, &self.gateway.vm);
        let reply =
            target_calls::ask_with_timeout::<C>(record, vm, &Query::Status, PRIMARY_TIMEOUT).await;
        let denies_lead = match reply {
            CallReply::Status(status) => !status.is_primary,
            CallReply::Refused(_) => false,
            CallReply::Unanswered | CallReply::Nothing => return false,
        };
        if let Some(target) = self.gateway.target(&primary.record.id) {
            target.answered(self.gateway.clock.now_us(), None);
            if denies_lead {
                self.gateway.record_not_primary(&target);
            }
        }
        true
    }
}
