//! Operations that only the primary may run: transactions that may write, single writes, and reads that need
//! a proof that the target is still the primary (its lead).
//!
//! A target that is not the primary refuses a write or a `BEGIN` before running anything, so either may be
//! retried at the next candidate. A single write whose reply is lost may have run, so it is never retried. A
//! primary that was replaced while it was partitioned refuses nothing: its writes are never acknowledged, and
//! its reads wait until status reports of other members prove that it was still the primary when the request
//! arrived.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::Failure;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use tokio::time;

use crate::connection::lease::Lease;
use crate::process::counters::Event;
use crate::process::counters::RetryReason;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::LostReply;
use crate::sessions::connection::reply::Reply;
use crate::sessions::connection::session::PinnedConnection;
use crate::sessions::connection::session::Session;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::acquire;
use crate::sessions::request::acquire::AcquireError;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Operation;
use crate::sessions::request::call::no_primary;
use crate::sessions::request::confirm;
use crate::sessions::request::confirm::Acknowledged;
use crate::sessions::request::confirm::Unconfirmed;
use crate::sessions::request::prove;
use crate::sessions::request::prove::Unproved;
use crate::sessions::request::read;

/// The evidence that a primary has everything that the reads of a transaction must see.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadGuarantee {
    /// The primary refuses the transaction unless its log reaches at least this position.
    Position(LogPosition),
    /// A proof that the target was still the primary when the first byte of the request arrived.
    Lead,
    /// No evidence is needed yet, because the first statement is not a read.
    None,
}

/// Runs a single read at the primary. If its reply is lost, it is retried as long as the number of attempts
/// and the time allow.
pub async fn read<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    operation: &Operation<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    let mut tries = 0;
    loop {
        tries += 1;
        let guarantee = read::read_guarantee(call, session, operation);
        let pinned = open(call, session, operation, guarantee).await?;
        match read_once(call, pinned, operation).await {
            Ok(reply) => return Ok(reply),
            Err(lost) => {
                let may_repeat = tries < limits::MAX_PRIMARY_READS
                    && call.now_us() + limits::PRIMARY_PAUSE_US < call.offer_until_us();
                if !may_repeat {
                    return Err(read::lost_read_refusal(lost.failure));
                }
                call.gateway.counters.retry(RetryReason::ReadLost);
            }
        }
    }
}

/// Runs a read in the open transaction, whose `BEGIN` established the read guarantee.
async fn read_once<C>(
    call: &Call<'_, C>,
    mut pinned: PinnedConnection<C>,
    operation: &Operation<'_>,
) -> Result<Reply, LostReply>
where
    C: Codec,
{
    let target = Arc::clone(&pinned.target);
    let sent_us = call.now_us();
    target.started(sent_us);
    let link = pinned.lease.connection();
    operation.push(link, call.id, None);
    // The rollback is sent together with the read, because the transaction ends whatever the read's result
    // is.
    link.push_own(Statement::Rollback);
    let until = call.gateway.clock.instant_at(read::hedge_at_us(call));
    let answered = link.exchange(until).await;
    target.ended();
    call.record_latency(Stage::Target, sent_us);
    let now_us = call.now_us();
    match answered {
        Ok(reply) => {
            target.replied(reply.error(), now_us, Some(now_us.saturating_sub(sent_us)));
            if reply.error() == Some(TargetError::UnknownPrepared) {
                pinned.lease.connection().forget_session();
            }
            // The pool receives the rollback's reply when the connection is returned.
            pinned.lease.return_to_pool();
            Ok(reply)
        }
        Err(lost) => {
            target.failed(now_us);
            call.log_lost(&target.record.id, lost.failure);
            Err(lost)
        }
    }
}

