//! Drives a change of primary: notices that one is needed, claims it, and carries the steps of
//! `skylark_core::process::takeover` out.
//!
//! What this process's own traffic shows of a primary is asked for first; one question to the primary
//! itself confirms a suspicion. A process that is cut off by itself reaches neither the store nor the
//! replicas, so it can't harm a primary that serves the others.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
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
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::Said;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::PromoteError;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;
use crate::sessions::version::view::Member;

/// How often the primaries are looked at.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// How long a primary has to fail requests before it is asked itself, in microseconds. The question
/// decides; this only keeps single failures from causing one.
const SUSPECT_US: u64 = 100_000;

/// The time that a primary has to say that it lives. Its slots are busy for some 10 ms at a time, and
/// what waits is bounded by 16 statements; each 100 ms more are 100 ms of writes refused when it is
/// gone.
const PRIMARY_LIMIT: Duration = Duration::from_millis(250);

/// How long statements may wait without any being answered before the primary is asked itself, in
/// microseconds. The slowest run takes 110 ms. Few connections may all hang on a primary that went
/// silent, and nobody else would get one and fail: it took two seconds to notice.
const UNANSWERED_US: u64 = 250_000;

/// How old the last failure may be for a suspicion to stand, in microseconds: without requests to
/// the primary there is no evidence.
const EVIDENCE_US: u64 = 1_500_000;

/// How long commits may wait without any being acknowledged, in microseconds. They take 10 to 60 ms;
/// a primary whose replicas don't receive acknowledges none.
const COMMITS_STUCK_US: u64 = 400_000;

/// How long a service may be listed without a primary before one is promoted, in microseconds.
const UNLED_US: u64 = 400_000;

/// The same for a process that never saw the service led: it does not know which replicas left
/// before it started, and has to give a primary that is cut off time to come back.
const UNLED_AT_START_US: u64 = 8_000_000;

/// The pause between two looks at what a driver waits for.
const STEP_PAUSE: Duration = Duration::from_millis(15);

/// The pause after a step that could not be carried out.
const RETRY_PAUSE: Duration = Duration::from_millis(120);

/// How long a driver works at one takeover before it gives up and undoes its pauses, in
/// microseconds. The next look begins anew if it is still needed.
const DRIVE_LIMIT_US: u64 = 6_000_000;

/// How long a promoted target may take until it leads, in microseconds: 300 to 600 ms are usual.
const EFFECT_LIMIT_US: u64 = 2_000_000;

