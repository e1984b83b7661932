//! The subscribing side of the feed: follows watchers, and detects those that are silent, late or outdated.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use skylark_core::process::jitter;
use skylark_core::process::store_calls;
use skylark_core::process::store_calls::StoreAccess;
use skylark_core::process::store_calls::StoreStatus;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;

use crate::connection::socket;
use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link;
use crate::sessions::process::feed;
use crate::sessions::process::feed::KnownLists;
use crate::sessions::process::feed::Message;
use crate::sessions::process::feed::frame;
use crate::sessions::process::feed::listing::TargetList;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::watch::FeedStatus;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::StateStore;
use crate::sessions::store::VmAddress;

/// How long a publisher may be silent before the subscriber turns to the next one. Several heartbeats are
/// missing by then.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long after its announcement a version may be missing before this process reads it from the store,
/// while it keeps the subscription. A version has to be in force within 3 s of its confirmation, and a slow
/// link or a publisher with many subscribers may take longer.
const VERSION_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for connecting to a publisher and for sending the subscription.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long the store may not answer a VM that watches it before that VM subscribes to other VMs, in
/// microseconds. Failures of single calls are over by then, and changes still come into force within 3 s.
const HELP_AFTER_US: u64 = 1_000_000;

/// Maximum number of VMs that are asked for help in one round. While the store is unavailable to all of them,
/// none can help.
const MAX_HELPERS: usize = 2;

/// How long a watcher that reports the store as unavailable is followed before the next one is tried, since
/// the store may refuse only some VMs. Each watcher keeps trying the store, so nothing is missed meanwhile.
const STORE_UNAVAILABLE_LIMIT: Duration = Duration::from_millis(2_000);

/// How long a watcher of another availability zone is followed before the nearer ones of this zone are tried
/// again.
const FAR_WATCHER_LIMIT: Duration = Duration::from_millis(10_000);

/// Maximum number of watchers of other zones that are tried in one round if those of this zone are
/// unreachable.
const MAX_FAR_WATCHERS: usize = 3;

/// Minimum and maximum delay before the watchers are tried again after none of them had a usable state. After
/// a startup the watchers are available shortly afterwards.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Why a subscription ended.
#[derive(Debug)]
enum CloseReason {
    /// The store has not answered the publisher for a while.
    StoreUnavailable,
    /// The publisher has an older configuration than this process. It may be partitioned without having
    /// noticed, and its changes would not apply to the known version.
    Outdated,
    /// The publisher sent changes to a configuration that is unknown here.
    UnknownBase,
    /// The publisher is no longer a watcher for this process, the store answers this process again, or a
    /// nearer watcher is to be tried.
    NotNeeded,
    /// The connection failed.
    Failed(io::Error),
}

impl From<io::Error> for CloseReason {
    fn from(error: io::Error) -> CloseReason {
        CloseReason::Failed(error)
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::StoreUnavailable => {
                f.write_str("the publisher has no answer from the store")
            }
            CloseReason::Outdated => f.write_str("the publisher is outdated"),
            CloseReason::UnknownBase => f.write_str("the changes are based on an unknown version"),
            CloseReason::NotNeeded => f.write_str("the subscription is no longer needed"),
            CloseReason::Failed(error) => error.fmt(f),
        }
    }
}

/// The role of a publisher for this process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum FeedSource {
    /// It watches the store for the VMs of this zone.
    Watcher,
    /// It watches the store for the VMs of another availability zone.
    FarWatcher,
    /// It supplies the state while the store refuses this process, which keeps trying the store.
    Helper,
}

