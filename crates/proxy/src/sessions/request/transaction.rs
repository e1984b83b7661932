//! Statements of an open transaction.
//!
//! The target is chosen with the first statement, not with the `BEGIN`, so that a caller that rests
//! in between holds nothing. From then on all statements go to the one connection. If that is lost
//! before the commit was sent, the target rolls back: nothing is kept, and the caller is told so.

use std::sync::Arc;

use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::Effect;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use skylark_core::request::statement::TransactionStatus;
use skylark_core::version::routes::ReadRule;

use crate::process::counters::RetryReason;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::reply::Lost;
use crate::sessions::connection::reply::Reply;
use crate::sessions::connection::session::Held;
use crate::sessions::connection::session::Session;
use crate::sessions::connection::session::SessionState;
use crate::sessions::connection::session::Transaction;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::limits;
use crate::sessions::request::acquire;
use crate::sessions::request::at_primary;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Work;
use crate::sessions::request::prove;
use crate::sessions::request::read;

/// Runs one statement of the transaction, whose state is taken out of the session meanwhile.
pub async fn run<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    mut transaction: Box<Transaction<C>>,
    work: &Work<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    let held = match transaction.held.take() {
        Some(held) => held,
        None => match open(call, session, &transaction, work).await {
            Ok(held) => held,
            Err(refusal) => {
                session.state = after_refusal(work);
                return Err(refusal);
            }
        },
    };
    statement(call, session, transaction, held, work).await
}

/// A transaction whose first statement did not come about is over, unless it was ended by it.
pub fn after_refusal<C>(work: &Work<'_>) -> SessionState<C>
where
    C: Codec,
{
    match work.effect() {
        Effect::Commit => SessionState::Idle,
        _ => SessionState::Failed(ErrorKind::ProtocolViolation),
    }
}

async fn open<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    transaction: &Transaction<C>,
    work: &Work<'_>,
) -> Result<Held<C>, Refusal>
where
    C: Codec,
{
    if transaction.read_only
        && transaction.route.reads != ReadRule::Primary
        && let Some(held) = open_reading(call, session, work).await
    {
        return Ok(held);
    }
    at_primary::open(call, session, work, read::read_guarantee(call, session, work)).await
}

/// Opens a transaction that only reads at a member that has what it must see.
async fn open_reading<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    work: &Work<'_>,
) -> Option<Held<C>>
where
    C: Codec,
{
    let mut tried: Vec<Arc<str>> = Vec::new();
    while tried.len() + 1 < limits::MAX_READ_TRIES {
        let at_least = read::position(call, session).await?;
        let target = read::choose(call, &tried)?;
        tried.push(Arc::clone(&target.record.id));
        let until_us = call.next_offer_until_us();
        let Ok(mut lease) = acquire::take(call, &target, until_us).await else {
            call.gateway.counters.retry(RetryReason::ConnectFailed);
            continue;
        };
        let link = lease.connection();
        let owed = link.push_session(&session.values, work.prepared());
        link.push_statement(None, Some(at_least), Statement::Begin { read_only: true });
        match acquire::settle(call, link, owed + 1, read::hedge_at_us(call)).await {
            Ok(Some(reply)) if reply.error().is_none() => {
                target.answered(call.now_us(), None);
                return Some(Held { lease, target, may_read: true });
            }
            Ok(reply) => {
                let error = reply.and_then(|reply| reply.error());
                target.replied(error, call.now_us(), None);
                if error == Some(TargetError::Lagging) {
                    target.lagged(call.now_us());
                }
                call.gateway.counters.retry(RetryReason::Lagging);
                lease.return_to_pool();
            }
            Err(lost) => {
                target.failed(call.now_us());
                call.gateway.counters.retry(RetryReason::ReadLost);
                call.log_lost(&target.record.id, lost.failure);
            }
        }
    }
    None
}

async fn statement<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    mut transaction: Box<Transaction<C>>,
    mut held: Held<C>,
    work: &Work<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    if work.effect() == Effect::Read
        && !held.may_read
        && let Err(refusal) = prove_for_reads(call, &mut held).await
    {
        // Its connection rolls back as it goes back.
        held.lease.return_to_pool();
        session.state = SessionState::Failed(ErrorKind::ProtocolViolation);
        return Err(refusal);
    }
    let is_commit = work.effect() == Effect::Commit;
    let until_us = call.deadline_us();
    held.lease.statement_started();
    let sent_us = call.now_us();
    held.target.started(sent_us);
    let is_durable = is_commit && transaction.wrote;
    if is_durable {
        held.target.commit_sent(sent_us);
    }
    let link = held.lease.connection();
    let answered = acquire::run(call, link, &session.values, work, None, until_us).await;
    if is_durable {
        let timed_out = answered.as_ref().is_err_and(Lost::timed_out);
        held.target.commit_ended(call.now_us(), timed_out);
    }
    held.target.ended();
    held.lease.statement_ended();
    call.took(Stage::Target, sent_us);
    let now_us = call.now_us();
    let reply = match answered {
        Ok(reply) => reply,
        Err(lost) => {
            held.target.failed(now_us);
            call.log_lost(&held.target.record.id, lost.failure);
            if is_commit {
                session.state = SessionState::Idle;
                return Err(at_primary::lost_commit(lost.failure));
            }
            session.state = SessionState::Failed(ErrorKind::ProtocolViolation);
            return Err(ErrorKind::TransactionLost.into());
        }
    };
    held.target.answered(now_us, None);
    transaction.wrote |= work.effect() == Effect::Write;
    if is_commit {
        session.state = SessionState::Idle;
        held.lease.return_to_pool();
        if reply.error().is_none() && transaction.wrote {
            at_primary::acknowledged(call, session, &held.target, sent_us, &reply).await?;
        }
        return Ok(reply);
    }
    if reply.error().is_some() && reply.status != TransactionStatus::Open {
        session.state = SessionState::Failed(ErrorKind::ProtocolViolation);
        held.lease.return_to_pool();
        return Ok(reply);
    }
    transaction.held = Some(held);
    session.state = SessionState::Open(transaction);
    Ok(reply)
}

/// The first read of a transaction that began with a write: what it must see has to be shown now.
async fn prove_for_reads<C>(call: &Call<'_, C>, held: &mut Held<C>) -> Result<(), Refusal>
where
    C: Codec,
{
    let proof = prove::lead_for(call, &held.target).await;
    // Nothing of the transaction is kept.
    proof.map_err(|_| Refusal::from(ErrorKind::TransactionLost))?;
    held.may_read = true;
    Ok(())
}

/// Rolls a transaction back; its connection goes back once that is done.
pub fn roll_back<C>(transaction: Box<Transaction<C>>)
where
    C: Codec,
{
    if let Some(held) = transaction.held {
        held.lease.return_to_pool();
    }
}
