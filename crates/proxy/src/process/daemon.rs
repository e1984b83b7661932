//! One proxy as a library: starts its threads, reports its addresses and stops it.
//!
//! A process may run several proxies, each with its own control thread and traffic threads, as the
//! quick start and the tests do.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use skylark_objects::http::HttpStore;
use skylark_settings::proxy::ProxySettings;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::connection::limits::TrafficLimits;
use crate::process::clock::MonotonicClock;
use crate::process::control;
use crate::process::control::ControlParts;
use crate::process::control::Order;
use crate::process::control_handle::ControlHandle;
use crate::process::counters::Counters;
use crate::process::member::tcp::TcpMemberClient;
use crate::process::peer::server;
use crate::process::traffic;
use crate::process::traffic::TrafficOptions;
use crate::version::published::Published;
use crate::version::published::PublishedSlot;

/// The length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1024;

/// Why a proxy can't start.
#[derive(Debug)]
pub enum StartError {
    /// Listening on the address for callers failed.
    Listen(SocketAddr, io::Error),
    /// Listening on the control address failed.
    Control(SocketAddr, io::Error),
    /// Starting a thread or its runtime failed.
    Threads(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, error) => {
                write!(f, "can't listen for callers on {address}: {error}")
            }
            StartError::Control(address, error) => {
                write!(f, "can't listen for control on {address}: {error}")
            }
            StartError::Threads(error) => write!(f, "can't start a thread: {error}"),
        }
    }
}

/// A running proxy. Dropping it ends the proxy immediately, as if its VM had failed.
#[derive(Debug)]
pub struct ProxyHandle {
    listen_address: SocketAddr,
    control_address: SocketAddr,
    published: PublishedSlot,
    orders: mpsc::UnboundedSender<Order>,
    stop_notice: Duration,
    control: Option<thread::JoinHandle<()>>,
    traffic: Option<runtime::Runtime>,
    serving: Option<JoinHandle<()>>,
}

/// Starts a proxy. Its addresses are bound when this returns; the configuration is loaded later, see
/// [`Published::ready`].
///
/// # Errors
///
/// Fails if an address can't be bound or a thread can't be started.
pub async fn start(settings: ProxySettings, log: slog::Logger) -> Result<ProxyHandle, StartError> {
    let settings = Arc::new(settings);
    let clock = MonotonicClock::start();
    let counters = Arc::new(Counters::default());
    let published: PublishedSlot = Arc::new(ArcSwap::from_pointee(Published::default()));
    let (handle, traffic_events) = ControlHandle::new();
    let (request_sender, requests) = mpsc::unbounded_channel();
    let (orders, order_receiver) = mpsc::unbounded_channel();

    let listener = listen(settings.listen_address)
        .map_err(|error| StartError::Listen(settings.listen_address, error))?;
    let listen_address = listener
        .local_addr()
        .map_err(|error| StartError::Listen(settings.listen_address, error))?;
    let parts = ControlParts {
        settings: Arc::clone(&settings),
        clock,
        log: log.clone(),
        store: HttpStore::new(&settings.platform_address.to_string(), &settings.zone),
        client: TcpMemberClient::new(&settings.zone, &settings.vm),
        published: Arc::clone(&published),
        counters: Arc::clone(&counters),
        traffic: traffic_events,
        requests,
        orders: order_receiver,
    };
    let (control, bound) = start_control(parts, request_sender)?;
    let control_address = match bound.await {
        Ok(Ok(address)) => address,
        Ok(Err(error)) => return Err(StartError::Control(settings.control_address, error)),
        Err(_) => return Err(StartError::Threads(io::Error::other("the control thread ended"))),
    };

    // This runtime accepts connections and maintains the pools; separate threads serve the callers.
    let threads = runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name("accept")
        .enable_all()
        .build()
        .map_err(StartError::Threads)?;
    let serving = {
        let _runtime = threads.enter();
        let listener = TcpListener::from_std(listener)
            .map_err(|error| StartError::Listen(settings.listen_address, error))?;
        threads.spawn(traffic::serve(TrafficOptions {
            threads: settings.traffic_threads as usize,
            listener,
            slot: Arc::clone(&published),
            control: handle,
            counters,
            limits: TrafficLimits::from_settings(&settings),
            vm: settings.vm.clone(),
            zone: settings.zone.clone(),
            clock,
            log,
        }))
    };
    Ok(ProxyHandle {
        listen_address,
        control_address,
        published,
        orders,
        stop_notice: Duration::from_millis(settings.limits.stop_notice_ms),
        control: Some(control),
        traffic: Some(threads),
        serving: Some(serving),
    })
}

impl ProxyHandle {
    /// Returns the address for callers and for statements forwarded by other proxies.
    pub fn listen_address(&self) -> SocketAddr {
        self.listen_address
    }

    /// Returns the address for control calls and health checks.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// Returns the slot in which this proxy publishes versions to its traffic threads.
    pub fn published(&self) -> &PublishedSlot {
        &self.published
    }

    /// Stops the proxy gracefully: announces the stop to the load balancer and the other proxies, then
    /// accepts no new callers, waits for requests in flight up to the grace period, and finally sends
    /// the unsent session writes to the other homes.
    pub async fn stop(mut self) {
        let _ = self.orders.send(Order::AnnounceStop);
        tokio::time::sleep(self.stop_notice).await;
        let _ = self.orders.send(Order::BeginStop);
        if let Some(serving) = self.serving.take() {
            let _ = serving.await;
        }
        let _ = self.orders.send(Order::End);
        if let Some(control) = self.control.take() {
            // The thread ends within the timeouts of its calls. Joining it on a blocking thread keeps the
            // caller's runtime free.
            let _ = tokio::task::spawn_blocking(move || control.join()).await;
        }
    }
}

impl Drop for ProxyHandle {
    fn drop(&mut self) {
        let _ = self.orders.send(Order::Kill);
        if let Some(threads) = self.traffic.take() {
            threads.shutdown_background();
        }
    }
}

type Bound = oneshot::Receiver<io::Result<SocketAddr>>;

fn start_control(
    parts: ControlParts<HttpStore, TcpMemberClient>,
    requests: mpsc::UnboundedSender<server::PeerRequest>,
) -> Result<(thread::JoinHandle<()>, Bound), StartError> {
    let (bound_sender, bound) = oneshot::channel();
    let runtime =
        runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Threads)?;
    let control = async move {
        match server::start(parts.settings.control_address, requests).await {
            Ok((address, _server)) => {
                let _ = bound_sender.send(Ok(address));
                control::run(parts).await;
            }
            Err(error) => {
                let _ = bound_sender.send(Err(error));
            }
        }
    };
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(control))
        .map_err(StartError::Threads)?;
    Ok((thread, bound))
}

fn listen(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
