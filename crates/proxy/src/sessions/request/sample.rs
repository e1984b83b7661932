//! Sampling a log position of a service's primary.
//!
//! A process with its own connections opens a transaction at the primary and rolls it back, which takes no
//! execution slot and returns a position, while other members are queried for the proof that the target is
//! still the primary. Other processes ask a home of the primary (a VM with its own connections to it) for a
//! position and its age. Sampling bypasses the admission queue: with an overloaded primary no positions would
//! be sampled otherwise, and reads that replicas could serve would go to the primary as well.

use std::sync::Arc;

use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;

use crate::connection::lease::Lease;
use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::reply::End;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::prove;

/// The time limit of sampling, in microseconds. Most reads use an earlier position in the meantime.
const TIMEOUT_US: u64 = 250_000;

/// Samples a position. If another process provides it, it is at most `max_age_us` old. Returns `None` if the
/// primary is unknown or its lead was not proved.
pub async fn sample<C>(gateway: &Gateway<C>, service: &Arc<str>, max_age_us: u64) -> Option<()>
where
    C: Codec,
{
    let target = gateway.primary(service)?;
    gateway.prepare_path(&target);
    let until = gateway.clock.instant_at(gateway.clock.now_us() + TIMEOUT_US);
    let lease = match target.pool().take(None, None, until).await {
        Ok(lease) => lease,
        Err(failure) => {
            if let Some(left_out) =
                gateway.log_budget.take("sample_connection", gateway.clock.now_us())
            {
                slog::debug!(gateway.log, "no connection to sample the primary's position";
                    "target" => &*target.record.id, "failure" => ?failure, "left_out" => left_out);
            }
            return None;
        }
    };
    match target.is_direct() {
        true => sample_with_transaction(gateway, &target, lease).await,
        false => sample_from_home(gateway, &target, lease, max_age_us).await,
    }
}

async fn sample_with_transaction<C>(
    gateway: &Gateway<C>,
    target: &Arc<TargetState<C>>,
    mut lease: Lease<StatementLink<C>>,
) -> Option<()>
where
    C: Codec,
{
    let sent_us = gateway.clock.now_us();
    let until = gateway.clock.instant_at(sent_us + TIMEOUT_US);
    let link = lease.connection();
    if prove::learn_term(gateway, target, link, sent_us).await.is_err() {
        target.failed(gateway.clock.now_us());
        return None;
    }
    link.push_own(Statement::Begin { read_only: false });
    // The transaction is over, whether it was opened or refused.
    link.push_own(Statement::Rollback);
    let proof = prove::lead(gateway, target, sent_us, sent_us + TIMEOUT_US);
    let (exchanged, proof) = tokio::join!(link.exchange(until), proof);
    let Ok(reply) = exchanged else {
        target.failed(gateway.clock.now_us());
        return None;
    };
    lease.return_to_pool();
    target.answered(gateway.clock.now_us(), None);
    match reply.error() {
        None => {
            proof.ok()?;
            gateway.proved_lead(target, sent_us, reply.position);
            Some(())
        }
        Some(TargetError::ReadOnly) => {
            gateway.record_not_primary(target);
            None
        }
        Some(_) => None,
    }
}

async fn sample_from_home<C>(
    gateway: &Gateway<C>,
    target: &TargetState<C>,
    mut lease: Lease<StatementLink<C>>,
    max_age_us: u64,
) -> Option<()>
where
    C: Codec,
{
    gateway.counters.event(Event::PositionsRequested);
    let sent_us = gateway.clock.now_us();
    let until = gateway.clock.instant_at(sent_us + TIMEOUT_US);
    let reply = lease.connection().ask(&Query::Position { max_age_us }, until).await.ok()?;
    lease.return_to_pool();
    if !matches!(reply.end, End::Complete { .. }) {
        return None;
    }
    let (position, age_us) = C::decode_position(&reply.first_row).ok()?;
    let service = &target.record.service;
    let Err(error) = gateway.record_position(service, sent_us, age_us, position) else {
        return Some(());
    };
    if let Some(left_out) = gateway.log_budget.take("sample_rejected", gateway.clock.now_us()) {
        slog::debug!(gateway.log, "rejected a position received from a home";
            "service" => &**service, "home" => target.via().as_deref(), "error" => ?error,
            "position" => position.to_string(), "age_us" => age_us, "left_out" => left_out);
    }
    None
}
