//! The state that a watcher publishes, with messages encoded once for all subscribers.

use std::sync::Arc;

use parking_lot::Mutex;
use serde::Serialize;
use skylark_core::FastMap;
use skylark_core::process::store_calls::StoreStatus;
use skylark_core::version::list_digest;
use skylark_core::version::list_digest::ListDigest;
use skylark_core::version::route_changes::RecentVersions;
use skylark_core::version::route_changes::RoutesUpdate;
use skylark_core::version::routes::RouteTable;
use tokio::sync::OnceCell;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task;
use tokio::task::JoinError;

use crate::process::counters::Event;
use crate::sessions::process::feed::Message;
use crate::sessions::process::feed::frame;
use crate::sessions::process::feed::frame::Frame;
use crate::sessions::process::feed::listing::Entry;
use crate::sessions::process::feed::listing::ListBuckets;
use crate::sessions::process::feed::listing::ListChanges;
use crate::sessions::process::feed::listing::Listing;
use crate::sessions::process::feed::listing::TargetList;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// Maximum number of subscribers that are sent a configuration or another large message at the same time.
/// Each has a send buffer of 64 KB, so that on a link of 10 Mbit/s traffic of callers waits for at most 0.2 s
/// (calculated). With 14 at a time up to 2.7 MB were sent in one second, and the watcher's own calls to the
/// store got no answer for 3.3 s.
const MAX_LARGE_SENDS: usize = 4;

/// Maximum number of buckets that are sent by themselves. Each subscriber's are encoded anew, and the whole
/// list once for all.
const MAX_DIFFERING_BUCKETS: usize = list_digest::BUCKETS / 2;

/// Maximum number of earlier lists for which encoded differences are kept.
const MAX_CACHED_LISTS: usize = 8;

/// The state that subscribers receive.
#[derive(Clone, Debug)]
pub struct FeedState {
    /// Number of the view that this was taken from; zero before the first.
    pub number: u64,
    /// Version of the configuration; zero if there is none.
    pub version: u64,
    /// The targets; empty before the first list.
    pub targets: Arc<TargetList>,
    /// Whether the store answers this process, or the process that it subscribes to.
    pub store_status: StoreStatus,
    /// Whether every target that is missing from the list is gone.
    pub is_settled: bool,
    /// Whether this process's availability zone is partitioned from the others.
    pub zone_is_cut: bool,
    /// The VMs; empty before the first list.
    pub vms: Arc<VmList>,
}

impl Default for FeedState {
    fn default() -> FeedState {
        FeedState {
            number: 0,
            version: 0,
            targets: Arc::default(),
            store_status: StoreStatus::Unavailable,
            is_settled: false,
            zone_is_cut: false,
            vms: Arc::default(),
        }
    }
}

impl FeedState {
    /// Returns the heartbeat for this state.
    pub(super) fn heartbeat(&self) -> Message {
        let FeedState { version, store_status, is_settled, zone_is_cut, .. } = *self;
        let (store_answers, relayed) = match store_status {
            StoreStatus::Answers => (true, false),
            StoreStatus::Relayed => (true, true),
            StoreStatus::Unavailable => (false, false),
        };
        Message::Alive { version, store_answers, relayed, is_settled, zone_is_cut }
    }
}

/// A list as one subscriber has it.
#[derive(Debug)]
pub(super) struct SentList<T> {
    /// The list that was sent; empty before.
    list: Arc<Listing<T>>,
    /// The digest of the list that the subscriber knew when it subscribed; `None` once it was sent any.
    known: Option<ListDigest>,
}

impl<T> SentList<T> {
    /// Creates the state of a subscriber that was sent nothing yet.
    pub(super) fn new(known: Option<ListDigest>) -> SentList<T> {
        SentList { list: Arc::default(), known }
    }

    /// The list that was sent; empty before.
    pub(super) fn list(&self) -> &Arc<Listing<T>> {
        &self.list
    }
}

/// What an update of a list contains, and why.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum ListUpdate {
    /// The changes since the list that was sent before.
    Changes,
    /// The parts that differ from the list that the subscriber knew.
    Resumed,
    /// The whole list, since the subscriber knew none.
    First,
    /// The whole list, since most of it differs from the one that the subscriber knew.
    DigestDiffers,
}

impl ListUpdate {
    /// Returns the event that counts such an update of the list of targets.
    pub(super) fn event(self) -> Event {
        match self {
            ListUpdate::Changes => Event::FeedTargetChangesSent,
            ListUpdate::Resumed => Event::FeedTargetPartsSent,
            ListUpdate::First => Event::FeedTargetListsFirst,
            ListUpdate::DigestDiffers => Event::FeedTargetListsDiffering,
        }
    }
}

