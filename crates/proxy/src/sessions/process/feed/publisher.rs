//! The publishing side of the feed: sends each change to each subscriber.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::SemaphorePermit;
use tokio::time;

use crate::connection::socket;
use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::process::feed::HEARTBEAT_INTERVAL;
use crate::sessions::process::feed::KnownLists;
use crate::sessions::process::feed::Message;
use crate::sessions::process::feed::frame;
use crate::sessions::process::feed::frame::Frame;
use crate::sessions::process::feed::listing::TargetList;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::process::feed::outbox::SentList;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// How long a subscriber may read nothing before its connection is closed. It may hold one of the few send
/// permits, and a stalled subscriber must not delay a new version for the others.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Size of the socket's send buffer, in bytes; the kernel reserves twice as much. With a larger buffer a
/// message would count as sent while all of it still waits for the link.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Maximum size of a message that is sent without a permit, in bytes. It fits into the send buffer.
const MAX_SMALL_MESSAGE_BYTES: usize = 16 << 10;

/// Minimum size of an update of the list of targets that is logged, in bytes.
const LOGGED_BYTES: usize = 4 << 10;

/// A subscriber to the feed.
struct Subscriber<'a, C>
where
    C: Codec,
{
    gateway: &'a Gateway<C>,
    stream: TcpStream,
    /// Version of the configuration that the subscriber has; zero if it has none.
    version: u64,
    /// The targets that the subscriber has.
    targets: SentList<Member>,
    /// The VMs that the subscriber has.
    vms: SentList<VmAddress>,
}

/// Publishes changes to one subscriber until it disconnects, or until this process itself becomes a
/// subscriber: its subscribers need a publisher that watches the store.
pub async fn serve<C>(
    gateway: Arc<Gateway<C>>,
    stream: TcpStream,
    known_version: u64,
    known_lists: Option<KnownLists>,
) where
    C: Codec,
{
    let (targets, vms) = known_lists.map(|it| (it.targets, it.vms)).unzip();
    let mut subscriber = Subscriber {
        gateway: &gateway,
        stream,
        version: known_version,
        targets: SentList::new(targets),
        vms: SentList::new(vms),
    };
    let Err(error) = subscriber.run().await else { return };
    let suppressed =
        gateway.log_budget.take("stopped publishing to a subscriber", gateway.clock.now_us());
    if let Some(suppressed) = suppressed {
        let to = subscriber.stream.peer_addr().map_or_else(|_| String::new(), |to| to.to_string());
        slog::info!(gateway.log, "stopped publishing to a subscriber";
            "to" => to, "known_version" => subscriber.version, "reason" => error.to_string(),
            "left_out" => suppressed);
    }
}

impl<'a, C> Subscriber<'a, C>
where
    C: Codec,
{
    async fn run(&mut self) -> io::Result<()> {
        SockRef::from(&self.stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        let mut feed_states = self.gateway.outbox.feed_state.subscribe();
        // A process without subscribers does not update its outbox. The outdated state would make it
        // appear to lag.
        let known = self.gateway.view().number;
        let is_current = feed_states.wait_for(|feed_state| feed_state.number >= known);
        // After a timeout the heartbeat reports the state as it is.
        let _ = time::timeout(HEARTBEAT_INTERVAL, is_current).await;
        loop {
            let now = feed_states.borrow_and_update().clone();
            self.send(&frame::encode(&now.heartbeat())).await?;
            // The list of VMs comes first, since it determines who publishes to whom.
            self.send_vms(&now.vms).await?;
            if !self.gateway.serves_feed() {
                return Ok(());
            }
            if now.targets != *self.targets.list() {
                self.send_targets(&now.targets).await?;
            }
            if now.version > self.version {
                self.send_configuration().await?;
            }
            // Wakes up for a change or for the next heartbeat.
            let _ = time::timeout(HEARTBEAT_INTERVAL, feed_states.changed()).await;
        }
    }

    async fn send_vms(&mut self, now: &Arc<VmList>) -> io::Result<()> {
        if self.vms.list().entries == now.entries {
            return Ok(());
        }
        let frames = &self.gateway.outbox.vm_changes;
        let (buckets, changes) = (Message::VmBuckets, Message::Vms);
        let (frame, _) = frames.lock().update(&mut self.vms, now, buckets, changes);
        self.send_frame(&frame).await
    }

    async fn send_targets(&mut self, now: &Arc<TargetList>) -> io::Result<()> {
        let frames = &self.gateway.outbox.target_changes;
        let (buckets, changes) = (Message::TargetBuckets, Message::TargetChanges);
        let before = self.targets.list().entries.len();
        let (frame, update) = frames.lock().update(&mut self.targets, now, buckets, changes);
        self.gateway.counters.event(update.event());
        let now_us = self.gateway.clock.now_us();
        if frame.len() >= LOGGED_BYTES
            && let Some(left_out) = self.gateway.log_budget.take("sent targets", now_us)
        {
            slog::info!(self.gateway.log, "sent targets";
                "to" => self.stream.peer_addr().map_or_else(|_| String::new(), |to| to.to_string()),
                "update" => ?update, "bytes" => frame.len(), "targets_before" => before,
                "targets" => now.entries.len(), "left_out" => left_out);
        }
        self.send_frame(&frame).await
    }

    /// Sends a small message immediately, and a large one when a permit is available.
    async fn send_frame(&self, frame: &Frame) -> io::Result<()> {
        let _permit = match frame.len() > MAX_SMALL_MESSAGE_BYTES {
            true => Some(self.acquire_send_permit().await?),
            false => None,
        };
        self.send(frame).await
    }

    async fn send_configuration(&mut self) -> io::Result<()> {
        let gateway = self.gateway;
        let _permit = self.acquire_send_permit().await?;
        // Read after the wait for the permit, so that versions which arrived meanwhile are sent as one
        // change.
        let since = gateway.outbox.configuration_since(self.version).await?;
        if let Some((version, frame)) = since {
            let began_us = gateway.clock.now_us();
            self.send(&frame).await?;
            slog::debug!(gateway.log, "sent a configuration";
                "version" => version, "known_version" => self.version, "bytes" => frame.len(),
                "took_us" => gateway.clock.now_us() - began_us);
            self.version = version;
        }
        Ok(())
    }

    /// Waits for the permit to send a large message, and sends heartbeats meanwhile.
    async fn acquire_send_permit(&self) -> io::Result<SemaphorePermit<'a>> {
        let outbox = &self.gateway.outbox;
        loop {
            let permit = outbox.send_permits.acquire();
            if let Ok(permit) = time::timeout(HEARTBEAT_INTERVAL, permit).await {
                return permit.map_err(io::Error::other);
            }
            let heartbeat = outbox.feed_state.borrow().heartbeat();
            self.send(&frame::encode(&heartbeat)).await?;
        }
    }

    async fn send(&self, frame: &Frame) -> io::Result<()> {
        socket::write_all(&self.stream, frame, STALL_TIMEOUT).await?;
        self.gateway.counters.add(Event::FeedBytes, frame.len() as u64);
        Ok(())
    }
}
