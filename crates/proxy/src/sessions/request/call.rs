//! One statement on its way: what is asked, by whom, and until when.

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

/// What a target is to run.
#[derive(Clone, Debug)]
pub enum Operation<'a> {
    /// A statement as the caller sent it.
    Plain(Statement<'a>),
    /// A prepared statement, which has another name on each connection.
    Execute {
        /// What it does.
        prepared: Prepared,
        /// The item and, for a write, the data.
        arguments: &'a str,
    },
}

impl Operation<'_> {
    /// What running it would do.
    pub fn effect(&self) -> Effect {
        match self {
            Operation::Plain(Statement::Read { .. }) => Effect::Read,
            Operation::Plain(Statement::Commit) => Effect::Commit,
            Operation::Plain(_) => Effect::Write,
            Operation::Execute { prepared, .. } => prepared.effect,
        }
    }

    /// Whether it changes data itself, unlike what only opens or ends a transaction.
    pub fn writes(&self) -> bool {
        match self {
            Operation::Plain(statement) => matches!(statement, Statement::Write { .. }),
            Operation::Execute { prepared, .. } => prepared.effect == Effect::Write,
        }
    }

    /// The prepared statement that the connection needs.
    pub fn prepared(&self) -> Option<&Prepared> {
        match self {
            Operation::Plain(_) => None,
            Operation::Execute { prepared, .. } => Some(prepared),
        }
    }

    /// Adds it to what a connection sends next.
    pub fn push<C>(&self, link: &mut StatementLink<C>, id: &str, at_least: Option<LogPosition>)
    where
        C: Codec,
    {
        let id = Some(id);
        match self {
            Operation::Plain(statement) => link.push_statement(id, at_least, *statement),
            Operation::Execute { prepared, arguments } => {
                let name = link.prepared_name(prepared).unwrap_or_default();
                let statement = Statement::Execute { name: &name, arguments };
                link.push_statement(id, at_least, statement);
            }
        }
    }
}

/// One statement that needs a target.
#[derive(Debug)]
pub struct Call<'a, C>
where
    C: Codec,
{
    /// The process.
    pub gateway: &'a Gateway<C>,
    /// The caller's name for this try.
    pub id: &'a str,
    /// The number of the session.
    pub session: u64,
    /// Whose name targets are told; none where they are told no organisation's.
    pub user: Option<&'a Arc<str>>,
    /// The rules for it.
    pub route: &'a Arc<Route>,
    /// When its first byte had arrived at the latest, or that of its transaction.
    pub arrived_us: u64,
    /// When the statement itself arrived.
    pub began_us: u64,
}

impl<C> Call<'_, C>
where
    C: Codec,
{
    /// The time now.
    pub fn now_us(&self) -> u64 {
        self.gateway.clock.now_us()
    }

    /// Until when it has to be offered to a target.
    pub fn offer_until_us(&self) -> u64 {
        let part_us = self.route.objective_ms * 1_000 / limits::OFFER_DIVISOR;
        self.began_us + part_us.max(limits::LEAST_OFFER_US)
    }

    /// Until when a further target has to be offered it: there is a little time for each.
    pub fn next_offer_until_us(&self) -> u64 {
        self.offer_until_us().max(self.now_us() + limits::LEAST_OFFER_US)
    }

    /// When it is given up.
    pub fn deadline_us(&self) -> u64 {
        self.began_us + self.route.timeout_ms * 1_000
    }

    /// Its class, by precedence.
    pub fn class(&self) -> ClassId {
        ClassId(self.route.priority.min(CLASSES as u32 - 1))
    }

    /// Its caller, for the queue: the organisation where there are any.
    pub fn caller(&self) -> CallerId {
        CallerId(self.user.map_or(self.session, |user| jitter::seed_of(user)))
    }

    /// Counts the time that a stage took which began at `since_us`.
    pub fn record_latency(&self, stage: Stage, since_us: u64) {
        let took_us = self.now_us().saturating_sub(since_us);
        self.gateway.latencies.record(stage, self.class().index(), took_us);
    }

    /// Logs a refusal with what decided it, unless many of its kind were logged just now.
    pub fn log_refusal(&self, refusal: &Refusal) {
        let name = refusal.kind.answer().name;
        let Some(left_out) = self.gateway.log_budget.take(name, self.now_us()) else { return };
        let view = self.gateway.view();
        let primary = self.gateway.primary(&self.route.service);
        let waited_us = self.now_us().saturating_sub(self.began_us);
        slog::info!(self.gateway.log, "refused";
            "request" => self.id,
            "kind" => name,
            "service" => &*self.route.service,
            "primary" => primary.map_or(String::new(), |target| target.record.id.to_string()),
            "view" => view.number,
            "configuration" => view.routes.as_ref().map_or(0, |routes| routes.version),
            "waited_us" => waited_us,
            "left_out" => left_out);
    }

    /// Logs a statement without a whole answer.
    pub fn log_lost(&self, target: &str, failure: skylark_core::request::retry::Failure) {
        let now_us = self.now_us();
        let Some(left_out) = self.gateway.log_budget.take("lost", now_us) else { return };
        slog::info!(self.gateway.log, "no whole answer";
            "request" => self.id,
            "target" => target,
            "failure" => ?failure,
            "waited_us" => now_us.saturating_sub(self.began_us),
            "left_out" => left_out);
    }
}

/// A refusal for want of a usable primary.
pub fn no_primary() -> Refusal {
    Refusal::from(ErrorKind::NoPrimary)
}
