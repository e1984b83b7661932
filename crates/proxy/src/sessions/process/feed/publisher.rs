//! The side of a watcher: what changes is sent to each that asks to be told.

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
use crate::sessions::process::feed::Message;
use crate::sessions::process::feed::frame;
use crate::sessions::process::feed::frame::Frame;
use crate::sessions::process::feed::listing::TargetList;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::process::gateway::Gateway;

/// How long one who is told may take no byte. It may hold one of the few turns meanwhile, so one that
/// stands still must not keep the others from a new version for long.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How much of a message the system holds that was not sent yet, in bytes; it takes twice as much. With
/// more, a message would count as sent while all of it waits on the link.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Up to which size a message is sent without a turn, in bytes: it fits into the send buffer.
const MAX_UNLIMITED_BYTES: usize = 16 << 10;

/// One that is told.
struct Subscriber<'a, C>
where
    C: Codec,
{
    gateway: &'a Gateway<C>,
    stream: TcpStream,
    /// The version of the configuration that it knows; zero for none.
    version: u64,
    /// The targets as it was told.
    targets: Arc<TargetList>,
    /// The VMs as it was told.
    vms: Arc<VmList>,
}

/// Tells one other proxy what changes, until it goes or this process is one that is told itself: those that
/// it told need one that asks the store.
pub async fn serve<C>(gateway: Arc<Gateway<C>>, stream: TcpStream, known_version: u64)
where
    C: Codec,
{
    let (targets, vms) = (Arc::default(), Arc::default());
    let mut subscriber =
        Subscriber { gateway: &gateway, stream, version: known_version, targets, vms };
    let Err(error) = subscriber.run().await else { return };
    let suppressed = gateway.log_budget.take("no longer tells", gateway.clock.now_us());
    if let Some(suppressed) = suppressed {
        let to = subscriber.stream.peer_addr().map_or_else(|_| String::new(), |to| to.to_string());
        slog::info!(gateway.log, "no longer tells";
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
        // A process that nobody asked so far has not put there what it knows: it seemed to be behind.
        let known = self.gateway.view().number;
        let is_current = feed_states.wait_for(|feed_state| feed_state.number >= known);
        // Without it, the sign of life tells how it stands.
        let _ = time::timeout(HEARTBEAT_INTERVAL, is_current).await;
        loop {
            let now = feed_states.borrow_and_update().clone();
            self.send(&frame::encode(&now.heartbeat())).await?;
            // First of all: it says who tells whom.
            self.send_vms(&now.vms).await?;
            if !self.gateway.serves_feed() {
                return Ok(());
            }
            if now.targets != self.targets {
                self.send_targets(&now.targets).await?;
            }
            if now.version > self.version {
                self.send_configuration().await?;
            }
            // Either something changed, or it is time for a sign of life.
            let _ = time::timeout(HEARTBEAT_INTERVAL, feed_states.changed()).await;
        }
    }

    async fn send_vms(&mut self, now: &Arc<VmList>) -> io::Result<()> {
        if self.vms.entries == now.entries {
            return Ok(());
        }
        let changes = self.gateway.outbox.vm_changes.lock().between(&self.vms, now, Message::Vms);
        self.send_frame(&changes).await?;
        self.vms = Arc::clone(now);
        Ok(())
    }

    async fn send_targets(&mut self, now: &Arc<TargetList>) -> io::Result<()> {
        let outbox = &self.gateway.outbox;
        let changes =
            outbox.target_changes.lock().between(&self.targets, now, Message::TargetChanges);
        self.send_frame(&changes).await?;
        self.targets = Arc::clone(now);
        Ok(())
    }

    /// Sends a message at once if it is small, and otherwise when it is this one's turn.
    async fn send_frame(&self, frame: &Frame) -> io::Result<()> {
        let _permit = match frame.len() > MAX_UNLIMITED_BYTES {
            true => Some(self.acquire_send_permit().await?),
            false => None,
        };
        self.send(frame).await
    }

    async fn send_configuration(&mut self) -> io::Result<()> {
        let gateway = self.gateway;
        let _permit = self.acquire_send_permit().await?;
        // The newest one when it is this one's turn: versions that came meanwhile are sent together.
        let since = gateway.outbox.configuration_since(self.version).await?;
        if let Some((version, frame)) = since {
            let began_us = gateway.clock.now_us();
            self.send(&frame).await?;
            slog::debug!(gateway.log, "told a configuration";
                "version" => version, "known_version" => self.version, "bytes" => frame.len(),
                "took_us" => gateway.clock.now_us() - began_us);
            self.version = version;
        }
        Ok(())
    }

    /// Waits for a turn to send a large message, with signs of life meanwhile.
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
