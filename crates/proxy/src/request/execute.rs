//! The execution of one request: routes it, sends it, retries it where that is safe, and completes it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use postgres_protocol::message::frontend;
use skylark_core::process::membership;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry;
use skylark_core::request::retry::Attempt;
use skylark_core::request::retry::Effect;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::RetryVerdict;
use skylark_core::request::retry::Stage;
use tokio::sync::oneshot;
use tokio::time;

use crate::connection::caller::Caller;
use crate::connection::lease::Lease;
use crate::connection::pinned;
use crate::connection::pinned::Pinned;
use crate::connection::target_connection::TargetConnection;
use crate::process::control_handle::ControlEvent;
use crate::process::control_handle::TargetEvidence;
use crate::process::counters::Event;
use crate::process::counters::RetryReason;
use crate::request::answer;
use crate::request::answer::AnswerContext;
use crate::request::caller_request::CallerRequest;
use crate::request::context::GroupSnapshot;
use crate::request::context::RequestContext;
use crate::request::exchange::Answer;
use crate::request::exchange::EncodedRequest;
use crate::request::exchange::Exchange;
use crate::request::exchange::ExchangeResult;
use crate::request::exchange::FailedAttempt;
use crate::request::exchange::RetryContext;
use crate::request::refusal::Refusal;
use crate::request::route;
use crate::request::route::Destination;
use crate::request::route::RetryState;
use crate::request::route::Route;

/// Whether the caller's connection stays open after a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Flow {
    /// The connection takes the next request.
    Continue,
    /// The connection is closed; the last answer has been written.
    Close,
}

/// The result of one attempt.
enum AttemptResult {
    Answered(Flow),
    Refused(Refusal),
    Retry(FailedAttempt),
    /// Nothing was sent, and the chosen destination is no longer eligible.
    Reroute,
}

/// The wait for admission and a connection after which the chosen destination is checked again.
const RECHECK_AFTER_WAIT: Duration = Duration::from_millis(2);

/// Executes one request and answers it.
pub async fn run(caller: &mut Caller, caller_request: &CallerRequest) -> Flow {
    caller.traffic.counters.event(Event::Requests);
    if caller.pinned.is_some() {
        return run_pinned(caller, caller_request).await;
    }
    match run_unpinned(caller, caller_request).await {
        Ok(flow) => flow,
        Err(refusal) => answer::refuse(caller, caller_request, &refusal).await,
    }
}

/// Executes a request outside of a transaction.
async fn run_unpinned(
    caller: &mut Caller,
    caller_request: &CallerRequest,
) -> Result<Flow, Refusal> {
    let traffic = Arc::clone(&caller.traffic);
    let snapshot = GroupSnapshot::latest(&traffic, &caller.session.group)?;
    let traits = caller_request.traits();
    let mut context = RequestContext::new(
        &traffic,
        &mut caller.session,
        traits,
        &snapshot.published,
        snapshot.group,
    )?;
    if context.hops > 0 {
        traffic.counters.event(Event::ForwardsReceived);
    }
    fetch_floor(caller, &snapshot, &mut context).await?;
    let mut retry_state = RetryState::default();
    let mut retries = 0;
    let mut last_refusal: Option<BytesMut> = None;
    caller.budget.request_started();
    loop {
        let route = route::choose(&traffic, &caller.session.group, &context, &retry_state).await;
        let route = match (route, last_refusal.take()) {
            (Ok(route), _) => route,
            (Err(_), Some(refusal)) => {
                return Ok(answer::relay_refusal(caller, caller_request, &refusal).await);
            }
            (Err(refusal), None) => return Err(refusal),
        };
        match try_once(caller, caller_request, &context, &route, retries).await {
            AttemptResult::Answered(flow) => return Ok(flow),
            AttemptResult::Refused(refusal) => return Err(refusal),
            AttemptResult::Reroute => (),
            AttemptResult::Retry(failed) => {
                retries += 1;
                traffic.counters.retry(retry_reason(&failed));
                record_failure(&mut retry_state, &route, &context, &failed);
                last_refusal = failed.refusal;
            }
        }
    }
}

