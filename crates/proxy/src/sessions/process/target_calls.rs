//! Single queries and commands to a target, each on its own connection.
//!
//! A takeover must not wait for pooled connections, which may all hang on the primary that failed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use skylark_core::request::statement::TargetError;
use skylark_core::version::routes::TargetRecord;

use crate::connection::pooled_connection::PooledConnection;
use crate::connection::target_connection::OpenError;
use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::codec::TargetStatus;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::link::TargetLogin;
use crate::sessions::connection::reply::End;
use crate::sessions::store::VmAddress;

/// Timeout of one call, including the time to connect. A new connection takes up to 30 ms and waits for slots
/// that execute statements of up to 110 ms; a target that needs longer counts as lost.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a busy target is asked again, within the timeout.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// The result of a call to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallReply {
    /// The target reported its status.
    Status(TargetStatus),
    /// The target is alive but refused the call.
    Refused(CallRefusal),
    /// The target accepted the connection and did not answer the call, which it may still carry out.
    Unanswered,
    /// The target could not be reached in time.
    Nothing,
}

impl CallReply {
    /// Whether the target is known to run.
    pub fn shows_life(self) -> bool {
        match self {
            CallReply::Status(_) | CallReply::Refused(_) => true,
            CallReply::Unanswered | CallReply::Nothing => false,
        }
    }
}

/// Why a target refused a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallRefusal {
    /// It accepted no connection, because it has too many or is not the expected target.
    Connection,
    /// It refused the query with this error; one that is busy did so until the timeout.
    Query(TargetError),
    /// Its answer was not a status.
    Malformed,
}

/// Sends one call to a target, with [`CALL_TIMEOUT`].
pub async fn ask<C>(record: &TargetRecord, vm: &Arc<str>, query: &Query<'_>) -> CallReply
where
    C: Codec,
{
    ask_with_timeout::<C>(record, vm, query, CALL_TIMEOUT).await
}

/// Sends one call to a target, which has to answer within `limit`.
pub async fn ask_with_timeout<C>(
    record: &TargetRecord,
    vm: &Arc<str>,
    query: &Query<'_>,
    limit: Duration,
) -> CallReply
where
    C: Codec,
{
    let until = Instant::now() + limit;
    match open::<C>(record, vm, limit).await {
        Ok(mut link) => ask_on(&mut link, query, until).await,
        Err(reply) => reply,
    }
}

/// Opens a connection to a target.
///
/// # Errors
///
/// What a call to the target results in.
pub async fn open<C>(
    record: &TargetRecord,
    vm: &Arc<str>,
    limit: Duration,
) -> Result<StatementLink<C>, CallReply>
where
    C: Codec,
{
    // The target itself only knows its name.
    open_at(record.address, login(record, &record.name, vm, false), limit).await
}

/// Sends one call to a target through another VM, which has to be connected to the target. The answer has to
/// arrive within `limit`.
pub async fn ask_through<C>(
    via: &VmAddress,
    record: &TargetRecord,
    vm: &Arc<str>,
    query: &Query<'_>,
    limit: Duration,
) -> CallReply
where
    C: Codec,
{
    let until = Instant::now() + limit;
    let login = login(record, &record.id, vm, true);
    let mut link = match open_at::<C>(via.peer_address, login, limit).await {
        Ok(link) => link,
        Err(_) => return CallReply::Nothing,
    };
    match ask_on(&mut link, query, until).await {
        reply @ CallReply::Status(_) => reply,
        reply @ CallReply::Refused(CallRefusal::Query(TargetError::Busy)) => reply,
        // The other VM does not reach the target, or is not reached itself.
        CallReply::Refused(_) | CallReply::Unanswered | CallReply::Nothing => CallReply::Nothing,
    }
}

fn login(
    record: &TargetRecord,
    target_id: &Arc<str>,
    vm: &Arc<str>,
    to_proxy: bool,
) -> TargetLogin {
    TargetLogin {
        service: Arc::clone(&record.service),
        target_id: Arc::clone(target_id),
        vm: Arc::clone(vm),
        to_proxy,
        tcp_connect_ms: None,
    }
}

async fn open_at<C>(
    address: SocketAddr,
    login: TargetLogin,
    limit: Duration,
) -> Result<StatementLink<C>, CallReply>
where
    C: Codec,
{
    let link = StatementLink::open(&address.to_string(), &login, None, limit).await;
    link.map_err(|error| match error {
        OpenError::Refused(_) => CallReply::Refused(CallRefusal::Connection),
        OpenError::Io(_) | OpenError::TimedOut | OpenError::Unsupported => CallReply::Nothing,
    })
}

/// Sends one call on an open connection, again while the target is busy.
pub async fn ask_on<C>(link: &mut StatementLink<C>, query: &Query<'_>, until: Instant) -> CallReply
where
    C: Codec,
{
    loop {
        let Ok(reply) = link.ask(query, until).await else { return CallReply::Unanswered };
        let error = match reply.end {
            End::Complete { .. } => {
                return match C::decode_status(&reply.first_row) {
                    Ok(status) => CallReply::Status(status),
                    Err(_) => CallReply::Refused(CallRefusal::Malformed),
                };
            }
            End::Error { error, .. } => error,
        };
        if error != TargetError::Busy || Instant::now() + BUSY_PAUSE >= until {
            return CallReply::Refused(CallRefusal::Query(error));
        }
        tokio::time::sleep(BUSY_PAUSE).await;
    }
}
