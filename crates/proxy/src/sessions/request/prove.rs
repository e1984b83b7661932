//! Proofs that a target is still the primary (its lead), based on the status reports of other members.
//!
//! One round of status queries serves all waiting requests: reports that were requested after a request
//! arrived prove the lead for it and for every earlier request.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use skylark_core::request::lead_proof::LeadReport;
use skylark_core::request::lead_proof::LeadVerdict;
use skylark_core::request::retry::Failure;
use tokio::time;

use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::codec::TargetStatus;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::End;
use crate::sessions::connection::reply::LostReply;
use crate::sessions::connection::reply::Reply;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::call::Call;

/// The pause after a round of queries without a reply.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// How long the first queried members may take before the others are queried as well. A reply usually takes 2
/// ms.
pub(super) const HEDGE_DELAY: Duration = Duration::from_millis(15);

/// A failure to prove that a target is the primary.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unproved {
    /// Another target has replaced it as primary.
    Superseded,
    /// Too few other members replied.
    NoReply,
}

/// Proves that by `as_of_us` no target other than `target` had acknowledged a commit. Fails at `until_us`.
pub async fn lead<C>(
    gateway: &Gateway<C>,
    target: &Arc<TargetState<C>>,
    as_of_us: u64,
    until_us: u64,
) -> Result<(), Unproved>
where
    C: Codec,
{
    let result = prove_until(gateway, target, as_of_us, until_us).await;
    match result {
        Ok(()) => gateway.counters.event(Event::LeadsProved),
        Err(Unproved::NoReply) => gateway.counters.event(Event::LeadsUnproved),
        Err(Unproved::Superseded) => gateway.counters.event(Event::LeadsSuperseded),
    }
    result
}

async fn prove_until<C>(
    gateway: &Gateway<C>,
    target: &Arc<TargetState<C>>,
    as_of_us: u64,
    until_us: u64,
) -> Result<(), Unproved>
where
    C: Codec,
{
    let state = gateway.service(&target.record.service);
    let entered_us = gateway.clock.now_us();
    let mut was_asked = false;
    loop {
        let asked = state.proof_flight.ended();
        let verdict = gateway.lead_verdict(target, as_of_us);
        match verdict {
            LeadVerdict::Proved => return Ok(()),
            LeadVerdict::Superseded { term } => {
                gateway.superseded(target, term);
                return Err(Unproved::Superseded);
            }
            LeadVerdict::TermUnknown | LeadVerdict::Missing(_) => (),
        }
        let now_us = gateway.clock.now_us();
        // A recent round reached no other member, or the members whose reports are missing can't be reached:
        // the request fails without waiting for `until_us`.
        let is_unprovable = was_asked && is_unprovable(gateway, target, verdict, as_of_us);
        if now_us >= until_us || is_unprovable || state.has_recent_unanswered_round(entered_us) {
            log_unproved(gateway, target, as_of_us, verdict);
            return Err(Unproved::NoReply);
        }
        was_asked = true;
        match state.proof_flight.begin() {
            Some(_asking) => {
                let is_answered = ask_members(gateway, target, verdict, as_of_us, until_us).await?;
                if !is_answered {
                    if no_member_is_reachable(gateway, target) {
                        state.record_unanswered_round(gateway.clock.now_us());
                    }
                    time::sleep(RETRY_PAUSE).await;
                }
            }
            None => {
                let left = Duration::from_micros(until_us - now_us);
                // After a timeout as after the end of a round, the verdict is evaluated again.
                let _ = time::timeout(left, asked).await;
            }
        }
    }
}

/// Proves the lead of `target` as of the arrival of the call's first byte.
pub async fn lead_for<C>(call: &Call<'_, C>, target: &Arc<TargetState<C>>) -> Result<(), Unproved>
where
    C: Codec,
{
    lead(call.gateway, target, call.arrived_us, call.next_offer_until_us()).await
}

/// Queries the members whose reports may complete the proof. Returns whether any of them replied.
async fn ask_members<C>(
    gateway: &Gateway<C>,
    target: &Arc<TargetState<C>>,
    verdict: LeadVerdict,
    as_of_us: u64,
    until_us: u64,
) -> Result<bool, Unproved>
where
    C: Codec,
{
    let mut missing = match verdict {
        LeadVerdict::Missing(missing) => missing,
        LeadVerdict::TermUnknown => {
            // Reports of other members can't be evaluated before the target's term is known.
            let Some(status) = fetch_status(gateway, target, until_us).await else {
                return Ok(false);
            };
            if !status.is_primary {
                gateway.record_not_primary(target);
                return Err(Unproved::Superseded);
            }
            return Ok(true);
        }
        LeadVerdict::Proved | LeadVerdict::Superseded { .. } => return Ok(true),
    };
    let state = gateway.service(&target.record.service);
    let has_reported = |member: &Arc<TargetState<C>>| {
        let asked_us = state.lead_reports.lock().asked_us(&member.record.id);
        asked_us.is_some_and(|asked_us| asked_us >= as_of_us)
    };
    let mut others =
        other_members(gateway, target).into_iter().filter(|member| !has_reported(member));
    let ask = async |member: Arc<TargetState<C>>| fetch_status(gateway, &member, until_us).await;
    let mut asked: FuturesUnordered<_> = others.by_ref().take(missing).map(ask).collect();
    let mut is_answered = false;
    while missing > 0 && !asked.is_empty() {
        match time::timeout(HEDGE_DELAY, asked.next()).await {
            Ok(Some(report)) if report.is_some() => {
                missing -= 1;
                is_answered = true;
            }
            // The member can't be queried or is slow; the others may be faster.
            Ok(_) | Err(_) => asked.extend(others.by_ref().map(ask)),
        }
    }
    Ok(is_answered)
}

/// Returns whether a proof is impossible for now: of the members that have not reported since `as_of_us`, too
/// few can be reached to provide the missing reports, so that querying them again is useless.
fn is_unprovable<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    verdict: LeadVerdict,
    as_of_us: u64,
) -> bool
where
    C: Codec,
{
    let LeadVerdict::Missing(missing) = verdict else { return false };
    let state = gateway.service(&target.record.service);
    let now_us = gateway.clock.now_us();
    let may_report = |member: &Arc<TargetState<C>>| {
        let asked_us = state.lead_reports.lock().asked_us(&member.record.id);
        asked_us.is_none_or(|asked_us| asked_us < as_of_us) && !member.is_ejected(now_us)
    };
    other_members(gateway, target).into_iter().filter(may_report).count() < missing
}

