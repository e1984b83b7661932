//! One caller's connection: messages are processed in order, and each request is answered before the
//! next is started.
//!
//! Between requests the task waits for the socket to become readable and holds no buffer. The state of
//! a request lives in a future that is boxed for the duration of the request, so an idle caller costs
//! no more than its socket and its session.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use postgres_protocol::message::backend;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::RetryBudget;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::connection::caller_input::CallerInput;
use crate::connection::caller_input::CallerMessage;
use crate::connection::caller_input::InputError;
use crate::connection::cancel::CancelSlot;
use crate::connection::frames;
use crate::connection::pinned::Pinned;
use crate::connection::session::Session;
use crate::connection::socket;
use crate::connection::target_connection::CancelKey;
use crate::process::counters::Event;
use crate::process::traffic::Traffic;
use crate::request::answer;
use crate::request::batch;
use crate::request::batch::Batch;
use crate::request::batch::BatchEnd;
use crate::request::batch::PlanContext;
use crate::request::caller_request::CallerRequest;
use crate::request::execute;
use crate::request::execute::Flow;
use crate::request::parameters::LocalStatement;
use crate::request::parameters::Parameter;
use crate::request::refusal::Refusal;
use crate::request::statement::StatementTraits;

/// A caller that completed its start-up.
#[derive(Debug)]
pub struct Caller {
    /// The state shared by all connections of the process.
    pub traffic: Arc<Traffic>,
    /// The caller's socket.
    pub stream: TcpStream,
    /// The state of its session.
    pub session: Session,
    /// The connection of its open transaction.
    pub pinned: Option<Box<Pinned>>,
    /// The target connection that a cancel request of the caller is forwarded to.
    pub cancel: Arc<CancelSlot>,
    /// The key that authorizes its cancel requests.
    pub cancel_key: CancelKey,
    /// The retry budget of its group.
    pub budget: Arc<RetryBudget>,
    /// Whether messages up to the next Sync are skipped, after an error.
    pub skip_to_sync: bool,
    /// The messages since the last Sync or Flush.
    pub batch: Option<Box<Batch>>,
    /// Buffered input.
    pub input: CallerInput,
    /// Whether the process is stopping.
    pub stopping: watch::Receiver<bool>,
}

/// The event that ended a wait between requests.
enum WakeReason {
    Input,
    Stopping,
    IdleInTransaction,
    Gone,
}

impl Caller {
    /// Serves the caller until its connection ends.
    pub async fn serve(mut self) {
        loop {
            match self.wait().await {
                WakeReason::Gone => break,
                WakeReason::Input => {
                    if Box::pin(self.process_messages()).await == Flow::Close {
                        break;
                    }
                }
                WakeReason::Stopping => {
                    Box::pin(self.close_with_error(ErrorKind::ShuttingDown)).await;
                    break;
                }
                WakeReason::IdleInTransaction => {
                    Box::pin(self.close_with_error(ErrorKind::IdleInTransaction)).await;
                    break;
                }
            }
        }
        self.end_transaction();
    }

    /// Returns the transaction status for a ReadyForQuery.
    pub fn status(&mut self) -> u8 {
        match &mut self.pinned {
            Some(held) => held.lease.connection().status,
            None => frames::STATUS_IDLE,
        }
    }

    /// Rolls back the open transaction, if any.
    pub fn end_transaction(&mut self) {
        if let Some(held) = self.pinned.take() {
            held.end(&self.cancel);
        }
    }

    async fn wait(&mut self) -> WakeReason {
        self.input.shrink();
        if self.pinned.is_none() {
            self.session.shrink();
            tokio::select! {
                biased;
                ready = self.stream.readable() => wake_reason(ready.is_ok()),
                _ = self.stopping.wait_for(|stopping| *stopping) => WakeReason::Stopping,
            }
        } else {
            let limit = Duration::from_millis(self.traffic.limits.idle_in_transaction_ms);
            match time::timeout(limit, self.stream.readable()).await {
                Ok(ready) => wake_reason(ready.is_ok()),
                Err(_) => WakeReason::IdleInTransaction,
            }
        }
    }

    /// Processes the messages that have arrived.
    async fn process_messages(&mut self) -> Flow {
        let limit_bytes = self.traffic.limits.message_bytes;
        let stall_timeout = self.traffic.limits.slow_sender();
        loop {
            match self.input.next(&self.stream, limit_bytes, stall_timeout).await {
                Ok(Some(message)) => {
                    if self.process_message(message).await == Flow::Close {
                        socket::linger(&mut self.stream).await;
                        return Flow::Close;
                    }
                }
                Ok(None) => return Flow::Continue,
                Err(error) => {
                    self.refuse_input(&error).await;
                    return Flow::Close;
                }
            }
        }
    }

    async fn refuse_input(&mut self, error: &InputError) {
        let kind = match error {
            InputError::Closed | InputError::Broken(_) => return,
            InputError::TooLarge => ErrorKind::MessageTooLarge,
            InputError::Stalled => ErrorKind::CallerTooSlow,
            InputError::BadFrame => ErrorKind::ProtocolViolation,
        };
        self.close_with_error(kind).await;
    }

