//! The traffic threads: accepting callers, and the state that all connections share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use parking_lot::RwLock;
use skylark_core::FastMap;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::retry::RetryBudget;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time;

use crate::connection::callers::Callers;
use crate::connection::callers::HalfOpenPermit;
use crate::connection::cancel::CancelRegistry;
use crate::connection::event_loops::EventLoops;
use crate::connection::limits::TrafficLimits;
use crate::connection::pools::Pools;
use crate::connection::prepared::StatementTable;
use crate::connection::startup;
use crate::process::clock::MonotonicClock;
use crate::process::control_handle::ControlHandle;
use crate::process::counters::Counters;
use crate::process::counters::Event;
use crate::version::published::PublishedSlot;

/// The interval of pool maintenance and of checks whether the process is stopping.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(20);

/// The pause after a connection could not be accepted, for instance for lack of file descriptors:
/// an immediate retry would only waste CPU time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The burst of a group's retry budget: retries allowed in excess of the configured percentage.
const RETRY_BURST: u32 = 50;

/// The parameters of the traffic threads.
#[derive(Debug)]
pub struct TrafficOptions {
    /// The number of threads that serve callers.
    pub threads: usize,
    /// The listener for callers and other proxies.
    pub listener: TcpListener,
    /// The versions that the control thread publishes.
    pub slot: PublishedSlot,
    /// The handle to the control thread.
    pub control: ControlHandle,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The limits on callers, connections and waiting times.
    pub limits: TrafficLimits,
    /// The name of this process's VM.
    pub vm: String,
    /// The name of its availability zone.
    pub zone: String,
    /// The process's clock, by which the times in published versions are measured.
    pub clock: MonotonicClock,
    /// The log for start, stop and errors of the traffic threads.
    pub log: slog::Logger,
}

/// The state that all connections of one process share.
#[derive(Debug)]
pub struct Traffic {
    /// The versions that the control thread publishes.
    pub slot: PublishedSlot,
    /// The handle to the control thread.
    pub control: ControlHandle,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The limits on callers, connections and waiting times.
    pub limits: TrafficLimits,
    /// The name of this process's VM.
    pub vm: String,
    /// The name of its availability zone.
    pub zone: String,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// The pools of connections to targets and other proxies.
    pub pools: Pools,
    /// The prepared statements of callers.
    pub statements: StatementTable,
    /// The registry that maps cancel keys to callers.
    pub cancels: CancelRegistry,
    /// The connections of callers, and the limits on them.
    pub callers: Arc<Callers>,
    budgets: RwLock<FastMap<Box<str>, Arc<RetryBudget>>>,
    spread: AtomicU32,
    stopping: watch::Sender<bool>,
}

impl Traffic {
    /// Creates the shared state, without any connection.
    pub fn new(options: &TrafficOptions) -> Arc<Traffic> {
        let limits = options.limits.clone();
        let pools =
            Pools::new(&options.vm, &options.zone, &limits, options.clock, &options.counters);
        Arc::new(Traffic {
            slot: Arc::clone(&options.slot),
            control: options.control.clone(),
            counters: Arc::clone(&options.counters),
            callers: Callers::new(&limits),
            limits,
            vm: options.vm.clone(),
            zone: options.zone.clone(),
            clock: options.clock,
            pools,
            statements: StatementTable::default(),
            cancels: CancelRegistry::default(),
            budgets: RwLock::default(),
            spread: AtomicU32::new(0),
            stopping: watch::Sender::new(false),
        })
    }

    /// Returns the retry budget of a group, creating it on first use.
    pub fn budget_of(&self, group: &str) -> Arc<RetryBudget> {
        if let Some(known) = self.budgets.read().get(group) {
            return Arc::clone(known);
        }
        let new_budget = Arc::new(RetryBudget::new(self.limits.retry_budget_percent, RETRY_BURST));
        Arc::clone(self.budgets.write().entry(group.into()).or_insert(new_budget))
    }

