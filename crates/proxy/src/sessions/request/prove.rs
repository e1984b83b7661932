//! Bringing the words of other members that prove a target's lead.
//!
//! One round of questions serves all who wait: words that are asked for after a request arrived prove
//! the lead for it and for all that arrived before.

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
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::End;
use crate::sessions::connection::reply::Lost;
use crate::sessions::connection::reply::Reply;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::call::Call;

/// The pause after questions that nobody answered.
const ASK_AGAIN: Duration = Duration::from_millis(10);

/// How long the first members asked may take before the others are asked as well. They answer in 2 ms.
const ASK_OTHERS: Duration = Duration::from_millis(15);

/// Why a lead was not proved.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unproved {
    /// It was lost to another target.
    Superseded,
    /// Too few other members could be asked.
    NoReply,
}

/// Proves that by `moment_us` nobody but `target` had acknowledged anything, or gives up at
/// `until_us`.
pub async fn lead<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    moment_us: u64,
    until_us: u64,
) -> Result<(), Unproved>
where
    C: Codec,
{
    let result = settle(gateway, target, moment_us, until_us).await;
    match result {
        Ok(()) => gateway.counters.event(Event::LeadsProved),
        Err(Unproved::NoReply) => gateway.counters.event(Event::LeadsUnproved),
        Err(Unproved::Superseded) => gateway.counters.event(Event::LeadsSuperseded),
    }
    result
}

async fn settle<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    moment_us: u64,
    until_us: u64,
) -> Result<(), Unproved>
where
    C: Codec,
{
    let state = gateway.service(&target.record.service);
    let came_us = gateway.clock.now_us();
    let mut was_asked = false;
    loop {
        let asked = state.asking.ended();
        let verdict = gateway.lead_verdict(target, moment_us);
        match verdict {
            LeadVerdict::Proved => return Ok(()),
            LeadVerdict::Superseded { term } => {
                gateway.superseded(target, term);
                return Err(Unproved::Superseded);
            }
            LeadVerdict::TermUnknown | LeadVerdict::Missing(_) => (),
        }
        let now_us = gateway.clock.now_us();
        // Nobody answered just before it came, or whoever is left can't be reached: it is told so at once.
        let is_hopeless = was_asked && is_hopeless(gateway, target, verdict, moment_us);
        if now_us >= until_us || is_hopeless || state.was_asked_in_vain(came_us) {
            log_unproved(gateway, target, moment_us, verdict);
            return Err(Unproved::NoReply);
        }
        was_asked = true;
        match state.asking.begin() {
            Some(_asking) => {
                let is_answered = ask(gateway, target, verdict, moment_us, until_us).await?;
                if !is_answered {
                    if nobody_is_reached(gateway, target) {
                        state.set_asked_in_vain(gateway.clock.now_us());
                    }
                    time::sleep(ASK_AGAIN).await;
                }
            }
            None => {
                let left = Duration::from_micros(until_us - now_us);
                // Whatever ends the wait, the verdict is looked at again.
                let _ = time::timeout(left, asked).await;
            }
        }
    }
}

/// Proves the lead of the target of a call for when the call's first byte had arrived.
pub async fn lead_for<C>(call: &Call<'_, C>, target: &TargetState<C>) -> Result<(), Unproved>
where
    C: Codec,
{
    lead(call.gateway, target, call.arrived_us, call.next_offer_until_us()).await
}

/// Asks whoever can help. Returns whether anybody said anything.
async fn ask<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    verdict: LeadVerdict,
    moment_us: u64,
    until_us: u64,
) -> Result<bool, Unproved>
where
    C: Codec,
{
    let mut missing = match verdict {
        LeadVerdict::Missing(missing) => missing,
        LeadVerdict::TermUnknown => {
            // Nothing can be counted before it is known which term the words are about.
            let Some(word) = word_of(gateway, target, until_us).await else { return Ok(false) };
            if !word.leads {
                gateway.refused_lead(target);
                return Err(Unproved::Superseded);
            }
            return Ok(true);
        }
        LeadVerdict::Proved | LeadVerdict::Superseded { .. } => return Ok(true),
    };
    let state = gateway.service(&target.record.service);
    let has_said = |member: &Arc<TargetState<C>>| {
        let asked_us = state.words.lock().asked_us(&member.record.id);
        asked_us.is_some_and(|asked_us| asked_us >= moment_us)
    };
    let mut others = witnesses(gateway, target).into_iter().filter(|member| !has_said(member));
    let ask = async |member: Arc<TargetState<C>>| word_of(gateway, &member, until_us).await;
    let mut asked: FuturesUnordered<_> = others.by_ref().take(missing).map(ask).collect();
    let mut is_answered = false;
    while missing > 0 && !asked.is_empty() {
        match time::timeout(ASK_OTHERS, asked.next()).await {
            Ok(Some(word)) if word.is_some() => {
                missing -= 1;
                is_answered = true;
            }
            // It can't be asked, or takes long: whoever else there is may be faster.
            Ok(_) | Err(_) => asked.extend(others.by_ref().map(ask)),
        }
    }
    Ok(is_answered)
}