/// Asks the control thread for the floor of a session that carries no token, if the request may read.
///
/// The floor is asked for with each request, because another connection of the same session may have
/// written since the last one.
async fn fetch_floor(
    caller: &Caller,
    snapshot: &GroupSnapshot,
    context: &mut RequestContext,
) -> Result<(), Refusal> {
    let is_tracked = snapshot.published.group(snapshot.group).tracked;
    let may_read = context.only_reads || context.is_read();
    let Some(identity) = context.identity.as_deref().filter(|_| !context.floor_known) else {
        return Ok(());
    };
    if !is_tracked || !may_read {
        return Ok(());
    }
    let (sender, answer) = oneshot::channel();
    let event = ControlEvent::FloorRequested {
        group: snapshot.group,
        session: identity.to_owned(),
        answer: sender,
    };
    caller.traffic.control.send(Arc::clone(&snapshot.published), event);
    match time::timeout_at(context.deadline.into(), answer).await {
        Ok(Ok(floor)) => {
            context.floor = context.floor.max(floor);
            context.floor_known = true;
            Ok(())
        }
        // Without the floor no member can be shown to cover the session's writes.
        _ => Err(ErrorKind::FloorUnreachable.into()),
    }
}

fn record_failure(
    retry_state: &mut RetryState,
    route: &Route,
    context: &RequestContext,
    failed: &FailedAttempt,
) {
    match route.destination {
        Destination::Target(target) if context.is_read() => retry_state.targets.push(target),
        Destination::Target(target) => {
            let view = route.snapshot.published.group(route.snapshot.group);
            let term = view.leader.map(|leader| leader.term);
            retry_state.primary = Some((term, target, final_kind(failed)));
        }
        Destination::Peer(vm, _) => match retry_reason(failed) {
            RetryReason::ConnectFailed | RetryReason::NoRoom => {
                retry_state.unreachable_peers.push(vm);
            }
            _ => retry_state.peers.push(vm),
        },
    }
}

/// Returns the error to answer with if no other primary replaces the failed one.
fn final_kind(failed: &FailedAttempt) -> ErrorKind {
    match retry_reason(failed) {
        RetryReason::NotPrimary => ErrorKind::TargetNotPrimary,
        RetryReason::Leaving => ErrorKind::TargetLeaving,
        _ => ErrorKind::TargetUnreachable,
    }
}

fn retry_reason(failed: &FailedAttempt) -> RetryReason {
    match failed.failure {
        Failure::Said { sqlstate, .. } => match &sqlstate {
            b"25006" => RetryReason::NotPrimary,
            b"57P01" | b"57P03" => RetryReason::Leaving,
            b"53300" => RetryReason::NoRoom,
            _ => RetryReason::ReadLost,
        },
        _ if failed.stage == Stage::Connecting => RetryReason::ConnectFailed,
        _ => RetryReason::ReadLost,
    }
}

async fn try_once(
    caller: &mut Caller,
    caller_request: &CallerRequest,
    context: &RequestContext,
    route: &Route,
    retries: u32,
) -> AttemptResult {
    let effect = caller_request.effect(context.is_read(), false);
    let waiting_since = Instant::now();
    let mut lease = match acquire_connection(caller, context, route).await {
        Ok(Ok(lease)) => lease,
        Ok(Err(failure)) => {
            return connect_failure_result(caller, context, route, effect, failure, retries);
        }
        Err(refusal) => return AttemptResult::Refused(refusal),
    };
    let waited_long = waiting_since.elapsed() >= RECHECK_AFTER_WAIT;
    if waited_long && !route::is_still_eligible(&caller.traffic, context, route) {
        lease.return_to_pool();
        return AttemptResult::Reroute;
    }
    let prelude = match prelude(caller, context, route) {
        Ok(prelude) => prelude,
        Err(refusal) => {
            lease.return_to_pool();
            return AttemptResult::Refused(refusal);
        }
    };
    let Some(encoded) = encode(caller, caller_request, context, route, prelude, &mut lease) else {
        return AttemptResult::Refused(ErrorKind::ProtocolViolation.into());
    };
    let cancel_key = lease.connection().cancel_key;
    caller.cancel.hold(lease.address(), cancel_key);
    let live = Arc::clone(&route.snapshot.published.group(route.snapshot.group).live);
    let exchange = Exchange {
        traffic: &caller.traffic,
        caller: &caller.stream,
        encoded: &encoded,
        retry_context: RetryContext {
            effect,
            in_transaction: false,
            retries,
            budget: &caller.budget,
            deadline: context.deadline,
        },
        live: (!route.is_peer()).then_some(&*live),
    };
    match exchange.run(lease.connection()).await {
        ExchangeResult::FailedAttempt(failure) => {
            report_failure(caller, route, failure.failure);
            release_failed(lease, caller, &failure);
            attempt_result(failure)
        }
        ExchangeResult::Complete(complete) => AttemptResult::Answered(
            complete_unpinned(caller, caller_request, context, route, lease, complete).await,
        ),
        other => AttemptResult::Answered(answer::finish_without_answer(caller, lease, other).await),
    }
}

