//! The completion of a request: waits for the confirmation of its commit, returns or pins its
//! connection, and writes the answer.

use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use tokio::sync::oneshot;
use tokio::time;

use crate::connection::caller::Caller;
use crate::connection::frames;
use crate::connection::lease::Lease;
use crate::connection::pinned;
use crate::connection::pinned::Pinned;
use crate::connection::relay::COMMIT_PARAMETER;
use crate::connection::relay::SERVED_PARAMETER;
use crate::connection::socket;
use crate::connection::target_connection::TargetConnection;
use crate::process::control_handle::ControlEvent;
use crate::process::counters::Event;
use crate::request::acknowledge;
use crate::request::acknowledge::Confirmation;
use crate::request::caller_request::CallerRequest;
use crate::request::exchange::Answer;
use crate::request::exchange::ExchangeResult;
use crate::request::execute::Flow;
use crate::request::refusal::Refusal;

/// The context of a request that its answer depends on.
#[derive(Clone, Copy, Debug)]
pub struct AnswerContext {
    /// The deadline of the request.
    pub deadline: Instant,
    /// Whether the request belonged to a transaction that was already open.
    pub was_in_transaction: bool,
}

/// A commit whose success must not be reported before it is confirmed and recorded.
struct Commit {
    position: LogPosition,
    identity: Option<Box<str>>,
    confirmed: bool,
    is_peer: bool,
}

/// Completes a request whose answer was received in full.
pub async fn complete(
    caller: &mut Caller,
    caller_request: &CallerRequest,
    mut held: Pinned,
    answer: Answer,
    answer_context: AnswerContext,
) -> Flow {
    let snapshot = held.snapshot.clone();
    let commit = answer.commit.map(|position| Commit {
        position,
        identity: held.identity.clone(),
        confirmed: answer.confirmed,
        is_peer: held.is_peer,
    });
    held.lease.connection().status = answer.status.unwrap_or(held.lease.connection().status);
    let is_over = answer.status.is_some_and(|status| status == frames::STATUS_IDLE);
    if is_over {
        // The connection is returned first, so that it can serve others while this answer waits for its
        // confirmation.
        pinned::return_to_pool(held.lease, &caller.cancel);
        remember_set(caller, caller_request, &answer, answer_context);
    } else {
        held.lease.statement_ended();
        let begins_implicit = held.is_implicit || !answer_context.was_in_transaction;
        held.is_implicit = answer.status.is_none() && begins_implicit;
        held.awaits_sync = answer.status.is_none();
        caller.skip_to_sync = held.awaits_sync && answer.has_error;
        caller.pinned = Some(Box::new(held));
    }
    let mut out = BytesMut::new();
    if let Some(commit) = commit {
        match confirm_and_record(caller, &snapshot, &commit, answer_context.deadline).await {
            true => report_commit(caller, &commit, &mut out),
            false => return fail_and_close(caller, ErrorKind::NotConfirmed).await,
        }
    }
    report_served(caller, &mut out);
    let mut end = answer.rest;
    if let Some(status) = answer.status {
        frames::ready_for_query(&mut end, status);
    }
    write(caller, &out, &end).await
}

/// Waits until the commit is confirmed by a majority and recorded for its session. Returns false if it
/// was not confirmed in time.
async fn confirm_and_record(
    caller: &Caller,
    snapshot: &crate::request::context::GroupSnapshot,
    commit: &Commit,
    deadline: Instant,
) -> bool {
    let traffic = &caller.traffic;
    if !commit.confirmed {
        let live = &snapshot.published.group(snapshot.group).live;
        let confirm_by = traffic.confirm_deadline(deadline);
        if acknowledge::wait(live, commit.position, confirm_by).await == Confirmation::Unknown {
            return false;
        }
    }
    if commit.is_peer {
        return true;
    }
    traffic.counters.event(Event::WritesAcknowledged);
    let (sender, recorded) = oneshot::channel();
    let event = ControlEvent::WriteAcknowledged {
        group: snapshot.group,
        session: commit.identity.as_deref().map(str::to_owned),
        position: commit.position,
        recorded: sender,
    };
    traffic.control.send(Arc::clone(&snapshot.published), event);
    if commit.identity.is_none() {
        return true;
    }
    // The write is durable at this point. If recording it fails or takes longer than the deadline, the
    // control thread recovers: it is responsible for the session's floor.
    let _ = time::timeout_at(deadline.into(), recorded).await;
    true
}

