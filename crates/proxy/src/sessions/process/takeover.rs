//! Drives a change of primary where `need.rs` sees one: claims it, and carries the steps of
//! `skylark_core::process::takeover` out.
//!
//! A process that is cut off by itself reaches neither the store nor the replicas, so it can't harm a
//! primary that serves the others.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastSet;
use skylark_core::log_position::LogPosition;
use skylark_core::process::takeover;
use skylark_core::process::takeover::ReplicaView;
use skylark_core::process::takeover::TakeoverStep;
use skylark_core::process::takeover_claim;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::process::takeover_claim::ClaimState;
use skylark_core::process::takeover_claim::ClaimStep;
use skylark_core::process::takeover_claim::SeenClaim;
use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::need::Need;
use crate::sessions::process::need::Needs;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::Said;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::PromoteError;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;

/// How often the primaries are looked at.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The pause between two looks at what a driver waits for.
const STEP_PAUSE: Duration = Duration::from_millis(15);

/// The pause after a step that could not be carried out.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// How long a driver works at one takeover before it gives up and undoes its pauses, in
/// microseconds. The next look begins anew if it is still needed.
const DRIVE_LIMIT_US: u64 = 6_000_000;

/// How long a promoted target may take until it leads, in microseconds: 300 to 600 ms are usual.
const EFFECT_LIMIT_US: u64 = 2_000_000;

