//! One attempt of a request on one connection: sends the request, relays the answer to the caller and
//! determines the result.

use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use postgres_protocol::message::backend;
use postgres_protocol::message::frontend;
use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::error_kind::Outcome;
use skylark_core::request::retry;
use skylark_core::request::retry::Attempt;
use skylark_core::request::retry::Effect;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::RetryBudget;
use skylark_core::request::retry::RetryVerdict;
use skylark_core::request::retry::Stage;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::frames;
use crate::connection::relay::Relay;
use crate::connection::relay::RelayError;
use crate::connection::relay::RelayEvent;
use crate::connection::reply::Replies;
use crate::connection::target_connection::TargetConnection;
use crate::process::counters::Event;
use crate::process::traffic::Traffic;
use crate::request::acknowledge;
use crate::request::acknowledge::Confirmation;
use crate::version::published::GroupLive;

/// A request encoded for one connection.
#[derive(Debug, Default)]
pub struct EncodedRequest {
    /// The bytes to send, with the proxy's own requests (the prelude) first.
    pub bytes: Bytes,
    /// The length of the prelude, in bytes.
    pub prelude_bytes: usize,
    /// The number of ReadyForQuery messages that answer the prelude.
    pub prelude_ready: u32,
    /// The expected replies of a batch; `None` for a simple query.
    pub replies: Option<Replies>,
    /// Whether the answer ends with a ReadyForQuery.
    pub awaits_ready: bool,
    /// The number of Parse messages that the proxy added because the connection lacked the statements.
    pub prepared_again: usize,
    /// Whether the request may change the target's session beyond its transaction.
    pub changes_session: bool,
}

/// What decides whether the request may be retried after a failure.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext<'a> {
    /// The effect of the request on data.
    pub effect: Effect,
    /// Whether the request belongs to an open transaction.
    pub in_transaction: bool,
    /// The number of earlier attempts.
    pub retries: u32,
    /// The retry budget of the group.
    pub budget: &'a RetryBudget,
    /// The deadline of the request.
    pub deadline: Instant,
}

/// The result of an exchange.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The answer is complete. Carries the part not yet written to the caller, without its
    /// ReadyForQuery.
    Complete(Answer),
    /// The attempt failed. The verdict in it says whether to retry.
    FailedAttempt(FailedAttempt),
    /// The other end closed the connection with this ErrorResponse, which is the last message that the
    /// caller receives.
    Terminated(BytesMut),
    /// A commit was not confirmed in time, so its outcome is unknown.
    NotConfirmed,
    /// The caller received only part of a message, so nothing else can be sent to it.
    PartialMessage,
    /// The caller closed its connection.
    CallerGone,
    /// The caller did not read its answer within the time limit.
    CallerTooSlow,
}

/// A complete answer of a target or another proxy.
#[derive(Debug, Default)]
pub struct Answer {
    /// The part of the answer not yet written to the caller.
    pub rest: BytesMut,
    /// The transaction status in the ReadyForQuery; `None` for a batch that ended with a Flush.
    pub status: Option<u8>,
    /// The log position of the last commit in the answer.
    pub commit: Option<LogPosition>,
    /// Whether the commit is already confirmed.
    pub confirmed: bool,
    /// The target and reason as reported by the proxy that served the request.
    pub served: Option<String>,
    /// Whether the answer contains an ErrorResponse.
    pub has_error: bool,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub struct FailedAttempt {
    /// [`RetryVerdict::Retry`] for a retry, otherwise the error to answer with.
    pub verdict: RetryVerdict,
    /// The failure as observed.
    pub failure: Failure,
    /// How far the exchange had progressed.
    pub stage: Stage,
    /// Whether the connection is unusable and has to be closed.
    pub broken: bool,
    /// Another proxy's refusal, which is sent to the caller if no other attempt succeeds: it is more
    /// specific than an error of this proxy.
    pub refusal: Option<BytesMut>,
}

/// An attempt of a request on one connection.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// The state shared by all connections of the process.
    pub traffic: &'a Traffic,
    /// The caller's socket.
    pub caller: &'a TcpStream,
    /// The encoded request.
    pub encoded: &'a EncodedRequest,
    /// What decides about a retry.
    pub retry_context: RetryContext<'a>,
    /// The group's live state if the connection leads directly to a target; `None` if it leads to
    /// another proxy, which waits for confirmations itself.
    pub live: Option<&'a GroupLive>,
}

