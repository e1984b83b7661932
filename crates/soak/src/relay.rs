//! A loopback relay that treats connections badly.

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

/// How much is passed on at once, in bytes.
const CHUNK_BYTES: usize = 8 << 10;

/// The same on a slow link, so that its connections pass bytes by turns.
const SLOW_CHUNK_BYTES: usize = 2 << 10;

/// How much of the time that bytes passed too late is made up for.
const MADE_UP: Duration = Duration::from_millis(200);

/// How much the system holds on a slow link that has not passed yet, in bytes. Otherwise it takes in far
/// more than passes, and a sender sees no slow link.
const SLOW_BUFFER_BYTES: usize = 16 << 10;

/// How the relay treats bytes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Treatment {
    /// They pass.
    Pass,
    /// They pass later, by so many milliseconds.
    Delay(u64),
    /// Nothing passes back; what is sent arrives.
    OneWay,
    /// Nothing passes.
    Silent,
}

/// A link that all connections of a relay share.
#[derive(Debug)]
struct SlowLink {
    /// What it carries each way.
    bytes_per_s: u64,
    /// When the next byte may pass, there and back.
    free: [Mutex<Instant>; 2],
}

impl SlowLink {
    fn new(bytes_per_s: u64) -> SlowLink {
        let now = Instant::now();
        SlowLink { bytes_per_s, free: [Mutex::new(now), Mutex::new(now)] }
    }

    /// Waits until so many bytes have passed.
    async fn pass(&self, is_back: bool, count: usize) {
        let takes = Duration::from_secs_f64(count as f64 / self.bytes_per_s as f64);
        let until = {
            let mut free = self.free[usize::from(is_back)].lock();
            // Sleeping too long at one time is made up for at the next.
            let earliest = Instant::now().checked_sub(MADE_UP).unwrap_or(*free);
            *free = (*free).max(earliest) + takes;
            *free
        };
        time::sleep_until(until).await;
    }
}

/// One relay.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    treatment: Arc<watch::Sender<Treatment>>,
    /// Grows with each reset.
    resets: Arc<watch::Sender<u64>>,
    /// None if bytes pass as fast as they come.
    slow_link: Option<Arc<SlowLink>>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn start(to: SocketAddr) -> io::Result<Relay> {
        Relay::start_over(to, None).await
    }

    /// Starts a relay that is a link of so many bytes a second each way.
    pub async fn start_slow(to: SocketAddr, bytes_per_s: u64) -> io::Result<Relay> {
        Relay::start_over(to, Some(SlowLink::new(bytes_per_s))).await
    }

    async fn start_over(to: SocketAddr, slow_link: Option<SlowLink>) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        if slow_link.is_some() {
            // Connections that are accepted have the same.
            SockRef::from(&listener).set_recv_buffer_size(SLOW_BUFFER_BYTES)?;
        }
        let relay = Relay {
            address: listener.local_addr()?,
            treatment: Arc::new(watch::Sender::new(Treatment::Pass)),
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

    /// Changes how bytes are treated, on open connections too.
    pub fn treat(&self, treatment: Treatment) {
        self.treatment.send_replace(treatment);
    }

    /// Closes all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn serve(self, stream: TcpStream, to: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(other) = TcpStream::connect(to).await else { return };
        if self.slow_link.is_some()
            && SockRef::from(&other).set_recv_buffer_size(SLOW_BUFFER_BYTES).is_err()
        {
            return;
        }
        let (from_caller, to_caller) = stream.into_split();
        let (from_target, to_target) = other.into_split();
        let there = self.pass(from_caller, to_target, false);
        let back = self.pass(from_target, to_caller, true);
        tokio::select! {
            // One side closed, or broke: so does the other when both are dropped.
            _ = there => (),
            _ = back => (),
            _ = resets.changed() => (),
        }
    }

    async fn pass(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        is_back: bool,
    ) -> io::Result<()> {
        let mut treatment = self.treatment.subscribe();
        let chunk_bytes = self.slow_link.as_ref().map_or(CHUNK_BYTES, |_| SLOW_CHUNK_BYTES);
        let mut chunk = vec![0; chunk_bytes];
        loop {
            let count = from.read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            let held = |treatment: &Treatment| match treatment {
                Treatment::Silent => true,
                Treatment::OneWay => is_back,
                Treatment::Pass | Treatment::Delay(_) => false,
            };
            let now = treatment.wait_for(|treatment| !held(treatment)).await;
            let now = *now.map_err(|_| io::ErrorKind::BrokenPipe)?;
            if let Treatment::Delay(delay_ms) = now {
                time::sleep(Duration::from_millis(delay_ms)).await;
            }
            if let Some(link) = &self.slow_link {
                link.pass(is_back, count).await;
            }
            to.write_all(&chunk[..count]).await?;
        }
    }
}