/// Keeps this process subscribed to watchers where the fleet is large enough to have them. A process that
/// watches the store itself subscribes to others while the store does not answer it. Otherwise it would serve
/// with an old version for that time although every other VM has the new one.
pub async fn run<C, S>(watcher: Arc<Watcher<C, S>>, gateway: Arc<Gateway<C>>)
where
    C: Codec,
    S: StateStore,
{
    let mut backoff = MIN_BACKOFF;
    loop {
        let had_feed = match gateway.store_access.access() {
            StoreAccess::Direct => follow_helpers(&watcher).await,
            StoreAccess::ViaPeer | StoreAccess::ViaPeerUnavailable | StoreAccess::NoPeer => {
                follow_watchers(&watcher).await
            }
        };
        backoff = if had_feed { MIN_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        time::sleep(backoff).await;
    }
}

/// Follows the watchers that are responsible for this process, one after the other. Returns whether any of
/// them had a usable state.
async fn follow_watchers<C, S>(watcher: &Watcher<C, S>) -> bool
where
    C: Codec,
    S: StateStore,
{
    let gateway = &watcher.gateway;
    let (mut had_feed, mut is_reached) = (false, false);
    for vm in rotated(gateway, gateway.watchers(), usize::MAX) {
        let best_access = follow_publisher(watcher, &vm, FeedSource::Watcher).await;
        had_feed |= best_access == Some(StoreAccess::ViaPeer);
        is_reached |= best_access.is_some();
    }
    if had_feed {
        return true;
    }
    // The watchers of this zone relay what they receive from other zones, so one further watcher is enough.
    let count = if is_reached { 1 } else { MAX_FAR_WATCHERS };
    for vm in rotated(gateway, gateway.far_watchers(), count) {
        let best_access = follow_publisher(watcher, &vm, FeedSource::FarWatcher).await;
        had_feed |= best_access == Some(StoreAccess::ViaPeer);
        is_reached |= best_access.is_some();
    }
    if !is_reached {
        watcher.set_feed_status(None);
    }
    had_feed
}

/// Follows other VMs while the store refuses this one. Returns whether any of them had a usable state.
async fn follow_helpers<C, S>(watcher: &Watcher<C, S>) -> bool
where
    C: Codec,
    S: StateStore,
{
    if watcher.store_silent_us() < HELP_AFTER_US {
        return false;
    }
    let gateway = &watcher.gateway;
    let mut had_feed = false;
    for vm in rotated(gateway, gateway.helpers(), MAX_HELPERS) {
        let best_access = follow_publisher(watcher, &vm, FeedSource::Helper).await;
        had_feed |= best_access == Some(StoreAccess::ViaPeer);
    }
    had_feed
}

/// Selects up to `count` of these VMs. The order differs between processes, and over time within a process if
/// not all are selected.
fn rotated<C>(gateway: &Gateway<C>, mut vms: Vec<VmAddress>, count: usize) -> Vec<VmAddress>
where
    C: Codec,
{
    let first = jitter::seed_of(&gateway.vm) as usize;
    let offset = match count < vms.len() {
        true => (gateway.clock.now_us() / MAX_BACKOFF.as_micros() as u64) as usize,
        false => 0,
    };
    let divisor = vms.len().max(1);
    vms.rotate_left(first.wrapping_add(offset) % divisor);
    vms.truncate(count);
    vms
}

/// Follows one publisher until the subscription ends. Returns the best access to the store that it
/// provided; `None` if it was unreachable.
async fn follow_publisher<C, S>(
    watcher: &Watcher<C, S>,
    vm: &VmAddress,
    source: FeedSource,
) -> Option<StoreAccess>
where
    C: Codec,
    S: StateStore,
{
    let mut feed = Feed::new(watcher, source);
    let reason = feed.receive(vm).await.err().unwrap_or(CloseReason::NotNeeded);
    // The next watcher may report the same, and the store is not probed until then.
    if !matches!(reason, CloseReason::StoreUnavailable) {
        watcher.set_feed_status(None);
    }
    let gateway = &watcher.gateway;
    gateway.counters.event(Event::FeedsAbandoned);
    slog::info!(gateway.log, "not told by a watcher";
        "watcher" => &*vm.name, "as" => ?source, "reason" => reason.to_string(),
        "unfinished_bytes" => feed.input.len(), "version" => watcher.version());
    feed.best_access
}

async fn connect(vm: &VmAddress) -> io::Result<TcpStream> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(vm.peer_address)).await;
    let stream = stream.map_err(|_| io::ErrorKind::TimedOut)??;
    link::set_keepalive(&stream)?;
    Ok(stream)
}

