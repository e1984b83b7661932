//! The side of a proxy that is told by watchers.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use skylark_core::process::jitter;
use skylark_core::process::store_calls;
use skylark_core::process::store_calls::Standing;
use skylark_core::process::store_calls::StoreNews;
use tokio::net::TcpStream;
use tokio::time;
use tokio::time::Instant;

use crate::connection::socket;
use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link;
use crate::sessions::process::feed;
use crate::sessions::process::feed::Message;
use crate::sessions::process::feed::frame;
use crate::sessions::process::feed::listing::TargetList;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::watch::Told;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::StateStore;
use crate::sessions::store::VmAddress;

/// After which silence the next watcher is asked: some signs of life are missing.
const SILENCE: Duration = Duration::from_millis(2_500);

/// After which time without a version that a watcher tells of this process looks at the store by
/// itself, and goes on listening. A version has to be in force within 3 s of its confirmation, and a
/// link may be so slow, or a watcher have so many to tell, that it takes longer that way.
const LATE: Duration = Duration::from_millis(1_500);

/// The time for a connection to a watcher.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// After which time without an answer of the store a VM that asks it has others help, in microseconds.
/// Single calls that go wrong are over by then, and what changes still comes into force within 3 s.
const HELP_AFTER_US: u64 = 1_000_000;

/// How many VMs are asked for help in a row: while the store is down for all, none can tell.
const HELPERS_ASKED: usize = 2;

/// How long a watcher that says that the store is away is listened to before the next one is asked: the
/// store may turn only some VMs away. Each of them goes on trying, so meanwhile nothing is missed.
const AWAY_LIMIT: Duration = Duration::from_millis(2_000);

/// How long a watcher of another availability zone is listened to before those of this zone are asked
/// again, which are nearer.
const FAR_LIMIT: Duration = Duration::from_millis(10_000);

/// How many watchers of other zones are asked in a row where those of this one can't be reached.
const FAR_ASKED: usize = 3;

/// The first and the longest pause before the watchers are asked again after none of them could tell
/// anything. After a start the watchers are there a moment later.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LAST_PAUSE: Duration = Duration::from_millis(1_000);

/// Why a watcher tells no longer.
#[derive(Debug)]
enum End {
    /// The store does not answer it, and has not for a while.
    CantTell,
    /// It knows an older configuration than this process. It may be cut off without noticing, and
    /// whoever went on being told by it would have no version that follows.
    Behind,
    /// It tells of changes to a configuration that is not known here.
    UnknownBase,
    /// It watches for this process no longer, the store answers this one again, or a nearer one may tell.
    NotWanted,
    /// The connection failed.
    Failed(io::Error),
}

impl From<io::Error> for End {
    fn from(error: io::Error) -> End {
        End::Failed(error)
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            End::CantTell => f.write_str("it can't tell"),
            End::Behind => f.write_str("it is behind"),
            End::UnknownBase => f.write_str("its changes are to an unknown version"),
            End::NotWanted => f.write_str("it is not wanted any more"),
            End::Failed(error) => error.fmt(f),
        }
    }
}

/// What another VM is to this one.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Teller {
    /// It watches the store in this one's place.
    Watcher,
    /// The same in another availability zone.
    FarWatcher,
    /// It tells while the store turns this one away, which goes on trying the store.
    Helper,
}

/// Has this process told by watchers, whenever there are enough VMs for that. One that watches the store
/// itself is told by others while the store does not answer it: it served by an old version for as long as
/// that took, though every other VM could tell it.
pub async fn listen<C, S>(watcher: Arc<Watcher<C, S>>, gateway: Arc<Gateway<C>>)
where
    C: Codec,
    S: StateStore,
{
    let mut pause = FIRST_PAUSE;
    loop {
        let was_told = match gateway.asking.standing() {
            Standing::Asks => ask_for_help(&watcher).await,
            Standing::Told | Standing::ToldAway | Standing::Alone => ask_watchers(&watcher).await,
        };
        pause = if was_told { FIRST_PAUSE } else { (pause * 2).min(LAST_PAUSE) };
        time::sleep(pause).await;
    }
}

