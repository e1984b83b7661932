//! A connection from another proxy, on which this proxy forwards statements to one target.
//!
//! Only a VM that holds connections to a target (a home of the target) forwards to it. The other proxy uses
//! the protocol of targets. Its session values and prepared statements are kept here, and a connection to the
//! target is held only while a statement or a transaction runs. Replies, including status and position, are
//! passed back unchanged, so that the other proxy handles them like replies received directly from the
//! target.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::Effect;
use skylark_core::request::statement::Prepared;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use skylark_core::request::statement::TransactionStatus;
use skylark_core::version::routes::ReadRule;
use skylark_core::version::routes::Route;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::lease::Lease;
use crate::connection::socket;
use crate::process::counters::Event;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::codec::TargetMessage;
use crate::sessions::codec::TargetRequest;
use crate::sessions::connection::link;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::messages;
use crate::sessions::connection::reply::End;
use crate::sessions::connection::reply::LostReply;
use crate::sessions::connection::reply::Reply;
use crate::sessions::process::feed;
use crate::sessions::process::feed::publisher;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::quota::answer;
use crate::sessions::process::step_down;
use crate::sessions::process::target_calls::CallReply;
use crate::sessions::process::targets::TargetState;
use crate::sessions::process::zone_reach;
use crate::sessions::request::acquire;
use crate::sessions::request::acquire::AcquireError;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Operation;
use crate::sessions::request::confirm;
use crate::sessions::request::confirm::Acknowledged;
use crate::sessions::request::prove;
use crate::sessions::request::read;
use crate::sessions::request::sample;

/// The time limit of a forwarded statement. The other proxy applies its own route's limit; this one bounds
/// how long a statement that the other proxy no longer waits for can occupy a connection.
const TIMEOUT_MS: u64 = 5_000;

/// The latency objective that bounds how long a forwarded statement waits for a connection.
const OBJECTIVE_MS: u64 = 200;

/// The lower bound, in microseconds, of the maximum age that another proxy can request for a position, so
/// that not every such request reaches the primary.
const MIN_MAX_AGE_US: u64 = 250_000;

/// The priority class of forwarded statements whose class the other proxy did not send. That proxy has already
/// ordered them by priority.
const PRIORITY: u32 = 1;

/// How long a transaction keeps its execution slot after `BEGIN` without a statement. The other proxy sends the
/// first one as soon as it knows the reply, or after status requests to other members, which have a limit of
/// 60 ms. Without a bound, a proxy that disappears would occupy slots until its connections time out.
const FIRST_STATEMENT_LIMIT: Duration = Duration::from_millis(150);

/// A connection from another proxy.
struct Peer<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    number: u64,
    route: Arc<Route>,
    target: Arc<TargetState<C>>,
    /// The user that the other proxy set for its statements; `None` if it set none.
    user: Option<Arc<str>>,
    values: Vec<(Box<str>, Box<str>)>,
    prepared: FastMap<Box<str>, Prepared>,
    /// Whether the other proxy has sent the class of its statements, which is the priority of `route`. It then
    /// understands the refusals of the admission queue.
    knows_class: bool,
    /// Until when the next unit of work may wait for admission, in microseconds; `None` if the other proxy sent
    /// no limit for it.
    wait_until_us: Option<u64>,
    /// Whether `BEGIN` was the last statement and its slot is kept for the next one.
    keeps_slot: bool,
    /// The connection of the open transaction.
    pinned: Option<Lease<StatementLink<C>>>,
    /// The transaction status last reported to the other proxy.
    status: TransactionStatus,
    /// Whether the open transaction has written data.
    wrote: bool,
}

