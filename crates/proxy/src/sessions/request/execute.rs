//! Execution of one statement of a caller.

use std::sync::Arc;

use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::Effect;
use skylark_core::request::statement::Statement;
use skylark_core::version::routes::ReadRule;
use skylark_core::version::routes::Route;

use crate::process::counters::Event;
use crate::request::refusal::Refusal;
use crate::sessions::codec::Codec;
use crate::sessions::connection::reply::Reply;
use crate::sessions::connection::session::Session;
use crate::sessions::connection::session::SessionState;
use crate::sessions::connection::session::Transaction;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::latencies::Stage;
use crate::sessions::request::at_primary;
use crate::sessions::request::call::Call;
use crate::sessions::request::call::Operation;
use crate::sessions::request::read;
use crate::sessions::request::transaction;
use crate::sessions::version::principal::Principal;

/// The result of one statement.
#[derive(Debug)]
pub enum Answer {
    /// The statement succeeded without a target.
    Done,
    /// The reply of a target.
    Reply(Reply),
    /// The statement was refused or abandoned.
    Refused(Refusal),
}

/// Runs one statement. `arrived_us` is an upper bound of the arrival time of its first byte.
pub async fn run<C>(
    gateway: &Gateway<C>,
    session: &mut Session<C>,
    id: &str,
    statement: Statement<'_>,
    arrived_us: u64,
) -> Answer
where
    C: Codec,
{
    gateway.counters.event(Event::Requests);
    let result = match statement {
        Statement::Begin { read_only } => begin(gateway, session, read_only, arrived_us),
        Statement::Rollback => roll_back(gateway, session),
        Statement::Set { name, value } => {
            run_locally(gateway, session, |session| session.set(name, value))
        }
        Statement::Prepare { name, prepared } => {
            run_locally(gateway, session, |session| session.prepare(name, prepared))
        }
        Statement::Close { name } => run_locally(gateway, session, |session| {
            session.prepared.remove(name);
            Ok(())
        }),
        Statement::Execute { name, arguments } => match session.prepared.get(name).cloned() {
            Some(prepared) => {
                let operation = Operation::Execute { prepared, arguments };
                run_at_target(gateway, session, id, operation, arrived_us).await
            }
            None => Err(ErrorKind::UnknownPrepared.into()),
        },
        Statement::Commit | Statement::Read { .. } | Statement::Write { .. } => {
            run_at_target(gateway, session, id, Operation::Plain(statement), arrived_us).await
        }
    };
    result.unwrap_or_else(|refusal| {
        gateway.counters.refusal(refusal.kind);
        Answer::Refused(refusal)
    })
}

fn begin<C>(
    gateway: &Gateway<C>,
    session: &mut Session<C>,
    read_only: bool,
    arrived_us: u64,
) -> Result<Answer, Refusal>
where
    C: Codec,
{
    if !matches!(session.state, SessionState::Idle) {
        return Err(ErrorKind::ProtocolViolation.into());
    }
    let route = route(gateway, session)?;
    let transaction = Transaction {
        principal: gateway.principal(session.key, Some(&route))?,
        route,
        is_charged: false,
        read_only,
        began_us: arrived_us,
        wrote: false,
        pinned: None,
    };
    session.state = SessionState::Open(Box::new(transaction));
    gateway.counters.event(Event::AnsweredLocally);
    Ok(Answer::Done)
}

fn roll_back<C>(gateway: &Gateway<C>, session: &mut Session<C>) -> Result<Answer, Refusal>
where
    C: Codec,
{
    match std::mem::take(&mut session.state) {
        SessionState::Idle => Err(ErrorKind::ProtocolViolation.into()),
        SessionState::Failed(_) => Ok(Answer::Done),
        SessionState::Open(open) => {
            transaction::roll_back(open);
            gateway.counters.event(Event::AnsweredLocally);
            Ok(Answer::Done)
        }
    }
}

/// Runs a statement that changes only the session.
fn run_locally<C, F>(
    gateway: &Gateway<C>,
    session: &mut Session<C>,
    change: F,
) -> Result<Answer, Refusal>
where
    C: Codec,
    F: FnOnce(&mut Session<C>) -> Result<(), ErrorKind>,
{
    if let SessionState::Failed(kind) = &mut session.state {
        return Err(report_failed(kind));
    }
    change(session).map_err(Refusal::from)?;
    gateway.counters.event(Event::AnsweredLocally);
    Ok(Answer::Done)
}