/// Encoded differences between earlier lists and the newest one, shared by all subscribers.
#[derive(Debug)]
pub(super) struct ChangeFrames<T> {
    newest: Arc<Listing<T>>,
    /// The digest of the newest list, computed on first use.
    digest: Option<ListDigest>,
    /// Encoded differences by the list that the subscriber has.
    frames: Vec<(Arc<Listing<T>>, Frame)>,
}

impl<T> Default for ChangeFrames<T> {
    fn default() -> ChangeFrames<T> {
        ChangeFrames { newest: Arc::default(), digest: None, frames: Vec::new() }
    }
}

impl<T> ChangeFrames<T>
where
    T: Entry + Serialize,
{
    /// Returns the frame that updates a subscriber to list `newest` and what it contains, and records that the
    /// subscriber has that list.
    pub(super) fn update<B, C>(
        &mut self,
        sent: &mut SentList<T>,
        newest: &Arc<Listing<T>>,
        buckets: B,
        changes: C,
    ) -> (Frame, ListUpdate)
    where
        B: FnOnce(ListBuckets<T>) -> Message,
        C: FnOnce(ListChanges<T>) -> Message,
    {
        let known = sent.known.take();
        let has_digest = known.is_some();
        let resumed = known.and_then(|known| self.since_digest(&known, newest, buckets));
        let is_first = sent.list.entries.is_empty();
        let update = match () {
            _ if resumed.is_some() => ListUpdate::Resumed,
            _ if has_digest => ListUpdate::DigestDiffers,
            _ if is_first => ListUpdate::First,
            _ => ListUpdate::Changes,
        };
        let frame = resumed.unwrap_or_else(|| self.between(&sent.list, newest, changes));
        sent.list = Arc::clone(newest);
        (frame, update)
    }

    /// Returns the frame that updates a subscriber whose list has digest `known` to list `newest`. Returns
    /// `None` if most of the list differs, and is better sent as a whole.
    fn since_digest<F>(
        &mut self,
        known: &ListDigest,
        newest: &Arc<Listing<T>>,
        message: F,
    ) -> Option<Frame>
    where
        F: FnOnce(ListBuckets<T>) -> Message,
    {
        self.set_newest(newest);
        let digest = self.digest.get_or_insert_with(|| newest.digest());
        let differing = digest.differing(known);
        if differing.len() > MAX_DIFFERING_BUCKETS {
            return None;
        }
        Some(frame::encode(&message(newest.in_buckets(differing))))
    }

    fn set_newest(&mut self, newest: &Arc<Listing<T>>) {
        if !Arc::ptr_eq(&self.newest, newest) {
            self.newest = Arc::clone(newest);
            self.digest = None;
            self.frames.clear();
        }
    }

    /// Returns the frame that updates a subscriber from list `before` to list `newest`.
    fn between<F>(
        &mut self,
        before: &Arc<Listing<T>>,
        newest: &Arc<Listing<T>>,
        message: F,
    ) -> Frame
    where
        F: FnOnce(ListChanges<T>) -> Message,
    {
        self.set_newest(newest);
        // Subscribers that received no list yet each have their own empty one.
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

/// A frame that is encoded on first use.
type LazyFrame = Arc<OnceCell<Option<Frame>>>;

/// The recent configurations and the messages that update subscribers to the newest one.
#[derive(Debug, Default)]
struct Configurations {
    recent: RecentVersions,
    /// Encoded messages by the version that the subscriber has, with zero for the complete configuration.
    /// Only recent versions have an entry, so the size does not depend on what subscribers claim to know.
    frames: FastMap<u64, LazyFrame>,
}

/// What a process publishes to its subscribers.
#[derive(Debug)]
pub struct Outbox {
    /// The current state. Subscribers wait for its changes.
    pub feed_state: watch::Sender<FeedState>,
    /// Bounds the number of concurrent sends of configurations and other large messages.
    pub(super) send_permits: Semaphore,
    /// Encoded differences between the lists.
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
    /// Publishes the configuration and the targets of view `number`.
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

    /// Adds a configuration. Returns the newest version.
    fn push_configuration(&self, routes: Option<&Arc<RouteTable>>) -> u64 {
        let mut configurations = self.configurations.lock();
        if routes.is_some_and(|routes| configurations.recent.push(routes)) {
            configurations.frames.clear();
        }
        configurations.recent.newest_version()
    }

    /// Returns the message that updates a subscriber from `known_version`, and the version that it then has.
    /// Returns `None` if the subscriber has the newest version. Encoding runs outside the thread that serves
    /// callers, since it takes milliseconds of processor time for thousands of routes.
    ///
    /// # Errors
    ///
    /// The encoding task panicked.
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
            let base_version = configurations.recent.base_version_for(known_version);
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

fn encode(since: RoutesUpdate) -> Option<Frame> {
    match since {
        RoutesUpdate::UpToDate => None,
        RoutesUpdate::Changes(changes) => Some(frame::encode(&Message::Changes(changes))),
        RoutesUpdate::Full(routes) => Some(frame::encode(&Message::Routes(routes))),
    }
}
