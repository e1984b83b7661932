//! Drives a change of primary where `need.rs` sees one: claims it, and carries the steps of
//! `skylark_core::process::takeover` out.
//!
//! A process that is cut off by itself reaches neither the store nor the replicas, so it can't harm a
//! primary that serves the others.

use std::iter;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastSet;
use skylark_core::log_position::LogPosition;
use skylark_core::process::takeover;
use skylark_core::process::takeover::ReplicaView;
use skylark_core::process::takeover::TakeoverStep;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::process::takeover_claim::LATE_EFFECT_US;
use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::claims::Claims;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::need::Need;
use crate::sessions::process::need::Needs;
use crate::sessions::process::replicas;
use crate::sessions::process::step_down;
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

/// How a takeover ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outcome {
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
struct Drive {
    service: Arc<str>,
    need: Need,
    began_us: u64,
    /// The target that is replaced.
    old: Option<Arc<TargetRecord>>,
    /// The end of the log of a primary that leaves and answered.
    handed_over: LogPosition,
    claim: HeldClaim,
    /// Whether the old primary was told to step down.
    stepped_down: bool,
    /// Whether members that left have to be asked whether they are back.
    asks_departed: bool,
    /// Members that left and are back, but not listed yet.
    back: Vec<Arc<TargetRecord>>,
}

impl Drive {
    /// Whether ending now would leave the group worse than it was: nobody leads once the old primary was
    /// stepped down, and a promotion that may come late must find the replicas paused.
    fn must_go_on(&self, now_us: u64) -> bool {
        let limit_us = self.began_us + DRIVE_LIMIT_US + LATE_EFFECT_US;
        now_us < limit_us && (self.stepped_down || self.claim.may_come_late(now_us))
    }