/// Listens to those that watch the store in this VM's place, one after the other. Returns whether any of
/// them had something to tell.
async fn ask_watchers<C, S>(watcher: &Watcher<C, S>) -> bool
where
    C: Codec,
    S: StateStore,
{
    let gateway = &watcher.gateway;
    let (mut was_told, mut is_reached) = (false, false);
    for vm in in_turn(gateway, gateway.watchers(), usize::MAX) {
        let heard = hear_until_the_end(watcher, &vm, Teller::Watcher).await;
        was_told |= heard == Some(Standing::Told);
        is_reached |= heard.is_some();
    }
    if was_told {
        return true;
    }
    // Those of this zone tell what others have heard, so one other is enough beside them.
    let count = if is_reached { 1 } else { FAR_ASKED };
    for vm in in_turn(gateway, gateway.far_watchers(), count) {
        let heard = hear_until_the_end(watcher, &vm, Teller::FarWatcher).await;
        was_told |= heard == Some(Standing::Told);
        is_reached |= heard.is_some();
    }
    if !is_reached {
        watcher.set_told(None);
    }
    was_told
}

/// Listens to others while the store turns this VM away. Returns whether any had something to tell.
async fn ask_for_help<C, S>(watcher: &Watcher<C, S>) -> bool
where
    C: Codec,
    S: StateStore,
{
    if watcher.silent_us() < HELP_AFTER_US {
        return false;
    }
    let gateway = &watcher.gateway;
    let mut was_told = false;
    for vm in in_turn(gateway, gateway.helpers(), HELPERS_ASKED) {
        let heard = hear_until_the_end(watcher, &vm, Teller::Helper).await;
        was_told |= heard == Some(Standing::Told);
    }
    was_told
}

/// Some of these VMs in an order that differs between processes, and for the same one between times if
/// not all are asked.
fn in_turn<C>(gateway: &Gateway<C>, mut vms: Vec<VmAddress>, count: usize) -> Vec<VmAddress>
where
    C: Codec,
{
    let first = jitter::seed_of(&gateway.vm) as usize;
    let turn = match count < vms.len() {
        true => (gateway.clock.now_us() / LAST_PAUSE.as_micros() as u64) as usize,
        false => 0,
    };
    let places = vms.len().max(1);
    vms.rotate_left(first.wrapping_add(turn) % places);
    vms.truncate(count);
    vms
}

/// Listens to one VM. Returns what it made of this one; none if it can't be reached.
async fn hear_until_the_end<C, S>(
    watcher: &Watcher<C, S>,
    vm: &VmAddress,
    teller: Teller,
) -> Option<Standing>
where
    C: Codec,
    S: StateStore,
{
    let mut feed = Feed::new(watcher, teller);
    let end = feed.hear(vm).await.err().unwrap_or(End::NotWanted);
    // The next one may say the same of the store, and nothing is asked of it until then.
    if !matches!(end, End::CantTell) {
        watcher.set_told(None);
    }
    let gateway = &watcher.gateway;
    gateway.counters.event(Event::FeedsAbandoned);
    slog::info!(gateway.log, "not told by a watcher";
        "watcher" => &*vm.name, "as" => ?teller, "reason" => end.to_string(),
        "unfinished_bytes" => feed.input.len(), "version" => watcher.version());
    feed.heard
}

async fn subscribe<C, S>(watcher: &Watcher<C, S>, vm: &VmAddress) -> io::Result<TcpStream>
where
    C: Codec,
    S: StateStore,
{
    let stream = time::timeout(CONNECT_LIMIT, TcpStream::connect(vm.peer_address)).await;
    let stream = stream.map_err(|_| io::ErrorKind::TimedOut)??;
    link::watch_for_silence(&stream)?;
    let subscription = feed::subscription(watcher.version());
    socket::write_all(&stream, subscription.as_bytes(), CONNECT_LIMIT).await?;
    Ok(stream)
}

/// What one watcher tells.
struct Feed<'a, C, S>
where
    C: Codec,
{
    watcher: &'a Watcher<C, S>,
    teller: Teller,
    began: Instant,
    /// What came and is no whole message yet.
    input: BytesMut,
    /// Whether it told anything, and whether it ever could.
    heard: Option<Standing>,
    /// The list of VMs as it tells it.
    vms: Arc<VmList>,
    /// The list of targets as it tells it.
    targets: TargetList,
    /// What it says of the list of targets.
    is_settled: bool,
    /// The version that its last sign of life told of.
    announced: Option<u64>,
    /// When that version is late, if it is not known yet.
    late_at: Option<Instant>,
    /// Since when it says that the store is away.
    away_since: Option<Instant>,
}