/// Serves a connection from another proxy until it closes. The first message selects the purpose: a
/// subscription to the feed, a quota request, a reachability check of another availability zone, or
/// forwarding to a target.
pub async fn serve<C>(gateway: Arc<Gateway<C>>, stream: TcpStream)
where
    C: Codec,
{
    if link::set_keepalive(&stream).is_err() {
        return;
    }
    let mut input = BytesMut::new();
    // Requests between proxies end at a line feed, unlike the targets' messages. A startup contains none before
    // its end.
    let first = answer::next_line(&stream, &mut input);
    let Ok(Ok(message)) = time::timeout(limits::STARTUP_LIMIT, first).await else { return };
    if let Some(known_version) = feed::parse_subscription(&message) {
        let known_lists = feed::parse_known_lists(&input);
        return publisher::serve(gateway, stream, known_version, known_lists).await;
    }
    if answer::is_request(&message) {
        return answer::answer(&gateway, &stream, message, input).await;
    }
    if zone_reach::is_probe(&message) {
        return zone_reach::echo(&stream, input).await;
    }
    let Ok(TargetRequest::Startup { service, target_id, .. }) = C::decode_request(&message) else {
        return;
    };
    let mut output = BytesMut::new();
    let known = gateway.target(target_id).filter(|target| &*target.record.service == service);
    // A proxy that is not a home of the target itself would forward the statements again, possibly in a loop.
    let Some(target) = known.filter(|target| gateway.connects_directly(target)) else {
        push_refusal::<C>(&Refusal::from(ErrorKind::TargetUnreachable), &mut output);
        // If the refusal can't be sent, the other proxy handles the broken connection in the same way.
        let _ = socket::write_all(&stream, &output, limits::SLOW_READER_TIMEOUT).await;
        return;
    };
    let route = Route {
        database: Arc::from(""),
        service: Arc::clone(&target.record.service),
        reads: ReadRule::Primary,
        timeout_ms: TIMEOUT_MS,
        objective_ms: OBJECTIVE_MS,
        priority: PRIORITY,
        is_public: false,
    };
    let number = gateway.next_session();
    let mut peer = Peer {
        gateway,
        stream,
        input,
        output,
        number,
        route: Arc::new(route),
        target,
        user: None,
        values: Vec::new(),
        prepared: FastMap::default(),
        knows_class: false,
        wait_until_us: None,
        keeps_slot: false,
        pinned: None,
        status: TransactionStatus::Idle,
        wrote: false,
    };
    peer.push_ready(None);
    if peer.flush().await {
        while peer.serve_one().await {}
    }
    if let Some(pinned) = peer.pinned.take() {
        pinned.return_to_pool();
    }
}

async fn next_message<C>(stream: &TcpStream, input: &mut BytesMut) -> Option<BytesMut>
where
    C: Codec,
{
    let length = messages::read_message::<C>(stream, input).await.ok()?;
    Some(input.split_to(length))
}