    /// Whether the old primary has to step down before another is promoted. Where commits are stuck nothing
    /// is acknowledged anyway. A replica that comes back before the promotion takes effect would have them
    /// acknowledged after all, and they were lost with the promotion: 21 to 60 commits of a soak seed.
    fn has_to_step_down(&self) -> bool {
        self.need == Need::CommitsStuck && !self.stepped_down
    }
}

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
            claims: Claims::new(gateway, store),
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
        if need == Need::CommitsStuck && self.resume_left_behind(service).await {
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
            target_calls::ask::<C>(&leader.record, vm, &Query::Standing).await
        else {
            return;
        };
        if status.is_primary {
            let (log, vm, term) = (self.gateway.log.clone(), Arc::clone(vm), status.term);
            tokio::spawn(async move { step_down::tell::<C>(&log, &old, &vm, term).await });
        }
    }

    /// Carries the steps out. Returns how it ended.
    async fn carry_out(&self, drive: &mut Drive) -> Outcome {
        let service = Arc::clone(&drive.service);
        let mut waiting_since_us = None;
        loop {
            let now_us = self.gateway.clock.now_us();
            let must_go_on = drive.must_go_on(now_us);
            if now_us >= drive.began_us + DRIVE_LIMIT_US && !must_go_on {
                return Outcome::GaveUp;
            }
            if self.needs.of(&service).is_none() && !must_go_on {
                return Outcome::NotNeeded;
            }
            let chosen = &drive.claim.claim.chosen;
            if drive.claim.may_come_late(now_us) && self.leads(&service, chosen) {
                return Outcome::Promoted;
            }
            if drive.claim.must_renew(now_us) && !self.change_claim(drive, |_| ()).await {
                return Outcome::ClaimLost;
            }
            let primary = drive.old.clone();
            let primary_id = primary.as_ref().map(|primary| Arc::clone(&primary.id));
            // One that died is listed no more, but is still believed to have led last.
            let last_led = primary_id.clone().or_else(|| self.last_led(&service));
            let departed = self.watcher.departed(&service, last_led.as_ref());
            let floor = departed.floor.max(drive.handed_over);
            let mut replicas = self.listed_replicas(&service, primary_id.as_ref());
            replicas.extend(departed.away);
            if std::mem::take(&mut drive.asks_departed) {
                let gone = self.watcher.dispensable(&service, last_led.as_ref());
                drive.back.extend(replicas::that_answer::<C>(&self.gateway.vm, &gone).await);
            }
            replicas.extend(replicas::unlisted(&drive.back, &replicas));
            let (mut views, term) = replicas::ask_all::<C>(&self.gateway.vm, &replicas).await;
            // They stand for members that never answer again: only a position of the primary from after they
            // left shows that nothing was lost with them. Without this a replica was promoted that lacked a
            // commit, on the word of a member that had started again with an empty log.
            views.extend(iter::repeat_n(ReplicaView::default(), departed.lost));
            let answers = primary.as_ref().is_some_and(|primary| {
                let target = self.gateway.target(&primary.id);
                target.is_some_and(|target| target.health().failed_since_us.is_none())
            });
            let since_us = *waiting_since_us.get_or_insert(now_us);
            let step = takeover::next_step(&views, floor, answers, now_us.saturating_sub(since_us));
            slog::info!(self.gateway.log, "takeover step";
                "service" => &*service, "step" => ?step, "replicas" => ?views, "floor" => floor.to_string(),
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
                TakeoverStep::Promote(_) if drive.has_to_step_down() => {
                    drive.stepped_down = true;
                    // One may have come back just before, and have acknowledged with the old primary.
                    drive.asks_departed = true;
                    if let Some(primary) = &primary {
                        let query = Query::StepDown { term: term + 1 };
                        let said = target_calls::ask::<C>(primary, &self.gateway.vm, &query).await;
                        slog::info!(self.gateway.log, "stepped down before its successor leads";
                            "target" => &*primary.id, "said" => ?said);
                    }
                }
                TakeoverStep::Promote(index) => {
                    if let Some(outcome) = self.promote(drive, &replicas[index]).await {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Writes the claim again, changed. Returns whether it is still held.
    async fn change_claim<F>(&self, drive: &mut Drive, change: F) -> bool
    where
        F: FnOnce(&mut Claim),
    {
        let mut claim = drive.claim.claim.clone();
        change(&mut claim);
        let Some(held) = self.claims.change(&drive.service, &drive.claim, claim).await else {
            return false;
        };
        drive.claim = held;
        true
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

    /// Has a target lead. Returns how the takeover ended; none if it goes on.
    async fn promote(&self, drive: &mut Drive, target: &TargetRecord) -> Option<Outcome> {
        let checks_tokens = self.promoter.checks_tokens();
        let now_us = self.gateway.clock.now_us();
        if !drive.claim.may_promote(&target.id, checks_tokens, now_us) {
            slog::info!(self.gateway.log, "a promotion of another target may still come late";
                "service" => &*drive.service, "target" => &*target.id,
                "chosen" => &*drive.claim.claim.chosen);
            time::sleep(RETRY_PAUSE).await;
            return None;
        }
        // A call with this claim's token settles earlier ones where tokens are checked.
        let may_come_late = !checks_tokens && drive.claim.may_come_late(now_us);
        let choose = |claim: &mut Claim| {
            claim.chosen = target.id.to_string();
            claim.unsettled = true;
        };
        if !self.change_claim(drive, choose).await {
            return Some(Outcome::ClaimLost);
        }
        let (token, vm, held) = (drive.claim.claim.token, &self.gateway.vm, &drive.claim);
        let may_send = || held.may_call(self.gateway.clock.now_us());
        let result = self.promoter.promote(&drive.service, target, vm, token, may_send).await;
        slog::warn!(self.gateway.log, "promote";
            "service" => &*drive.service, "target" => &*target.id, "token" => token,
            "result" => result.as_ref().map_or_else(ToString::to_string, |()| "accepted".into()));
        match result {
            Ok(()) => {
                drive.claim.claim.unsettled = may_come_late;
                self.await_effect(&drive.service, &target.id).await;
                Some(Outcome::Promoted)
            }
            Err(PromoteError::NoAnswer(_)) => {
                drive.claim.unsettled_since_us = self.gateway.clock.now_us();
                self.settle_call(drive, checks_tokens).await
            }
            Err(PromoteError::Refused) => {
                drive.claim.claim.unsettled = may_come_late;
                self.settle_call(drive, checks_tokens).await
            }
            Err(PromoteError::Overloaded | PromoteError::NotSent) => {
                drive.claim.claim.unsettled = may_come_late;
                time::sleep(RETRY_PAUSE).await;
                None
            }
        }
    }

    /// After a call that was refused, or that may still be carried out: a call with a higher token settles
    /// it where tokens are checked. The replicas stay paused until then.
    async fn settle_call(&self, drive: &mut Drive, checks_tokens: bool) -> Option<Outcome> {
        if checks_tokens && !self.change_claim(drive, |claim| claim.token += 1).await {
            return Some(Outcome::ClaimLost);
        }
        time::sleep(RETRY_PAUSE).await;
        None
    }

    /// Waits until the promoted target leads.
    async fn await_effect(&self, service: &Arc<str>, target: &str) {
        let until_us = self.gateway.clock.now_us() + EFFECT_LIMIT_US;
        while !self.leads(service, target) && self.gateway.clock.now_us() < until_us {
            time::sleep(STEP_PAUSE).await;
        }
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
