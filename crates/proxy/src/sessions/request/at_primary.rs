//! Work that only the primary may run: opening a transaction that may write, single writes, and
//! reads that need a proof of the lead.
//!
//! A target that does not lead refuses a write and the opening of a transaction before running
//! anything, so both may go to the next candidate. A single write whose answer is lost may have run,
//! so it never does.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::Failure;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use tokio::time;

use crate::connection::pool::Lease;
use crate::process::counters::Event;
use crate::process::counters::RetryReason;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::Lost;
use crate::sessions::connection::reply::Reply;
use crate::sessions::connection::session::Held;
use crate::sessions::connection::session::Session;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::acquire;
use crate::sessions::request::acquire::NotTaken;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Work;
use crate::sessions::request::call::no_primary;
use crate::sessions::request::read;

/// Runs a single read at the primary.
pub async fn read<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    work: &Work<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    let mut tries = 0;
    loop {
        tries += 1;
        let held = open(call, session, work).await?;
        match read_once(call, held, work).await {
            Ok(reply) => return Ok(reply),
            Err(lost) => {
                let may_repeat = tries < limits::MAX_PRIMARY_READS
                    && call.now_us() + limits::PRIMARY_PAUSE_US < call.offer_until_us();
                if !may_repeat {
                    return Err(read::lost_read(lost.failure));
                }
                call.gateway.counters.retry(RetryReason::ReadLost);
            }
        }
    }
}

/// Runs a read in the transaction whose opening proved the lead.
async fn read_once<C>(call: &Call<'_, C>, mut held: Held<C>, work: &Work<'_>) -> Result<Reply, Lost>
where
    C: Codec,
{
    let target = Arc::clone(&held.target);
    let sent_us = call.now_us();
    target.started(sent_us);
    let link = held.lease.connection();
    work.push(link, call.id, None);
    // Sent along: whatever becomes of the read, its transaction ends.
    link.push_own(Statement::Rollback);
    let until = call.gateway.clock.instant_at(read::patience_until_us(call));
    let answered = link.exchange(until).await;
    target.ended();
    call.took(Stage::Target, sent_us);
    let now_us = call.now_us();
    match answered {
        Ok(reply) => {
            target.answered(now_us, Some(now_us.saturating_sub(sent_us)));
            if reply.error() == Some(TargetError::UnknownPrepared) {
                held.lease.connection().forget_session();
            }
            // The answer to the rollback is awaited while the connection goes back.
            held.lease.give_back();
            Ok(reply)
        }
        Err(lost) => {
            target.failed(now_us);
            call.log_lost(&target.record.id, lost.failure);
            Err(lost)
        }
    }
}

/// Runs a single write, which commits by itself.
pub async fn write<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    work: &Work<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    loop {
        let (target, mut lease) = take(call).await?;
        let until_us = call.deadline_us();
        let link = lease.connection();
        let owed = link.push_session(&session.values, work.prepared());
        match acquire::settle(call, link, owed, until_us).await {
            Ok(Some(reply)) if reply.error().is_some() => {
                call.gateway.counters.retry(RetryReason::Busy);
                lease.give_back();
                pause(call).await?;
                continue;
            }
            Ok(_) => (),
            Err(_) => {
                target.failed(call.now_us());
                call.gateway.counters.retry(RetryReason::ConnectFailed);
                pause(call).await?;
                continue;
            }
        }
        let sent_us = call.now_us();
        target.started(sent_us);
        target.commit_sent(sent_us);
        work.push(link, call.id, None);
        let answered = link.exchange(call.gateway.clock.instant_at(until_us)).await;
        target.ended();
        call.took(Stage::Target, sent_us);
        let now_us = call.now_us();
        target.commit_ended(now_us, answered.as_ref().is_err_and(Lost::timed_out));
        let reply = match answered {
            Ok(reply) => reply,
            Err(lost) => {
                target.failed(now_us);
                call.log_lost(&target.record.id, lost.failure);
                return Err(lost_commit(lost.failure));
            }
        };
        target.answered(now_us, None);
        match reply.error() {
            None => {
                acknowledged(call, session, &target, sent_us, &reply);
                lease.give_back();
                return Ok(reply);
            }
            Some(TargetError::ReadOnly) => call.gateway.refused_lead(&target),
            Some(TargetError::Busy) => (),
            Some(TargetError::UnknownPrepared) => lease.connection().forget_session(),
            Some(_) => {
                lease.give_back();
                return Ok(reply);
            }
        }
        call.gateway.counters.retry(reason_of(&reply));
        lease.give_back();
        pause(call).await.map_err(|refusal| refused_as(&reply, refusal))?;
    }
}

