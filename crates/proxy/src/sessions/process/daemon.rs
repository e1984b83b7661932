//! Startup, serving and graceful shutdown of the process.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::signal::unix;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::task::JoinHandle;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::connection::caller;
use crate::sessions::connection::peer;
use crate::sessions::process::control;
use crate::sessions::process::control::ControlThread;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::sampler;
use crate::sessions::process::settings::SessionSettings;
use crate::sessions::process::stop::StopPhase;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;
use crate::sessions::store::VmAddress;

/// Delay after a connection could not be accepted, for instance for lack of file descriptors. An immediate
/// retry would only use processor time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long before the process would be killed the listener is closed. A statement that arrives later may not
/// be answered in time.
const LAST_PHASE_MARGIN: Duration = Duration::from_millis(1_500);

/// How long before it would be killed the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// How often a stopping process checks whether all sessions have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why the process could not start.
#[derive(Debug)]
pub enum StartError {
    /// The listening socket for callers or peers could not be bound.
    Listen(SocketAddr, io::Error),
    /// The signal handlers could not be installed.
    Signals(io::Error),
    /// The control thread could not be started.
    Control(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, error) => write!(f, "can't listen on {address}: {error}"),
            StartError::Signals(error) => write!(f, "can't listen for signals: {error}"),
            StartError::Control(error) => write!(f, "can't start the control thread: {error}"),
        }
    }
}

/// A serving process. Its tasks end when this is dropped.
#[derive(Debug)]
pub struct Running<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
    accepting: JoinHandle<()>,
    peers: JoinHandle<()>,
    maintaining: JoinHandle<()>,
    _control: ControlThread,
}

/// The signals that the process handles.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers. Without them the signals would end the process.
    ///
    /// # Errors
    ///
    /// [`StartError::Signals`] if the system refuses a handler.
    pub fn listen() -> Result<Signals, StartError> {
        let terminate = unix::signal(SignalKind::terminate()).map_err(StartError::Signals)?;
        let hangup = unix::signal(SignalKind::hangup()).map_err(StartError::Signals)?;
        Ok(Signals { terminate, hangup })
    }
}

/// Serves until the process receives SIGTERM and has drained its sessions.
///
/// # Errors
///
/// Why the process could not start.
pub async fn run<C, S, P>(
    gateway: Arc<Gateway<C>>,
    settings: &SessionSettings,
    store: S,
    promoter: P,
    mut signals: Signals,
) -> Result<(), StartError>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    let log = gateway.log.clone();
    let running = start(gateway, settings, store, promoter).await?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            // All settings are read at startup only.
            _ = signals.hangup.recv() => slog::info!(log, "reload ignored; settings are read at startup"),
        }
    }
    running.stop(Duration::from_millis(settings.grace_ms)).await;
    Ok(())
}

/// Binds the listening sockets and starts the control thread.
///
/// # Errors
///
/// Why the process could not start.
pub async fn start<C, S, P>(
    gateway: Arc<Gateway<C>>,
    settings: &SessionSettings,
    store: S,
    promoter: P,
) -> Result<Running<C>, StartError>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    let address = settings.callers_address;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|error| StartError::Listen(address, error))?;
    let peers = settings.peer_address;
    let peer_listener = TcpListener::bind(peers).await;
    let peer_listener = peer_listener.map_err(|error| StartError::Listen(peers, error))?;
    let own = VmAddress {
        name: Arc::clone(&gateway.vm),
        zone: Arc::clone(&gateway.zone),
        peer_address: peers,
        link_mbps: settings.link_mbps,
        admits_by_class: true,
    };
    let control = control::start(&gateway, own, store, promoter).map_err(StartError::Control)?;
    slog::info!(gateway.log, "started"; "callers_address" => address.to_string());
    let maintaining = tokio::spawn(maintain(Arc::clone(&gateway)));
    let accepting = tokio::spawn(accept(Arc::clone(&gateway), listener, caller::serve));
    let peers = tokio::spawn(accept(Arc::clone(&gateway), peer_listener, peer::serve));
    Ok(Running { gateway, accepting, peers, maintaining, _control: control })
}

impl<C> Running<C>
where
    C: Codec,
{
    /// Stops gracefully: new callers are accepted until the balancer has noticed, idle sessions are then
    /// closed one after the other, and open transactions may last for half of the grace period.
    pub async fn stop(self, grace: Duration) {
        let gateway = &self.gateway;
        let began = Instant::now();
        let sessions = || gateway.sessions.load(Ordering::Relaxed);
        slog::info!(gateway.log, "stopping"; "sessions" => sessions());
        gateway.begin_stop();
        let last = grace.saturating_sub(EXIT_MARGIN);
        loop {
            let passed = began.elapsed();
            let phase = phase_after(passed, grace);
            if phase == StopPhase::Last {
                self.accepting.abort();
            }
            gateway.set_phase(phase);
            let is_empty = phase >= StopPhase::ClosingIdle && sessions() == 0;
            if is_empty || passed >= last {
                break;
            }
            time::sleep(STOP_CHECK_INTERVAL).await;
        }
        slog::info!(gateway.log, "stopped"; "sessions_cut" => sessions());
    }
}

impl<C> Drop for Running<C>
where
    C: Codec,
{
    fn drop(&mut self) {
        self.accepting.abort();
        self.peers.abort();
        self.maintaining.abort();
    }
}

/// Returns the phase of a shutdown that began this long ago.
fn phase_after(passed: Duration, grace: Duration) -> StopPhase {
    match () {
        _ if passed >= grace.saturating_sub(LAST_PHASE_MARGIN) => StopPhase::Last,
        _ if passed >= grace / 2 => StopPhase::Ending,
        _ if passed >= limits::BALANCER_REACTION_TIME.min(grace / 2) => StopPhase::ClosingIdle,
        _ => StopPhase::NotReady,
    }
}

/// Accepts connections and serves each in its own task.
async fn accept<C, S, F>(gateway: Arc<Gateway<C>>, listener: TcpListener, serve: S)
where
    C: Codec,
    S: Fn(Arc<Gateway<C>>, TcpStream) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(Arc::clone(&gateway), stream));
            }
            Err(error) => {
                slog::warn!(gateway.log, "a connection could not be accepted";
                    "reason" => error.to_string());
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Maintains the connection pools and samples positions at a fixed interval. One timer serves both, since each
/// wake-up of an idle VM costs processor time.
async fn maintain<C>(gateway: Arc<Gateway<C>>)
where
    C: Codec,
{
    let mut ticks = time::interval(limits::MAINTENANCE_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        gateway.maintain_pools();
        sampler::sample_due(&gateway);
    }
}