/// Why a primary has to be replaced.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Need {
    /// It announced that it will stop.
    Leaving,
    /// It does not answer.
    Silent,
    /// It acknowledges no commits.
    CommitsStuck,
    /// No target is listed as primary.
    Unled,
}

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
    driven: Mutex<FastMap<Arc<str>, ()>>,
    /// Since when services are listed without a primary.
    unled_since_us: Mutex<FastMap<Arc<str>, u64>>,
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
            unled_since_us: Mutex::default(),
        }
    }

    /// Looks at all services, and starts to drive what needs it.
    pub fn look(self: &Arc<Self>) {
        self.watcher.settle_departures();
        let view = self.gateway.view();
        for service in view.services.keys() {
            let Some(need) = self.need(service) else { continue };
            if self.driven.lock().insert(Arc::clone(service), ()).is_some() {
                continue;
            }
            let (takeovers, service) = (Arc::clone(self), Arc::clone(service));
            tokio::spawn(async move {
                takeovers.drive(&service, need).await;
                takeovers.driven.lock().remove(&service);
            });
        }
    }

    /// Whether the primary of a service has to be replaced.
    fn need(&self, service: &Arc<str>) -> Option<Need> {
        if !self.gateway.drives(service) {
            return None;
        }
        let now_us = self.gateway.clock.now_us();
        let view = self.gateway.view();
        let Some(primary) = self.present_primary(service) else {
            let mut unled = self.unled_since_us.lock();
            let since_us = *unled.entry(Arc::clone(service)).or_insert(now_us);
            let was_led = self.gateway.service(service).leader.lock().was_led();
            let limit_us = if was_led { UNLED_US } else { UNLED_AT_START_US };
            let is_unled = now_us >= since_us + limit_us && self.watcher.list_is_settled();
            return (is_unled && view.routes.is_some()).then_some(Need::Unled);
        };
        self.unled_since_us.lock().remove(service);
        if primary.record.leaving {
            return Some(Need::Leaving);
        }
        let health = self.gateway.target(&primary.record.id)?.health();
        let stuck_since_us = health.commits_stuck_since_us.filter(|_| health.commits_waiting > 0);
        if stuck_since_us.is_some_and(|since_us| now_us >= since_us + COMMITS_STUCK_US) {
            return Some(Need::CommitsStuck);
        }
        let unanswered_since_us = health.unanswered_since_us.filter(|_| health.in_flight > 0);
        if unanswered_since_us.is_some_and(|since_us| now_us >= since_us + UNANSWERED_US) {
            return Some(Need::Silent);
        }
        let is_fresh = now_us < health.failed_us + EVIDENCE_US;
        let failed_since_us = health.failed_since_us.filter(|_| is_fresh)?;
        (now_us >= failed_since_us + SUSPECT_US).then_some(Need::Silent)
    }

    /// The target that leads as far as is known, if it is listed.
    fn present_primary(&self, service: &Arc<str>) -> Option<Member> {
        let view = self.gateway.view();
        let state = self.gateway.service(service);
        let preferred = state.leader.lock().preferred().cloned();
        let members = view.members(service);
        let believed = members.iter().find(|member| Some(&member.record.id) == preferred.as_ref());
        believed.or(view.listed_primary(service)).cloned()
    }

    async fn drive(&self, service: &Arc<str>, need: Need) {
        let began_us = self.gateway.clock.now_us();
        if need == Need::Silent && self.primary_answers(service).await {
            return;
        }
        slog::warn!(self.gateway.log, "the primary has to be replaced";
            "service" => &**service,
            "primary" => self.present_primary(service).map(|p| p.record.id.to_string()),
            "need" => ?need);
        let Some(mut claim) = self.claim(service, began_us).await else { return };
        let outcome = self.carry_out(service, began_us, &mut claim).await;
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

    /// Asks the primary whether it lives and leads.
    async fn primary_answers(&self, service: &Arc<str>) -> bool {
        let Some(primary) = self.present_primary(service) else { return false };
        let (record, vm) = (&primary.record, &self.gateway.vm);
        let said = target_calls::ask_within::<C>(record, vm, &Query::Status, PRIMARY_LIMIT).await;
        match said {
            Said::Status(status) if !status.is_primary => {
                if let Some(target) = self.gateway.target(&primary.record.id) {
                    target.answered(self.gateway.clock.now_us(), None);
                    self.gateway.refused_lead(&target);
                }
                true
            }
            Said::Status(_) | Said::Refused => {
                if let Some(target) = self.gateway.target(&primary.record.id) {
                    target.answered(self.gateway.clock.now_us(), None);
                }
                true
            }
            Said::Nothing => false,
        }
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
                    self.need(service)?;
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
            self.need(service)?;
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
        claim: &mut SeenClaim,
    ) -> &'static str {
        let mut waiting_since_us = None;
        loop {
            let now_us = self.gateway.clock.now_us();
            if now_us >= began_us + DRIVE_LIMIT_US {
                return "gave up";
            }
            if self.need(service).is_none() {
                return "no longer needed";
            }
            let primary = self.present_primary(service);
            let primary_id = primary.as_ref().map(|primary| Arc::clone(&primary.record.id));
            let (departed, floor) = self.watcher.departed(service);
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
                        Ok(()) => {
                            self.watcher.forget_departed(service);
                            return "promoted";
                        }
                        Err(()) => time::sleep(RETRY_PAUSE).await,
                    }
                }
            }
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
                seen.paused = status.paused_term > status.term;
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