/// The lists that this process knew when it subscribed.
#[derive(Default)]
struct KnownState {
    targets: TargetList,
    vms: Arc<VmList>,
}

impl KnownState {
    /// The digests for the subscription; `None` without targets, as after a start.
    fn digests(&self) -> Option<KnownLists> {
        let is_empty = self.targets.entries.is_empty();
        (!is_empty).then(|| KnownLists { targets: self.targets.digest(), vms: self.vms.digest() })
    }
}

/// A subscription to one publisher.
struct Feed<'a, C, S>
where
    C: Codec,
{
    watcher: &'a Watcher<C, S>,
    source: FeedSource,
    began: Instant,
    /// Received bytes that are not a complete message yet.
    input: BytesMut,
    /// The best access that the publisher provided: whether it ever had an answering store; `None` before
    /// its first report.
    best_access: Option<StoreAccess>,
    /// The lists that the publisher's first messages may refer to.
    known: KnownState,
    /// The publisher's list of VMs.
    vms: Arc<VmList>,
    /// The publisher's list of targets.
    targets: TargetList,
    /// Whether the publisher's list of targets is settled.
    is_settled: bool,
    /// The version of the last heartbeat.
    announced: Option<u64>,
    /// The deadline for the announced version, while that is not known here.
    late_at: Option<Instant>,
    /// Since when the publisher has reported the store as unavailable.
    unavailable_since: Option<Instant>,
}

