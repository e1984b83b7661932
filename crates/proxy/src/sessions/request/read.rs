//! Single reads: at any member that has what the read must see, otherwise at the primary.
//!
//! A read has no side effects, so it may be offered to several members in turn; the last one is the primary.
//! A target that was replaced while it was partitioned would answer a plain read from a log that lacks its
//! successor's commits. Reads at the primary therefore require a log position as well, and if none is known,
//! a proof that the target is still the primary.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::log_position::LogPosition;
use skylark_core::process::homes;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::read_choice;
use skylark_core::request::read_choice::ReadCandidate;
use skylark_core::request::retry::Effect;
use skylark_core::request::retry::Failure;
use skylark_core::request::statement::NotAdmitted;
use skylark_core::request::statement::TargetError;
use skylark_core::version::routes::ReadRule;
use tokio::time;

use crate::process::counters::RetryReason;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::Reply;
use crate::sessions::connection::session::Session;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::acquire;
use crate::sessions::request::acquire::AcquireError;
use crate::sessions::request::at_primary;
use crate::sessions::request::at_primary::ReadGuarantee;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Operation;
use crate::sessions::request::sample;

/// The result of offering a read to one member.
enum OfferResult {
    /// The member's reply is the caller's answer.
    Answered(Reply),
    /// Another member may succeed.
    TryNext(RetryReason),
    /// The read failed. This reply is the caller's answer unless another member succeeds.
    Failed(Reply),
    /// The member's admission queue refused the read.
    QueueTooLong,
    /// The admission queue of the proxy in front of the member refused the read.
    NotAdmitted(NotAdmitted),
}

/// Runs a single read.
pub async fn run<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    operation: &Operation<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut last_failure = None;
    let mut refused_at_primary = None;
    while tried.len() + 1 < limits::MAX_READ_TRIES && call.now_us() < call.deadline_us() {
        let Some(at_least) = position(call, session).await else { break };
        let Some(target) = choose(call, &tried) else { break };
        tried.push(Arc::clone(&target.record.id));
        match offer(call, session, operation, &target, at_least).await {
            OfferResult::Answered(reply) => return Ok(reply),
            OfferResult::TryNext(reason) => call.gateway.counters.retry(reason),
            OfferResult::Failed(reply) => {
                call.gateway.counters.retry(RetryReason::ReadLost);
                last_failure = Some(reply);
            }
            OfferResult::QueueTooLong => call.gateway.counters.retry(RetryReason::NoRoom),
            OfferResult::NotAdmitted(refused) => {
                call.gateway.counters.retry(RetryReason::NoRoom);
                if call.gateway.is_primary(&target) {
                    refused_at_primary = Some(refused);
                }
            }
        }
    }
    // The primary may have been the preferred member. Its queue is not asked twice.
    let at_primary = match refused_at_primary {
        Some(refused) => Err(refused.into()),
        None => at_primary::read(call, session, operation).await,
    };
    match (at_primary, last_failure) {
        (Err(_), Some(reply)) => Ok(reply),
        (result, _) => result,
    }
}

/// Returns the position that the read must see; `None` if no sufficiently recent position can be obtained.
///
/// If there is none, one request samples the primary's position while the others wait. Sampling by all of
/// them, as after a start of all processes, would overload the primary's few connections.
pub async fn position<C>(call: &Call<'_, C>, session: &Session<C>) -> Option<LogPosition>
where
    C: Codec,
{
    let floor = session.floor_of(&call.route.service);
    let known = || call.gateway.position_for(call.route, floor, call.arrived_us);
    let state = call.gateway.service(&call.route.service);
    state.demand.lock().record_need(call.now_us());
    loop {
        let sampled = state.sampling_flight.ended();
        if let Some(position) = known() {
            return Some(position);
        }
        if call.route.reads == ReadRule::Primary {
            return None;
        }
        let Some(_sampling) = state.sampling_flight.begin() else {
            let left_us = call.offer_until_us().saturating_sub(call.now_us());
            if time::timeout(Duration::from_micros(left_us), sampled).await.is_err() {
                return None;
            }
            continue;
        };
        // An older position is preferred, because more replicas have reached it.
        let max_age_us = call.route.reads.max_age_ms() * 1_000 / 4 * 3;
        let sampled = sample::sample(call.gateway, &call.route.service, max_age_us).await;
        return sampled.and_then(|()| known());
    }
}

/// Returns the evidence that the primary has everything that the reads of this call's transaction must see.
pub fn read_guarantee<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    first: &Operation<'_>,
) -> ReadGuarantee
where
    C: Codec,
{
    let floor = session.floor_of(&call.route.service);
    match call.gateway.position_for(call.route, floor, call.arrived_us) {
        Some(position) => ReadGuarantee::Position(position),
        None if first.effect() == Effect::Read => ReadGuarantee::Lead,
        None => ReadGuarantee::None,
    }
}

