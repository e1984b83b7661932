//! The step loop of a takeover: queries the members and executes the next step, until another target is
//! primary or the takeover is no longer needed.

use std::iter;
use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::process::takeover;
use skylark_core::process::takeover::OldLead;
use skylark_core::process::takeover::PromotionStep;
use skylark_core::process::takeover::ReplicaView;
use skylark_core::process::takeover::TakeoverStep;
use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::codec::TargetStatus;
use crate::sessions::process::replicas;
use crate::sessions::process::replicas::Reports;
use crate::sessions::process::takeover::RETRY_PAUSE;
use crate::sessions::process::takeover::STEP_PAUSE;
use crate::sessions::process::takeover::Takeovers;
use crate::sessions::process::takeover::drive::DRIVE_LIMIT_US;
use crate::sessions::process::takeover::drive::Drive;
use crate::sessions::process::takeover::drive::Outcome;
use crate::sessions::process::takeover::observed;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;

/// The result of querying the members once.
struct Members {
    /// The members that were queried.
    replicas: Vec<Arc<TargetRecord>>,
    /// What these members reported, followed by one unreachable replica for each departed member whose log is
    /// lost.
    views: Vec<ReplicaView>,
    /// The status of each member that answered, in the order of `replicas`.
    statuses: Vec<Option<TargetStatus>>,
    /// The member that leads the highest term, if any of them leads it.
    leader: Option<Arc<TargetRecord>>,
    /// The highest term that any member leads or follows.
    newest_term: u64,
    /// The term for which a member is to be paused.
    pause_term: u64,
    /// The position that a new primary must have received.
    floor: LogPosition,
}