/// Runs a single write, which is committed on its own.
pub async fn write<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    operation: &Operation<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    loop {
        let (target, mut lease) = take_primary(call).await?;
        let until_us = call.deadline_us();
        let link = lease.connection();
        let pending = link.push_session(&session.values, operation.prepared());
        match acquire::exchange_all(call, link, pending, until_us).await {
            Ok(Some(reply)) if reply.error().is_some() => {
                call.gateway.counters.retry(RetryReason::Busy);
                lease.return_to_pool();
                wait_for_primary(call).await?;
                continue;
            }
            Ok(_) => (),
            Err(_) => {
                target.failed(call.now_us());
                call.gateway.counters.retry(RetryReason::ConnectFailed);
                wait_for_primary(call).await?;
                continue;
            }
        }
        let sent_us = call.now_us();
        target.started(read::offered_by_us(call, link));
        // A commit that waits in another proxy's admission queue is not stuck at the target. That proxy
        // monitors the commits that it sends to the target.
        let is_monitored = link.admission_until_us().is_none();
        if is_monitored {
            target.commit_sent(sent_us);
        }
        operation.push(link, call.id, None);
        let answered = link.exchange(call.gateway.clock.instant_at(until_us)).await;
        target.ended();
        call.record_latency(Stage::Target, sent_us);
        let now_us = call.now_us();
        if is_monitored {
            target.commit_ended(now_us, answered.as_ref().is_err_and(LostReply::timed_out));
        }
        let reply = match answered {
            Ok(reply) => reply,
            Err(lost) => {
                target.failed(now_us);
                call.log_lost(&target.record.id, lost.failure);
                return Err(lost_commit_refusal(lost.failure));
            }
        };
        target.replied(reply.error(), now_us, None);
        match reply.error() {
            None => {
                lease.return_to_pool();
                finish_commit(call, session, &target, sent_us, &reply).await?;
                return Ok(reply);
            }
            Some(TargetError::ReadOnly) => call.gateway.record_not_primary(&target),
            Some(TargetError::Busy | TargetError::Unreachable) => (),
            // The other proxy's queue knows when a retry may succeed. Asking again would only join the end of
            // the queue.
            Some(TargetError::NotAdmitted(refused)) => {
                lease.return_to_pool();
                return Err(refused.into());
            }
            Some(TargetError::UnknownPrepared) => lease.connection().forget_session(),
            Some(_) => {
                lease.return_to_pool();
                return Ok(reply);
            }
        }
        call.gateway.counters.retry(retry_reason(&reply));
        lease.return_to_pool();
        wait_for_primary(call).await.map_err(|refusal| final_refusal(&reply, refusal))?;
    }
}

/// Opens a transaction that may write, with the guarantee that its reads need. The connection has the
/// session's values and the prepared statement of the first operation.
pub async fn open<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    operation: &Operation<'_>,
    guarantee: ReadGuarantee,
) -> Result<PinnedConnection<C>, Refusal>
where
    C: Codec,
{
    let at_least = match guarantee {
        ReadGuarantee::Position(position) => Some(position),
        ReadGuarantee::Lead | ReadGuarantee::None => None,
    };
    loop {
        let (target, mut lease) = take_primary(call).await?;
        let link = lease.connection();
        let until_us = read::hedge_after_us(call, read::offered_by_us(call, link));
        if guarantee == ReadGuarantee::Lead
            && prove::learn_term(call.gateway, &target, link, call.arrived_us).await.is_err()
        {
            target.failed(call.now_us());
            call.gateway.counters.retry(RetryReason::ConnectFailed);
            wait_for_primary(call).await?;
            continue;
        }
        let pending = link.push_session(&session.values, operation.prepared());
        let begin = Statement::Begin { read_only: false };
        link.push_begin(call.begin_id(&target), at_least, begin);
        target.started(read::offered_by_us(call, link));
        // Other members are queried while the primary replies, so that the proof adds hardly any latency.
        let proof = prove_lead_if(guarantee == ReadGuarantee::Lead, call, &target);
        let exchanged = acquire::exchange_all(call, link, pending + 1, until_us);
        let (exchanged, proof) = tokio::join!(exchanged, proof);
        target.ended();
        let refusal = match exchanged {
            Ok(Some(reply)) if reply.error().is_none() => {
                target.answered(call.now_us(), None);
                match (guarantee, proof) {
                    (ReadGuarantee::Lead, Ok(())) => {
                        call.gateway.proved_lead(&target, call.arrived_us, reply.position);
                    }
                    (ReadGuarantee::Position(_) | ReadGuarantee::None, _) => {
                        call.gateway.answered_as_primary(&target);
                    }
                    (ReadGuarantee::Lead, Err(Unproved::Superseded)) => {
                        call.gateway.counters.retry(RetryReason::NotPrimary);
                        lease.return_to_pool();
                        wait_for_primary(call).await?;
                        continue;
                    }
                    (ReadGuarantee::Lead, Err(Unproved::NoReply)) => {
                        lease.return_to_pool();
                        return Err(ErrorKind::LeadUnproved.into());
                    }
                }
                return Ok(PinnedConnection {
                    lease,
                    target,
                    may_read: guarantee != ReadGuarantee::None,
                });
            }
            Ok(Some(reply)) => {
                target.replied(reply.error(), call.now_us(), None);
                if let Some(TargetError::NotAdmitted(refused)) = reply.error() {
                    lease.return_to_pool();
                    return Err(refused.into());
                }
                if shows_lost_lead(&reply, at_least) {
                    call.gateway.record_not_primary(&target);
                }
                call.gateway.counters.retry(retry_reason(&reply));
                lease.return_to_pool();
                Some(reply)
            }
            Ok(None) | Err(_) => {
                // The transaction was not opened, so nothing ran.
                target.failed(call.now_us());
                call.gateway.counters.retry(RetryReason::ConnectFailed);
                None
            }
        };
        wait_for_primary(call).await.map_err(|error| match &refusal {
            Some(reply) => final_refusal(reply, error),
            None => error,
        })?;
    }
}