/// Returns whether no other member can be reached. A member that only has no free connection counts as
/// reachable.
fn no_member_is_reachable<C>(gateway: &Gateway<C>, target: &TargetState<C>) -> bool
where
    C: Codec,
{
    let members = gateway.members(&target.record.service).into_iter();
    let mut others = members.filter(|member| member.record.id != target.record.id);
    others.all(|member| member.pool().is_failing() || member.health().failed_since_us.is_some())
}

/// Queries the target's term, if it is unknown, on a connection that the request already holds. After a start
/// all connections are in use, and a separate query would wait for one.
pub async fn learn_term<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    link: &mut StatementLink<C>,
    as_of_us: u64,
) -> Result<(), LostReply>
where
    C: Codec,
{
    if gateway.lead_verdict(target, as_of_us) != LeadVerdict::TermUnknown {
        return Ok(());
    }
    gateway.counters.event(Event::MembersAsked);
    let asked_us = gateway.clock.now_us();
    let until = gateway.clock.instant_at(asked_us + limits::STATUS_TIMEOUT_US);
    let reply = link.ask(&Query::ImmediateStatus, until).await?;
    record_status_report(gateway, target, asked_us, &reply);
    Ok(())
}

/// Records the status that a member reported, and returns it.
fn record_status_report<C>(
    gateway: &Gateway<C>,
    member: &TargetState<C>,
    asked_us: u64,
    reply: &Reply,
) -> Option<TargetStatus>
where
    C: Codec,
{
    let End::Complete { .. } = reply.end else { return None };
    let status = C::decode_status(&reply.first_row).ok()?;
    let report = LeadReport {
        asked_us,
        leads: status.is_primary,
        term: status.term,
        received: status.received,
    };
    gateway.service(&member.record.service).record_report(&member.record.id, report);
    Some(status)
}

/// Returns the other members, in the order in which they are expected to reply.
fn other_members<C>(gateway: &Gateway<C>, target: &TargetState<C>) -> Vec<Arc<TargetState<C>>>
where
    C: Codec,
{
    let now_us = gateway.clock.now_us();
    let members = gateway.members(&target.record.service).into_iter();
    let mut others: Vec<_> =
        members.filter(|member| member.record.id != target.record.id).collect();
    others.sort_by_key(|member| (member.is_ejected(now_us), member.record.zone != gateway.zone));
    others
}

/// Queries a member's status, records what it shows of the lead, and returns it.
pub async fn fetch_status<C>(
    gateway: &Gateway<C>,
    member: &Arc<TargetState<C>>,
    until_us: u64,
) -> Option<TargetStatus>
where
    C: Codec,
{
    let asked_us = gateway.clock.now_us();
    let reply = request_status(gateway, member, until_us).await.ok()?;
    record_status_report(gateway, member, asked_us, &reply)
}

/// Queries a member's status, bypassing the admission queue because the query takes no execution slot.
pub async fn request_status<C>(
    gateway: &Gateway<C>,
    member: &Arc<TargetState<C>>,
    until_us: u64,
) -> Result<Reply, Failure>
where
    C: Codec,
{
    gateway.counters.event(Event::MembersAsked);
    let now_us = gateway.clock.now_us();
    let until = gateway.clock.instant_at(until_us.min(now_us + limits::STATUS_TIMEOUT_US));
    gateway.prepare_path(member);
    let path = member.path();
    let mut lease = path.pool.take(None, None, until).await?;
    match lease.connection().ask(&Query::ImmediateStatus, until).await {
        Ok(reply) => {
            lease.return_to_pool();
            member.replied(reply.error(), gateway.clock.now_us(), None);
            Ok(reply)
        }
        Err(lost) => {
            member.record_unreachable(&path, lost.failure, gateway.clock.now_us());
            Err(lost.failure)
        }
    }
}

fn log_unproved<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    as_of_us: u64,
    verdict: LeadVerdict,
) where
    C: Codec,
{
    let now_us = gateway.clock.now_us();
    let Some(left_out) = gateway.log_budget.take("unproved", now_us) else { return };
    slog::info!(gateway.log, "could not prove that the target is still the primary";
        "service" => &*target.record.service, "target" => &*target.record.id,
        "verdict" => ?verdict, "waited_us" => now_us.saturating_sub(as_of_us),
        "left_out" => left_out);
}
