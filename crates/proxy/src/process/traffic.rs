//! The traffic threads: accepting callers, and what all of them share.

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

/// How often pools are looked after, and a stop is looked for.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(20);

/// The pause after a connection that could not be accepted, for instance for lack of file
/// descriptors: trying again at once would only burn the processor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Retries that a group may make at once beyond its share.
const RETRY_BURST: u32 = 50;

/// What the traffic threads are started with.
#[derive(Debug)]
pub struct TrafficOptions {
    /// How many threads serve callers.
    pub threads: usize,
    /// Where callers and other proxies connect.
    pub listener: TcpListener,
    /// The versions that the control thread publishes.
    pub slot: PublishedSlot,
    /// The way to the control thread.
    pub control: ControlHandle,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The bounds.
    pub limits: TrafficLimits,
    /// The name of this process's VM.
    pub vm: String,
    /// The name of its availability zone.
    pub zone: String,
    /// The process's clock, which the times in published versions belong to.
    pub clock: MonotonicClock,
    /// Where this is logged.
    pub log: slog::Logger,
}

/// What all connections of one process share.
#[derive(Debug)]
pub struct Traffic {
    /// The versions that the control thread publishes.
    pub slot: PublishedSlot,
    /// The way to the control thread.
    pub control: ControlHandle,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The bounds.
    pub limits: TrafficLimits,
    /// The name of this process's VM.
    pub vm: String,
    /// The name of its availability zone.
    pub zone: String,
    /// The process's clock.
    pub clock: MonotonicClock,
    /// The connections to targets and other proxies.
    pub pools: Pools,
    /// The callers' prepared statements.
    pub statements: StatementTable,
    /// The callers by their cancel keys.
    pub cancels: CancelRegistry,
    /// How many callers there are.
    pub callers: Arc<Callers>,
    budgets: RwLock<FastMap<Box<str>, Arc<RetryBudget>>>,
    spread: AtomicU32,
    stopping: watch::Sender<bool>,
}

impl Traffic {
    /// The shared state of a process that is about to serve.
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

    /// The retry budget of a group.
    pub fn budget_of(&self, group: &str) -> Arc<RetryBudget> {
        if let Some(known) = self.budgets.read().get(group) {
            return Arc::clone(known);
        }
        let made = Arc::new(RetryBudget::new(self.limits.retry_budget_percent, RETRY_BURST));
        Arc::clone(self.budgets.write().entry(group.into()).or_insert(made))
    }

    /// A number that differs from request to request.
    pub fn next_spread(&self) -> u32 {
        self.spread.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells when the process stops.
    pub fn stopping(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Until when a commit of a request with this deadline may wait for its confirmation.
    pub fn confirm_deadline(&self, deadline: Instant) -> Instant {
        deadline.min(Instant::now() + Duration::from_millis(self.limits.confirm_ms))
    }
}

/// Serves callers until the published version says that the process stops, and the callers that
/// were in the middle of something have ended or used up their grace.
pub async fn serve(options: TrafficOptions) {
    let traffic = Traffic::new(&options);
    let TrafficOptions { threads, listener, log, .. } = options;
    slog::info!(log, "serving"; "address" => address_of(&listener));
    let maintenance = tokio::spawn(maintain(Arc::clone(&traffic)));
    let mut stopping = traffic.stopping();
    let loops = start_loops(threads, &log);
    let accepting = accept(&traffic, &listener, &loops);
    let stopped = async {
        // The sender lives as long as the process's state, so this ends only with a stop.
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

/// Starts the threads that serve callers. One that can't be started leaves its share to the others.
fn start_loops(threads: usize, log: &slog::Logger) -> EventLoops {
    let mut loops = EventLoops::default();
    for _ in 0..threads {
        if let Err(error) = loops.start_one() {
            slog::error!(log, "a traffic thread could not be started"; "error" => %error);
        }
    }
    loops
}

fn address_of(listener: &TcpListener) -> String {
    listener.local_addr().map_or(String::new(), |address: SocketAddr| address.to_string())
}

/// Waits until no caller is left, or the grace is over.
async fn drain(traffic: &Traffic) {
    let until = Instant::now() + Duration::from_millis(traffic.limits.stop_grace_ms);
    while traffic.callers.count() > 0 && Instant::now() < until {
        time::sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// Accepts connections for ever; while the process stops they are told so.
async fn accept(traffic: &Arc<Traffic>, listener: &TcpListener, loops: &EventLoops) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => begin(traffic, stream, &loops.least_busy()),
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

fn begin(traffic: &Arc<Traffic>, stream: TcpStream, event_loop: &Handle) {
    // A socket that can't be taken out of this loop is of no use; dropping it closes it.
    let Ok(stream) = stream.into_std() else { return };
    let permit = traffic.callers.begin();
    let traffic = Arc::clone(traffic);
    event_loop.spawn(serve_one(traffic, stream, permit));
}

async fn serve_one(
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
        started = Box::pin(startup::welcome(&traffic, stream)) => started,
        // Closed without a word: in a flood of connections that never start, an answer would cost
        // more than the flood does.
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
