//! One request on one connection: sent, its answer passed on, and what became of it.

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
use crate::connection::relay::Notice;
use crate::connection::relay::Relay;
use crate::connection::relay::RelayError;
use crate::connection::reply::Replies;
use crate::connection::target_connection::TargetConnection;
use crate::process::counters::Event;
use crate::process::traffic::Traffic;
use crate::request::acknowledge;
use crate::request::acknowledge::Verdict;
use crate::version::published::GroupLive;

/// What is sent for one request.
#[derive(Debug, Default)]
pub struct Encoded {
    /// The bytes, the proxy's own requests first.
    pub bytes: Bytes,
    /// How many of the bytes are the proxy's own requests.
    pub prelude_bytes: usize,
    /// How many ReadyForQuery the proxy's own requests bring.
    pub prelude_ready: u32,
    /// The replies of a batch; none for a simple query.
    pub replies: Option<Replies>,
    /// Whether the request ends with a ReadyForQuery.
    pub awaits_ready: bool,
    /// How many statements are prepared again for it.
    pub prepared_again: usize,
    /// Whether the request may change the session beyond its transaction.
    pub changes_session: bool,
}

/// What a failure of the request would mean.
#[derive(Clone, Copy, Debug)]
pub struct Stakes<'a> {
    /// What the request would do.
    pub effect: Effect,
    /// Whether it belongs to a transaction that is open already.
    pub in_transaction: bool,
    /// How often it was tried before.
    pub retries: u32,
    /// The retry budget of the group.
    pub budget: &'a RetryBudget,
    /// When it is given up.
    pub deadline: Instant,
}

/// What became of a request.
#[derive(Debug)]
pub enum Ending {
    /// The answer is complete; this is the part not written yet, without its ReadyForQuery.
    Complete(Answer),
    /// It failed, and this is what to do.
    Failed(Failed),
    /// The other end said goodbye with this answer, which is to be passed on as the last one.
    Farewell(BytesMut),
    /// A commit was not confirmed.
    NotConfirmed,
    /// The caller has part of a message, and nothing else can follow.
    Torn,
    /// The caller is gone.
    CallerGone,
    /// The caller does not read.
    CallerTooSlow,
}

/// A complete answer.
#[derive(Debug, Default)]
pub struct Answer {
    /// What is left to be written.
    pub rest: BytesMut,
    /// The status in the ReadyForQuery; none for a batch that ended with a Flush.
    pub status: Option<u8>,
    /// The position of the last commit in it.
    pub commit: Option<LogPosition>,
    /// Whether the commit was confirmed already.
    pub confirmed: bool,
    /// Who served it, in the words of another proxy.
    pub served: Option<String>,
    /// Whether an error is part of it.
    pub has_error: bool,
}

/// A failed try.
#[derive(Clone, Debug)]
pub struct Failed {
    /// [`RetryVerdict::Again`], or the kind of the answer.
    pub verdict: RetryVerdict,
    /// What was seen.
    pub failure: Failure,
    /// How far the request had come.
    pub stage: Stage,
    /// Whether the connection broke.
    pub broken: bool,
    /// Another proxy's refusal, to be passed on if no other try succeeds: it says more than this
    /// proxy knows.
    pub refusal: Option<BytesMut>,
}

/// A request on its way.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// The process.
    pub traffic: &'a Traffic,
    /// The caller.
    pub caller: &'a TcpStream,
    /// What is sent.
    pub encoded: &'a Encoded,
    /// What a failure would mean.
    pub stakes: Stakes<'a>,
    /// The group's state where the connection goes straight to a target; none where another proxy
    /// waits for the confirmation.
    pub live: Option<&'a GroupLive>,
}

impl Exchange<'_> {
    /// Sends the request and passes its answer on.
    pub async fn run(&self, connection: &mut TargetConnection) -> Ending {
        let encoded = self.encoded;
        connection.awaited_ready += encoded.prelude_ready + u32::from(encoded.awaits_ready);
        connection.needs_sync = !encoded.awaits_ready;
        connection.session_changed |= encoded.changes_session;
        for _ in 0..encoded.prepared_again {
            self.traffic.counters.event(Event::StatementsPrepared);
        }
        let stall_timeout = self.traffic.limits.slow_reader();
        let eager = self.stakes.effect == Effect::Read;
        let replies = encoded.replies.clone();
        let mut run = Run {
            exchange: self,
            relay: Relay::new(self.caller, stall_timeout, encoded.prelude_ready, replies, eager),
            unsent: &encoded.bytes,
            answer: Answer::default(),
            copying: BytesMut::new(),
        };
        let pumped = time::timeout_at(self.stakes.deadline.into(), run.pump(connection)).await;
        match pumped {
            Ok(Some(ending)) => ending,
            Ok(None) => {
                let Run { relay, mut answer, .. } = run;
                answer.rest = relay.finish(connection);
                Ending::Complete(answer)
            }
            Err(_) => run.failed(Failure::TimedOut),
        }
    }
}

