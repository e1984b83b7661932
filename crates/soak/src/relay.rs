//! A TCP relay on loopback that can delay, hold back, reset or slow down connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time;
use tokio::time::Instant;

/// The maximum number of bytes that are forwarded at once.
const CHUNK_BYTES: usize = 8 << 10;

/// The maximum number of bytes that are forwarded at once on a slow link. It is smaller, so that connections
/// share the link fairly.
const SLOW_CHUNK_BYTES: usize = 2 << 10;

/// The maximum delay of a slow link's schedule, caused by late wake-ups, that is caught up by sending faster.
const MAX_CATCH_UP: Duration = Duration::from_millis(200);

/// The size of the receive buffers on a slow link, in bytes. With the default size the system would buffer
/// far more than the link carries, and a sender would not notice that the link is slow.
const SLOW_BUFFER_BYTES: usize = 16 << 10;

/// The way in which a relay forwards bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RelayMode {
    /// Bytes are forwarded without delay.
    Forward,
    /// Each chunk of bytes is forwarded after a delay in milliseconds.
    Delay(u64),
    /// Bytes to the destination are forwarded. Bytes from it are held back until the mode changes.
    OneWay,
    /// Bytes in both directions are held back until the mode changes.
    Silent,
}

/// A link of limited bandwidth that all connections of a relay share.
#[derive(Debug)]
struct SlowLink {
    /// The bandwidth of each direction.
    bytes_per_s: u64,
    /// The time at which the link is free for the next byte, to the destination and from it.
    next_free: [Mutex<Instant>; 2],
}

impl SlowLink {
    fn new(bytes_per_s: u64) -> SlowLink {
        let now = Instant::now();
        SlowLink { bytes_per_s, next_free: [Mutex::new(now), Mutex::new(now)] }
    }

    /// Waits for the time that the link needs to transmit `count` bytes after the bytes before them.
    async fn transmit(&self, is_response: bool, count: usize) {
        let duration = Duration::from_secs_f64(count as f64 / self.bytes_per_s as f64);
        let until = {
            let mut next_free = self.next_free[usize::from(is_response)].lock();
            // A sleep that took too long shortens the following ones.
            let earliest = Instant::now().checked_sub(MAX_CATCH_UP).unwrap_or(*next_free);
            *next_free = (*next_free).max(earliest) + duration;
            *next_free
        };
        time::sleep_until(until).await;
    }
}

/// A running relay. Clones share its state.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The address on which the relay listens.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<RelayMode>>,
    /// The number of resets. Each change closes all open connections.
    resets: Arc<watch::Sender<u64>>,
    /// The shared link, or `None` if the bandwidth is not limited.
    slow_link: Option<Arc<SlowLink>>,
}

impl Relay {
    /// Starts a relay to an address, in the mode [`RelayMode::Forward`].
    pub async fn start(to: SocketAddr) -> io::Result<Relay> {
        Relay::start_with_link(to, None).await
    }

    /// Starts a relay with a limited bandwidth in each direction.
    pub async fn start_slow(to: SocketAddr, bytes_per_s: u64) -> io::Result<Relay> {
        Relay::start_with_link(to, Some(SlowLink::new(bytes_per_s))).await
    }

    async fn start_with_link(to: SocketAddr, slow_link: Option<SlowLink>) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        if slow_link.is_some() {
            // Accepted connections inherit the size.
            SockRef::from(&listener).set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
        }
        let relay = Relay {
            address: listener.local_addr()?,
            mode: Arc::new(watch::Sender::new(RelayMode::Forward)),
            resets: Arc::new(watch::Sender::new(0)),
            slow_link: slow_link.map(Arc::new),
        };
        let running = relay.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(running.clone().serve(stream, to));
            }
        });
        Ok(relay)
    }

    /// Changes the mode, also for open connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn serve(self, stream: TcpStream, to: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(target_stream) = TcpStream::connect(to).await else { return };
        if self.slow_link.is_some()
            && SockRef::from(&target_stream).set_recv_buffer_size(SLOW_BUFFER_BYTES).is_err()
        {
            return;
        }
        let (from_caller, to_caller) = stream.into_split();
        let (from_target, to_target) = target_stream.into_split();
        let forward_requests = self.forward(from_caller, to_target, false);
        let forward_responses = self.forward(from_target, to_caller, true);
        tokio::select! {
            // One side was closed or failed. Dropping both streams closes the other side too.
            _ = forward_requests => (),
            _ = forward_responses => (),
            _ = resets.changed() => (),
        }
    }

    async fn forward(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        is_response: bool,
    ) -> io::Result<()> {
        let mut mode = self.mode.subscribe();
        let chunk_bytes = self.slow_link.as_ref().map_or(CHUNK_BYTES, |_| SLOW_CHUNK_BYTES);
        let mut chunk = vec![0; chunk_bytes];
        loop {
            let count = from.read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            let is_held = |mode: &RelayMode| match mode {
                RelayMode::Silent => true,
                RelayMode::OneWay => is_response,
                RelayMode::Forward | RelayMode::Delay(_) => false,
            };
            let current = mode.wait_for(|mode| !is_held(mode)).await;
            let current = *current.map_err(|_| io::ErrorKind::BrokenPipe)?;
            if let RelayMode::Delay(delay_ms) = current {
                time::sleep(Duration::from_millis(delay_ms)).await;
            }
            if let Some(link) = &self.slow_link {
                link.transmit(is_response, count).await;
            }
            to.write_all(&chunk[..count]).await?;
        }
    }
}