impl<C, S, P> Takeovers<C, S, P>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    /// Executes steps until the takeover ends. Returns its outcome.
    pub(super) async fn run_steps(&self, drive: &mut Drive) -> Outcome {
        let mut waiting_since_us = None;
        loop {
            let now_us = self.gateway.clock.now_us();
            if let Some(outcome) = self.check_end(drive, now_us).await {
                return outcome;
            }
            let members = self.ask_members(drive).await;
            let answers = self.old_primary_answers(drive);
            let waited_us = now_us.saturating_sub(*waiting_since_us.get_or_insert(now_us));
            let step = takeover::next_step(&members.views, members.floor, answers, waited_us);
            slog::info!(self.gateway.log, "takeover step";
                "service" => &*drive.service, "step" => ?step, "replicas" => ?members.views,
                "members" => observed::describe(&members.replicas, &members.statuses),
                "floor" => members.floor.to_string(), "term" => members.newest_term);
            if let Some(outcome) = self.take_step(drive, step, &members).await {
                return outcome;
            }
        }
    }

    /// Returns the outcome if the takeover has ended. Renews the claim otherwise.
    async fn check_end(&self, drive: &mut Drive, now_us: u64) -> Option<Outcome> {
        let must_continue = drive.must_continue(now_us);
        if now_us >= drive.began_us + DRIVE_LIMIT_US && !must_continue {
            return Some(Outcome::GaveUp);
        }
        if self.triggers.detect(&drive.service).is_none() && !must_continue {
            return Some(Outcome::NotNeeded);
        }
        let chosen = &drive.claim.claim.chosen;
        // If the chosen target is to be replaced itself, an earlier takeover promoted it.
        let is_replaced = drive.old_primary.as_ref().is_some_and(|old| *old.id == **chosen);
        let may_take_effect = drive.claim.may_take_effect_late(now_us) && !is_replaced;
        if may_take_effect && self.leads(&drive.service, chosen) {
            return Some(Outcome::Promoted);
        }
        if drive.claim.must_renew(now_us) && !self.change_claim(drive, |_| ()).await {
            return Some(Outcome::ClaimLost);
        }
        None
    }

    /// Queries all members other than the old primary, including departed ones that the promotion depends on.
    async fn ask_members(&self, drive: &mut Drive) -> Members {
        let service = &drive.service;
        let primary_id = drive.old_primary.as_ref().map(|primary| Arc::clone(&primary.id));
        // A failed primary is no longer listed, but remains the last presumed one.
        let last_leader = primary_id.clone().or_else(|| self.last_leader(service));
        let departed = self.watcher.departed(service, last_leader.as_ref());
        let mut replicas = self.listed_replicas(service, primary_id.as_ref());
        replicas.extend(departed.absent);
        if std::mem::take(&mut drive.checks_departed) {
            let gone = self.watcher.dispensable(service, last_leader.as_ref());
            drive.returned.extend(replicas::filter_responding::<C>(&self.gateway.vm, &gone).await);
        }
        replicas.extend(replicas::unlisted(&drive.returned, &replicas));
        let reports = replicas::ask_all::<C>(&self.gateway.vm, &replicas).await;
        let Reports { mut views, statuses, newest_term, term, leader, superseded } = reports;
        for (replica, status) in replicas.iter().zip(&statuses) {
            if let Some(status) = status {
                drive.observed.record(&self.gateway.log, replica, status);
            }
        }
        let leader = leader.map(|index| Arc::clone(&replicas[index]));
        for index in superseded {
            if let Some(target) = self.gateway.target(&replicas[index].id) {
                self.gateway.superseded(&target, newest_term);
            }
        }
        let now_us = self.gateway.clock.now_us();
        let is_late = drive.claim.may_take_effect_late(now_us);
        let is_enough = |paused_term| takeover::is_paused_for(paused_term, newest_term, is_late);
        for ((replica, view), status) in replicas.iter().zip(&mut views).zip(&statuses) {
            view.paused = status.is_some_and(|status| is_enough(status.paused_term));
            view.may_be_promoted_late = is_late && *replica.id == *drive.claim.claim.chosen;
        }
        let pause_term = takeover::pause_term(newest_term, is_late).max(term + 1);
        // These represent departed members whose logs are lost. Only a position of the primary from after
        // their departure shows that no commit was lost with them. Otherwise a replica that lacked a commit
        // could be promoted, based on the answer of a member that had restarted with an empty log.
        views.extend(iter::repeat_n(ReplicaView::default(), departed.lost));
        let floor = departed.floor.max(drive.leaving_log_end);
        Members { replicas, views, statuses, leader, newest_term, pause_term, floor }
    }

    /// Accepts that a member which was taken for a replica leads the newest term that any member knows.
    fn accept_leader(&self, drive: &Drive, leader: &TargetRecord) {
        if self.leads(&drive.service, &leader.id) {
            return;
        }
        slog::warn!(self.gateway.log, "a member leads that was taken for a replica";
            "service" => &*drive.service, "target" => &*leader.id);
        if let Some(old) = drive.old_primary.as_ref().and_then(|old| self.gateway.target(&old.id)) {
            self.gateway.record_not_primary(&old);
        }
        if let Some(target) = self.gateway.target(&leader.id) {
            self.gateway.answered_as_primary(&target);
        }
    }

    fn old_primary_answers(&self, drive: &Drive) -> bool {
        drive.old_primary.as_ref().is_some_and(|primary| {
            let target = self.gateway.target(&primary.id);
            target.is_some_and(|target| target.health().failed_since_us.is_none())
        })
    }

    /// Executes one step. Returns the outcome of the takeover, or `None` if it continues.
    async fn take_step(
        &self,
        drive: &mut Drive,
        step: TakeoverStep,
        members: &Members,
    ) -> Option<Outcome> {
        match step {
            TakeoverStep::Pause(index) => self.pause(drive, members, index).await,
            TakeoverStep::AskAgain(_) => time::sleep(STEP_PAUSE).await,
            TakeoverStep::Wait(_) => match &members.leader {
                Some(leader) => return self.follow_leader(drive, members, leader).await,
                None => time::sleep(RETRY_PAUSE).await,
            },
            TakeoverStep::Promote(_) if self.awaits_call_for_old_primary(drive) => {
                time::sleep(RETRY_PAUSE).await;
                // The call may have made it the primary again.
                drive.forget_old_lead();
            }
            TakeoverStep::Promote(index) => {
                let received = members.views[index].received;
                let now_us = self.gateway.clock.now_us();
                let another_may_lead =
                    drive.claim.another_may_be_promoted(&members.replicas[index].id, now_us);
                let step = takeover::promotion_step(
                    received,
                    drive.old_lead,
                    drive.members_are_known(),
                    another_may_lead,
                );
                match step {
                    PromotionStep::EndOldLead => match self.target_to_fence_off(drive) {
                        Some(target) => return self.fence_off(drive, &target).await,
                        None => self.end_old_lead(drive, members.newest_term + 1).await,
                    },
                    PromotionStep::PauseOldPrimary => {
                        self.pause_old_primary(drive, members.pause_term).await;
                    }
                    PromotionStep::AwaitEarlierCall => {
                        time::sleep(RETRY_PAUSE).await;
                        // A VM may reach the old primary again.
                        drive.forget_old_lead();
                    }
                    PromotionStep::AskAgain => self.learn_members(drive).await,
                    PromotionStep::Promote => {
                        let replica = &members.replicas[index];
                        return self.promote(drive, replica, received).await;
                    }
                }
            }
        }
        None
    }

    async fn pause(&self, drive: &Drive, members: &Members, index: usize) {
        let query = Query::Pause { term: members.pause_term };
        let record = &members.replicas[index];
        let reply = target_calls::ask::<C>(record, &self.gateway.vm, &query).await;
        slog::info!(self.gateway.log, "paused a replica";
            "service" => &*drive.service, "target" => &*record.id,
            "token" => drive.claim.claim.token, "term" => members.pause_term,
            "said" => ?reply);
        if !matches!(reply, CallReply::Status(_)) {
            time::sleep(STEP_PAUSE).await;
        }
    }

    /// Accepts a member that leads although it was taken for a replica. Returns the outcome of the takeover, or
    /// `None` if it continues.
    ///
    /// While a call may promote another member, the other ones stay paused: what they acknowledged with the leader
    /// would be lost.
    async fn follow_leader(
        &self,
        drive: &mut Drive,
        members: &Members,
        leader: &TargetRecord,
    ) -> Option<Outcome> {
        self.accept_leader(drive, leader);
        let now_us = self.gateway.clock.now_us();
        if !drive.claim.may_take_effect_late(now_us) {
            // A call of this takeover or of an earlier one took effect.
            if drive.is_accepted || drive.step_down_requested {
                drive.claim.claim.chosen = leader.id.to_string();
                return Some(Outcome::Promoted);
            }
            time::sleep(RETRY_PAUSE).await;
            return None;
        }
        if !drive.claim.another_may_be_promoted(&leader.id, now_us) {
            return match drive.claim.is_fenced || !self.promoter.checks_tokens() {
                true => Some(Outcome::Promoted),
                false => self.fence_off(drive, leader).await,
            };
        }
        let receives = |index: &usize| {
            let view = &members.views[*index];
            view.reachable && !view.paused && *members.replicas[*index].id != *leader.id
        };
        if let Some(index) = (0..members.replicas.len()).find(receives) {
            self.pause(drive, members, index).await;
            return None;
        }
        match drive.old_lead {
            OldLead::MayContinue => {
                self.end_old_lead(drive, members.newest_term + 1).await;
                return None;
            }
            OldLead::Ended { is_paused: false, .. } => {
                self.pause_old_primary(drive, members.pause_term).await;
                return None;
            }
            OldLead::Ended { is_paused: true, .. } | OldLead::Unreachable => (),
        }
        if self.promoter.checks_tokens() && !drive.claim.is_fenced {
            return self.fence_off(drive, leader).await;
        }
        time::sleep(RETRY_PAUSE).await;
        None
    }
}