impl<'a, C, S> Feed<'a, C, S>
where
    C: Codec,
    S: StateStore,
{
    fn new(watcher: &'a Watcher<C, S>, teller: Teller) -> Feed<'a, C, S> {
        Feed {
            watcher,
            teller,
            began: Instant::now(),
            input: BytesMut::new(),
            heard: None,
            vms: Arc::default(),
            targets: TargetList::default(),
            is_settled: false,
            announced: None,
            late_at: None,
            away_since: None,
        }
    }

    /// Takes in what one VM tells, for as long as that is wanted.
    async fn hear(&mut self, vm: &VmAddress) -> Result<(), End> {
        let stream = subscribe(self.watcher, vm).await?;
        while self.is_wanted(vm) {
            self.hear_next(&stream).await?;
        }
        Ok(())
    }

    /// Whether this VM still needs to be told by that one.
    fn is_wanted(&self, vm: &VmAddress) -> bool {
        let gateway = &self.watcher.gateway;
        let is_named = |vms: Vec<VmAddress>| vms.iter().any(|known| known.name == vm.name);
        match self.teller {
            Teller::Watcher => is_named(gateway.watchers()),
            Teller::FarWatcher => {
                self.began.elapsed() < FAR_LIMIT && is_named(gateway.far_watchers())
            }
            Teller::Helper => self.watcher.silent_us() > 0,
        }
    }

    /// Waits for a message and takes it in. Returns without one when a version is late.
    async fn hear_next(&mut self, stream: &TcpStream) -> Result<(), End> {
        let next = frame::next(stream, &mut self.input, SILENCE);
        let body = match self.late_at {
            None => next.await?,
            Some(late_at) => match time::timeout_at(late_at, next).await {
                Ok(body) => body?,
                Err(_) => {
                    self.late_at = None;
                    self.watcher.told_late();
                    return Ok(());
                }
            },
        };
        self.take(frame::decode(&body).map_err(io::Error::from)?)
    }

    fn take(&mut self, message: Message) -> Result<(), End> {
        if let Message::Alive { zone_is_cut, .. } = message
            && self.teller == Teller::Watcher
        {
            self.watcher.gateway.set_zone_is_cut(zone_is_cut);
        }
        match message {
            Message::Routes(routes) => self.watcher.take_routes(routes),
            Message::Changes(changes) => {
                if !self.watcher.take_route_changes(&changes) {
                    return Err(End::UnknownBase);
                }
            }
            Message::TargetChanges(changes) => {
                self.targets = self.targets.with(changes);
                self.watcher.take_members(&self.targets);
            }
            Message::Vms(changes) => {
                self.vms = Arc::new(self.vms.with(changes));
                self.watcher.take_vms(Arc::clone(&self.vms));
            }
            Message::Alive { store_answers: false, .. } => return self.store_is_away(),
            // What it has from others might come from this VM itself.
            Message::Alive { relayed: true, .. } if self.teller == Teller::Helper => {
                return self.store_is_away();
            }
            Message::Alive { version, .. } if version < self.watcher.version() => {
                return Err(End::Behind);
            }
            Message::Alive { version, is_settled, .. } => {
                self.away_since = None;
                self.is_settled = is_settled;
                self.announce(version);
            }
        }
        let is_current = self.announced.is_some_and(|version| version <= self.watcher.version());
        if is_current && self.away_since.is_none() {
            self.late_at = None;
            self.tells(StoreNews::Answers);
        }
        Ok(())
    }

    /// It has nothing from the store. One that watches in this VM's place goes on trying, and says when the
    /// store is back.
    fn store_is_away(&mut self) -> Result<(), End> {
        let away_since = *self.away_since.get_or_insert_with(Instant::now);
        (self.announced, self.late_at) = (None, None);
        self.tells(StoreNews::Away);
        match self.teller == Teller::Helper || away_since.elapsed() >= AWAY_LIMIT {
            true => Err(End::CantTell),
            false => Ok(()),
        }
    }

    fn tells(&mut self, news: StoreNews) {
        let told = Told { news, is_settled: self.is_settled };
        self.watcher.set_told(Some(told));
        let standing = store_calls::standing(false, Some(news));
        if self.heard != Some(Standing::Told) {
            self.heard = Some(standing);
        }
    }

    /// A version was told of. If it is a new one it has to be known soon, by whatever way. One that
    /// follows while another is awaited gives no more time.
    fn announce(&mut self, version: u64) {
        let is_new = self.announced.is_none_or(|announced| announced < version);
        if is_new && self.late_at.is_none() {
            self.late_at = Some(Instant::now() + LATE);
        }
        self.announced = Some(version);
    }
}
