//! The context of one statement: the operation, the session, the route and the deadlines.

use std::sync::Arc;

use skylark_core::ids::ClassId;
use skylark_core::log_position::LogPosition;
use skylark_core::process::jitter;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::Effect;
use skylark_core::request::statement::Prepared;
use skylark_core::request::statement::Statement;
use skylark_core::version::routes::Route;

use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::latencies::Stage;
use crate::sessions::process::limits;
use crate::sessions::process::targets::CLASSES;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::acquire::AcquireError;

/// An operation that a target runs.
#[derive(Clone, Debug)]
pub enum Operation<'a> {
    /// A statement in the form in which the caller sent it.
    Plain(Statement<'a>),
    /// A prepared statement. Its name differs between connections.
    Execute {
        /// The prepared statement.
        prepared: Prepared,
        /// The item and, for a write, the data.
        arguments: &'a str,
    },
}

impl Operation<'_> {
    /// Returns the effect of running the operation.
    pub fn effect(&self) -> Effect {
        match self {
            Operation::Plain(Statement::Read { .. }) => Effect::Read,
            Operation::Plain(Statement::Commit) => Effect::Commit,
            Operation::Plain(_) => Effect::Write,
            Operation::Execute { prepared, .. } => prepared.effect,
        }
    }

    /// Returns whether the operation itself changes data, unlike one that opens or ends a transaction.
    pub fn writes(&self) -> bool {
        match self {
            Operation::Plain(statement) => matches!(statement, Statement::Write { .. }),
            Operation::Execute { prepared, .. } => prepared.effect == Effect::Write,
        }
    }

    /// Returns the prepared statement that the connection must have.
    pub fn prepared(&self) -> Option<&Prepared> {
        match self {
            Operation::Plain(_) => None,
            Operation::Execute { prepared, .. } => Some(prepared),
        }
    }

    /// Appends the operation to the output of a connection.
    pub fn push<C>(&self, link: &mut StatementLink<C>, id: &str, at_least: Option<LogPosition>)
    where
        C: Codec,
    {
        let id = Some(id);
        match self {
            // Another proxy's `BEGIN` has the identifier of the statement that follows it. The target gets that
            // one with the statement only.
            Operation::Plain(statement @ Statement::Begin { .. }) => {
                link.push_statement(None, at_least, *statement);
            }
            Operation::Plain(statement) => link.push_statement(id, at_least, *statement),
            Operation::Execute { prepared, arguments } => {
                let name = link.prepared_name(prepared).unwrap_or_default();
                let statement = Statement::Execute { name: &name, arguments };
                link.push_statement(id, at_least, statement);
            }
        }
    }
}

/// The context of one statement that a target runs.
#[derive(Debug)]
pub struct Call<'a, C>
where
    C: Codec,
{
    /// The state shared by all sessions of the process.
    pub gateway: &'a Gateway<C>,
    /// The caller's identifier of this attempt.
    pub id: &'a str,
    /// The session's number.
    pub session: u64,
    /// The user name at targets; `None` if callers are not identified.
    pub user: Option<&'a Arc<str>>,
    /// The route of the caller's database.
    pub route: &'a Arc<Route>,
    /// An upper bound of the arrival time of the first byte of the statement, or of its transaction, in
    /// microseconds. The freshness that reads need is relative to this time.
    pub arrived_us: u64,
    /// When the statement itself arrived, in microseconds.
    pub began_us: u64,
}