impl<C> Peer<C>
where
    C: Codec,
{
    /// Handles one request. Returns whether the connection continues.
    async fn serve_one(&mut self) -> bool {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        let Some(message) = self.next_request().await else { return false };
        let query = match C::decode_request(&message) {
            Ok(TargetRequest::Query(query)) => query,
            Ok(TargetRequest::OnBehalf { organisation }) => {
                self.user = (!organisation.is_empty()).then(|| organisation.into());
                return true;
            }
            Ok(TargetRequest::Precedence { class, wait_ms }) => {
                self.set_precedence(class, wait_ms);
                return true;
            }
            Ok(TargetRequest::Startup { .. } | TargetRequest::Terminate) | Err(_) => return false,
        };
        self.gateway.counters.event(Event::ForwardsReceived);
        match self.run(&query).await {
            Ok(Some(reply)) => self.push_reply(&reply),
            Ok(None) => {
                C::encode_answer(&TargetMessage::Complete { proof: "-" }, &mut self.output);
                self.push_ready(None);
            }
            Err(ForwardError::Refused(refusal)) => {
                self.gateway.counters.refusal(refusal.kind);
                push_refusal::<C>(&refusal, &mut self.output);
                self.push_ready(None);
            }
            Err(ForwardError::NotAdmitted(refusal)) => {
                self.gateway.counters.refusal(refusal.kind);
                C::encode_not_admitted(&refusal, &mut self.output);
                self.push_ready(None);
            }
            // The outcome is unknown, so the connection is closed as the target's was.
            Err(ForwardError::LostReply) => return false,
        }
        // The replies to pipelined requests are sent together.
        let has_more =
            matches!(C::message_len(&self.input, limits::MAX_MESSAGE_BYTES), Ok(Some(_)));
        has_more || self.flush().await
    }

    /// Receives the next request. Gives the slot of a transaction back if its first statement does not follow.
    async fn next_request(&mut self) -> Option<BytesMut> {
        if self.keeps_slot {
            let next = next_message::<C>(&self.stream, &mut self.input);
            if let Ok(message) = time::timeout(FIRST_STATEMENT_LIMIT, next).await {
                return message;
            }
            self.keeps_slot = false;
            if let Some(pinned) = &mut self.pinned {
                pinned.statement_ended();
            }
        }
        next_message::<C>(&self.stream, &mut self.input).await
    }

    fn set_precedence(&mut self, priority: u32, wait_ms: u64) {
        if self.route.priority != priority {
            self.route = Arc::new(Route { priority, ..Route::clone(&self.route) });
        }
        self.knows_class = true;
        let now_us = self.gateway.clock.now_us();
        self.wait_until_us = Some(now_us.saturating_add(wait_ms.saturating_mul(1_000)));
    }

    /// Runs one request. Returns no reply for a request that is complete without the target.
    async fn run(&mut self, query: &Query<'_>) -> Result<Option<Reply>, ForwardError> {
        // A VM that stood in for the target's homes may by now forward through another VM, which could
        // forward back to this one without end, so it connects to the target again. A VM that is no longer a
        // home forwards through a home, which never forwards.
        if self.pinned.is_none() {
            self.gateway.connects_directly(&self.target);
        }
        let Query::Statement { id, at_least, statement } = query else {
            return match query {
                Query::Reset => {
                    self.values.clear();
                    self.prepared.clear();
                    Ok(None)
                }
                Query::Position { max_age_us } => self.position(*max_age_us).await.map(Some),
                Query::ImmediateStatus => self.immediate_status().await.map(Some),
                Query::StepDown { .. } => self.step_down(query).await.map(Some),
                _ => Err(ForwardError::Refused(ErrorKind::Unsupported.into())),
            };
        };
        match statement {
            Statement::Set { name, value } => {
                self.values.retain(|known| &*known.0 != *name);
                self.values.push(((*name).into(), (*value).into()));
                Ok(None)
            }
            Statement::Prepare { name, prepared } => {
                let shape = Arc::from(prepared.shape);
                let prepared = Prepared { effect: prepared.effect, shape };
                self.prepared.insert((*name).into(), prepared);
                Ok(None)
            }
            Statement::Close { name } => {
                self.prepared.remove(*name);
                Ok(None)
            }
            Statement::Rollback => {
                if let Some(pinned) = self.pinned.take() {
                    pinned.return_to_pool();
                }
                self.keeps_slot = false;
                (self.status, self.wrote) = (TransactionStatus::Idle, false);
                Ok(None)
            }
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.prepared.get(*name).cloned() else {
                    return Err(ForwardError::Refused(ErrorKind::UnknownPrepared.into()));
                };
                let operation = Operation::Execute { prepared, arguments };
                self.forward(*id, *at_least, &operation).await.map(Some)
            }
            Statement::Begin { .. }
            | Statement::Commit
            | Statement::Read { .. }
            | Statement::Write { .. } => {
                self.forward(*id, *at_least, &Operation::Plain(*statement)).await.map(Some)
            }
        }
    }

    /// Returns the oldest position of the service's primary that is at most `max_age_us` old.
    async fn position(&mut self, max_age_us: u64) -> Result<Reply, ForwardError> {
        let (gateway, service) = (&self.gateway, &self.target.record.service);
        let state = gateway.service(service);
        let now_us = gateway.clock.now_us();
        state.demand.lock().record_need(now_us);
        let max_age_us = max_age_us.max(MIN_MAX_AGE_US);
        let first = || state.positions.lock().first_since(now_us.saturating_sub(max_age_us));
        if first().is_none()
            && let Some(_sampling) = state.sampling_flight.begin()
        {
            // If sampling fails, the newest known position is used.
            let _ = sample::sample(gateway, service, max_age_us).await;
        }
        let chosen = first().or_else(|| state.positions.lock().newest());
        let chosen = chosen.ok_or(ForwardError::Refused(ErrorKind::NoPrimary.into()))?;
        let age_us = gateway.clock.now_us().saturating_sub(chosen.taken_us);
        Ok(self.reply_with(&C::encode_position(chosen.position, age_us)))
    }

    /// Forwards a status request to the target.
    async fn immediate_status(&mut self) -> Result<Reply, ForwardError> {
        let until_us = self.gateway.clock.now_us() + limits::STATUS_TIMEOUT_US;
        let reply = prove::request_status(&self.gateway, &self.target, until_us).await;
        reply.map_err(|_| ForwardError::Refused(ErrorKind::TargetUnreachable.into()))
    }

    /// Forwards a request to step down to the target. The connections of the pool may all wait for the target's
    /// commits.
    async fn step_down(&mut self, query: &Query<'_>) -> Result<Reply, ForwardError> {
        let (record, vm) = (&self.target.record, &self.gateway.vm);
        let limit = step_down::PEER_TIMEOUT;
        match self.gateway.control_links.ask(record, vm, query, limit).await {
            CallReply::Status(status) => Ok(self.reply_with(&C::encode_status(&status))),
            CallReply::Refused(_) | CallReply::Unanswered => {
                Err(ForwardError::Refused(ErrorKind::TargetBusy.into()))
            }
            CallReply::Nothing => Err(ForwardError::Refused(ErrorKind::TargetUnreachable.into())),
        }
    }

    /// Returns a successful reply with one row.
    fn reply_with(&self, row: &str) -> Reply {
        let mut rows = BytesMut::new();
        C::encode_answer(&TargetMessage::Row(row), &mut rows);
        Reply {
            rows,
            first_row: row.into(),
            end: End::Complete { proof: "-".into() },
            status: self.status,
            position: None,
        }
    }

    /// Runs a statement at the target.
    async fn forward(
        &mut self,
        id: Option<&str>,
        at_least: Option<LogPosition>,
        operation: &Operation<'_>,
    ) -> Result<Reply, ForwardError> {
        let gateway = Arc::clone(&self.gateway);
        let (route, now_us) = (Arc::clone(&self.route), gateway.clock.now_us());
        // Statements without a user must not run on an organisation's connection.
        let nobody = || gateway.has_organisations().then(|| Arc::clone(&gateway.vm));
        let user = self.user.clone().or_else(nobody);
        let call = Call {
            gateway: &gateway,
            id: id.unwrap_or("-"),
            session: self.number,
            user: user.as_ref(),
            route: &route,
            arrived_us: now_us,
            began_us: now_us,
        };
        let mut lease = match self.pinned.take() {
            Some(mut pinned) => {
                pinned.statement_started();
                pinned
            }
            None => {
                let until_us = self.wait_until_us.take().unwrap_or(call.offer_until_us());
                // The time by which the statement had to be sent to the target has passed.
                if until_us <= now_us {
                    return Err(ForwardError::NotAdmitted(ErrorKind::WaitTimedOut.into()));
                }
                // A forwarded statement always takes the direct path to the target, and never one through
                // another home.
                let path = self.target.path();
                let taken = acquire::take_on_path(&call, &self.target, &path, until_us).await;
                taken.map_err(|acquire_error| {
                    call.log_not_admitted(&self.target, &acquire_error);
                    self.refusal_for(acquire_error)
                })?
            }
        };
        let is_durable = match self.status {
            TransactionStatus::Idle => operation.writes(),
            TransactionStatus::Open | TransactionStatus::Failed => {
                self.wrote && operation.effect() == Effect::Commit
            }
        };
        let is_begin = matches!(operation, Operation::Plain(Statement::Begin { .. }));
        self.keeps_slot = false;
        let sent_us = call.now_us();
        let (link, until_us) = (lease.connection(), call.deadline_us());
        self.target.started(read::offered_by_us(&call, link));
        // This VM forwards to another home if it was one itself when the connection began. A commit may then
        // wait in that home's queue, and is not stuck at the target.
        let is_monitored = is_durable && link.admission_until_us().is_none();
        if is_monitored {
            self.target.commit_sent(sent_us);
        }
        let answered = acquire::run(&call, link, &self.values, operation, at_least, until_us).await;
        if is_monitored {
            let timed_out = answered.as_ref().is_err_and(LostReply::timed_out);
            self.target.commit_ended(call.now_us(), timed_out);
        }
        self.target.ended();
        match answered {
            Ok(reply) => {
                if let Some(TargetError::NotAdmitted(refused)) = reply.error() {
                    lease.return_to_pool();
                    return Err(self.not_admitted(refused.into()));
                }
                self.target.answered(call.now_us(), None);
                let is_done = reply.error().is_none();
                if is_durable && is_done {
                    // Most commits at a home are forwarded from other proxies, so they are also the main
                    // evidence of the target's lead and position.
                    let position = reply.position;
                    let commit =
                        Acknowledged::by_replica(&gateway, &self.target, sent_us, position);
                    if let Some(commit) = commit {
                        confirm::begin_for_forwarded(&gateway, commit);
                    }
                }
                self.wrote = reply.status == TransactionStatus::Open
                    && (self.wrote || (is_done && operation.writes()));
                self.status = reply.status;
                match reply.status {
                    TransactionStatus::Idle => lease.return_to_pool(),
                    TransactionStatus::Open | TransactionStatus::Failed => {
                        // If the slot were free until the first statement, which does not wait for one,
                        // other transactions would begin in between and more statements would run than are
                        // allowed.
                        self.keeps_slot = self.knows_class && is_begin;
                        if !self.keeps_slot {
                            lease.statement_ended();
                        }
                        self.pinned = Some(lease);
                    }
                }
                Ok(reply)
            }
            Err(lost) => {
                self.target.failed(call.now_us());
                call.log_lost(&self.target.record.id, lost.failure);
                Err(ForwardError::LostReply)
            }
        }
    }

    /// Returns the refusal of a statement for which no connection was available.
    ///
    /// An unreachable target is reported as such. If it were reported as busy, the other proxy would keep
    /// sending it reads that another member could serve.
    fn refusal_for(&self, acquire_error: AcquireError) -> ForwardError {
        let kind = match acquire_error {
            AcquireError::Queue(refusal) => return self.not_admitted(refusal),
            // The other proxy tries the next home if this one can't connect. A lost reply, or a wait for a
            // connection in use, does not show that.
            AcquireError::NotConnected(_) if self.knows_class => {
                match self.target.fails_to_connect() {
                    true => ErrorKind::TargetUnreachable,
                    false => ErrorKind::TargetBusy,
                }
            }
            AcquireError::NotConnected(_) => match self.target.health().failed_since_us {
                Some(_) => ErrorKind::TargetUnreachable,
                None => ErrorKind::TargetBusy,
            },
        };
        ForwardError::Refused(kind.into())
    }

    /// Returns the refusal of an admission queue. Without a class, the other proxy may be of an earlier version,
    /// which only knows a busy target.
    fn not_admitted(&self, refusal: Refusal) -> ForwardError {
        match self.knows_class {
            true => ForwardError::NotAdmitted(refusal),
            false => ForwardError::Refused(ErrorKind::TargetBusy.into()),
        }
    }

    fn push_reply(&mut self, reply: &Reply) {
        reply.encode::<C>(&mut self.output);
        self.push_ready(reply.position);
    }

    fn push_ready(&mut self, position: Option<LogPosition>) {
        let ready = TargetMessage::Ready { status: self.status, position };
        C::encode_answer(&ready, &mut self.output);
    }

    async fn flush(&mut self) -> bool {
        let written =
            socket::write_all(&self.stream, &self.output, limits::SLOW_READER_TIMEOUT).await;
        self.output.clear();
        written.is_ok()
    }
}

fn push_refusal<C>(refusal: &Refusal, out: &mut BytesMut)
where
    C: Codec,
{
    match refusal.kind {
        ErrorKind::TargetUnreachable => C::encode_unreachable(out),
        _ => C::encode_refusal(refusal, out),
    }
}

/// A forwarded statement without a reply from the target.
enum ForwardError {
    /// The statement was not sent.
    Refused(Refusal),
    /// The admission queue refused the statement, which was not sent.
    NotAdmitted(Refusal),
    /// The statement was sent, and no complete reply arrived.
    LostReply,
}