/// Returns the member that is expected to reply first, out of those not yet tried.
pub fn choose<C>(call: &Call<'_, C>, tried: &[Arc<str>]) -> Option<Arc<TargetState<C>>>
where
    C: Codec,
{
    let now_us = call.now_us();
    let members = call.gateway.members(&call.route.service);
    let eligible = members.into_iter().filter(|member| !member.is_leaving());
    let eligible: Vec<_> = eligible.filter(|member| !tried.contains(&member.record.id)).collect();
    let preferred = call.user.and_then(|user| preferred(call, user, &eligible));
    let candidates: Vec<ReadCandidate> = eligible
        .iter()
        .map(|member| {
            let health = member.health();
            ReadCandidate {
                same_zone: member.record.zone == call.gateway.zone,
                is_primary: call.gateway.is_primary(member),
                is_preferred: preferred.is_none_or(|preferred| Arc::ptr_eq(preferred, member)),
                average_answer_us: health.average_answer_us,
                outstanding: health.queued + health.in_flight,
                is_lagging: health.lagged_us > 0
                    && now_us < health.lagged_us + limits::LAGGING_MEMBER_EJECTION_US,
                is_failing: member.is_ejected(now_us),
            }
        })
        .collect();
    let best = read_choice::choose(&candidates)?;
    // The primary, which is asked last, is preferred over a member that fails or lags.
    let is_unhealthy = candidates[best].is_failing || candidates[best].is_lagging;
    (!is_unhealthy || tried.is_empty()).then(|| Arc::clone(&eligible[best]))
}

/// Returns the replica that serves a user's reads unless another is expected to reply sooner. This way each
/// replica holds connections of some users instead of all of them.
fn preferred<'a, C>(
    call: &Call<'_, C>,
    user: &str,
    members: &'a [Arc<TargetState<C>>],
) -> Option<&'a Arc<TargetState<C>>>
where
    C: Codec,
{
    let replicas = members.iter().filter(|member| !call.gateway.is_primary(member));
    replicas.max_by_key(|member| homes::user_score(&call.route.service, user, &member.record.id))
}

/// Returns the time at which a read without a reply is offered to another member.
pub fn hedge_at_us<C>(call: &Call<'_, C>) -> u64
where
    C: Codec,
{
    hedge_after_us(call, call.now_us())
}

/// Does the same for a read that a target receives at `offered_us`.
pub fn hedge_after_us<C>(call: &Call<'_, C>, offered_us: u64) -> u64
where
    C: Codec,
{
    let part_us = call.route.objective_ms * 1_000 / limits::READ_HEDGE_DIVISOR;
    let until_us = offered_us + part_us.max(limits::LEAST_READ_HEDGE_US);
    until_us.min(call.deadline_us())
}

/// Returns by when the target receives a unit of work that is sent now. A wait in another proxy's admission
/// queue must not count as the target's silence.
pub fn offered_by_us<C>(call: &Call<'_, C>, link: &StatementLink<C>) -> u64
where
    C: Codec,
{
    link.admission_until_us().unwrap_or_default().max(call.now_us())
}

async fn offer<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    operation: &Operation<'_>,
    target: &Arc<TargetState<C>>,
    at_least: LogPosition,
) -> OfferResult
where
    C: Codec,
{
    let until_us = call.next_offer_until_us();
    let mut lease = match acquire::take(call, target, until_us).await {
        Ok(lease) => lease,
        Err(AcquireError::Queue(_)) => return OfferResult::QueueTooLong,
        Err(AcquireError::NotConnected(_)) => {
            return OfferResult::TryNext(RetryReason::ConnectFailed);
        }
    };
    let (link, at_least) = (lease.connection(), Some(at_least));
    let (sent_us, offered_us) = (call.now_us(), offered_by_us(call, link));
    target.started(offered_us);
    let until_us = hedge_after_us(call, offered_us);
    let answered = acquire::run(call, link, &session.values, operation, at_least, until_us).await;
    target.ended();
    call.record_latency(Stage::Target, sent_us);
    let now_us = call.now_us();
    let reply = match answered {
        Ok(reply) => reply,
        Err(lost) => {
            target.failed(now_us);
            call.log_lost(&target.record.id, lost.failure);
            return OfferResult::TryNext(RetryReason::ReadLost);
        }
    };
    let offered = classify_reply(target, lease.connection(), reply, sent_us, now_us);
    lease.return_to_pool();
    offered
}

fn classify_reply<C>(
    target: &TargetState<C>,
    link: &mut StatementLink<C>,
    reply: Reply,
    sent_us: u64,
    now_us: u64,
) -> OfferResult
where
    C: Codec,
{
    let took_us = now_us.saturating_sub(sent_us);
    let Some(error) = reply.error() else {
        target.answered(now_us, Some(took_us));
        return OfferResult::Answered(reply);
    };
    target.replied(Some(error), now_us, None);
    match error {
        TargetError::Lagging => {
            target.lagged(now_us);
            OfferResult::TryNext(RetryReason::Lagging)
        }
        TargetError::Busy => OfferResult::TryNext(RetryReason::Busy),
        TargetError::NotAdmitted(refused) => OfferResult::NotAdmitted(refused),
        TargetError::Unreachable => OfferResult::TryNext(RetryReason::ConnectFailed),
        TargetError::UnknownPrepared => {
            link.forget_session();
            OfferResult::TryNext(RetryReason::PreparedLost)
        }
        _ => OfferResult::Failed(reply),
    }
}

/// Returns the refusal for a read without a reply.
pub fn lost_read_refusal(failure: Failure) -> Refusal {
    match failure {
        Failure::TimedOut => ErrorKind::AnswerTimedOut.into(),
        _ => ErrorKind::ReadFailed.into(),
    }
}
