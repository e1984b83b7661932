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
    /// It watches for this process no longer.
    Displaced,
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
            End::Displaced => f.write_str("it is a watcher no longer"),
            End::Failed(error) => error.fmt(f),
        }
    }
}

/// Has this process told by watchers, whenever there are enough VMs for that.
pub async fn listen<C, S>(watcher: Arc<Watcher<C, S>>, gateway: Arc<Gateway<C>>)
where
    C: Codec,
    S: StateStore,
{
    loop {
        let mut watchers = gateway.watchers();
        if watchers.is_empty() {
            time::sleep(RETRY_PAUSE).await;
            continue;
        }
        let first = jitter::seed_of(&gateway.vm) as usize % watchers.len();
        watchers.rotate_left(first);
        for vm in watchers {
            let mut input = BytesMut::new();
            let end = hear(&watcher, &vm, &mut input).await;
            watcher.set_fed(false);
            gateway.counters.event(Event::FeedsGivenUp);
            slog::info!(gateway.log, "not told by a watcher";
                "watcher" => &*vm.name, "reason" => end.to_string(),
                "unfinished_bytes" => input.len(), "version" => watcher.version());
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Takes in what one watcher tells, until it can't or needn't any more.
async fn hear<C, S>(watcher: &Watcher<C, S>, vm: &VmAddress, input: &mut BytesMut) -> End
where
    C: Codec,
    S: StateStore,
{
    let stream = match subscribe(watcher, vm).await {
        Ok(stream) => stream,
        Err(error) => return End::Failed(error),
    };
    let mut feed = Feed { watcher, announced: None, late_at: None };
    // Two that became each other's watchers would keep each other from the store.
    while watcher.gateway.watchers().iter().any(|known| known.name == vm.name) {
        if let Err(end) = feed.hear_next(&stream, input).await {
            return end;
        }
    }
    End::Displaced
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
    /// Waits for a message and takes it in. Returns without one when a version is late.
    async fn hear_next(&mut self, stream: &TcpStream, input: &mut BytesMut) -> Result<(), End> {
        let next = frame::next(stream, input, SILENCE);
        let body = match self.late_at {
            None => next.await?,
            Some(late_at) => match time::timeout_at(late_at, next).await {
                Ok(body) => body?,
                Err(_) => {
                    self.late_at = None;
                    self.watcher.set_fed(false);
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
                self.watcher.set_told_settled(is_settled);
                self.announce(version);
            }
        }
        if self.announced.is_some_and(|version| version <= self.watcher.version()) {
            self.late_at = None;
            self.watcher.set_fed(true);
        }
        Ok(())
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