impl Exchange<'_> {
    /// Sends the request and relays its answer to the caller.
    pub async fn run(&self, connection: &mut TargetConnection) -> ExchangeResult {
        let encoded = self.encoded;
        connection.awaited_ready += encoded.prelude_ready + u32::from(encoded.awaits_ready);
        connection.needs_sync = !encoded.awaits_ready;
        connection.session_changed |= encoded.changes_session;
        for _ in 0..encoded.prepared_again {
            self.traffic.counters.event(Event::StatementsPrepared);
        }
        let stall_timeout = self.traffic.limits.slow_reader();
        let eager = self.retry_context.effect == Effect::Read;
        let replies = encoded.replies.clone();
        let mut run = ExchangeRun {
            exchange: self,
            relay: Relay::new(self.caller, stall_timeout, encoded.prelude_ready, replies, eager),
            unsent: &encoded.bytes,
            answer: Answer::default(),
            copy_fail_message: BytesMut::new(),
        };
        let relayed =
            time::timeout_at(self.retry_context.deadline.into(), run.relay_answer(connection))
                .await;
        match relayed {
            Ok(Some(result)) => result,
            Ok(None) => {
                let ExchangeRun { relay, mut answer, .. } = run;
                answer.rest = relay.finish(connection);
                ExchangeResult::Complete(answer)
            }
            Err(_) => run.failure_result(Failure::TimedOut),
        }
    }
}

struct ExchangeRun<'a> {
    exchange: &'a Exchange<'a>,
    relay: Relay<'a>,
    unsent: &'a [u8],
    answer: Answer,
    copy_fail_message: BytesMut,
}

