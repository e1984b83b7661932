//! A connection: the start-up, then a caller's session or a control session.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::timer;

use super::Target;
use super::error::TargetError;

use self::backend::TransactionState;
use self::cancel::CancelFlag;
use self::cancel::CancelKey;
use self::frontend::Opening;
use self::wire::Wire;
use self::wire::WireError;

pub mod backend;
pub mod cancel;
pub mod control;
pub mod delay_line;
pub mod extended;
pub mod frontend;
pub mod rows;
mod run;
pub mod session;
mod simple;
pub mod types;
pub mod wire;

/// The database of control connections.
pub const CONTROL_DATABASE: &str = "group_control";

/// The content of a start-up packet.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
struct Startup {
    database: String,
    zone: String,
}

impl Startup {
    fn read(parameters: Vec<(String, String)>) -> Startup {
        let mut startup = Startup::default();
        let mut user = String::new();
        for (name, value) in parameters {
            match name.as_str() {
                "database" => startup.database = value,
                "user" => user = value,
                "application_name" => {
                    let zone = value.split_once('/').map(|(zone, _)| zone);
                    zone.unwrap_or_default().clone_into(&mut startup.zone);
                }
                _ => {}
            }
        }
        if startup.database.is_empty() {
            startup.database = user;
        }
        startup
    }
}

/// Counts a caller's connection until it is dropped, and holds its cancellation key.
#[derive(Debug)]
struct Admission {
    target: Arc<Target>,
    key: CancelKey,
    cancel: Arc<CancelFlag>,
}

impl Admission {
    fn new(target: &Arc<Target>) -> Result<Admission, TargetError> {
        if target.leaving() {
            return Err(TargetError::Leaving);
        }
        let limit = target.options.connections;
        let add = |open: u32| (open < limit).then_some(open + 1);
        if target.callers.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_err() {
            target.counters.refused_connections.add();
            return Err(TargetError::TooManyConnections);
        }
        target.counters.connections.add();
        let (key, cancel) = target.cancels.register();
        Ok(Admission { target: Arc::clone(target), key, cancel })
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.target.callers.fetch_sub(1, Ordering::Relaxed);
        self.target.cancels.forget(self.key);
    }
}

/// Serves a connection until it ends.
pub async fn serve(target: Arc<Target>, stream: &mut TcpStream) {
    // Without this, a status notification would wait for the acknowledgement of the previous one.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut wire = Wire::new(stream, &target);
    let startup = match opening(&target, &mut wire).await {
        Ok(Some(startup)) => startup,
        Ok(None) => return,
        Err(error) => return refuse_malformed(&mut wire, error).await,
    };
    wire.set_zone(&startup.zone);
    let one_way = target.network.one_way(&startup.zone, &target.options.zone);
    if one_way.is_zero() {
        return serve_started(&target, wire, startup).await;
    }
    let (near, far) = tokio::io::duplex(delay_line::BUFFER_BYTES);
    let Some(socket) = wire.delay(near) else { return };
    timer::sleep(one_way).await;
    let session = serve_started(&target, wire, startup);
    tokio::join!(session, delay_line::run(socket, far, one_way));
}

/// Performs the start-up; `None` if the connection requested a cancellation.
async fn opening(target: &Target, wire: &mut Wire<'_>) -> Result<Option<Startup>, WireError> {
    loop {
        match wire.opening().await? {
            Opening::Encryption => wire.send_byte(b'N').await?,
            Opening::Cancel { session, secret } => {
                target.cancels.cancel(CancelKey { session, secret });
                return Ok(None);
            }
            Opening::Startup(parameters) => return Ok(Some(Startup::read(parameters))),
        }
    }
}

async fn serve_started(target: &Arc<Target>, mut wire: Wire<'_>, startup: Startup) {
    if let Err(error) = start(target, &mut wire, startup).await {
        refuse_malformed(&mut wire, error).await;
    }
}

async fn start(
    target: &Arc<Target>,
    wire: &mut Wire<'_>,
    startup: Startup,
) -> Result<(), WireError> {
    wire.gate.pass().await;
    if startup.database == CONTROL_DATABASE {
        target.counters.control_connections.add();
        let key = CancelKey { session: 0, secret: 0 };
        greet(wire, key).await?;
        return control::serve(target, wire).await;
    }
    if startup.database != target.options.group {
        return refuse(wire, &TargetError::UnknownDatabase(startup.database)).await;
    }
    let admission = match Admission::new(target) {
        Ok(admission) => admission,
        Err(error) => return refuse(wire, &error).await,
    };
    timer::sleep(Duration::from_millis(target.options.connect_cost_ms)).await;
    greet(wire, admission.key).await?;
    session::Session::new(target, &admission.cancel).serve(wire).await
}

async fn refuse_malformed(wire: &mut Wire<'_>, error: WireError) {
    if let WireError::Malformed(malformed) = error {
        let error = TargetError::Protocol(malformed.to_string());
        // The peer may have closed the connection.
        let _ = refuse(wire, &error).await;
    }
}

async fn refuse(wire: &mut Wire<'_>, error: &TargetError) -> Result<(), WireError> {
    backend::error(&mut wire.output, "FATAL", error);
    wire.flush().await
}

async fn greet(wire: &mut Wire<'_>, key: CancelKey) -> Result<(), WireError> {
    const PARAMETERS: [(&str, &str); 8] = [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("IntervalStyle", "postgres"),
    ];
    backend::authentication_ok(&mut wire.output);
    for (name, value) in PARAMETERS {
        backend::parameter_status(&mut wire.output, name, value);
    }
    backend::key_data(&mut wire.output, key);
    backend::ready(&mut wire.output, TransactionState::Idle);
    wire.flush().await
}
