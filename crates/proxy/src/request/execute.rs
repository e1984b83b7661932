//! One request from its arrival to its answer: routed, sent, tried again where that is safe,
//! confirmed and answered.

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
use crate::request::answer::Written;
use crate::request::context::RequestContext;
use crate::request::context::Scene;
use crate::request::exchange::Answer;
use crate::request::exchange::Encoded;
use crate::request::exchange::Ending;
use crate::request::exchange::Exchange;
use crate::request::exchange::Failed;
use crate::request::exchange::Stakes;
use crate::request::refusal::Refusal;
use crate::request::route;
use crate::request::route::Place;
use crate::request::route::Route;
use crate::request::route::Tried;
use crate::request::unit::Unit;

/// Whether the caller's connection goes on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Flow {
    /// It takes the next request.
    GoOn,
    /// It ends; the last answer was written.
    End,
}

/// What one try of a request led to.
enum Tries {
    Ended(Flow),
    Refused(Refusal),
    Again(Failed),
    /// Nothing was sent, and the place it was routed to is no longer the right one.
    RouteAgain,
}

/// A wait for a turn and a connection after which the choice of the member is looked at again.
const LONG_WAIT: Duration = Duration::from_millis(2);

/// Answers one request.
pub async fn run(caller: &mut Caller, unit: &Unit) -> Flow {
    caller.traffic.counters.event(Event::Requests);
    if caller.pinned.is_some() {
        return run_pinned(caller, unit).await;
    }
    match run_free(caller, unit).await {
        Ok(flow) => flow,
        Err(refusal) => answer::refuse(caller, unit, &refusal).await,
    }
}

/// Answers a request outside a transaction.
async fn run_free(caller: &mut Caller, unit: &Unit) -> Result<Flow, Refusal> {
    let traffic = Arc::clone(&caller.traffic);
    let scene = Scene::now(&traffic, &caller.session.group)?;
    let traits = unit.traits();
    let mut context =
        RequestContext::new(&traffic, &mut caller.session, traits, &scene.published, scene.group)?;
    if context.hops > 0 {
        traffic.counters.event(Event::ForwardsReceived);
    }
    learn_floor(caller, &scene, &mut context).await?;
    let mut tried = Tried::default();
    let mut retries = 0;
    let mut last_refusal: Option<BytesMut> = None;
    caller.budget.request_started();
    loop {
        let route = route::choose(&traffic, &caller.session.group, &context, &tried).await;
        let route = match (route, last_refusal.take()) {
            (Ok(route), _) => route,
            (Err(_), Some(refusal)) => return Ok(answer::pass_on(caller, unit, &refusal).await),
            (Err(refusal), None) => return Err(refusal),
        };
        match try_once(caller, unit, &context, &route, retries).await {
            Tries::Ended(flow) => return Ok(flow),
            Tries::Refused(refusal) => return Err(refusal),
            Tries::RouteAgain => (),
            Tries::Again(failed) => {
                retries += 1;
                traffic.counters.retry(retry_reason(&failed));
                remember(&mut tried, &route, &context, &failed);
                last_refusal = failed.refusal;
            }
        }
    }
}

/// Asks for the floor of a session that carries no token, where the request may read.
///
/// Another connection of the same session may have written since the last request here, so it is
/// asked each time.
async fn learn_floor(
    caller: &Caller,
    scene: &Scene,
    context: &mut RequestContext,
) -> Result<(), Refusal> {
    let is_tracked = scene.published.group(scene.group).tracked;
    let may_read = context.only_reads || context.is_read();
    let Some(identity) = context.identity.as_deref().filter(|_| !context.floor_known) else {
        return Ok(());
    };
    if !is_tracked || !may_read {
        return Ok(());
    }
    let (sender, answer) = oneshot::channel();
    let event = ControlEvent::FloorRequested {
        group: scene.group,
        session: identity.to_owned(),
        answer: sender,
    };
    caller.traffic.control.send(Arc::clone(&scene.published), event);
    match time::timeout_at(context.deadline.into(), answer).await {
        Ok(Ok(floor)) => {
            context.floor = context.floor.max(floor);
            context.floor_known = true;
            Ok(())
        }
        // What the session must see can't be found out, so nothing can be shown to cover it.
        _ => Err(ErrorKind::FloorUnreachable.into()),
    }
}

fn remember(tried: &mut Tried, route: &Route, context: &RequestContext, failed: &Failed) {
    match route.place {
        Place::Target(target) if context.is_read() => tried.targets.push(target),
        Place::Target(target) => {
            let view = route.scene.published.group(route.scene.group);
            let term = view.leader.map(|leader| leader.term);
            tried.primary = Some((term, target, final_kind(failed)));
        }
        Place::Peer(vm, _) => tried.peers.push(vm),
    }
}