    async fn process_message(&mut self, message: CallerMessage) -> Flow {
        match message.tag {
            b'X' => return Flow::Close,
            // After an error the protocol requires the rest of the batch to be skipped.
            b'S' if self.skip_to_sync => return self.sync_after_error().await,
            _ if self.skip_to_sync => return Flow::Continue,
            _ => (),
        }
        match message.tag {
            b'Q' => self.simple_query(message).await,
            b'P' | b'B' | b'D' | b'E' | b'C' => self.add_to_batch(message).await,
            b'S' => self.end_batch(BatchEnd::Sync).await,
            b'H' => self.end_batch(BatchEnd::Flush).await,
            b'F' => {
                let note = "function call".to_owned();
                self.refuse(Refusal::with_note(ErrorKind::Unsupported, note), true).await
            }
            // Remaining COPY data after a refused COPY.
            b'd' | b'c' | b'f' => Flow::Continue,
            _ => self.refuse(ErrorKind::ProtocolViolation.into(), true).await,
        }
    }

    async fn refuse(&mut self, refusal: Refusal, awaits_ready: bool) -> Flow {
        answer::refuse_message(self, &refusal, awaits_ready).await
    }

    async fn simple_query(&mut self, message: CallerMessage) -> Flow {
        let text = frames::split_cstr(message.body()).map(|(text, _)| text);
        let Some(text) = text.and_then(|text| std::str::from_utf8(text).ok()) else {
            return self.refuse(ErrorKind::ProtocolViolation.into(), true).await;
        };
        match LocalStatement::parse(text) {
            Ok(Some(local)) => return self.answer_locally(&local).await,
            Ok(None) => (),
            Err(refusal) => return self.refuse(refusal, true).await,
        }
        let traits = StatementTraits::analyze(text);
        if traits.has_copy {
            return self.refuse(batch::copy_refused(), true).await;
        }
        let session_set = traits.sets_parameter.then(|| text.to_owned());
        let caller_request = CallerRequest::Simple { frame: message.frame, traits, session_set };
        execute::run(self, &caller_request).await
    }

    async fn answer_locally(&mut self, local: &LocalStatement) -> Flow {
        self.traffic.counters.event(Event::AnsweredLocally);
        let published = self.traffic.slot.load_full();
        let mut out = BytesMut::new();
        let applied = self.session.apply_and_report(local, &published, &self.traffic.vm, &mut out);
        let shown = match applied {
            Ok(shown) => shown,
            Err(refusal) => return self.refuse(refusal, true).await,
        };
        if let (Some(shown), LocalStatement::Show(parameter)) = (shown, local) {
            frames::text_column(&mut out, parameter.name());
            frames::text_row(&mut out, &shown);
        }
        frames::command_complete(&mut out, local.command_tag());
        let status = self.status();
        frames::ready_for_query(&mut out, status);
        answer::write(self, &out, &[]).await
    }

    async fn add_to_batch(&mut self, message: CallerMessage) -> Flow {
        let batch = self.batch.get_or_insert_default();
        batch.push(message);
        if batch.bytes() <= self.traffic.limits.message_bytes {
            return Flow::Continue;
        }
        self.refuse(ErrorKind::MessageTooLarge.into(), false).await
    }

    async fn end_batch(&mut self, end: BatchEnd) -> Flow {
        let batch = self.batch.take().unwrap_or_default();
        let published = self.traffic.slot.load_full();
        let traffic = Arc::clone(&self.traffic);
        let context = PlanContext {
            statements: &traffic.statements,
            published: &published,
            vm: &traffic.vm,
            prepared_limit: traffic.limits.prepared_per_caller,
        };
        let plan = match batch.plan(&mut self.session, context) {
            Ok(plan) => plan,
            Err(refusal) => return self.refuse(refusal, end == BatchEnd::Sync).await,
        };
        let awaits_sync = self.pinned.as_ref().is_some_and(|held| held.awaits_sync);
        if plan.is_local() && !awaits_sync {
            let mut out = BytesMut::new();
            plan.write_local(&mut out);
            if end == BatchEnd::Sync {
                let status = self.status();
                frames::ready_for_query(&mut out, status);
            }
            return answer::write(self, &out, &[]).await;
        }
        execute::run(self, &CallerRequest::Batch { plan, end }).await
    }

    async fn sync_after_error(&mut self) -> Flow {
        self.skip_to_sync = false;
        self.batch = None;
        self.end_batch(BatchEnd::Sync).await
    }

    /// Closes the connection with an error that the caller has time to read.
    async fn close_with_error(&mut self, kind: ErrorKind) {
        self.traffic.counters.refusal(kind);
        self.end_transaction();
        let mut out = BytesMut::new();
        Refusal::from(kind).write(&mut out);
        answer::write(self, &out, &[]).await;
        socket::linger(&mut self.stream).await;
    }
}

fn wake_reason(is_ready: bool) -> WakeReason {
    match is_ready {
        true => WakeReason::Input,
        false => WakeReason::Gone,
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.traffic.cancels.unregister(self.cancel_key);
    }
}

/// Appends the messages that complete a start-up. A token set during the start-up is reported as after
/// a `SET`.
pub fn write_startup_response(out: &mut BytesMut, key: CancelKey, token: &str) {
    frames::authentication_ok(out);
    for (name, value) in SERVER_PARAMETERS {
        frames::parameter_status(out, name, value);
    }
    if !token.is_empty() {
        frames::parameter_status(out, Parameter::Token.name(), token);
    }
    frames::backend_key_data(out, key.process_id, key.secret);
    frames::ready_for_query(out, frames::STATUS_IDLE);
    debug_assert_eq!(out[0], backend::AUTHENTICATION_TAG);
}

/// Parameters that drivers expect from a server. They are fixed, since a caller completes its start-up
/// before any target is contacted.
const SERVER_PARAMETERS: [(&str, &str); 7] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("TimeZone", "UTC"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];
