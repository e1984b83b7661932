//! The side of a proxy that is told by watchers.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use skylark_core::process::jitter;
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
use crate::sessions::process::gateway::Gateway;
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

/// After which time without an answer of the store other VMs are asked, in microseconds. Single calls
/// that go wrong are over by then, and what changes still comes into force within 3 s.
const HELP_AFTER_US: u64 = 1_000_000;

/// How many VMs are asked in a row: while the store is down for all, none can tell.
const HELPERS_ASKED: usize = 2;

/// The pause before the watchers are asked again after none of them could tell anything.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// Why a watcher tells no longer.
#[derive(Debug)]
enum End {
    /// The store does not answer it.
    CantTell,
    /// It knows an older configuration than this process. It may be cut off without noticing, and
    /// whoever went on being told by it would have no version that follows.
    Behind,
    /// It tells of changes to a configuration that is not known here.
    UnknownBase,
    /// It watches for this process no longer, or the store answers this one again.
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
    /// It tells while the store turns this one away, which goes on trying the store.
    Helper,
}

/// Has this process told by watchers, whenever there are enough VMs for that, and by others while the
/// store does not answer it: a VM that the store turned away served by an old version for as long as that
/// took, though every other VM could tell it.
pub async fn listen<C, S>(watcher: Arc<Watcher<C, S>>, gateway: Arc<Gateway<C>>)
where
    C: Codec,
    S: StateStore,
{
    loop {
        for vm in in_turn(&gateway, gateway.watchers(), usize::MAX) {
            hear_until_the_end(&watcher, &vm, Teller::Watcher).await;
        }
        if watcher.silent_us() >= HELP_AFTER_US {
            for vm in in_turn(&gateway, gateway.helpers(), HELPERS_ASKED) {
                hear_until_the_end(&watcher, &vm, Teller::Helper).await;
            }
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Some of these VMs in an order that differs between processes, and for the same one between times if
/// not all are asked.
fn in_turn<C>(gateway: &Gateway<C>, mut vms: Vec<VmAddress>, count: usize) -> Vec<VmAddress>
where
    C: Codec,
{
    let first = jitter::seed_of(&gateway.vm) as usize;
    let turn = match count < vms.len() {
        true => (gateway.clock.now_us() / RETRY_PAUSE.as_micros() as u64) as usize,
        false => 0,
    };
    let places = vms.len().max(1);
    vms.rotate_left(first.wrapping_add(turn) % places);
    vms.truncate(count);
    vms
}

async fn hear_until_the_end<C, S>(watcher: &Watcher<C, S>, vm: &VmAddress, teller: Teller)
where
    C: Codec,
    S: StateStore,
{
    let input = BytesMut::new();
    let mut feed = Feed { watcher, teller, input, announced: None, late_at: None };
    let end = feed.hear(vm).await.err().unwrap_or(End::NotWanted);
    feed.set_fed(false);
    let gateway = &watcher.gateway;
    gateway.counters.event(Event::FeedsGivenUp);
    slog::info!(gateway.log, "not told by a watcher";
        "watcher" => &*vm.name, "as" => ?teller, "reason" => end.to_string(),
        "unfinished_bytes" => feed.input.len(), "version" => watcher.version());
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
    /// What came and is no whole message yet.
    input: BytesMut,
    /// The version that its last sign of life told of.
    announced: Option<u64>,
    /// When that version is late, if it is not known yet.
    late_at: Option<Instant>,
}

impl<C, S> Feed<'_, C, S>
where
    C: Codec,
    S: StateStore,
{
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
        match self.teller {
            // Two that became each other's watchers would keep each other from the store.
            Teller::Watcher => {
                self.watcher.gateway.watchers().iter().any(|known| known.name == vm.name)
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
                    self.set_fed(false);
                    return Ok(());
                }
            },
        };
        self.take(frame::decode(&body).map_err(io::Error::from)?)
    }

    fn take(&mut self, message: Message) -> Result<(), End> {
        match message {
            Message::Routes(routes) => self.watcher.take_routes(routes),
            Message::Changes(changes) => {
                if !self.watcher.take_route_changes(&changes) {
                    return Err(End::UnknownBase);
                }
            }
            Message::Targets { revision, members } => self.watcher.take_members(revision, members),
            Message::Alive { store_answers: false, .. } => return Err(End::CantTell),
            Message::Alive { version, .. } if version < self.watcher.version() => {
                return Err(End::Behind);
            }
            Message::Alive { version, is_settled, store_answers: true } => {
                if self.teller == Teller::Watcher {
                    self.watcher.set_told_settled(is_settled);
                }
                self.announce(version);
            }
        }
        if self.announced.is_some_and(|version| version <= self.watcher.version()) {
            self.late_at = None;
            self.set_fed(true);
        }
        Ok(())
    }

    /// Whether this process watches the store by itself is for its watchers only to change.
    fn set_fed(&self, is_fed: bool) {
        if self.teller == Teller::Watcher {
            self.watcher.set_fed(is_fed);
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
