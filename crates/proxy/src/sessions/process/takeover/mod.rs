//! Drives the takeover of a service whose primary has to be replaced.
//!
//! `takeover_trigger.rs` detects the need. A driver acquires the service's claim and executes the steps that
//! `skylark_core::process::takeover` selects (`steps.rs`; `promote.rs` for the promotion itself).
//!
//! A process that is partitioned reaches neither the store nor the replicas, so it can't harm a primary that
//! serves other processes.

mod counts;
mod drive;
mod observed;
mod old_primary;
mod paused;
mod promote;
mod steps;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::FastSet;
use skylark_core::log_position::LogPosition;
use skylark_core::process::paused_replicas::PauseWatch;
use skylark_core::process::takeover::OldLead;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::claims::Claims;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::replicas;
use crate::sessions::process::step_down;
use crate::sessions::process::takeover::drive::DRIVE_LIMIT_US;
use crate::sessions::process::takeover::drive::Drive;
use crate::sessions::process::takeover::drive::Outcome;
use crate::sessions::process::takeover::observed::ObservedMembers;
use crate::sessions::process::takeover_trigger::TakeoverTrigger;
use crate::sessions::process::takeover_trigger::TakeoverTriggers;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;

/// How often the primaries are checked.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay between two checks of a condition that a driver waits for.
const STEP_PAUSE: Duration = Duration::from_millis(15);

/// Delay after a step that could not be executed.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// The takeovers that this process drives.
#[derive(Debug)]
pub struct Takeovers<C, S, P>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    watcher: Arc<Watcher<C, S>>,
    claims: Claims<C, S>,
    promoter: P,
    /// The services with a takeover in progress.
    in_progress: Mutex<FastSet<Arc<str>>>,
    triggers: TakeoverTriggers<C, S>,
    /// When the replicas of each service are looked at, and since when one of them is paused.
    pause_watches: Mutex<FastMap<Arc<str>, PauseWatch>>,
}

