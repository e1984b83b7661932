//! Drives a change of primary where `takeover_trigger.rs` sees one: claims it, and carries the steps of
//! `skylark_core::process::takeover` out (`steps.rs`, and `promote.rs` for the last one).
//!
//! A process that is cut off by itself reaches neither the store nor the replicas, so it can't harm a
//! primary that serves the others.

mod drive;
mod promote;
mod steps;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastSet;
use skylark_core::log_position::LogPosition;
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
use crate::sessions::process::takeover_trigger::TakeoverTrigger;
use crate::sessions::process::takeover_trigger::TakeoverTriggers;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::Said;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;

/// How often the primaries are looked at.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The pause between two looks at what a driver waits for.
const STEP_PAUSE: Duration = Duration::from_millis(15);

/// The pause after a step that could not be carried out.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// The takeovers of all services.
#[derive(Debug)]
pub struct Takeovers<C, S, P>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    watcher: Arc<Watcher<C, S>>,
    claims: Claims<C, S>,
    promoter: P,
    /// The services that this process works at.
    driven: Mutex<FastSet<Arc<str>>>,
    needs: TakeoverTriggers<C, S>,
}

impl<C, S, P> Takeovers<C, S, P>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    /// Nothing is driven yet.
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
            driven: Mutex::default(),
            needs: TakeoverTriggers::new(gateway, watcher),
        }
    }

    /// Looks at all services, and starts to drive what needs it.
    pub fn look(self: &Arc<Self>) {
        self.watcher.settle_departures();
        for service in self.gateway.targets().connected_services() {
            let Some(need) = self.needs.of(&service) else { continue };
            if !self.driven.lock().insert(Arc::clone(&service)) {
                continue;
            }
            let takeovers = Arc::clone(self);
            tokio::spawn(async move {
                takeovers.drive(&service, need).await;
                takeovers.driven.lock().remove(&service);
            });
        }
    }

    async fn drive(&self, service: &Arc<str>, need: TakeoverTrigger) {
        let began_us = self.gateway.clock.now_us();
        if need == TakeoverTrigger::Silent && self.needs.primary_answers(service).await {
            return;
        }
        slog::warn!(self.gateway.log, "the primary has to be replaced";
            "service" => &**service,
            "primary" => self.needs.present_primary(service).map(|p| p.record.id.to_string()),
            "need" => ?need);
        let handed_over = match need {
            TakeoverTrigger::Leaving => self.primarys_log(service).await,
            TakeoverTrigger::Silent | TakeoverTrigger::CommitsStuck | TakeoverTrigger::Unled => {
                None
            }
        };
        if handed_over.is_none() && !self.watcher.may_promote(service) {
            slog::info!(self.gateway.log, "too new to judge who may lead"; "service" => &**service);
            time::sleep(RETRY_PAUSE).await;
            return;
        }
        if need == TakeoverTrigger::CommitsStuck && self.resume_left_behind(service).await {
            return;
        }
        let is_needed = || self.needs.of(service).is_some();
        let Some(claim) = self.claims.take(service, began_us, is_needed).await else { return };
        let old = self.needs.present_primary(service).map(|member| member.record);
        let (service, token) = (Arc::clone(service), claim.claim.token);
        let mut drive = Drive {
            service,
            need,
            began_us,
            old,
            handed_over: handed_over.unwrap_or_default(),
            claim,
            stepped_down: false,
            asks_departed: true,
            back: Vec::new(),
        };
        let outcome = self.carry_out(&mut drive).await;
        let Drive { service, claim, old, back, .. } = drive;
        if outcome == Outcome::Promoted {
            self.tell_old_primary(&service, old).await;
        }
        // A replica that received again could acknowledge with the old primary what a promotion that
        // comes late would lose.
        let may_come_late = claim.claim.unsettled && outcome != Outcome::Promoted;
        if outcome != Outcome::ClaimLost && !may_come_late {
            self.resume_all(&service, &back).await;
        }
        let settled = outcome != Outcome::ClaimLost && self.claims.settle(&service, claim).await;
        slog::warn!(self.gateway.log, "the takeover ended";
            "service" => &*service,
            "outcome" => ?outcome,
            "token" => token,
            "took_us" => self.gateway.clock.now_us().saturating_sub(began_us),
            "settled" => settled);
    }

    /// Tells a primary that was replaced to step down. Where it can't be reached, whoever meets it goes on
    /// telling it.
    async fn tell_old_primary(&self, service: &Arc<str>, old: Option<Arc<TargetRecord>>) {
        let leader = self.last_led(service);
        let Some(old) = old.filter(|old| Some(&old.id) != leader.as_ref()) else { return };
        let Some(leader) = leader.and_then(|leader| self.gateway.target(&leader)) else { return };
        let vm = &self.gateway.vm;
        let Said::Status(status) =
            target_calls::ask::<C>(&leader.record, vm, &Query::ImmediateStatus).await
        else {
            return;
        };
        if status.is_primary {
            let (log, vm, term) = (self.gateway.log.clone(), Arc::clone(vm), status.term);
            tokio::spawn(async move { step_down::tell::<C>(&log, &old, &vm, term).await });
        }
    }

    /// The target that is believed to lead, or led last.
    fn last_led(&self, service: &Arc<str>) -> Option<Arc<str>> {
        self.gateway.service(service).leader.lock().preferred().cloned()
    }

    /// Whether a target is believed to lead.
    fn leads(&self, service: &Arc<str>, id: &str) -> bool {
        self.last_led(service).is_some_and(|leader| *leader == *id)
    }

    /// The end of the log of a primary that leaves and still answers. Its successor has to have all of it:
    /// this process may not know of a replica that acknowledged with it and is gone.
    async fn primarys_log(&self, service: &Arc<str>) -> Option<LogPosition> {
        let primary = self.needs.present_primary(service)?;
        let (record, vm) = (&primary.record, &self.gateway.vm);
        match target_calls::ask::<C>(record, vm, &Query::Status).await {
            Said::Status(status) if status.is_primary => Some(status.received),
            Said::Status(_) | Said::Refused | Said::Nothing => None,
        }
    }

    /// The listed targets of a service but its primary.
    fn listed_replicas(
        &self,
        service: &Arc<str>,
        primary: Option<&Arc<str>>,
    ) -> Vec<Arc<TargetRecord>> {
        let view = self.gateway.view();
        let records = view.members(service).iter().map(|member| &member.record);
        records.filter(|record| Some(&record.id) != primary).cloned().collect()
    }

    /// Lets replicas receive again that a driver paused which died, unless it is still at work. Returns
    /// whether there were any. Without this the primary that it promoted acknowledged nothing until
    /// somebody saw a need to replace it as well.
    async fn resume_left_behind(&self, service: &Arc<str>) -> bool {
        let replicas = self.listed_replicas(service, self.last_led(service).as_ref());
        let (views, _) = replicas::ask_all::<C>(&self.gateway.vm, &replicas).await;
        if !views.iter().any(|view| view.paused) {
            return false;
        }
        let began_us = self.gateway.clock.now_us();
        // The commit that showed it may have timed out before the dead driver's claim can be taken.
        let is_needed = || self.gateway.clock.now_us() < began_us + DRIVE_LIMIT_US;
        let Some(claim) = self.claims.take(service, began_us, is_needed).await else { return true };
        self.resume_all(service, &[]).await;
        self.claims.settle(service, claim).await;
        true
    }

    /// Lets all paused replicas receive again.
    async fn resume_all(&self, service: &Arc<str>, back: &[Arc<TargetRecord>]) {
        let mut paused = self.listed_replicas(service, None);
        paused.extend(replicas::unlisted(back, &paused));
        replicas::resume::<C>(&self.gateway.log, &self.gateway.vm, &paused).await;
    }
}