/// Runs a statement at a target.
async fn run_at_target<C>(
    gateway: &Gateway<C>,
    session: &mut Session<C>,
    id: &str,
    operation: Operation<'_>,
    arrived_us: u64,
) -> Result<Answer, Refusal>
where
    C: Codec,
{
    let number = session.number;
    match std::mem::take(&mut session.state) {
        SessionState::Failed(mut kind) => {
            let refusal = match operation.effect() {
                // A `COMMIT` ends the failed transaction.
                Effect::Commit => ErrorKind::TransactionLost.into(),
                _ => {
                    let refusal = report_failed(&mut kind);
                    session.state = SessionState::Failed(kind);
                    refusal
                }
            };
            Err(refusal)
        }
        SessionState::Open(mut open) => {
            let route = Arc::clone(&open.route);
            let principal = match principal_of_open(gateway, session, &open) {
                Ok(principal) => principal,
                Err(refusal) => {
                    transaction::roll_back(open);
                    session.state = transaction::after_refusal(&operation);
                    return Err(refusal);
                }
            };
            let call = Call {
                gateway,
                id,
                session: number,
                user: principal.user(&gateway.vm),
                route: &route,
                arrived_us: open.began_us,
                began_us: arrived_us,
            };
            if !open.is_charged {
                if let Err(refusal) = charge_quota(&call, &principal).await {
                    session.state = transaction::after_refusal(&operation);
                    return Err(refusal);
                }
                open.is_charged = true;
            }
            let result = transaction::run(&call, session, open, &operation).await;
            finish(&call, result)
        }
        SessionState::Idle => {
            if operation.effect() == Effect::Commit {
                return Err(ErrorKind::ProtocolViolation.into());
            }
            let route = route(gateway, session)?;
            let principal = gateway.principal(session.key, Some(&route))?;
            let call = Call {
                gateway,
                id,
                session: number,
                user: principal.user(&gateway.vm),
                route: &route,
                arrived_us,
                began_us: arrived_us,
            };
            charge_quota(&call, &principal).await?;
            let result = match (operation.effect(), route.reads) {
                (Effect::Read, ReadRule::Primary) => {
                    at_primary::read(&call, session, &operation).await
                }
                (Effect::Read, _) => read::run(&call, session, &operation).await,
                (Effect::Write | Effect::Commit, _) => {
                    at_primary::write(&call, session, &operation).await
                }
            };
            finish(&call, result)
        }
    }
}

/// Returns the identity under which the next statement of an open transaction runs.
///
/// # Errors
///
/// `TransactionLost` if the key was withdrawn or moved to another organisation since the transaction began:
/// the caller may no longer use the identity that the transaction runs under.
fn principal_of_open<C>(
    gateway: &Gateway<C>,
    session: &Session<C>,
    open: &Transaction<C>,
) -> Result<Principal, Refusal>
where
    C: Codec,
{
    match gateway.principal(session.key, Some(&open.route)) {
        Ok(principal) if principal.is_same_user(&open.principal) => Ok(principal),
        _ => Err(ErrorKind::TransactionLost.into()),
    }
}

/// Charges an operation to the quota of its organisation.
async fn charge_quota<C>(call: &Call<'_, C>, principal: &Principal) -> Result<(), Refusal>
where
    C: Codec,
{
    let Principal::Organisation(organisation) = principal else { return Ok(()) };
    let gateway = call.gateway;
    let counted = gateway.quotas.admit(organisation, call.offer_until_us()).await;
    if let Err(refusal) = &counted {
        let name = refusal.kind.answer().name;
        if let Some(left_out) = gateway.log_budget.take(name, call.now_us()) {
            slog::info!(gateway.log, "refused";
                "request" => call.id,
                "kind" => name,
                "organisation" => &*organisation.name,
                "limit" => ?organisation.limit,
                "retry_after_ms" => refusal.retry_after_ms,
                "configuration" => gateway.view().routes.as_ref().map_or(0, |it| it.version),
                "left_out" => left_out);
        }
    }
    counted
}

fn finish<C>(call: &Call<'_, C>, result: Result<Reply, Refusal>) -> Result<Answer, Refusal>
where
    C: Codec,
{
    call.record_latency(Stage::Whole, call.began_us);
    if let Err(refusal) = &result {
        call.log_refusal(refusal);
    }
    result.map(Answer::Reply)
}

fn route<C>(gateway: &Gateway<C>, session: &Session<C>) -> Result<Arc<Route>, Refusal>
where
    C: Codec,
{
    gateway.route(&session.database).ok_or_else(|| ErrorKind::UnknownGroup.into())
}

/// Returns the refusal for a statement in a failed transaction. The first one reports the failure; later ones
/// are protocol violations.
fn report_failed(kind: &mut ErrorKind) -> Refusal {
    std::mem::replace(kind, ErrorKind::ProtocolViolation).into()
}
