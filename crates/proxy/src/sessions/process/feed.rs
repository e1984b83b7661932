//! Configuration and targets from another proxy instead of the platform's store.
//!
//! Each change wakes every watch at the store, and each answer is paid for: with 68 VMs that was the
//! largest price of a day. So with many VMs only a few in each availability zone watch the store, and
//! tell the others there as soon as they know. One that is not told for a while turns to the
//! next watcher, and watches the store by itself while it finds none.
//!
//! The messages are JSON lines: what is known as a whole whenever it changes, and a sign of life
//! every second.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use serde::Deserialize;
use serde::Serialize;
use skylark_core::process::jitter;
use skylark_core::version::routes::RouteTable;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::socket;
use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::StateStore;
use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// The line by which a proxy asks to be told.
pub const SUBSCRIBE: &[u8] = b"SUBSCRIBE\n";

/// How often a sign of life is sent.
const SIGN_OF_LIFE: Duration = Duration::from_millis(1_000);

/// After which silence the next watcher is asked. Three signs of life: a change still comes into force
/// within the 5 s that the users allow.
const SILENCE: Duration = Duration::from_millis(2_500);

/// The time for a connection to a watcher.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// The pause before the watchers are asked again after none of them could tell anything.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);

/// The largest message of a watcher, in bytes: a configuration has 1 MB at most.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// What a watcher tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A configuration.
    Routes(Arc<RouteTable>),
    /// All targets.
    Targets {
        /// The store's revision of the list.
        revision: u64,
        /// The targets.
        members: Vec<Member>,
    },
    /// The watcher lives.
    Alive {
        /// Whether the store answers it.
        store_answers: bool,
        /// Whether a target that is not listed is gone.
        is_settled: bool,
    },
}

/// What a watcher has to tell now, encoded once for all who are told.
#[derive(Clone, Debug, Default)]
pub struct Bulletin {
    /// The configuration; empty while there is none.
    pub routes: Arc<str>,
    /// The targets; empty while there are none.
    pub targets: Arc<str>,
    /// Whether the store answers.
    pub store_answers: bool,
    /// Whether a target that is not listed is gone.
    pub is_settled: bool,
}

/// A message as a line.
pub fn encode(message: &Message) -> Arc<str> {
    // The messages hold nothing that JSON can't.
    let mut line = serde_json::to_string(message).unwrap_or_default();
    line.push('\n');
    line.into()
}

/// Tells one other proxy what changes, until it goes or this process watches for others no longer.
///
/// A process that is no watcher any more publishes no bulletins. If it went on with its signs of life,
/// those that it tells would keep the configuration of that moment for good.
pub async fn tell<C>(gateway: Arc<Gateway<C>>, stream: TcpStream)
where
    C: Codec,
{
    let mut bulletins = gateway.bulletin.subscribe();
    let mut told = Bulletin::default();
    while gateway.is_watcher() {
        let now = bulletins.borrow_and_update().clone();
        let mut lines = Vec::new();
        if now.routes != told.routes {
            lines.push(Arc::clone(&now.routes));
        }
        if now.targets != told.targets {
            lines.push(Arc::clone(&now.targets));
        }
        let (store_answers, is_settled) = (now.store_answers, now.is_settled);
        lines.push(encode(&Message::Alive { store_answers, is_settled }));
        for line in lines {
            if let Err(error) =
                socket::write_all(&stream, line.as_bytes(), limits::SLOW_READER).await
            {
                let left_out = gateway.log_budget.take("no longer tells", gateway.clock.now_us());
                if let Some(left_out) = left_out {
                    slog::info!(gateway.log, "no longer tells";
                        "told" => stream.peer_addr().map_or_else(|_| String::new(), |it| it.to_string()),
                        "message_bytes" => line.len(), "reason" => error.to_string(),
                        "left_out" => left_out);
                }
                return;
            }
            gateway.counters.add(Event::FeedBytes, line.len() as u64);
        }
        told = now;
        // Either something changed, or it is time for a sign of life.
        let _ = time::timeout(SIGN_OF_LIFE, bulletins.changed()).await;
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
            let reason = match hear(&watcher, &vm, &mut input).await {
                Ok(()) => "it can't tell".to_owned(),
                Err(error) => error.to_string(),
            };
            watcher.set_fed(false);
            gateway.counters.event(Event::FeedsGivenUp);
            slog::info!(gateway.log, "not told by a watcher";
                "watcher" => &*vm.name, "reason" => reason, "unfinished_bytes" => input.len());
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Takes in what one watcher tells, for as long as the store answers it and it is one of this process's
/// watchers: two that became each other's would keep each other from the store.
async fn hear<C, S>(watcher: &Watcher<C, S>, vm: &VmAddress, input: &mut BytesMut) -> io::Result<()>
where
    C: Codec,
    S: StateStore,
{
    let stream = time::timeout(CONNECT_LIMIT, TcpStream::connect(vm.peer_address)).await;
    let stream = stream.map_err(|_| io::ErrorKind::TimedOut)??;
    link::watch_for_silence(&stream)?;
    socket::write_all(&stream, SUBSCRIBE, CONNECT_LIMIT).await?;
    while watcher.gateway.watchers().iter().any(|known| known.name == vm.name) {
        let line = time::timeout(SILENCE, next_line(&stream, input)).await;
        let line = line.map_err(|_| io::ErrorKind::TimedOut)??;
        match serde_json::from_slice(&line)? {
            Message::Routes(routes) => watcher.take_routes(routes),
            Message::Targets { revision, members } => watcher.take_members(revision, members),
            Message::Alive { store_answers: false, .. } => return Ok(()),
            Message::Alive { store_answers: true, is_settled } => {
                watcher.set_told_settled(is_settled);
                watcher.set_fed(true);
            }
        }
    }
    Ok(())
}

async fn next_line(stream: &TcpStream, input: &mut BytesMut) -> io::Result<BytesMut> {
    loop {
        if let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            return Ok(input.split_to(end + 1));
        }
        if input.len() > MAX_MESSAGE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if socket::read_some(stream, input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