impl ExchangeRun<'_> {
    /// Relays the answer until it is complete (`None`) or the exchange ends otherwise.
    async fn relay_answer(&mut self, connection: &mut TargetConnection) -> Option<ExchangeResult> {
        loop {
            let relay_event = match self.relay.next(connection, &mut self.unsent).await {
                Ok(relay_event) => relay_event,
                Err(RelayError::Target(_)) => return Some(self.failure_result(Failure::Broken)),
                Err(RelayError::Caller(error)) if error.kind() == std::io::ErrorKind::TimedOut => {
                    return Some(ExchangeResult::CallerTooSlow);
                }
                Err(RelayError::Caller(_)) => return Some(ExchangeResult::CallerGone),
            };
            match relay_event {
                RelayEvent::Ready(status) => {
                    self.answer.status = Some(status);
                    return None;
                }
                RelayEvent::Flushed => return None,
                RelayEvent::Commit(position) => {
                    if !self.handle_commit(&position) {
                        return Some(ExchangeResult::NotConfirmed);
                    }
                }
                RelayEvent::HoldLimitReached => {
                    if !self.confirm().await {
                        return Some(ExchangeResult::NotConfirmed);
                    }
                    if let Err(error) = self.relay.release_held(connection).await {
                        return Some(caller_error_result(&error));
                    }
                }
                RelayEvent::Served(served) => self.answer.served = Some(served),
                RelayEvent::Error(frame) => {
                    if let Some(result) = self.handle_error(connection, &frame) {
                        return Some(result);
                    }
                }
                RelayEvent::PreludeError(frame) if self.exchange.live.is_none() => {
                    return Some(self.refused_by_peer(&frame));
                }
                // The target no longer accepts one of the session's settings. This does not fail the
                // request.
                RelayEvent::PreludeError(_) => (),
                RelayEvent::Copy(backend::COPY_IN_RESPONSE_TAG) => self.fail_copy(connection).await,
                // The caller did not ask for COPY and would misread the data.
                RelayEvent::Copy(_) => return Some(self.failure_result(Failure::Broken)),
            }
        }
    }

    /// Holds the answer back from a commit on, since success must not be visible before the commit is
    /// confirmed.
    ///
    /// Returns false if the position can't be parsed. Such a commit can't be confirmed, and reporting
    /// its success could acknowledge a write that the next primary lacks.
    fn handle_commit(&mut self, position: &str) -> bool {
        let Ok(position) = position.parse::<LogPosition>() else { return false };
        self.answer.commit = self.answer.commit.max(Some(position));
        self.answer.confirmed = self.exchange.live.is_none();
        if !self.answer.confirmed {
            self.relay.hold();
        }
        true
    }

    async fn confirm(&mut self) -> bool {
        let (Some(live), Some(position)) = (self.exchange.live, self.answer.commit) else {
            return true;
        };
        let deadline = self.exchange.traffic.confirm_deadline(self.exchange.retry_context.deadline);
        let verdict = acknowledge::wait(live, position, deadline).await;
        self.answer.confirmed = verdict == Confirmation::Confirmed;
        self.answer.confirmed
    }

    fn handle_error(
        &mut self,
        connection: &mut TargetConnection,
        frame: &[u8],
    ) -> Option<ExchangeResult> {
        let retry_context = &self.exchange.retry_context;
        let is_fatal = is_fatal(frame);
        let is_first = !self.relay.sent_to_caller
            && self.answer.commit.is_none()
            && !self.answer.has_error
            && !retry_context.in_transaction;
        self.answer.has_error = true;
        if !is_first && !is_fatal {
            self.relay.append(connection, frame);
            return None;
        }
        let reported_failure = self.reported_failure(frame);
        // A declared read that writes fails with 25006 (read_only_sql_transaction), an error of the
        // caller, not a sign that the target is no longer the primary.
        let is_caller_error =
            retry_context.effect == Effect::Read && has_sqlstate(&reported_failure, b"25006");
        let verdict = match is_caller_error {
            true => RetryVerdict::PassThrough,
            false => self.decide(reported_failure, self.answer_stage()),
        };
        if verdict != RetryVerdict::PassThrough {
            let stage = self.answer_stage();
            let is_refusal = !is_fatal && self.exchange.live.is_none();
            let refusal = is_refusal.then(|| BytesMut::from(frame));
            let failed = FailedAttempt {
                verdict,
                failure: reported_failure,
                stage,
                broken: is_fatal,
                refusal,
            };
            return Some(self.unless_partial_message(ExchangeResult::FailedAttempt(failed)));
        }
        self.relay.append(connection, frame);
        is_fatal.then(|| ExchangeResult::Terminated(BytesMut::from(frame)))
    }

    /// Handles an error in the prelude: another proxy refused the context of the request, and therefore
    /// the request.
    fn refused_by_peer(&mut self, frame: &[u8]) -> ExchangeResult {
        let reported_failure = self.reported_failure(frame);
        match self.decide(reported_failure, Stage::Sent) {
            RetryVerdict::PassThrough => ExchangeResult::Terminated(BytesMut::from(frame)),
            verdict => {
                let stage = Stage::Sent;
                ExchangeResult::FailedAttempt(FailedAttempt {
                    verdict,
                    failure: reported_failure,
                    stage,
                    broken: true,
                    refusal: None,
                })
            }
        }
    }

    fn reported_failure(&self, frame: &[u8]) -> Failure {
        let sqlstate = frames::error_field(frame, b'C').unwrap_or("");
        let sqlstate = sqlstate.as_bytes().try_into().unwrap_or(*b"XX000");
        let detail = frames::error_field(frame, b'D').unwrap_or("");
        let claimed = match self.exchange.live {
            Some(_) => None,
            None => claimed_outcome(detail),
        };
        Failure::Said { sqlstate, claimed }
    }

    /// Returns the stage of an answer whose latest message is an error.
    fn answer_stage(&self) -> Stage {
        match (self.relay.sent_to_caller, self.relay.has_pending()) {
            (true, _) => Stage::AnswerRelayed,
            (false, true) => Stage::AnswerStarted,
            (false, false) => Stage::Sent,
        }
    }

    fn stage(&self) -> Stage {
        let encoded = self.exchange.encoded;
        let sent_bytes = encoded.bytes.len() - self.unsent.len();
        let is_simple = encoded.replies.is_none();
        match () {
            _ if self.relay.sent_to_caller => Stage::AnswerRelayed,
            _ if self.relay.answer_begun => Stage::AnswerStarted,
            _ if sent_bytes == 0 => Stage::NothingSent,
            _ if sent_bytes <= encoded.prelude_bytes => Stage::PartlySent,
            _ if is_simple && !self.unsent.is_empty() => Stage::PartlySent,
            _ => Stage::Sent,
        }
    }

    fn decide(&self, failure: Failure, stage: Stage) -> RetryVerdict {
        let retry_context = &self.exchange.retry_context;
        let attempt = Attempt {
            effect: if self.answer.commit.is_some() {
                Effect::Commit
            } else {
                retry_context.effect
            },
            stage,
            in_transaction: retry_context.in_transaction,
            failure,
            retries: retry_context.retries,
        };
        let left = retry_context.deadline.saturating_duration_since(Instant::now());
        retry::decide(&attempt, retry_context.budget, left.as_micros() as u64)
    }

    fn failure_result(&self, failure: Failure) -> ExchangeResult {
        let stage = self.stage();
        let verdict = match self.decide(failure, stage) {
            // Without an ErrorResponse there is nothing to relay.
            RetryVerdict::PassThrough => RetryVerdict::Answer(ErrorKind::AnswerLost),
            verdict => verdict,
        };
        let broken = failure == Failure::Broken;
        self.unless_partial_message(ExchangeResult::FailedAttempt(FailedAttempt {
            verdict,
            failure,
            stage,
            broken,
            refusal: None,
        }))
    }

    fn unless_partial_message(&self, result: ExchangeResult) -> ExchangeResult {
        match self.relay.is_within_frame() {
            true => ExchangeResult::PartialMessage,
            false => result,
        }
    }

    /// Aborts a COPY that the classification of the statement's text missed.
    async fn fail_copy(&mut self, connection: &mut TargetConnection) {
        self.copy_fail_message.clear();
        let _ = frontend::copy_fail("COPY is not supported", &mut self.copy_fail_message);
        let stall_timeout = self.exchange.traffic.limits.slow_reader();
        // A write error is ignored: the next read reports a broken connection.
        let _ = crate::connection::socket::write_all(
            &connection.stream,
            &self.copy_fail_message,
            stall_timeout,
        )
        .await;
    }
}

fn caller_error_result(error: &RelayError) -> ExchangeResult {
    match error {
        RelayError::Caller(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            ExchangeResult::CallerTooSlow
        }
        _ => ExchangeResult::CallerGone,
    }
}

fn is_fatal(frame: &[u8]) -> bool {
    let severity = frames::error_field(frame, b'V').or(frames::error_field(frame, b'S'));
    matches!(severity, Some("FATAL" | "PANIC"))
}

fn has_sqlstate(failure: &Failure, code: &[u8; 5]) -> bool {
    matches!(failure, Failure::Said { sqlstate, .. } if sqlstate == code)
}

/// Returns the outcome stated in another proxy's error detail.
fn claimed_outcome(detail: &str) -> Option<Outcome> {
    let all = [Outcome::NotRun, Outcome::Ran, Outcome::Unknown];
    all.into_iter().find(|outcome| outcome.description() == detail)
}
