//! What a watcher has to tell, encoded once for all who are told.

use std::sync::Arc;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::store_calls::StoreNews;
use skylark_core::version::route_changes::RecentVersions;
use skylark_core::version::route_changes::RoutesSince;
use skylark_core::version::routes::RouteTable;
use tokio::sync::OnceCell;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task;
use tokio::task::JoinError;

use crate::sessions::process::feed::Message;
use crate::sessions::process::feed::frame;
use crate::sessions::process::feed::frame::Frame;
use crate::sessions::process::feed::listing::Entry;
use crate::sessions::process::feed::listing::ListChanges;
use crate::sessions::process::feed::listing::Listing;
use crate::sessions::process::feed::listing::TargetList;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// How many are sent a configuration or a large message at the same time. Each has a send buffer of
/// 64 KB, so what callers wait behind on a link of 10 Mbit/s is 0.2 s long (reckoned). With 14 at once up
/// to 2.7 MB were sent in one second, and the watcher's own calls to the store got no answer in 3.3 s.
const MAX_LARGE_SENDS: usize = 4;

/// From how many earlier lists the changes are kept encoded.
const MAX_CACHED_LISTS: usize = 8;

/// What a watcher has to tell now.
#[derive(Clone, Debug)]
pub struct FeedState {
    /// The publication of this process that it tells of; zero before the first.
    pub number: u64,
    /// The version of the configuration; zero while there is none.
    pub version: u64,
    /// The targets; empty while there are none.
    pub targets: Arc<TargetList>,
    /// What there is to say of the store.
    pub news: StoreNews,
    /// Whether a target that is not listed is gone.
    pub is_settled: bool,
    /// Whether this zone is cut off from the others.
    pub zone_is_cut: bool,
    /// The VMs; empty while they are not known.
    pub vms: Arc<VmList>,
}

impl Default for FeedState {
    fn default() -> FeedState {
        FeedState {
            number: 0,
            version: 0,
            targets: Arc::default(),
            news: StoreNews::Away,
            is_settled: false,
            zone_is_cut: false,
            vms: Arc::default(),
        }
    }
}

impl FeedState {
    /// The sign of life that goes with it.
    pub(super) fn heartbeat(&self) -> Message {
        let FeedState { version, news, is_settled, zone_is_cut, .. } = *self;
        let (store_answers, relayed) = match news {
            StoreNews::Answers => (true, false),
            StoreNews::Relayed => (true, true),
            StoreNews::Away => (false, false),
        };
        Message::Alive { version, store_answers, relayed, is_settled, zone_is_cut }
    }
}

/// What turns lists that were told before into the newest one, encoded once for all who are told.
#[derive(Debug)]
pub(super) struct ChangeFrames<T> {
    newest: Arc<Listing<T>>,
    /// By the list that was told before.
    frames: Vec<(Arc<Listing<T>>, Frame)>,
}

impl<T> Default for ChangeFrames<T> {
    fn default() -> ChangeFrames<T> {
        ChangeFrames { newest: Arc::default(), frames: Vec::new() }
    }
}

impl<T> ChangeFrames<T>
where
    T: Entry,
{
    /// What one who was told `before` is sent so that it knows `newest`.
    pub(super) fn between<F>(
        &mut self,
        before: &Arc<Listing<T>>,
        newest: &Arc<Listing<T>>,
        message: F,
    ) -> Frame
    where
        F: FnOnce(ListChanges<T>) -> Message,
    {
        if !Arc::ptr_eq(&self.newest, newest) {
            self.newest = Arc::clone(newest);
            self.frames.clear();
        }
        // Those who were told nothing yet each have an empty list of their own.
        let is_same = |known: &Arc<Listing<T>>| {
            Arc::ptr_eq(known, before) || (known.entries.is_empty() && before.entries.is_empty())
        };
        if let Some((_, frame)) = self.frames.iter().find(|(known, _)| is_same(known)) {
            return Arc::clone(frame);
        }
        let frame = frame::encode(&message(before.changes_to(newest)));
        if self.frames.len() == MAX_CACHED_LISTS {
            self.frames.remove(0);
        }
        self.frames.push((Arc::clone(before), Arc::clone(&frame)));
        frame
    }
}

/// A frame that is encoded when it is needed first.
type LazyFrame = Arc<OnceCell<Option<Frame>>>;

/// The configurations that there are to tell.
#[derive(Debug, Default)]
struct Configurations {
    recent: RecentVersions,
    /// What those are sent that know one of the last versions, by that version, and the whole by zero:
    /// no more than that, whatever versions those that ask say they know.
    frames: FastMap<u64, LazyFrame>,
}

/// What a watcher has to tell.
#[derive(Debug)]
pub struct Outbox {
    /// What there is to tell now.
    pub feed_state: watch::Sender<FeedState>,
    /// Held while a configuration or a large message is sent.
    pub(super) send_permits: Semaphore,
    /// What changed of the lists.
    pub(super) target_changes: Mutex<ChangeFrames<Member>>,
    pub(super) vm_changes: Mutex<ChangeFrames<VmAddress>>,
    configurations: Mutex<Configurations>,
}

impl Default for Outbox {
    fn default() -> Outbox {
        Outbox {
            feed_state: watch::Sender::default(),
            send_permits: Semaphore::new(MAX_LARGE_SENDS),
            target_changes: Mutex::default(),
            vm_changes: Mutex::default(),
            configurations: Mutex::default(),
        }
    }
}

impl Outbox {
    /// Has configuration and targets of a publication told from now on.
    pub fn update(&self, number: u64, routes: Option<&Arc<RouteTable>>, targets: TargetList) {
        let version = self.push_configuration(routes);
        self.feed_state.send_modify(|feed_state| {
            feed_state.number = number;
            feed_state.version = version;
            if *feed_state.targets != targets {
                feed_state.targets = Arc::new(targets);
            }
        });
    }

    /// Takes in a configuration. Returns the newest version.
    fn push_configuration(&self, routes: Option<&Arc<RouteTable>>) -> u64 {
        let mut configurations = self.configurations.lock();
        if routes.is_some_and(|routes| configurations.recent.push(routes)) {
            configurations.frames.clear();
        }
        configurations.recent.newest_version()
    }

    /// What one who knows a version has to be sent, and the version that it knows then; none if it knows
    /// the newest one. Encoded away from the callers' thread: thousands of routes take some
    /// milliseconds of a whole processor.
    ///
    /// # Errors
    ///
    /// The encoding panicked.
    pub(super) async fn configuration_since(
        &self,
        known_version: u64,
    ) -> Result<Option<(u64, Frame)>, JoinError> {
        let (version, base_version, frame) = {
            let mut configurations = self.configurations.lock();
            let version = configurations.recent.newest_version();
            if version <= known_version {
                return Ok(None);
            }
            let base_version = configurations.recent.base_of(known_version);
            let frame = configurations.frames.entry(base_version).or_default();
            (version, base_version, Arc::clone(frame))
        };
        let encoded = frame.get_or_try_init(|| {
            let since = self.configurations.lock().recent.since(base_version);
            task::spawn_blocking(|| encode(since))
        });
        Ok(encoded.await?.clone().map(|encoded| (version, encoded)))
    }
}

fn encode(since: RoutesSince) -> Option<Frame> {
    match since {
        RoutesSince::Nothing => None,
        RoutesSince::Changes(changes) => Some(frame::encode(&Message::Changes(changes))),
        RoutesSince::Whole(routes) => Some(frame::encode(&Message::Routes(routes))),
    }
}