impl<'a, C, S> Feed<'a, C, S>
where
    C: Codec,
    S: StateStore,
{
    fn new(watcher: &'a Watcher<C, S>, source: FeedSource) -> Feed<'a, C, S> {
        Feed {
            watcher,
            source,
            began: Instant::now(),
            input: BytesMut::new(),
            best_access: None,
            known: KnownState::default(),
            vms: Arc::default(),
            targets: TargetList::default(),
            is_settled: false,
            announced: None,
            late_at: None,
            unavailable_since: None,
        }
    }

    /// Applies the messages of one publisher for as long as the subscription is needed.
    async fn receive(&mut self, vm: &VmAddress) -> Result<(), CloseReason> {
        let stream = connect(vm).await?;
        let watcher = self.watcher;
        self.known = KnownState { targets: watcher.target_list(), vms: watcher.vm_list() };
        let subscription = feed::subscription(watcher.version(), self.known.digests().as_ref());
        socket::write_all(&stream, subscription.as_bytes(), CONNECT_TIMEOUT).await?;
        while self.is_needed(vm) {
            self.receive_next(&stream).await?;
        }
        Ok(())
    }

    /// Whether this process still needs the subscription.
    fn is_needed(&self, vm: &VmAddress) -> bool {
        let gateway = &self.watcher.gateway;
        let contains_vm = |vms: Vec<VmAddress>| vms.iter().any(|known| known.name == vm.name);
        match self.source {
            FeedSource::Watcher => contains_vm(gateway.watchers()),
            FeedSource::FarWatcher => {
                self.began.elapsed() < FAR_WATCHER_LIMIT && contains_vm(gateway.far_watchers())
            }
            FeedSource::Helper => self.watcher.store_silent_us() > 0,
        }
    }

    /// Waits for a message and applies it. Returns without one when the announced version is late.
    async fn receive_next(&mut self, stream: &TcpStream) -> Result<(), CloseReason> {
        let next = frame::next(stream, &mut self.input, SILENCE_TIMEOUT);
        let body = match self.late_at {
            None => next.await?,
            Some(late_at) => match time::timeout_at(late_at, next).await {
                Ok(body) => body?,
                Err(_) => {
                    self.late_at = None;
                    self.watcher.bypass_late_feed();
                    return Ok(());
                }
            },
        };
        self.apply(frame::decode(&body).map_err(io::Error::from)?)
    }

    fn apply(&mut self, message: Message) -> Result<(), CloseReason> {
        if let Message::Alive { zone_is_cut, .. } = message
            && self.source == FeedSource::Watcher
        {
            self.watcher.gateway.set_zone_is_cut(zone_is_cut);
        }
        match message {
            Message::Routes(routes) => self.watcher.apply_routes(routes),
            Message::Changes(changes) => {
                if !self.watcher.apply_route_changes(&changes) {
                    return Err(CloseReason::UnknownBase);
                }
            }
            Message::TargetChanges(changes) => {
                self.apply_targets(self.targets.with(changes));
            }
            Message::TargetBuckets(newer) => {
                self.apply_targets(self.known.targets.with_buckets(newer));
            }
            Message::Vms(changes) => {
                self.vms = Arc::new(self.vms.with(changes));
                self.watcher.apply_vms(Arc::clone(&self.vms));
            }
            Message::VmBuckets(newer) => {
                self.vms = Arc::new(self.known.vms.with_buckets(newer));
                self.watcher.apply_vms(Arc::clone(&self.vms));
            }
            Message::Alive { store_answers: false, .. } => return self.handle_store_unavailable(),
            // Relayed state might originate from this process itself.
            Message::Alive { relayed: true, .. } if self.source == FeedSource::Helper => {
                return self.handle_store_unavailable();
            }
            Message::Alive { version, .. } if version < self.watcher.version() => {
                return Err(CloseReason::Outdated);
            }
            Message::Alive { version, is_settled, .. } => {
                self.unavailable_since = None;
                self.is_settled = is_settled;
                self.announce(version);
            }
        }
        let is_current = self.announced.is_some_and(|version| version <= self.watcher.version());
        if is_current && self.unavailable_since.is_none() {
            self.late_at = None;
            self.report_store_status(StoreStatus::Answers);
        }
        Ok(())
    }

    fn apply_targets(&mut self, targets: TargetList) {
        self.targets = targets;
        self.watcher.apply_target_snapshot(&self.targets);
        self.watcher.gateway.counters.event(Event::FeedListsReceived);
    }

    /// Handles a report that the store is unavailable. A watcher keeps trying the store and will report its
    /// recovery, so it is followed for a while.
    fn handle_store_unavailable(&mut self) -> Result<(), CloseReason> {
        let unavailable_since = *self.unavailable_since.get_or_insert_with(Instant::now);
        (self.announced, self.late_at) = (None, None);
        self.report_store_status(StoreStatus::Unavailable);
        match self.source == FeedSource::Helper
            || unavailable_since.elapsed() >= STORE_UNAVAILABLE_LIMIT
        {
            true => Err(CloseReason::StoreUnavailable),
            false => Ok(()),
        }
    }

    fn report_store_status(&mut self, store_status: StoreStatus) {
        let feed_status = FeedStatus { store_status, is_settled: self.is_settled };
        self.watcher.set_feed_status(Some(feed_status));
        let access = store_calls::store_access(false, Some(store_status));
        if self.best_access != Some(StoreAccess::ViaPeer) {
            self.best_access = Some(access);
        }
    }

    /// Records an announced version and sets the deadline for its arrival. A further version that is
    /// announced meanwhile does not extend the deadline.
    fn announce(&mut self, version: u64) {
        let is_new = self.announced.is_none_or(|announced| announced < version);
        if is_new && self.late_at.is_none() {
            self.late_at = Some(Instant::now() + VERSION_TIMEOUT);
        }
        self.announced = Some(version);
    }
}
