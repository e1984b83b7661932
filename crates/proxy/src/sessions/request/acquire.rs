//! Acquiring a connection to a target and running statements on it with the caller's session.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::request::retry::Failure;
use skylark_core::request::statement::TargetError;

use crate::connection::admission::AdmissionPermit;
use crate::connection::admission::AdmissionRequest;
use crate::connection::lease::Lease;
use crate::connection::pool::Pool;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::Precedence;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::LostReply;
use crate::sessions::connection::reply::Reply;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::limits;
use crate::sessions::process::target_path::TargetPath;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Operation;

/// A failure to acquire a connection.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum AcquireError {
    /// The target's admission queue refused the request, or its deadline passed in the queue.
    Queue(Refusal),
    /// No connection could be obtained from the pool.
    NotConnected(Failure),
}

/// Waits for admission to a target, and for a connection to it or to the VM that holds its user's
/// connections.
pub async fn take<C>(
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
    until_us: u64,
) -> Result<Lease<StatementLink<C>>, AcquireError>
where
    C: Codec,
{
    call.gateway.prepare_path(target);
    let path = target.path_for(call.user);
    // The path may change while the statement waits for admission, and that of a home that failed opens no
    // connections any more.
    let path_now = || match target.shares_admission() {
        true => target.path_for(call.user),
        false => Arc::clone(&path),
    };
    take_by(call, target, path_now, until_us).await
}

/// Does the same as [`take`] on a given path to the target.
pub async fn take_on_path<C>(
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
    path: &Arc<TargetPath<C>>,
    until_us: u64,
) -> Result<Lease<StatementLink<C>>, AcquireError>
where
    C: Codec,
{
    take_by(call, target, || Arc::clone(path), until_us).await
}

/// Waits for admission, and then for a connection on the path that `path_now` returns.
async fn take_by<C, F>(
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
    path_now: F,
    until_us: u64,
) -> Result<Lease<StatementLink<C>>, AcquireError>
where
    C: Codec,
    F: Fn() -> Arc<TargetPath<C>>,
{
    target.queued();
    let asked_us = call.now_us();
    let (class, caller) = (call.class(), call.caller());
    let request = AdmissionRequest { class, caller, deadline_us: until_us };
    let admitted = target.queue.admit(&request).await.map_err(AcquireError::Queue);
    let path = path_now();
    let taken = match admitted {
        Ok(permit) => connect(call, target, &path.pool, permit, until_us).await,
        Err(refused) => Err(refused),
    };
    target.unqueued();
    call.record_latency(Stage::Queue, asked_us);
    if let Err(AcquireError::NotConnected(failure)) = &taken {
        // A timed-out wait is no evidence against the target, but the pool's last failure to connect is.
        let seen = match failure {
            Failure::TimedOut => path.pool.last_connect_failure(),
            other => Some(*other),
        };
        if let Some(failure) = seen.filter(|failure| !is_connection_limit(*failure)) {
            target.record_unreachable(&path, failure, call.now_us());
        }
    }
    taken
}

/// Waits for a connection for an admitted statement.
async fn connect<C>(
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
    pool: &Arc<Pool<StatementLink<C>>>,
    permit: AdmissionPermit,
    until_us: u64,
) -> Result<Lease<StatementLink<C>>, AcquireError>
where
    C: Codec,
{
    let until = call.gateway.clock.instant_at(until_us);
    let taken = pool.take(call.user, Some(permit), until).await;
    let mut lease = taken.map_err(AcquireError::NotConnected)?;
    let link = lease.connection();
    link.set_user(call.user);
    let now_us = call.now_us();
    // A statement that was delayed before found a free connection here, so it did not wait. It may still run if
    // the target is not overloaded.
    let wait_until_us = match until_us > now_us {
        true => until_us,
        false => now_us + limits::LEAST_OFFER_US,
    };
    let wait_until_us = wait_until_us.min(call.deadline_us());
    let precedence = Precedence { class: call.class(), wait_until_us, now_us };
    link.set_precedence(target.shares_admission().then_some(precedence));
    Ok(lease)
}

/// Returns whether the target refused the connection because it is at its connection limit, which is not a
/// fault.
pub fn is_connection_limit(failure: Failure) -> bool {
    matches!(failure, Failure::Said { sqlstate, .. } if &sqlstate == b"53300")
}

/// Runs a statement on a connection after sending the session's values and the prepared statement that it
/// needs. If the target refuses these, its error is the reply.
pub async fn run<C>(
    call: &Call<'_, C>,
    link: &mut StatementLink<C>,
    values: &[(Box<str>, Box<str>)],
    operation: &Operation<'_>,
    at_least: Option<LogPosition>,
    until_us: u64,
) -> Result<Reply, LostReply>
where
    C: Codec,
{
    let pending = link.push_session(values, operation.prepared());
    if let Some(reply) = exchange_all(call, link, pending, until_us).await?
        && reply.error().is_some()
    {
        return Ok(reply);
    }
    operation.push(link, call.id, at_least);
    link.exchange(call.gateway.clock.instant_at(until_us)).await
}

/// Sends the pushed requests and receives their replies. Returns the first error reply, otherwise the last
/// reply. After an error the connection's session state is unknown.
pub async fn exchange_all<C>(
    call: &Call<'_, C>,
    link: &mut StatementLink<C>,
    reply_count: u32,
    until_us: u64,
) -> Result<Option<Reply>, LostReply>
where
    C: Codec,
{
    if reply_count == 0 {
        return Ok(None);
    }
    let until = call.gateway.clock.instant_at(until_us);
    link.send().await?;
    let mut last = None;
    let mut refused = None;
    for _ in 0..reply_count {
        let reply = link.next_reply(until).await?;
        if reply.error().is_some() {
            refused.get_or_insert_with(|| reply.clone());
        }
        last = Some(reply);
    }
    // A refusal by the other proxy's admission queue is that of the last request and leaves the session as it
    // is. Without this exception each refused caller would cause a reset and a new preparation.
    let is_refused_by_queue =
        |reply: &Reply| matches!(reply.error(), Some(TargetError::NotAdmitted(_)));
    if refused.as_ref().is_some_and(|reply| !is_refused_by_queue(reply)) {
        link.forget_session();
    }
    Ok(refused.or(last))
}