/// Opens a transaction that may write, and with it proves the lead of its target. The connection has
/// the session and what its first statement needs.
pub async fn open<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    work: &Work<'_>,
) -> Result<Held<C>, Refusal>
where
    C: Codec,
{
    loop {
        let (target, mut lease) = take(call).await?;
        let until_us = read::patience_until_us(call);
        let sent_us = call.now_us();
        let link = lease.connection();
        let owed = link.push_session(&session.values, work.prepared());
        link.push_own(Statement::Begin { read_only: false });
        target.started(sent_us);
        let settled = acquire::settle(call, link, owed + 1, until_us).await;
        target.ended();
        let refusal = match settled {
            Ok(Some(reply)) if reply.error().is_none() => {
                target.answered(call.now_us(), None);
                call.gateway.proved_lead(&target, sent_us, reply.position);
                return Ok(Held { lease, target });
            }
            Ok(Some(reply)) => {
                target.answered(call.now_us(), None);
                if reply.error() == Some(TargetError::ReadOnly) {
                    call.gateway.refused_lead(&target);
                }
                call.gateway.counters.retry(reason_of(&reply));
                lease.give_back();
                Some(reply)
            }
            Ok(None) | Err(_) => {
                // Nothing of the transaction had begun.
                target.failed(call.now_us());
                call.gateway.counters.retry(RetryReason::ConnectFailed);
                None
            }
        };
        pause(call).await.map_err(|error| match &refusal {
            Some(reply) => refused_as(reply, error),
            None => error,
        })?;
    }
}

/// A commit was acknowledged: the session has to see it from now on, and the target leads.
pub fn acknowledged<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    target: &TargetState<C>,
    sent_us: u64,
    reply: &Reply,
) where
    C: Codec,
{
    call.gateway.counters.event(Event::WritesAcknowledged);
    call.gateway.proved_lead(target, sent_us, reply.position);
    if let Some(position) = reply.position {
        session.committed(&call.route.service, position);
    }
}

/// What a caller is told of a commit without an answer.
pub fn lost_commit(failure: Failure) -> Refusal {
    match failure {
        Failure::TimedOut => ErrorKind::NotConfirmed.into(),
        _ => ErrorKind::AnswerLost.into(),
    }
}

/// Waits for a connection to the primary, whichever target that is meanwhile.
async fn take<C>(
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
                Err(NotTaken::Queue(refusal)) => return Err(refusal),
                Err(NotTaken::NotConnected(_)) => {
                    call.gateway.counters.retry(RetryReason::ConnectFailed);
                }
            }
        }
        if !waited {
            waited = true;
            call.gateway.counters.event(Event::PrimaryWaits);
        }
        pause(call).await?;
    }
}

/// Waits for news of the primary, or for a moment; refuses once the request has waited for too long.
async fn pause<C>(call: &Call<'_, C>) -> Result<(), Refusal>
where
    C: Codec,
{
    if call.now_us() + limits::PRIMARY_PAUSE_US >= call.offer_until_us() {
        return Err(no_primary());
    }
    let mut changes = call.gateway.changes();
    changes.mark_unchanged();
    let moment = Duration::from_micros(limits::PRIMARY_PAUSE_US);
    // The sender lives as long as the process's state, so only news or the time ends this.
    let _ = time::timeout(moment, changes.changed()).await;
    Ok(())
}

fn reason_of(reply: &Reply) -> RetryReason {
    match reply.error() {
        Some(TargetError::ReadOnly) => RetryReason::NotPrimary,
        Some(TargetError::UnknownPrepared) => RetryReason::PreparedLost,
        _ => RetryReason::Busy,
    }
}

/// The refusal after the last try, in the words of what the target said.
fn refused_as(reply: &Reply, otherwise: Refusal) -> Refusal {
    match reply.error() {
        Some(TargetError::Busy) => ErrorKind::TargetBusy.into(),
        _ => otherwise,
    }
}