struct Run<'a> {
    exchange: &'a Exchange<'a>,
    relay: Relay<'a>,
    unsent: &'a [u8],
    answer: Answer,
    copying: BytesMut,
}

impl Run<'_> {
    /// Passes the answer on until it is complete (`None`) or ends otherwise.
    async fn pump(&mut self, connection: &mut TargetConnection) -> Option<Ending> {
        loop {
            let notice = match self.relay.next(connection, &mut self.unsent).await {
                Ok(notice) => notice,
                Err(RelayError::Target(_)) => return Some(self.failed(Failure::Broken)),
                Err(RelayError::Caller(error)) if error.kind() == std::io::ErrorKind::TimedOut => {
                    return Some(Ending::CallerTooSlow);
                }
                Err(RelayError::Caller(_)) => return Some(Ending::CallerGone),
            };
            match notice {
                Notice::Ready(status) => {
                    self.answer.status = Some(status);
                    return None;
                }
                Notice::Flushed => return None,
                Notice::Commit(position) => {
                    if !self.committed(&position) {
                        return Some(Ending::NotConfirmed);
                    }
                }
                Notice::HeldEnough => {
                    if !self.confirm().await {
                        return Some(Ending::NotConfirmed);
                    }
                    if let Err(error) = self.relay.release_held(connection).await {
                        return Some(caller_ending(&error));
                    }
                }
                Notice::Served(served) => self.answer.served = Some(served),
                Notice::Error(frame) => {
                    if let Some(ending) = self.error(connection, &frame) {
                        return Some(ending);
                    }
                }
                Notice::PreludeError(frame) if self.exchange.live.is_none() => {
                    return Some(self.refused_by_peer(&frame));
                }
                // A setting that the target no longer accepts.
                Notice::PreludeError(_) => (),
                Notice::Copy(backend::COPY_IN_RESPONSE_TAG) => self.fail_copy(connection).await,
                // The caller would take the data for an answer that it did not ask for.
                Notice::Copy(_) => return Some(self.failed(Failure::Broken)),
            }
        }
    }

    /// From a commit on the answer is held back: its success may not be seen before it is confirmed.
    /// Returns whether the position can be read. Nothing confirms one that can't, and a success passed
    /// on regardless could be a write that the next primary lacks.
    fn committed(&mut self, position: &str) -> bool {
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
        let deadline = self.exchange.traffic.confirm_deadline(self.exchange.stakes.deadline);
        let verdict = acknowledge::wait(live, position, deadline).await;
        self.answer.confirmed = verdict == Verdict::Confirmed;
        self.answer.confirmed
    }

    fn error(&mut self, connection: &mut TargetConnection, frame: &[u8]) -> Option<Ending> {
        let stakes = &self.exchange.stakes;
        let is_fatal = is_fatal(frame);
        let is_first = !self.relay.passed_on
            && self.answer.commit.is_none()
            && !self.answer.has_error
            && !stakes.in_transaction;
        self.answer.has_error = true;
        if !is_first && !is_fatal {
            self.relay.add(connection, frame);
            return None;
        }
        let said = self.said(frame);
        // A declared read that turns out to write is the caller's own error.
        let own_error = stakes.effect == Effect::Read && is_code(&said, b"25006");
        let verdict = match own_error {
            true => RetryVerdict::PassOn,
            false => self.decide(said, self.answer_stage()),
        };
        if verdict != RetryVerdict::PassOn {
            let stage = self.answer_stage();
            let is_refusal = !is_fatal && self.exchange.live.is_none();
            let refusal = is_refusal.then(|| BytesMut::from(frame));
            let failed = Failed { verdict, failure: said, stage, broken: is_fatal, refusal };
            return Some(self.unless_torn(Ending::Failed(failed)));
        }
        self.relay.add(connection, frame);
        is_fatal.then(|| Ending::Farewell(BytesMut::from(frame)))
    }

    /// Another proxy refused the context of the request, and with it the request.
    fn refused_by_peer(&mut self, frame: &[u8]) -> Ending {
        let said = self.said(frame);
        match self.decide(said, Stage::Sent) {
            RetryVerdict::PassOn => Ending::Farewell(BytesMut::from(frame)),
            verdict => {
                let stage = Stage::Sent;
                Ending::Failed(Failed {
                    verdict,
                    failure: said,
                    stage,
                    broken: true,
                    refusal: None,
                })
            }
        }
    }

    fn said(&self, frame: &[u8]) -> Failure {
        let sqlstate = frames::error_field(frame, b'C').unwrap_or("");
        let sqlstate = sqlstate.as_bytes().try_into().unwrap_or(*b"XX000");
        let detail = frames::error_field(frame, b'D').unwrap_or("");
        let claimed = match self.exchange.live {
            Some(_) => None,
            None => claimed_outcome(detail),
        };
        Failure::Said { sqlstate, claimed }
    }

    /// How far an answer has come whose latest message is an error.
    fn answer_stage(&self) -> Stage {
        match (self.relay.passed_on, self.relay.has_pending()) {
            (true, _) => Stage::AnswerPassedOn,
            (false, true) => Stage::AnswerBegun,
            (false, false) => Stage::Sent,
        }
    }

    fn stage(&self) -> Stage {
        let encoded = self.exchange.encoded;
        let sent_bytes = encoded.bytes.len() - self.unsent.len();
        let is_simple = encoded.replies.is_none();
        match () {
            _ if self.relay.passed_on => Stage::AnswerPassedOn,
            _ if self.relay.begun => Stage::AnswerBegun,
            _ if sent_bytes == 0 => Stage::NothingSent,
            _ if sent_bytes <= encoded.prelude_bytes => Stage::PartlySent,
            _ if is_simple && !self.unsent.is_empty() => Stage::PartlySent,
            _ => Stage::Sent,
        }
    }

    fn decide(&self, failure: Failure, stage: Stage) -> RetryVerdict {
        let stakes = &self.exchange.stakes;
        let attempt = Attempt {
            effect: if self.answer.commit.is_some() { Effect::Commit } else { stakes.effect },
            stage,
            in_transaction: stakes.in_transaction,
            failure,
            retries: stakes.retries,
        };
        let left = stakes.deadline.saturating_duration_since(Instant::now());
        retry::decide(&attempt, stakes.budget, left.as_micros() as u64)
    }

    fn failed(&self, failure: Failure) -> Ending {
        let stage = self.stage();
        let verdict = match self.decide(failure, stage) {
            // There is nothing to pass on where no answer came.
            RetryVerdict::PassOn => RetryVerdict::Answer(ErrorKind::AnswerLost),
            verdict => verdict,
        };
        let broken = failure == Failure::Broken;
        self.unless_torn(Ending::Failed(Failed { verdict, failure, stage, broken, refusal: None }))
    }

    fn unless_torn(&self, ending: Ending) -> Ending {
        match self.relay.is_within_frame() {
            true => Ending::Torn,
            false => ending,
        }
    }

    /// Ends a COPY that got past the look at the statement's text.
    async fn fail_copy(&mut self, connection: &mut TargetConnection) {
        self.copying.clear();
        let _ = frontend::copy_fail("COPY is not supported", &mut self.copying);
        let stall_timeout = self.exchange.traffic.limits.slow_reader();
        // A connection that breaks here shows at the next read.
        let _ =
            crate::connection::socket::write_all(&connection.stream, &self.copying, stall_timeout)
                .await;
    }
}

fn caller_ending(error: &RelayError) -> Ending {
    match error {
        RelayError::Caller(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            Ending::CallerTooSlow
        }
        _ => Ending::CallerGone,
    }
}

fn is_fatal(frame: &[u8]) -> bool {
    let severity = frames::error_field(frame, b'V').or(frames::error_field(frame, b'S'));
    matches!(severity, Some("FATAL" | "PANIC"))
}

fn is_code(failure: &Failure, code: &[u8; 5]) -> bool {
    matches!(failure, Failure::Said { sqlstate, .. } if sqlstate == code)
}

/// The outcome that another proxy's answer states.
fn claimed_outcome(detail: &str) -> Option<Outcome> {
    let all = [Outcome::NotRun, Outcome::Ran, Outcome::Unknown];
    all.into_iter().find(|outcome| outcome.words() == detail)
}