/// Decides on a retry after a failure to connect, when nothing was sent.
fn connect_failure_result(
    caller: &Caller,
    context: &RequestContext,
    route: &Route,
    effect: Effect,
    failure: Failure,
    retries: u32,
) -> AttemptResult {
    report_failure(caller, route, failure);
    let stage = Stage::Connecting;
    let attempt = Attempt { effect, stage, in_transaction: false, failure, retries };
    let left = context.deadline.saturating_duration_since(Instant::now());
    let verdict = retry::decide(&attempt, &caller.budget, left.as_micros() as u64);
    attempt_result(FailedAttempt { verdict, failure, stage, broken: true, refusal: None })
}

/// Encodes a request outside of a transaction. Returns `None` if it can't be encoded.
fn encode(
    caller: &Caller,
    caller_request: &CallerRequest,
    context: &RequestContext,
    route: &Route,
    prelude: BytesMut,
    lease: &mut Lease<TargetConnection>,
) -> Option<EncodedRequest> {
    let connection = lease.connection();
    connection.session_changed |= !context.settings.is_empty() && !route.is_peer();
    let prelude_ready = u32::from(!prelude.is_empty());
    let limit = caller.traffic.limits.prepared_per_connection;
    caller_request.encode(connection, prelude, prelude_ready, limit).ok()
}

/// Completes a request outside of a transaction, and pins its connection if it opened one.
async fn complete_unpinned(
    caller: &mut Caller,
    caller_request: &CallerRequest,
    context: &RequestContext,
    route: &Route,
    lease: Lease<TargetConnection>,
    mut complete: Answer,
) -> Flow {
    caller.session.last_served = match (route.destination, complete.served.take()) {
        (Destination::Peer(_, None), Some(served)) => served.into(),
        _ => served_text(route).into(),
    };
    let held = Pinned {
        lease,
        snapshot: route.snapshot.clone(),
        is_peer: route.is_peer(),
        is_read: context.is_read(),
        awaits_sync: false,
        is_implicit: false,
        identity: context.identity.clone(),
        deadline_ms: context.deadline_ms,
    };
    let answer_context = AnswerContext { deadline: context.deadline, was_in_transaction: false };
    answer::complete(caller, caller_request, held, complete, answer_context).await
}

fn attempt_result(failed: FailedAttempt) -> AttemptResult {
    match failed.verdict {
        RetryVerdict::Retry => AttemptResult::Retry(failed),
        RetryVerdict::Answer(kind) => AttemptResult::Refused(kind.into()),
        // The target refused the connection, which is not an answer to the request.
        RetryVerdict::PassThrough => AttemptResult::Refused(ErrorKind::TargetUnreachable.into()),
    }
}

fn release_failed(lease: Lease<TargetConnection>, caller: &Caller, failure: &FailedAttempt) {
    match failure.broken {
        true => pinned::close(lease, &caller.cancel),
        false => pinned::return_to_pool(lease, &caller.cancel),
    }
}

fn served_text(route: &Route) -> String {
    let topology = &route.snapshot.published.topology;
    let target = match route.destination {
        Destination::Target(target) | Destination::Peer(_, Some(target)) => {
            &topology.target(target).name
        }
        Destination::Peer(vm, None) => &topology.vm(vm).name,
    };
    format!("{target} {}", route.reason)
}

/// Waits for admission and a connection. The inner error is a failure to connect.
async fn acquire_connection(
    caller: &Caller,
    context: &RequestContext,
    route: &Route,
) -> Result<Result<Lease<TargetConnection>, Failure>, Refusal> {
    let traffic = &caller.traffic;
    let published = &route.snapshot.published;
    match route.destination {
        Destination::Target(target) => {
            let entry = traffic.pools.target(published, target);
            let permit = entry
                .queue
                .admit(&context.admission_request(published, route.snapshot.group))
                .await?;
            Ok(entry.pool.take(None, Some(permit), context.deadline).await)
        }
        Destination::Peer(vm, _) => {
            traffic.counters.event(Event::Forwarded);
            let pool = traffic.pools.peer(published, vm, route.snapshot.group);
            Ok(pool.take(None, None, context.deadline).await)
        }
    }
}

