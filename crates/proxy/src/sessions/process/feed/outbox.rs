//! What a watcher has to tell, encoded once for all who are told.

use std::sync::Arc;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::store_calls::StoreStatus;
use skylark_core::version::route_changes::RecentVersions;
use skylark_core::version::route_changes::RoutesUpdate;
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
const TURNS: usize = 4;

/// From how many earlier lists the changes are kept encoded.
const LISTS_KNOWN: usize = 8;

/// What a watcher has to tell now.
#[derive(Clone, Debug)]
pub struct Bulletin {
    /// The publication of this process that it tells of; zero before the first.
    pub number: u64,
    /// The version of the configuration; zero while there is none.
    pub version: u64,
    /// The targets; empty while there are none.
    pub targets: Arc<TargetList>,
    /// What there is to say of the store.
    pub news: StoreStatus,
    /// Whether a target that is not listed is gone.
    pub is_settled: bool,
    /// Whether this zone is cut off from the others.
    pub zone_is_cut: bool,
    /// The VMs; empty while they are not known.
    pub vms: Arc<VmList>,
}

impl Default for Bulletin {
    fn default() -> Bulletin {
        Bulletin {
            number: 0,
            version: 0,
            targets: Arc::default(),
            news: StoreStatus::Unavailable,
            is_settled: false,
            zone_is_cut: false,
            vms: Arc::default(),
        }
    }
}

impl Bulletin {
    /// The sign of life that goes with it.
    pub(super) fn sign_of_life(&self) -> Message {
        let Bulletin { version, news, is_settled, zone_is_cut, .. } = *self;
        let (store_answers, relayed) = match news {
            StoreStatus::Answers => (true, false),
            StoreStatus::Relayed => (true, true),
            StoreStatus::Unavailable => (false, false),
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
        if self.frames.len() == LISTS_KNOWN {
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
    pub bulletin: watch::Sender<Bulletin>,
    /// Held while a configuration or a large message is sent.
    pub(super) turns: Semaphore,
    /// What changed of the lists.
    pub(super) target_changes: Mutex<ChangeFrames<Member>>,
    pub(super) vm_changes: Mutex<ChangeFrames<VmAddress>>,
    configurations: Mutex<Configurations>,
}

impl Default for Outbox {
    fn default() -> Outbox {
        Outbox {
            bulletin: watch::Sender::default(),
            turns: Semaphore::new(TURNS),
            target_changes: Mutex::default(),
            vm_changes: Mutex::default(),
            configurations: Mutex::default(),
        }
    }
}

impl Outbox {
    /// Has configuration and targets of a publication told from now on.
    pub fn put(&self, number: u64, routes: Option<&Arc<RouteTable>>, targets: TargetList) {
        let version = self.take_in(routes);
        self.bulletin.send_modify(|bulletin| {
            bulletin.number = number;
            bulletin.version = version;
            if *bulletin.targets != targets {
                bulletin.targets = Arc::new(targets);
            }
        });
    }

    /// Takes in a configuration. Returns the newest version.
    fn take_in(&self, routes: Option<&Arc<RouteTable>>) -> u64 {
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