/// Whether so many members were not heard since a moment, and can't be reached, that the words which are
/// missing can't come: asking the others again brings nothing.
fn is_hopeless<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    verdict: LeadVerdict,
    moment_us: u64,
) -> bool
where
    C: Codec,
{
    let LeadVerdict::Missing(missing) = verdict else { return false };
    let state = gateway.service(&target.record.service);
    let now_us = gateway.clock.now_us();
    let may_say = |member: &Arc<TargetState<C>>| {
        let asked_us = state.words.lock().asked_us(&member.record.id);
        asked_us.is_none_or(|asked_us| asked_us < moment_us) && !member.is_ejected(now_us)
    };
    witnesses(gateway, target).into_iter().filter(may_say).count() < missing
}

/// Whether no other member can be reached: one that only has no connection free may answer next time.
fn nobody_is_reached<C>(gateway: &Gateway<C>, target: &TargetState<C>) -> bool
where
    C: Codec,
{
    let members = gateway.members(&target.record.service).into_iter();
    let mut others = members.filter(|member| member.record.id != target.record.id);
    others.all(|member| member.pool().is_failing() || member.health().failed_since_us.is_some())
}

/// Asks a target over a connection that a request has taken anyway which term it leads, if that is not
/// known: after a start all connections are taken, and a question of its own would wait for one.
pub async fn learn_term<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    link: &mut StatementLink<C>,
    moment_us: u64,
) -> Result<(), Lost>
where
    C: Codec,
{
    if gateway.lead_verdict(target, moment_us) != LeadVerdict::TermUnknown {
        return Ok(());
    }
    gateway.counters.event(Event::MembersAsked);
    let asked_us = gateway.clock.now_us();
    let until = gateway.clock.instant_at(asked_us + limits::STATUS_TIMEOUT_US);
    let reply = link.ask(&Query::Standing, until).await?;
    heard(gateway, target, asked_us, &reply);
    Ok(())
}

/// Takes in what a member said of itself.
fn heard<C>(
    gateway: &Gateway<C>,
    member: &TargetState<C>,
    asked_us: u64,
    reply: &Reply,
) -> Option<LeadReport>
where
    C: Codec,
{
    let End::Complete { .. } = reply.end else { return None };
    let status = C::decode_status(&reply.first_row).ok()?;
    let word = LeadReport {
        asked_us,
        leads: status.is_primary,
        term: status.term,
        received: status.received,
    };
    gateway.service(&member.record.service).heard(&member.record.id, word);
    Some(word)
}

/// The other members, those first that are expected to answer first.
fn witnesses<C>(gateway: &Gateway<C>, target: &TargetState<C>) -> Vec<Arc<TargetState<C>>>
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

/// What a member says of itself.
async fn word_of<C>(
    gateway: &Gateway<C>,
    member: &TargetState<C>,
    until_us: u64,
) -> Option<LeadReport>
where
    C: Codec,
{
    let asked_us = gateway.clock.now_us();
    let reply = status_of(gateway, member, until_us).await.ok()?;
    heard(gateway, member, asked_us, &reply)
}

/// Asks a member for its standing, past the queue: it takes no slot.
pub async fn status_of<C>(
    gateway: &Gateway<C>,
    member: &TargetState<C>,
    until_us: u64,
) -> Result<Reply, Failure>
where
    C: Codec,
{
    gateway.counters.event(Event::MembersAsked);
    let now_us = gateway.clock.now_us();
    let until = gateway.clock.instant_at(until_us.min(now_us + limits::STATUS_TIMEOUT_US));
    let path = member.path();
    let mut lease = path.pool.take(None, None, until).await?;
    match lease.connection().ask(&Query::Standing, until).await {
        Ok(reply) => {
            lease.give_back();
            member.replied(reply.error(), gateway.clock.now_us(), None);
            Ok(reply)
        }
        Err(lost) => {
            member.unreached(&path, lost.failure, gateway.clock.now_us());
            Err(lost.failure)
        }
    }
}

fn log_unproved<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    moment_us: u64,
    verdict: LeadVerdict,
) where
    C: Codec,
{
    let now_us = gateway.clock.now_us();
    let Some(left_out) = gateway.log_budget.take("unproved", now_us) else { return };
    slog::info!(gateway.log, "the lead is not proved";
        "service" => &*target.record.service, "target" => &*target.record.id,
        "verdict" => ?verdict, "waited_us" => now_us.saturating_sub(moment_us),
        "left_out" => left_out);
}