/// Encodes the proxy's own requests that precede the caller's: the context for another proxy, or the
/// session's settings for a target.
fn prelude(caller: &Caller, context: &RequestContext, route: &Route) -> Result<BytesMut, Refusal> {
    let mut out = BytesMut::new();
    let topology = &route.snapshot.published.topology;
    let written = match route.destination {
        Destination::Peer(_, target) => {
            let target = target.map(|target| topology.target(target).name.clone());
            let max_hops = caller.traffic.limits.max_hops;
            context.forward(topology.revision, target, max_hops)?.write(&mut out)
        }
        Destination::Target(_) if context.settings.is_empty() => Ok(()),
        Destination::Target(_) => frontend::query(&context.settings.join(";"), &mut out),
    };
    written.map_err(|_| ErrorKind::ProtocolViolation)?;
    Ok(out)
}

/// Reports a failure to the control thread if it says something about the state of the target or proxy.
fn report_failure(caller: &Caller, route: &Route, failure: Failure) {
    let event = match route.destination {
        Destination::Target(target) => {
            target_evidence(failure).map(|evidence| ControlEvent::TargetFailed { target, evidence })
        }
        Destination::Peer(vm, _) => {
            peer_evidence(failure).map(|evidence| ControlEvent::VmSeen { vm, evidence })
        }
    };
    if let Some(event) = event {
        caller.traffic.control.send(Arc::clone(&route.snapshot.published), event);
    }
}

fn target_evidence(failure: Failure) -> Option<TargetEvidence> {
    match failure {
        Failure::Broken => Some(TargetEvidence::Broken),
        Failure::TimedOut => None,
        Failure::Said { sqlstate, .. } => match &sqlstate {
            b"25006" => Some(TargetEvidence::NotPrimary),
            b"57P01" => Some(TargetEvidence::Leaving),
            _ => None,
        },
    }
}

fn peer_evidence(failure: Failure) -> Option<membership::Evidence> {
    match failure {
        Failure::Broken => Some(membership::Evidence::Refused),
        Failure::TimedOut => Some(membership::Evidence::Unreachable),
        Failure::Said { sqlstate, .. } if &sqlstate == b"57P01" => {
            Some(membership::Evidence::Leaving)
        }
        Failure::Said { .. } => None,
    }
}

/// Executes a request of an open transaction on its pinned connection.
async fn run_pinned(caller: &mut Caller, caller_request: &CallerRequest) -> Flow {
    let mut held = caller.pinned.take().expect("called only with a pinned connection");
    let deadline = Instant::now() + Duration::from_millis(held.deadline_ms);
    let ends_implicit = held.is_implicit && caller_request.awaits_ready();
    let effect = match caller_request.effect(false, ends_implicit) {
        // A read transaction leaves nothing to commit, so losing it is reported as a lost statement and
        // not as an unknown commit.
        Effect::Commit if held.is_read => Effect::Write,
        effect => effect,
    };
    held.lease.statement_started();
    let prelude = BytesMut::new();
    let encoded = caller_request.encode(held.lease.connection(), prelude, 0, usize::MAX);
    let Ok(encoded) = encoded else {
        held.end(&caller.cancel);
        return answer::refuse(caller, caller_request, &ErrorKind::ProtocolViolation.into()).await;
    };
    let live = Arc::clone(&held.snapshot.published.group(held.snapshot.group).live);
    let exchange = Exchange {
        traffic: &caller.traffic,
        caller: &caller.stream,
        encoded: &encoded,
        retry_context: RetryContext {
            effect,
            in_transaction: true,
            retries: 0,
            budget: &caller.budget,
            deadline,
        },
        live: (!held.is_peer).then_some(&*live),
    };
    match exchange.run(held.lease.connection()).await {
        ExchangeResult::FailedAttempt(failure) => {
            let kind = match failure.verdict {
                RetryVerdict::Answer(kind) => kind,
                _ => ErrorKind::AnswerLost,
            };
            release_failed(held.lease, caller, &failure);
            answer::refuse(caller, caller_request, &kind.into()).await
        }
        ExchangeResult::Complete(complete) => {
            let answer_context = AnswerContext { deadline, was_in_transaction: true };
            answer::complete(caller, caller_request, *held, complete, answer_context).await
        }
        other => answer::finish_without_answer(caller, held.lease, other).await,
    }
}