impl<C> Call<'_, C>
where
    C: Codec,
{
    /// Returns the current time, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.gateway.clock.now_us()
    }

    /// Returns the time by which a target has to accept the statement.
    pub fn offer_until_us(&self) -> u64 {
        let part_us = self.route.objective_ms * 1_000 / limits::OFFER_DIVISOR;
        self.began_us + part_us.max(limits::LEAST_OFFER_US)
    }

    /// Returns the deadline for the next target to accept the statement. Each further target gets a minimum
    /// of time.
    pub fn next_offer_until_us(&self) -> u64 {
        self.offer_until_us().max(self.now_us() + limits::LEAST_OFFER_US)
    }

    /// Returns the time at which the statement is abandoned.
    pub fn deadline_us(&self) -> u64 {
        self.began_us + self.route.timeout_ms * 1_000
    }

    /// Returns the priority class of the statement.
    pub fn class(&self) -> ClassId {
        ClassId(self.route.priority.min(CLASSES as u32 - 1))
    }

    /// Returns the identity for fair queueing: the organisation if there is one, otherwise the session.
    pub fn caller(&self) -> CallerId {
        CallerId(self.user.map_or(self.session, |user| jitter::seed_of(user)))
    }

    /// Returns the identifier for the `BEGIN` of a transaction that the statement opens: that of the statement if
    /// one VM admits for all, so that this VM's log shows which statement it refused.
    pub fn begin_id(&self, target: &TargetState<C>) -> Option<&str> {
        target.shares_admission().then_some(self.id)
    }

    /// Records the latency of a stage that began at `since_us`.
    pub fn record_latency(&self, stage: Stage, since_us: u64) {
        let took_us = self.now_us().saturating_sub(since_us);
        self.gateway.latencies.record(stage, self.class().index(), took_us);
    }

    /// Logs a refusal with the state that led to it, unless too many of the same kind were logged recently.
    pub fn log_refusal(&self, refusal: &Refusal) {
        let name = refusal.kind.answer().name;
        let Some(left_out) = self.gateway.log_budget.take(name, self.now_us()) else { return };
        let view = self.gateway.view();
        let primary = self.gateway.primary(&self.route.service);
        let waited_us = self.now_us().saturating_sub(self.began_us);
        let log = match primary.as_ref().filter(|target| target.shares_admission()) {
            Some(target) => self.gateway.log.new(slog::o!(
                "class" => self.class().index(),
                "via" => target.via().as_deref().unwrap_or_default().to_owned(),
                "retry_after_ms" => refusal.retry_after_ms)),
            None => self.gateway.log.clone(),
        };
        slog::info!(log, "refused";
            "request" => self.id,
            "kind" => name,
            "service" => &*self.route.service,
            "primary" => primary.map_or(String::new(), |target| target.record.id.to_string()),
            "view" => view.number,
            "configuration" => view.routes.as_ref().map_or(0, |routes| routes.version),
            "waited_us" => waited_us,
            "left_out" => left_out);
    }

    /// Logs that this VM's queue for a target refused a statement of another VM, if it admits the statements of
    /// all VMs. The identifier is the one that the other VM logs.
    pub fn log_not_admitted(&self, target: &TargetState<C>, acquire_error: &AcquireError) {
        let AcquireError::Queue(refusal) = acquire_error else { return };
        if !target.shares_admission() {
            return;
        }
        let now_us = self.now_us();
        let Some(left_out) = self.gateway.log_budget.take("not_admitted", now_us) else { return };
        slog::info!(self.gateway.log, "forwarded statement refused";
            "request" => self.id,
            "kind" => refusal.kind.answer().name,
            "service" => &*target.record.service,
            "target" => &*target.record.id,
            "class" => self.class().index(),
            "retry_after_ms" => refusal.retry_after_ms,
            "waited_us" => now_us.saturating_sub(self.began_us),
            "left_out" => left_out);
    }

    /// Logs a statement without a complete reply.
    pub fn log_lost(&self, target: &str, failure: skylark_core::request::retry::Failure) {
        let now_us = self.now_us();
        let Some(left_out) = self.gateway.log_budget.take("lost", now_us) else { return };
        slog::info!(self.gateway.log, "incomplete reply";
            "request" => self.id,
            "target" => target,
            "failure" => ?failure,
            "waited_us" => now_us.saturating_sub(self.began_us),
            "left_out" => left_out);
    }
}

/// Returns the refusal for a service without a usable primary.
pub fn no_primary() -> Refusal {
    Refusal::from(ErrorKind::NoPrimary)
}