impl<C, S, P> Takeovers<C, S, P>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    /// Creates the state without any takeover in progress.
    pub fn new(
        gateway: &Arc<Gateway<C>>,
        watcher: &Arc<Watcher<C, S>>,
        store: S,
        promoter: P,
    ) -> Takeovers<C, S, P> {
        Takeovers {
            gateway: Arc::clone(gateway),
            watcher: Arc::clone(watcher),
            claims: Claims::new(gateway, store),
            promoter,
            in_progress: Mutex::default(),
            triggers: TakeoverTriggers::new(gateway, watcher),
            pause_watches: Mutex::default(),
        }
    }

    /// Checks all services and starts the takeovers that are needed.
    pub fn check(self: &Arc<Self>) {
        self.watcher.settle_departures();
        self.gateway.control_links.close_unused();
        for service in self.gateway.active_targets.connected_services() {
            self.prepare_control_link(&service);
            let Some(trigger) = self.triggers.detect(&service) else {
                self.check_paused_replicas(&service);
                continue;
            };
            if !self.in_progress.lock().insert(Arc::clone(&service)) {
                continue;
            }
            let takeovers = Arc::clone(self);
            tokio::spawn(async move {
                takeovers.drive(&service, trigger).await;
                takeovers.in_progress.lock().remove(&service);
            });
        }
    }

    /// Opens a connection to the primary while it still accepts one, if a takeover is near.
    fn prepare_control_link(&self, service: &Arc<str>) {
        let Some(primary) = self.triggers.nearly_stuck_primary(service) else { return };
        let gateway = Arc::clone(&self.gateway);
        tokio::spawn(async move { gateway.control_links.open(&primary, &gateway.vm).await });
    }

    async fn drive(&self, service: &Arc<str>, trigger: TakeoverTrigger) {
        let began_us = self.gateway.clock.now_us();
        if trigger == TakeoverTrigger::Silent && self.triggers.primary_answers(service).await {
            return;
        }
        slog::warn!(self.gateway.log, "the primary has to be replaced";
            "service" => &**service,
            "primary" => self.triggers.current_primary(service).map(|p| p.record.id.to_string()),
            "need" => ?trigger);
        let leaving_log_end = match trigger {
            TakeoverTrigger::Leaving => self.leaving_primary_log_end(service).await,
            TakeoverTrigger::Silent | TakeoverTrigger::CommitsStuck | TakeoverTrigger::Unled => {
                None
            }
        };
        if leaving_log_end.is_none() && !self.watcher.may_promote(service) {
            slog::info!(self.gateway.log, "history of the members is unknown; not promoting yet";
                "service" => &**service);
            time::sleep(RETRY_PAUSE).await;
            return;
        }
        let has_orphans =
            trigger == TakeoverTrigger::CommitsStuck && self.has_paused_replicas(service).await;
        // The commit that revealed paused replicas may time out before the claim of the driver that paused
        // them can be taken over.
        let is_needed = || match has_orphans {
            true => self.gateway.clock.now_us() < began_us + DRIVE_LIMIT_US,
            false => self.triggers.detect(service).is_some(),
        };
        let Some(claim) = self.claims.acquire(service, began_us, is_needed).await else { return };
        let old_primary = self.primary_to_replace(service);
        if has_orphans && !self.another_may_be_promoted(service, &claim) {
            self.resume_all(service, &[]).await;
            self.claims.release(service, claim).await;
            return;
        }
        let (service, token) = (Arc::clone(service), claim.claim.token);
        let mut drive = Drive {
            service,
            trigger,
            began_us,
            old_primary,
            leaving_log_end: leaving_log_end.unwrap_or_default(),
            claim,
            refusals: 0,
            is_accepted: false,
            old_lead: OldLead::default(),
            step_down_requested: false,
            step_down_term: 0,
            old_lead_ended_us: None,
            listed_us: None,
            checks_departed: true,
            returned: Vec::new(),
            observed: ObservedMembers::default(),
        };
        self.gateway.counters.event(counts::begun(trigger));
        let outcome = self.run_steps(&mut drive).await;
        self.gateway.counters.event(counts::ended(outcome));
        let Drive { service, claim, old_primary, returned, .. } = drive;
        if outcome == Outcome::Promoted {
            self.notify_old_primary(&service, old_primary).await;
        }
        // A replica that receives again could acknowledge commits with the old primary, which a promotion
        // that takes effect late would lose.
        let now_us = self.gateway.clock.now_us();
        let may_take_effect_late =
            claim.may_take_effect_late(now_us) && outcome != Outcome::Promoted;
        if outcome != Outcome::ClaimLost && !may_take_effect_late {
            self.resume_all(&service, &returned).await;
        }
        let claim = match outcome {
            Outcome::Promoted | Outcome::NotNeeded | Outcome::GaveUp => {
                self.await_accepted_calls(&service, claim).await
            }
            Outcome::ClaimLost => {
                self.until_settled(&claim).await;
                None
            }
        };
        let settled = match claim {
            Some(claim) => self.claims.release(&service, claim).await,
            None => false,
        };
        slog::warn!(self.gateway.log, "the takeover ended";
            "service" => &*service,
            "outcome" => ?outcome,
            "token" => token,
            "took_us" => self.gateway.clock.now_us().saturating_sub(began_us),
            "settled" => settled);
    }

    /// Whether an earlier call may still promote a target that does not lead yet. It would lose what the replicas
    /// acknowledge meanwhile. A late call for the present primary changes nothing.
    fn another_may_be_promoted(&self, service: &Arc<str>, claim: &HeldClaim) -> bool {
        let now_us = self.gateway.clock.now_us();
        match self.primary_to_replace(service) {
            Some(primary) => claim.another_may_be_promoted(&primary.id, now_us),
            None => claim.may_take_effect_late(now_us),
        }
    }

    /// Requests that a replaced primary steps down. If it is unreachable, processes that find it replaced
    /// repeat the request later.
    async fn notify_old_primary(&self, service: &Arc<str>, old_primary: Option<Arc<TargetRecord>>) {
        let leader = self.last_leader(service);
        let Some(old_primary) =
            old_primary.filter(|old_primary| Some(&old_primary.id) != leader.as_ref())
        else {
            return;
        };
        let Some(leader) = leader.and_then(|leader| self.gateway.target(&leader)) else { return };
        let vm = &self.gateway.vm;
        let CallReply::Status(status) =
            target_calls::ask::<C>(&leader.record, vm, &Query::ImmediateStatus).await
        else {
            return;
        };
        if status.is_primary {
            let (log, vm, term) = (self.gateway.log.clone(), Arc::clone(vm), status.term);
            tokio::spawn(
                async move { step_down::notify::<C>(&log, &old_primary, &vm, term).await },
            );
        }
    }

    /// The presumed primary, or the last one.
    fn last_leader(&self, service: &Arc<str>) -> Option<Arc<str>> {
        self.gateway.service(service).leader.lock().preferred().cloned()
    }

    /// Whether a target is the presumed primary.
    fn leads(&self, service: &Arc<str>, id: &str) -> bool {
        self.last_leader(service).is_some_and(|leader| *leader == *id)
    }

    /// Returns the end of the log of a leaving primary that still answers. Its successor must have the whole
    /// log, since this process may not know of a replica that acknowledged commits with it and is gone.
    async fn leaving_primary_log_end(&self, service: &Arc<str>) -> Option<LogPosition> {
        let primary = self.triggers.current_primary(service)?;
        let (record, vm) = (&primary.record, &self.gateway.vm);
        let limit = target_calls::CALL_TIMEOUT;
        match self.gateway.control_links.ask(record, vm, &Query::Status, limit).await {
            CallReply::Status(status) if status.is_primary => Some(status.received),
            CallReply::Status(_)
            | CallReply::Refused(_)
            | CallReply::Unanswered
            | CallReply::Nothing => None,
        }
    }

    /// Returns the listed targets of a service without `primary`.
    fn listed_replicas(
        &self,
        service: &Arc<str>,
        primary: Option<&Arc<str>>,
    ) -> Vec<Arc<TargetRecord>> {
        let view = self.gateway.view();
        let records = view.members(service).iter().map(|member| &member.record);
        records.filter(|record| Some(&record.id) != primary).cloned().collect()
    }

    /// Whether a driver that failed or is still active left replicas paused. The primary that it promoted could
    /// acknowledge no commit until it was replaced as well.
    async fn has_paused_replicas(&self, service: &Arc<str>) -> bool {
        let replicas = self.listed_replicas(service, self.last_leader(service).as_ref());
        let reports = replicas::ask_all::<C>(&self.gateway.vm, &replicas).await;
        reports.views.iter().any(|view| view.paused)
    }

    /// Resumes replication on all paused replicas.
    async fn resume_all(&self, service: &Arc<str>, returned: &[Arc<TargetRecord>]) {
        let mut paused = self.listed_replicas(service, None);
        paused.extend(replicas::unlisted(returned, &paused));
        replicas::resume::<C>(&self.gateway.log, &self.gateway.vm, &paused).await;
    }
}