/// Handles the acknowledgement of a commit: raises the session's floor, and records that the target was still
/// the primary when the commit was sent, because a replica received it.
///
/// # Errors
///
/// The outcome is unknown (`NotConfirmed`) unless a listed member reports that it received the commit. Without
/// synchronous replicas a target that was replaced acknowledges commits too, and these are lost when it rejoins
/// as a replica of its successor. In this case the lead has to be proved instead.
pub async fn finish_commit<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    target: &Arc<TargetState<C>>,
    sent_us: u64,
    reply: &Reply,
) -> Result<(), Refusal>
where
    C: Codec,
{
    let gateway = call.gateway;
    let service = &call.route.service;
    match Acknowledged::by_replica(gateway, target, sent_us, reply.position) {
        Some(commit) => {
            let confirmed = confirm::commit(gateway, &commit, call.deadline_us()).await;
            confirmed.map_err(|Unconfirmed| Refusal::from(ErrorKind::NotConfirmed))?;
        }
        None => {
            let proof = prove::lead(gateway, target, call.now_us(), call.deadline_us()).await;
            proof.map_err(|_| Refusal::from(ErrorKind::NotConfirmed))?;
            gateway.proved_lead(target, sent_us, reply.position);
        }
    }
    gateway.counters.event(Event::WritesAcknowledged);
    if let Some(position) = reply.position {
        session.raise_floor(service, position);
    }
    Ok(())
}

/// Proves that the target was still the primary when the request arrived, if a proof is needed.
async fn prove_lead_if<C>(
    is_needed: bool,
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
) -> Result<(), Unproved>
where
    C: Codec,
{
    if !is_needed {
        return Ok(());
    }
    prove::lead_for(call, target).await
}

/// Returns whether a refusal shows that the target is not the primary: it says so, or its log ends in an
/// earlier term than an acknowledged position.
fn shows_lost_lead(reply: &Reply, at_least: Option<LogPosition>) -> bool {
    let ends_earlier = |at_least: LogPosition| {
        reply.position.is_some_and(|position| position.term < at_least.term)
    };
    match reply.error() {
        Some(TargetError::ReadOnly) => true,
        Some(TargetError::Lagging) => at_least.is_some_and(ends_earlier),
        _ => false,
    }
}

/// Returns the refusal for a commit without a reply.
pub fn lost_commit_refusal(failure: Failure) -> Refusal {
    match failure {
        Failure::TimedOut => ErrorKind::NotConfirmed.into(),
        _ => ErrorKind::AnswerLost.into(),
    }
}

/// Waits for a connection to the primary. The primary may change during the wait.
async fn take_primary<C>(
    call: &Call<'_, C>,
) -> Result<(Arc<TargetState<C>>, Lease<StatementLink<C>>), Refusal>
where
    C: Codec,
{
    let mut waited = false;
    loop {
        if let Some(target) = call.gateway.primary(&call.route.service) {
            match acquire::take(call, &target, call.offer_until_us()).await {
                Ok(lease) => return Ok((target, lease)),
                Err(AcquireError::Queue(refusal)) => return Err(refusal),
                Err(AcquireError::NotConnected(_)) => {
                    call.gateway.counters.retry(RetryReason::ConnectFailed);
                }
            }
        }
        if !waited {
            waited = true;
            call.gateway.counters.event(Event::PrimaryWaits);
        }
        wait_for_primary(call).await?;
    }
}

/// Waits until the process's view changes or a short pause is over. Refuses once the request can't be offered
/// to a target in time.
async fn wait_for_primary<C>(call: &Call<'_, C>) -> Result<(), Refusal>
where
    C: Codec,
{
    if call.now_us() + limits::PRIMARY_PAUSE_US >= call.offer_until_us() {
        return Err(no_primary());
    }
    let mut changes = call.gateway.changes();
    changes.mark_unchanged();
    let moment = Duration::from_micros(limits::PRIMARY_PAUSE_US);
    // The sender is never dropped while requests run, so only a change or the timeout ends the wait.
    let _ = time::timeout(moment, changes.changed()).await;
    Ok(())
}

fn retry_reason(reply: &Reply) -> RetryReason {
    match reply.error() {
        Some(TargetError::ReadOnly) => RetryReason::NotPrimary,
        Some(TargetError::UnknownPrepared) => RetryReason::PreparedLost,
        Some(TargetError::Lagging) => RetryReason::Lagging,
        Some(TargetError::Unreachable) => RetryReason::ConnectFailed,
        _ => RetryReason::Busy,
    }
}

/// Returns the refusal after the last attempt: the target's own reason if it has one, otherwise
/// `default_refusal`.
fn final_refusal(reply: &Reply, default_refusal: Refusal) -> Refusal {
    match reply.error() {
        Some(TargetError::Busy) => ErrorKind::TargetBusy.into(),
        Some(TargetError::Lagging) => ErrorKind::TooOld.into(),
        _ => default_refusal,
    }
}