/// The answer if no other primary takes the place of one that failed.
fn final_kind(failed: &Failed) -> ErrorKind {
    match retry_reason(failed) {
        RetryReason::NotPrimary => ErrorKind::TargetNotPrimary,
        RetryReason::Leaving => ErrorKind::TargetLeaving,
        _ => ErrorKind::TargetUnreachable,
    }
}

fn retry_reason(failed: &Failed) -> RetryReason {
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
    unit: &Unit,
    context: &RequestContext,
    route: &Route,
    retries: u32,
) -> Tries {
    let effect = unit.effect(context.is_read(), false);
    let waiting_since = Instant::now();
    let mut lease = match take_connection(caller, context, route).await {
        Ok(Ok(lease)) => lease,
        Ok(Err(failure)) => return not_connected(caller, context, route, effect, failure, retries),
        Err(refusal) => return Tries::Refused(refusal),
    };
    let waited_long = waiting_since.elapsed() >= LONG_WAIT;
    if waited_long && !route::is_still_fit(&caller.traffic, context, route) {
        lease.give_back();
        return Tries::RouteAgain;
    }
    let prelude = match prelude(caller, context, route) {
        Ok(prelude) => prelude,
        Err(refusal) => {
            lease.give_back();
            return Tries::Refused(refusal);
        }
    };
    let Some(encoded) = encode(caller, unit, context, route, prelude, &mut lease) else {
        return Tries::Refused(ErrorKind::ProtocolViolation.into());
    };
    let cancel_key = lease.connection().cancel_key;
    caller.cancel.hold(lease.address(), cancel_key);
    let live = Arc::clone(&route.scene.published.group(route.scene.group).live);
    let exchange = Exchange {
        traffic: &caller.traffic,
        caller: &caller.stream,
        encoded: &encoded,
        stakes: Stakes {
            effect,
            in_transaction: false,
            retries,
            budget: &caller.budget,
            deadline: context.deadline,
        },
        live: (!route.is_peer()).then_some(&*live),
    };
    match exchange.run(lease.connection()).await {
        Ending::Failed(failure) => {
            report(caller, route, failure.failure);
            end_failed(lease, caller, &failure);
            failed(failure)
        }
        Ending::Complete(complete) => {
            Tries::Ended(complete_first(caller, unit, context, route, lease, complete).await)
        }
        other => Tries::Ended(answer::end(caller, lease, other).await),
    }
}

/// What follows from a failure to connect, when nothing was sent.
fn not_connected(
    caller: &Caller,
    context: &RequestContext,
    route: &Route,
    effect: Effect,
    failure: Failure,
    retries: u32,
) -> Tries {
    report(caller, route, failure);
    let stage = Stage::Connecting;
    let attempt = Attempt { effect, stage, in_transaction: false, failure, retries };
    let left = context.deadline.saturating_duration_since(Instant::now());
    let verdict = retry::decide(&attempt, &caller.budget, left.as_micros() as u64);
    failed(Failed { verdict, failure, stage, broken: true, refusal: None })
}

/// What is sent for a request outside a transaction; none if it can't be put into messages.
fn encode(
    caller: &Caller,
    unit: &Unit,
    context: &RequestContext,
    route: &Route,
    prelude: BytesMut,
    lease: &mut Lease<TargetConnection>,
) -> Option<Encoded> {
    let connection = lease.connection();
    connection.session_changed |= !context.settings.is_empty() && !route.is_peer();
    let prelude_ready = u32::from(!prelude.is_empty());
    let limit = caller.traffic.limits.prepared_per_connection;
    unit.encode(connection, prelude, prelude_ready, limit).ok()
}

/// Answers a request outside a transaction, and keeps its connection if it opened one.
async fn complete_first(
    caller: &mut Caller,
    unit: &Unit,
    context: &RequestContext,
    route: &Route,
    lease: Lease<TargetConnection>,
    mut complete: Answer,
) -> Flow {
    caller.session.last_served = match (route.place, complete.served.take()) {
        (Place::Peer(_, None), Some(served)) => served.into(),
        _ => served_words(route).into(),
    };
    let held = Pinned {
        lease,
        scene: route.scene.clone(),
        is_peer: route.is_peer(),
        is_read: context.is_read(),
        awaits_sync: false,
        is_implicit: false,
        identity: context.identity.clone(),
        deadline_ms: context.deadline_ms,
    };
    let written = Written { deadline: context.deadline, was_in_transaction: false };
    answer::complete(caller, unit, held, complete, written).await
}

fn failed(failed: Failed) -> Tries {
    match failed.verdict {
        RetryVerdict::Again => Tries::Again(failed),
        RetryVerdict::Answer(kind) => Tries::Refused(kind.into()),
        // A refusal of the connection itself, which is no answer to the request.
        RetryVerdict::PassThrough => Tries::Refused(ErrorKind::TargetUnreachable.into()),
    }
}