/// Reports the new token to the caller, or the commit's position to a forwarding proxy.
fn report_commit(caller: &mut Caller, commit: &Commit, out: &mut BytesMut) {
    let session = &mut caller.session;
    if session.forwarded_by.is_some() {
        frames::parameter_status(out, COMMIT_PARAMETER, &commit.position.to_string());
        return;
    }
    session.floor = session.floor.max(commit.position);
    frames::parameter_status(out, "skylark.token", &session.token());
}

fn report_served(caller: &mut Caller, out: &mut BytesMut) {
    if caller.session.forwarded_by.is_some() {
        frames::parameter_status(out, SERVED_PARAMETER, &caller.session.last_served);
    }
}

/// Stores a session-level `SET` that took effect outside of a transaction.
fn remember_set(
    caller: &mut Caller,
    caller_request: &CallerRequest,
    answer: &Answer,
    answer_context: AnswerContext,
) {
    let is_forwarded = caller.session.forwarded_by.is_some();
    if answer_context.was_in_transaction || answer.has_error || is_forwarded {
        return;
    }
    if let Some(set) = caller_request.session_set() {
        // A setting beyond the limit is dropped, as if it had been reset: the statement has already run
        // and can't be refused any more.
        let _ = caller.session.remember_setting(set);
    }
}

/// Completes a request whose answer is missing or incomplete.
pub async fn finish_without_answer(
    caller: &mut Caller,
    lease: Lease<TargetConnection>,
    result: ExchangeResult,
) -> Flow {
    pinned::close_or_recover(lease, &caller.cancel, &result);
    match result {
        ExchangeResult::NotConfirmed => fail_and_close(caller, ErrorKind::NotConfirmed).await,
        ExchangeResult::Terminated(frame) => {
            write(caller, &frame, &[]).await;
            Flow::Close
        }
        ExchangeResult::CallerTooSlow => {
            caller.traffic.counters.refusal(ErrorKind::CallerTooSlow);
            Flow::Close
        }
        ExchangeResult::PartialMessage | ExchangeResult::CallerGone => Flow::Close,
        ExchangeResult::Complete(_) | ExchangeResult::FailedAttempt(_) => {
            unreachable!(
                "complete answers and failed attempts are handled by the caller of this function"
            )
        }
    }
}

/// Answers with an error and closes the caller's connection.
async fn fail_and_close(caller: &mut Caller, kind: ErrorKind) -> Flow {
    caller.end_transaction();
    let mut out = BytesMut::new();
    caller.traffic.counters.refusal(kind);
    Refusal::from(kind).write(&mut out);
    write(caller, &out, &[]).await;
    Flow::Close
}

/// Answers a request with the refusal of another proxy.
pub async fn relay_refusal(
    caller: &mut Caller,
    caller_request: &CallerRequest,
    refusal: &[u8],
) -> Flow {
    let mut end = BytesMut::new();
    match caller_request.awaits_ready() {
        true => frames::ready_for_query(&mut end, caller.status()),
        false => caller.skip_to_sync = true,
    }
    write(caller, refusal, &end).await
}

/// Answers a request with a refusal.
pub async fn refuse(
    caller: &mut Caller,
    caller_request: &CallerRequest,
    refusal: &Refusal,
) -> Flow {
    refuse_message(caller, refusal, caller_request.awaits_ready()).await
}

/// Answers with a refusal, followed by a ReadyForQuery if `awaits_ready` is set. Otherwise messages up
/// to the next Sync are skipped.
pub async fn refuse_message(caller: &mut Caller, refusal: &Refusal, awaits_ready: bool) -> Flow {
    caller.traffic.counters.refusal(refusal.kind);
    let mut out = BytesMut::new();
    refusal.write(&mut out);
    if refusal.closes_connection() {
        caller.end_transaction();
        write(caller, &out, &[]).await;
        return Flow::Close;
    }
    match awaits_ready {
        true => frames::ready_for_query(&mut out, caller.status()),
        false => caller.skip_to_sync = true,
    }
    write(caller, &out, &[]).await
}

/// Writes two consecutive byte slices to the caller. Returns [`Flow::Close`] if the caller is gone or
/// too slow.
pub async fn write(caller: &Caller, first: &[u8], second: &[u8]) -> Flow {
    let stall_timeout = caller.traffic.limits.slow_reader();
    match socket::write_both(&caller.stream, first, second, stall_timeout).await {
        Ok(()) => Flow::Continue,
        Err(error) => {
            if error.kind() == std::io::ErrorKind::TimedOut {
                caller.traffic.counters.refusal(ErrorKind::CallerTooSlow);
            }
            Flow::Close
        }
    }
}
