//! Ends the lead of the primary that is to be replaced.
//!
//! A member that joins, or that a late order resumes, receives and acknowledges commits with the old primary
//! before the driver can pause it. Only the old primary's own confirmation that it stepped down ends that.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use skylark_core::process::takeover;
use skylark_core::process::takeover::OldLead;
use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::codec::TargetStatus;
use crate::sessions::process::step_down;
use crate::sessions::process::takeover::STEP_PAUSE;
use crate::sessions::process::takeover::Takeovers;
use crate::sessions::process::takeover::drive::Drive;
use crate::sessions::process::takeover_trigger::TakeoverTrigger;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallRefusal;
use crate::sessions::process::target_calls::CallReply;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;

/// How long a primary that did not answer before the takeover may take to confirm that it stepped down.
const SILENT_TIMEOUT: Duration = Duration::from_millis(150);

/// The maximum length of a list of targets that a takeover reads. After the loss of an availability zone, hundreds of
/// takeovers would read a longer one at the same time.
const MAX_LISTED_TARGETS: usize = 200;

/// The maximum number of VMs through which a primary is requested to step down.
const MAX_PEERS: usize = 8;

impl<C, S, P> Takeovers<C, S, P>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    /// Requests that the old primary steps down under `term`, and records what is known of its lead then.
    pub(super) async fn end_old_lead(&self, drive: &mut Drive, term: u64) {
        // A departed member may have returned just before and acknowledged commits with the old primary.
        drive.checks_departed = true;
        let Some(primary) = drive.old_primary.clone() else {
            drive.old_lead = OldLead::Unreachable;
            return;
        };
        drive.step_down_requested = true;
        let term = term.max(drive.step_down_term);
        drive.step_down_term = term;
        let reply = self.request_step_down(drive.trigger, &primary, term).await;
        slog::info!(self.gateway.log, "told the old primary to step down before the promotion";
            "service" => &*drive.service, "target" => &*primary.id,
            "token" => drive.claim.claim.token, "term" => term, "said" => ?reply);
        if let CallReply::Status(status) = &reply {
            drive.observed.record(&self.gateway.log, &primary, status);
        }
        drive.old_lead = match reply {
            CallReply::Status(status) if !status.is_primary => {
                if let Some(target) = self.gateway.target(&primary.id) {
                    self.gateway.record_not_primary(&target);
                }
                let now_us = self.gateway.clock.now_us();
                drive.old_lead_ended_us.get_or_insert(now_us);
                ended_lead(drive, &status, now_us)
            }
            CallReply::Status(status) => {
                drive.step_down_term = status.term + 1;
                OldLead::MayContinue
            }
            CallReply::Refused(_) | CallReply::Unanswered => {
                time::sleep(STEP_PAUSE).await;
                OldLead::MayContinue
            }
            CallReply::Nothing => OldLead::Unreachable,
        };
    }

    /// Pauses the old primary after it stepped down, so that it receives nothing from a member that an earlier call
    /// promotes.
    pub(super) async fn pause_old_primary(&self, drive: &mut Drive, term: u64) {
        let Some(primary) = drive.old_primary.clone() else { return };
        let (vm, query) = (&self.gateway.vm, Query::Pause { term });
        let limit = target_calls::CALL_TIMEOUT;
        let reply = self.gateway.control_links.ask(&primary, vm, &query, limit).await;
        slog::info!(self.gateway.log, "paused the old primary beside an earlier promotion call";
            "service" => &*drive.service, "target" => &*primary.id,
            "token" => drive.claim.claim.token, "term" => term, "said" => ?reply);
        if let CallReply::Status(status) = &reply {
            drive.observed.record(&self.gateway.log, &primary, status);
        }
        match reply {
            CallReply::Status(status) if !status.is_primary => {
                drive.old_lead = ended_lead(drive, &status, self.gateway.clock.now_us());
            }
            // It leads again, or is not reached any more.
            CallReply::Status(_) | CallReply::Nothing => drive.forget_old_lead(),
            CallReply::Refused(_) | CallReply::Unanswered => time::sleep(STEP_PAUSE).await,
        }
    }

    /// Asks the old primary itself, and through the VMs that are connected to it if it is not reached or has no
    /// connection left.
    async fn request_step_down(
        &self,
        trigger: TakeoverTrigger,
        primary: &TargetRecord,
        term: u64,
    ) -> CallReply {
        let (vm, query) = (&self.gateway.vm, Query::StepDown { term });
        let limit = match trigger {
            TakeoverTrigger::Silent => SILENT_TIMEOUT,
            TakeoverTrigger::Leaving | TakeoverTrigger::CommitsStuck | TakeoverTrigger::Unled => {
                target_calls::CALL_TIMEOUT
            }
        };
        let reply = self.gateway.control_links.ask(primary, vm, &query, limit).await;
        match reply {
            CallReply::Nothing | CallReply::Refused(CallRefusal::Connection) => (),
            _ => return reply,
        }
        let peers = self.gateway.vms_connected_to(&primary.id, MAX_PEERS);
        let limit = step_down::PEER_TIMEOUT + STEP_PAUSE;
        let ask = |peer| target_calls::ask_through::<C>(peer, primary, vm, &query, limit);
        let replies = future::join_all(peers.iter().map(ask)).await;
        let confirmed = replies.iter().find(|reply| matches!(reply, CallReply::Status(_)));
        let reached = || replies.iter().find(|reply| **reply != CallReply::Nothing);
        confirmed.or_else(reached).copied().unwrap_or(reply)
    }

    /// Learns of the members that may have received from the old primary, once all of them have registered.
    pub(super) async fn learn_members(&self, drive: &mut Drive) {
        let now_us = self.gateway.clock.now_us();
        if now_us < drive.registered_us() || !self.refresh_list().await {
            time::sleep(STEP_PAUSE).await;
            return;
        }
        drive.listed_us = Some(now_us);
    }

    /// Reads the list of targets, which a watch may deliver late. Returns whether it is current.
    async fn refresh_list(&self) -> bool {
        let is_watched_elsewhere = self.gateway.has_feed();
        let is_long = self.gateway.targets().all().count() > MAX_LISTED_TARGETS;
        is_watched_elsewhere || is_long || self.watcher.list_targets().await.is_ok()
    }

    /// Returns the primary that a takeover replaces: the presumed one, or the last presumed one if it is no
    /// longer listed, since a target whose entry expired may still lead.
    pub(super) fn primary_to_replace(&self, service: &Arc<str>) -> Option<Arc<TargetRecord>> {
        let listed = self.triggers.current_primary(service).map(|member| member.record);
        listed.or_else(|| {
            let last = self.last_leader(service)?;
            self.watcher.departed_record(service, &last)
        })
    }
}

/// What the status of an old primary that stepped down shows of its lead.
fn ended_lead(drive: &Drive, status: &TargetStatus, now_us: u64) -> OldLead {
    let pause_term = takeover::pause_term(status.term, drive.claim.may_take_effect_late(now_us));
    OldLead::Ended { log_end: status.received, is_paused: status.paused_term >= pause_term }
}