fn end_failed(lease: Lease<TargetConnection>, caller: &Caller, failure: &Failed) {
    match failure.broken {
        true => pinned::close(lease, &caller.cancel),
        false => pinned::give_back(lease, &caller.cancel),
    }
}

fn served_words(route: &Route) -> String {
    let topology = &route.scene.published.topology;
    let target = match route.place {
        Place::Target(target) | Place::Peer(_, Some(target)) => &topology.target(target).name,
        Place::Peer(vm, None) => &topology.vm(vm).name,
    };
    format!("{target} {}", route.reason)
}

/// Waits for a turn and a connection. The inner error is a failure to connect.
async fn take_connection(
    caller: &Caller,
    context: &RequestContext,
    route: &Route,
) -> Result<Result<Lease<TargetConnection>, Failure>, Refusal> {
    let traffic = &caller.traffic;
    let published = &route.scene.published;
    match route.place {
        Place::Target(target) => {
            let entry = traffic.pools.target(published, target);
            let turn = entry.queue.admit(&context.turn(published, route.scene.group)).await?;
            Ok(entry.pool.take(None, Some(turn), context.deadline).await)
        }
        Place::Peer(vm, _) => {
            traffic.counters.event(Event::Forwarded);
            let pool = traffic.pools.peer(published, vm, route.scene.group);
            Ok(pool.take(None, None, context.deadline).await)
        }
    }
}

/// The proxy's own request in front of the caller's: the context for another proxy, or the
/// session's settings for a target.
fn prelude(caller: &Caller, context: &RequestContext, route: &Route) -> Result<BytesMut, Refusal> {
    let mut out = BytesMut::new();
    let topology = &route.scene.published.topology;
    let written = match route.place {
        Place::Peer(_, target) => {
            let target = target.map(|target| topology.target(target).name.clone());
            let max_hops = caller.traffic.limits.max_hops;
            context.forward(topology.revision, target, max_hops)?.write(&mut out)
        }
        Place::Target(_) if context.settings.is_empty() => Ok(()),
        Place::Target(_) => frontend::query(&context.settings.join(";"), &mut out),
    };
    written.map_err(|_| ErrorKind::ProtocolViolation)?;
    Ok(out)
}

/// Tells the control thread what a failure shows of the other end.
fn report(caller: &Caller, route: &Route, failure: Failure) {
    let event = match route.place {
        Place::Target(target) => {
            target_evidence(failure).map(|evidence| ControlEvent::TargetFailed { target, evidence })
        }
        Place::Peer(vm, _) => {
            peer_evidence(failure).map(|evidence| ControlEvent::VmSeen { vm, evidence })
        }
    };
    if let Some(event) = event {
        caller.traffic.control.send(Arc::clone(&route.scene.published), event);
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

/// Answers a request of an open transaction.
async fn run_pinned(caller: &mut Caller, unit: &Unit) -> Flow {
    let mut held = caller.pinned.take().expect("the caller was seen to hold a connection");
    let deadline = Instant::now() + Duration::from_millis(held.deadline_ms);
    let ends_implicit = held.is_implicit && unit.awaits_ready();
    let effect = match unit.effect(false, ends_implicit) {
        // Nothing that a read transaction did lasts, and a lost one is told as such.
        Effect::Commit if held.is_read => Effect::Write,
        effect => effect,
    };
    held.lease.statement_started();
    let prelude = BytesMut::new();
    let encoded = unit.encode(held.lease.connection(), prelude, 0, usize::MAX);
    let Ok(encoded) = encoded else {
        held.end(&caller.cancel);
        return answer::refuse(caller, unit, &ErrorKind::ProtocolViolation.into()).await;
    };
    let live = Arc::clone(&held.scene.published.group(held.scene.group).live);
    let exchange = Exchange {
        traffic: &caller.traffic,
        caller: &caller.stream,
        encoded: &encoded,
        stakes: Stakes {
            effect,
            in_transaction: true,
            retries: 0,
            budget: &caller.budget,
            deadline,
        },
        live: (!held.is_peer).then_some(&*live),
    };
    match exchange.run(held.lease.connection()).await {
        Ending::Failed(failure) => {
            let kind = match failure.verdict {
                RetryVerdict::Answer(kind) => kind,
                _ => ErrorKind::AnswerLost,
            };
            end_failed(held.lease, caller, &failure);
            answer::refuse(caller, unit, &kind.into()).await
        }
        Ending::Complete(complete) => {
            let written = Written { deadline, was_in_transaction: true };
            answer::complete(caller, unit, *held, complete, written).await
        }
        other => answer::end(caller, held.lease, other).await,
    }
}
