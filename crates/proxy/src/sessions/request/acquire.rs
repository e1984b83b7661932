//! Taking a connection to a target that has the caller's session on it.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::request::retry::Failure;

use crate::connection::admission::AdmissionRequest;
use crate::connection::lease::Lease;
use crate::connection::pool::Pool;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::Lost;
use crate::sessions::connection::reply::Reply;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::target_path::TargetPath;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Work;

/// Why no connection was had.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum NotTaken {
    /// The queue in front of the target refused or gave up.
    Queue(Refusal),
    /// No connection came about.
    NotConnected(Failure),
}

/// Waits for a turn at a target and a connection to it, or to the VM that has its user's connections.
pub async fn take<C>(
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
    until_us: u64,
) -> Result<Lease<StatementLink<C>>, NotTaken>
where
    C: Codec,
{
    take_on(call, target, &target.path_for(call.user), until_us).await
}

/// The same on one of the ways to the target.
pub async fn take_on<C>(
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
    path: &TargetPath<C>,
    until_us: u64,
) -> Result<Lease<StatementLink<C>>, NotTaken>
where
    C: Codec,
{
    target.queued();
    let asked_us = call.now_us();
    let taken = take_counted(call, target, &path.pool, until_us).await;
    target.unqueued();
    call.took(Stage::Queue, asked_us);
    if let Err(NotTaken::NotConnected(failure)) = &taken {
        // A wait that ran out says nothing of the target, but the last try to connect may.
        let seen = match failure {
            Failure::TimedOut => path.pool.last_connect_failure(),
            other => Some(*other),
        };
        if let Some(failure) = seen.filter(|failure| !is_full(*failure)) {
            target.record_unreachable(path, failure, call.now_us());
        }
    }
    taken
}

async fn take_counted<C>(
    call: &Call<'_, C>,
    target: &Arc<TargetState<C>>,
    pool: &Arc<Pool<StatementLink<C>>>,
    until_us: u64,
) -> Result<Lease<StatementLink<C>>, NotTaken>
where
    C: Codec,
{
    let (class, caller) = (call.class(), call.caller());
    let request = AdmissionRequest { class, caller, deadline_us: until_us };
    let turn = target.queue.admit(&request).await.map_err(NotTaken::Queue)?;
    let until = call.gateway.clock.instant_at(until_us);
    let taken = pool.take(call.user, Some(turn), until).await;
    let mut lease = taken.map_err(NotTaken::NotConnected)?;
    lease.connection().act_for(call.user);
    Ok(lease)
}

/// Whether the target has as many connections as it accepts, which does not speak against it.
fn is_full(failure: Failure) -> bool {
    matches!(failure, Failure::Said { sqlstate, .. } if &sqlstate == b"53300")
}

/// Runs a statement on a connection, once that has the session's values and what is prepared. If it
/// can't have these, the answer is what the target said of them.
pub async fn run<C>(
    call: &Call<'_, C>,
    link: &mut StatementLink<C>,
    values: &[(Box<str>, Box<str>)],
    work: &Work<'_>,
    at_least: Option<LogPosition>,
    until_us: u64,
) -> Result<Reply, Lost>
where
    C: Codec,
{
    let owed = link.push_session(values, work.prepared());
    if let Some(reply) = settle(call, link, owed, until_us).await?
        && reply.error().is_some()
    {
        return Ok(reply);
    }
    work.push(link, call.id, at_least);
    link.exchange(call.gateway.clock.instant_at(until_us)).await
}

/// Sends what was pushed and takes all of its answers. Returns the first error, otherwise the last
/// answer. After an error the connection's session counts as unknown.
pub async fn settle<C>(
    call: &Call<'_, C>,
    link: &mut StatementLink<C>,
    answers: u32,
    until_us: u64,
) -> Result<Option<Reply>, Lost>
where
    C: Codec,
{
    if answers == 0 {
        return Ok(None);
    }
    let until = call.gateway.clock.instant_at(until_us);
    link.send().await?;
    let mut last = None;
    let mut refused = None;
    for _ in 0..answers {
        let reply = link.answer(until).await?;
        if reply.error().is_some() {
            refused.get_or_insert_with(|| reply.clone());
        }
        last = Some(reply);
    }
    if refused.is_some() {
        link.forget_session();
    }
    Ok(refused.or(last))
}