/// The takeovers of all services.
#[derive(Debug)]
pub struct Takeovers<C, S, P>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    watcher: Arc<Watcher<C, S>>,
    store: S,
    promoter: P,
    /// The services that this process works at.
    driven: Mutex<FastSet<Arc<str>>>,
    needs: Needs<C, S>,
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
            store,
            promoter,
            driven: Mutex::default(),
            needs: Needs::new(gateway, watcher),
        }
    }

    /// Looks at all services, and starts to drive what needs it.
    pub fn look(self: &Arc<Self>) {
        self.watcher.settle_departures();
        let view = self.gateway.view();
        for service in view.services.keys() {
            let Some(need) = self.needs.of(service) else { continue };
            if !self.driven.lock().insert(Arc::clone(service)) {
                continue;
            }
            let (takeovers, service) = (Arc::clone(self), Arc::clone(service));
            tokio::spawn(async move {
                takeovers.drive(&service, need).await;
                takeovers.driven.lock().remove(&service);
            });
        }
    }

    async fn drive(&self, service: &Arc<str>, need: Need) {
        let began_us = self.gateway.clock.now_us();
        if need == Need::Silent && self.needs.primary_answers(service).await {
            return;
        }
        slog::warn!(self.gateway.log, "the primary has to be replaced";
            "service" => &**service,
            "primary" => self.needs.present_primary(service).map(|p| p.record.id.to_string()),
            "need" => ?need);
        let handed_over = match need {
            Need::Leaving => self.primarys_log(service).await,
            Need::Silent | Need::CommitsStuck | Need::Unled => None,
        };
        if handed_over.is_none() && !self.watcher.may_promote(service) {
            slog::info!(self.gateway.log, "too new to judge who may lead"; "service" => &**service);
            time::sleep(RETRY_PAUSE).await;
            return;
        }
        let Some(mut claim) = self.claim(service, began_us).await else { return };
        let handed_over = handed_over.unwrap_or_default();
        let outcome = self.carry_out(service, began_us, handed_over, &mut claim).await;
        self.resume_all(service).await;
        claim.claim.state = ClaimState::Settled;
        let settled = self.store.write_claim(service, &claim.claim, Some(claim.revision)).await;
        slog::warn!(self.gateway.log, "the takeover ended";
            "service" => &**service,
            "outcome" => outcome,
            "token" => claim.claim.token,
            "took_us" => self.gateway.clock.now_us().saturating_sub(began_us),
            "settled" => settled.is_ok());
    }

    /// Gets hold of the service's claim. `None` if the need went before that.
    async fn claim(&self, service: &Arc<str>, wanted_us: u64) -> Option<SeenClaim> {
        let mut seen: Option<SeenClaim> = None;
        loop {
            match self.store.claim(service).await {
                Ok(found) => {
                    let now_us = self.gateway.clock.now_us();
                    let known = seen.take();
                    seen = found.map(|found| {
                        let known = known.filter(|known| known.revision == found.revision);
                        let seen_us = known.map_or(now_us, |known| known.seen_us);
                        SeenClaim { claim: found.value, revision: found.revision, seen_us }
                    });
                }
                Err(error) => {
                    slog::info!(self.gateway.log, "the claim can't be read";
                        "service" => &**service, "reason" => error.to_string());
                    time::sleep(RETRY_PAUSE).await;
                    self.needs.of(service)?;
                    continue;
                }
            }
            let now_us = self.gateway.clock.now_us();
            let vm = &*self.gateway.vm;
            match takeover_claim::next_claim(seen.as_ref(), vm, wanted_us, now_us) {
                ClaimStep::Write { token } => {
                    if let Some(claimed) = self.write(service, token, seen.as_ref()).await {
                        return Some(claimed);
                    }
                }
                ClaimStep::LeaveUntil { at_us } => {
                    let wait_us = at_us.saturating_sub(now_us).min(300_000);
                    time::sleep(Duration::from_micros(wait_us.max(1))).await;
                }
            }
            self.needs.of(service)?;
        }
    }

    async fn write(
        &self,
        service: &Arc<str>,
        token: u64,
        over: Option<&SeenClaim>,
    ) -> Option<SeenClaim> {
        let claim = Claim {
            holder: self.gateway.vm.to_string(),
            token,
            state: ClaimState::Moving,
            chosen: String::new(),
        };
        let written = self.store.write_claim(service, &claim, over.map(|seen| seen.revision)).await;
        match written {
            Ok(revision) => {
                slog::info!(self.gateway.log, "claimed a takeover";
                    "service" => &**service, "token" => token);
                let seen_us = self.gateway.clock.now_us();
                Some(SeenClaim { claim, revision, seen_us })
            }
            Err(error) => {
                slog::info!(self.gateway.log, "the claim was not written";
                    "service" => &**service, "token" => token, "reason" => error.to_string());
                time::sleep(STEP_PAUSE).await;
                None
            }
        }
    }

    /// Carries the steps out. Returns how it ended.
    async fn carry_out(
        &self,
        service: &Arc<str>,
        began_us: u64,
        handed_over: LogPosition,
        claim: &mut SeenClaim,
    ) -> &'static str {
        let mut waiting_since_us = None;
        loop {
            let now_us = self.gateway.clock.now_us();
            if now_us >= began_us + DRIVE_LIMIT_US {
                return "gave up";
            }
            if self.needs.of(service).is_none() {
                return "no longer needed";
            }
            let primary = self.needs.present_primary(service);
            let primary_id = primary.as_ref().map(|primary| Arc::clone(&primary.record.id));
            let state = self.gateway.service(service);
            let last_led = state.leader.lock().preferred().cloned();
            let (departed, floor) = self.watcher.departed(service, last_led.as_ref());
            let floor = floor.max(handed_over);
            let mut replicas = self.listed_replicas(service, primary_id.as_ref());
            replicas.extend(departed);
            let (views, term) = self.ask_all(&replicas).await;
            let answers = match &primary {
                Some(primary) => self
                    .gateway
                    .target(&primary.record.id)
                    .is_some_and(|target| target.health().failed_since_us.is_none()),
                None => false,
            };
            let since_us = *waiting_since_us.get_or_insert(now_us);
            let step = takeover::next_step(&views, floor, answers, now_us.saturating_sub(since_us));
            slog::info!(self.gateway.log, "takeover step";
                "service" => &**service, "step" => ?step, "replicas" => ?views, "floor" => floor.to_string(),
                "term" => term);
            match step {
                TakeoverStep::Pause(index) => {
                    let query = Query::Pause { term: term + 1 };
                    let record = &replicas[index];
                    let said = target_calls::ask::<C>(record, &self.gateway.vm, &query).await;
                    if !matches!(said, Said::Status(_)) {
                        time::sleep(STEP_PAUSE).await;
                    }
                }
                TakeoverStep::AskAgain(_) => time::sleep(STEP_PAUSE).await,
                TakeoverStep::Wait(_) => time::sleep(RETRY_PAUSE).await,
                TakeoverStep::Promote(index) => {
                    let id = Arc::clone(&replicas[index].id);
                    match self.promote(service, &id, claim).await {
                        Ok(()) => return "promoted",
                        Err(()) => time::sleep(RETRY_PAUSE).await,
                    }
                }
            }
        }
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

    /// Asks replicas how far they are; also tells the highest term that they know of.
    async fn ask_all(&self, replicas: &[Arc<TargetRecord>]) -> (Vec<ReplicaView>, u64) {
        let mut asked = Vec::new();
        for replica in replicas {
            let (record, vm) = (Arc::clone(replica), Arc::clone(&self.gateway.vm));
            asked.push(tokio::spawn(async move {
                target_calls::ask::<C>(&record, &vm, &Query::Status).await
            }));
        }
        let mut views = Vec::new();
        let mut term = 0;
        for (replica, asked) in replicas.iter().zip(asked) {
            let mut seen = ReplicaView { leaving: replica.leaving, ..ReplicaView::default() };
            // A question that was broken off by the runtime's end counts as unanswered.
            if let Ok(Said::Status(status)) = asked.await {
                seen.reachable = true;
                seen.received = status.received;
                seen.paused = status.paused_term > 0;
                term = term.max(status.term).max(status.paused_term);
            }
            views.push(seen);
        }
        (views, term)
    }

    async fn promote(
        &self,
        service: &Arc<str>,
        target: &Arc<str>,
        claim: &mut SeenClaim,
    ) -> Result<(), ()> {
        let token = claim.claim.token;
        let vm = &self.gateway.vm;
        let result = self.promoter.promote(service, target, vm, token).await;
        slog::warn!(self.gateway.log, "promote";
            "service" => &**service, "target" => &**target, "token" => token,
            "result" => result.as_ref().map_or_else(ToString::to_string, |()| "accepted".into()));
        match result {
            Ok(()) => {
                self.await_effect(service, target).await;
                Ok(())
            }
            // A call that may still be carried out is settled by one with a higher token; the
            // replicas stay paused until then.
            Err(PromoteError::NoAnswer(_) | PromoteError::Refused) => {
                if let Some(claimed) = self.write(service, token + 1, Some(claim)).await {
                    *claim = claimed;
                }
                Err(())
            }
            Err(PromoteError::Overloaded) => Err(()),
        }
    }

    /// Waits until the promoted target leads.
    async fn await_effect(&self, service: &Arc<str>, target: &Arc<str>) {
        let until_us = self.gateway.clock.now_us() + EFFECT_LIMIT_US;
        let leads = || {
            let state = self.gateway.service(service);
            let leader = state.leader.lock();
            leader.preferred() == Some(target)
        };
        while !leads() && self.gateway.clock.now_us() < until_us {
            time::sleep(STEP_PAUSE).await;
        }
    }

    /// Lets all paused replicas receive again.
    async fn resume_all(&self, service: &Arc<str>) {
        let replicas = self.listed_replicas(service, None);
        let (views, term) = self.ask_all(&replicas).await;
        for (replica, view) in replicas.iter().zip(&views) {
            if view.paused {
                let query = Query::Resume { term };
                let said = target_calls::ask::<C>(replica, &self.gateway.vm, &query).await;
                slog::info!(self.gateway.log, "resumed a replica";
                    "target" => &*replica.id, "said" => ?said);
            }
        }
    }
}
