//! Statements of an open transaction.
//!
//! The target is chosen with the first statement and not with `BEGIN`, so that a caller that is idle after
//! `BEGIN` holds no connection. All later statements use the same connection. If it is lost before the commit
//! was sent, the target rolls back and the caller receives an error that says so.

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
use crate::sessions::connection::reply::LostReply;
use crate::sessions::connection::reply::Reply;
use crate::sessions::connection::session::PinnedConnection;
use crate::sessions::connection::session::Session;
use crate::sessions::connection::session::SessionState;
use crate::sessions::connection::session::Transaction;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::limits;
use crate::sessions::request::acquire;
use crate::sessions::request::at_primary;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Operation;
use crate::sessions::request::prove;
use crate::sessions::request::read;

/// Runs one statement of a transaction. The caller of this function has taken the transaction out of the
/// session's state; it is put back unless it ended.
pub async fn run<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    mut transaction: Box<Transaction<C>>,
    operation: &Operation<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    let pinned = match transaction.pinned.take() {
        Some(pinned) => pinned,
        None => match open(call, session, &transaction, operation).await {
            Ok(pinned) => pinned,
            Err(refusal) => {
                session.state = after_refusal(operation);
                return Err(refusal);
            }
        },
    };
    run_statement(call, session, transaction, pinned, operation).await
}

/// Returns the session's state after the first statement of a transaction was refused. The transaction has
/// failed, unless the statement was to end it.
pub fn after_refusal<C>(operation: &Operation<'_>) -> SessionState<C>
where
    C: Codec,
{
    match operation.effect() {
        Effect::Commit => SessionState::Idle,
        _ => SessionState::Failed(ErrorKind::ProtocolViolation),
    }
}

async fn open<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    transaction: &Transaction<C>,
    operation: &Operation<'_>,
) -> Result<PinnedConnection<C>, Refusal>
where
    C: Codec,
{
    if transaction.read_only
        && transaction.route.reads != ReadRule::Primary
        && let Some(pinned) = open_read_only(call, session, operation).await
    {
        return Ok(pinned);
    }
    at_primary::open(call, session, operation, read::read_guarantee(call, session, operation)).await
}

/// Opens a read-only transaction at a member that has what it must see; `None` if no such member accepts it.
async fn open_read_only<C>(
    call: &Call<'_, C>,
    session: &Session<C>,
    operation: &Operation<'_>,
) -> Option<PinnedConnection<C>>
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
        let pending = link.push_session(&session.values, operation.prepared());
        let begin = Statement::Begin { read_only: true };
        link.push_begin(call.begin_id(&target), Some(at_least), begin);
        let until_us = read::hedge_after_us(call, read::offered_by_us(call, link));
        match acquire::exchange_all(call, link, pending + 1, until_us).await {
            Ok(Some(reply)) if reply.error().is_none() => {
                target.answered(call.now_us(), None);
                return Some(PinnedConnection { lease, target, may_read: true });
            }
            Ok(reply) => {
                let error = reply.and_then(|reply| reply.error());
                target.replied(error, call.now_us(), None);
                if error == Some(TargetError::Lagging) {
                    target.lagged(call.now_us());
                }
                call.gateway.counters.retry(match error {
                    Some(TargetError::NotAdmitted(_)) => RetryReason::NoRoom,
                    _ => RetryReason::Lagging,
                });
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

async fn run_statement<C>(
    call: &Call<'_, C>,
    session: &mut Session<C>,
    mut transaction: Box<Transaction<C>>,
    mut pinned: PinnedConnection<C>,
    operation: &Operation<'_>,
) -> Result<Reply, Refusal>
where
    C: Codec,
{
    if operation.effect() == Effect::Read
        && !pinned.may_read
        && let Err(refusal) = ensure_may_read(call, &mut pinned).await
    {
        // The pool rolls the transaction back when the connection is returned.
        pinned.lease.return_to_pool();
        session.state = SessionState::Failed(ErrorKind::ProtocolViolation);
        return Err(refusal);
    }
    let is_commit = operation.effect() == Effect::Commit;
    let until_us = call.deadline_us();
    pinned.lease.statement_started();
    let sent_us = call.now_us();
    pinned.target.started(sent_us);
    let is_durable = is_commit && transaction.wrote;
    if is_durable {
        pinned.target.commit_sent(sent_us);
    }
    let link = pinned.lease.connection();
    let answered = acquire::run(call, link, &session.values, operation, None, until_us).await;
    if is_durable {
        let timed_out = answered.as_ref().is_err_and(LostReply::timed_out);
        pinned.target.commit_ended(call.now_us(), timed_out);
    }
    pinned.target.ended();
    pinned.lease.statement_ended();
    call.record_latency(Stage::Target, sent_us);
    let now_us = call.now_us();
    let reply = match answered {
        Ok(reply) => reply,
        Err(lost) => {
            pinned.target.failed(now_us);
            call.log_lost(&pinned.target.record.id, lost.failure);
            if is_commit {
                session.state = SessionState::Idle;
                return Err(at_primary::lost_commit_refusal(lost.failure));
            }
            session.state = SessionState::Failed(ErrorKind::ProtocolViolation);
            return Err(ErrorKind::TransactionLost.into());
        }
    };
    pinned.target.answered(now_us, None);
    transaction.wrote |= operation.effect() == Effect::Write;
    if is_commit {
        session.state = SessionState::Idle;
        pinned.lease.return_to_pool();
        if reply.error().is_none() && transaction.wrote {
            at_primary::finish_commit(call, session, &pinned.target, sent_us, &reply).await?;
        }
        return Ok(reply);
    }
    if reply.error().is_some() && reply.status != TransactionStatus::Open {
        session.state = SessionState::Failed(ErrorKind::ProtocolViolation);
        pinned.lease.return_to_pool();
        return Ok(reply);
    }
    transaction.pinned = Some(pinned);
    session.state = SessionState::Open(transaction);
    Ok(reply)
}

/// Proves the target's lead before the first read of a transaction that began with a write, because the read
/// has to see all commits acknowledged before the transaction.
async fn ensure_may_read<C>(
    call: &Call<'_, C>,
    pinned: &mut PinnedConnection<C>,
) -> Result<(), Refusal>
where
    C: Codec,
{
    let proof = prove::lead_for(call, &pinned.target).await;
    // The transaction is rolled back.
    proof.map_err(|_| Refusal::from(ErrorKind::TransactionLost))?;
    pinned.may_read = true;
    Ok(())
}

/// Rolls a transaction back by returning its connection to the pool, which completes the rollback first.
pub fn roll_back<C>(transaction: Box<Transaction<C>>)
where
    C: Codec,
{
    if let Some(pinned) = transaction.pinned {
        pinned.lease.return_to_pool();
    }
}