    /// Returns the next value of a wrapping counter, by which requests are spread over replicas.
    pub fn next_spread(&self) -> u32 {
        self.spread.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a receiver that changes to true when the process stops.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Returns until when a commit may wait for its confirmation: the request's deadline or the
    /// confirmation timeout, whichever is earlier.
    pub fn confirm_deadline(&self, deadline: Instant) -> Instant {
        deadline.min(Instant::now() + Duration::from_millis(self.limits.confirm_ms))
    }
}

/// Serves callers until the published version says that the process is stopping, and then until all
/// callers have ended or the grace period is over.
pub async fn serve(options: TrafficOptions) {
    let traffic = Traffic::new(&options);
    let TrafficOptions { threads, listener, log, .. } = options;
    slog::info!(log, "serving"; "address" => address_of(&listener));
    let maintenance = tokio::spawn(maintain(Arc::clone(&traffic)));
    let mut stopping = traffic.stopping();
    let loops = start_loops(threads, &log);
    let accepting = accept(&traffic, &listener, &loops);
    let stopped = async {
        // The sender is owned by `traffic`, which is alive here, so this returns only on a stop.
        let _ = stopping.wait_for(|stopping| *stopping).await;
        drain(&traffic).await;
    };
    tokio::select! {
        () = accepting => (),
        () = stopped => (),
    }
    maintenance.abort();
    slog::info!(log, "stopped"; "callers_cut" => traffic.callers.count());
}

/// Starts the threads that serve callers. If one can't be started, the others serve its share.
fn start_loops(threads: usize, log: &slog::Logger) -> EventLoops {
    let mut loops = EventLoops::default();
    for _ in 0..threads {
        if let Err(error) = loops.start_one() {
            slog::error!(log, "failed to start a traffic thread"; "error" => %error);
        }
    }
    loops
}

fn address_of(listener: &TcpListener) -> String {
    listener.local_addr().map_or(String::new(), |address: SocketAddr| address.to_string())
}

/// Waits until no caller is left or the grace period is over.
async fn drain(traffic: &Traffic) {
    let until = Instant::now() + Duration::from_millis(traffic.limits.stop_grace_ms);
    while traffic.callers.count() > 0 && Instant::now() < until {
        time::sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Accepts connections until cancelled. While the process stops, new connections are still accepted and
/// get an error that says so.
async fn accept(traffic: &Arc<Traffic>, listener: &TcpListener, loops: &EventLoops) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_caller(traffic, stream, &loops.least_busy()),
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn spawn_caller(traffic: &Arc<Traffic>, stream: TcpStream, event_loop: &Handle) {
    // A socket that can't be moved to another event loop is unusable; dropping it closes it.
    let Ok(stream) = stream.into_std() else { return };
    let permit = traffic.callers.begin_startup();
    let traffic = Arc::clone(traffic);
    event_loop.spawn(serve_caller(traffic, stream, permit));
}

async fn serve_caller(
    traffic: Arc<Traffic>,
    stream: std::net::TcpStream,
    mut half_open: HalfOpenPermit,
) {
    let Ok(stream) = TcpStream::from_std(stream) else { return };
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let started = tokio::select! {
        biased;
        started = Box::pin(startup::run_startup(&traffic, stream)) => started,
        // The connection is closed without an error message: in a flood of connections that never
        // complete the startup, sending messages would cost more than the flood itself.
        () = half_open.evicted() => {
            traffic.counters.refusal(ErrorKind::TooManyConnections);
            None
        }
    };
    drop(half_open);
    if let Some((caller, permit)) = started {
        caller.serve().await;
        drop(permit);
        traffic.counters.event(Event::CallersEnded);
    }
}

async fn maintain(traffic: Arc<Traffic>) {
    let mut ticks = time::interval(MAINTENANCE_INTERVAL);
    loop {
        ticks.tick().await;
        let published = traffic.slot.load_full();
        traffic.pools.maintain(&published);
        if published.stopping {
            traffic.stopping.send_if_modified(|stopping| !std::mem::replace(stopping, true));
        }
    }
}
