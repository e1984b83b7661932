//! A loopback relay that treats connections badly.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time;

/// How much is passed on at once, in bytes.
const CHUNK_BYTES: usize = 8 << 10;

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

/// One relay.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    treatment: Arc<watch::Sender<Treatment>>,
    /// Grows with each reset.
    resets: Arc<watch::Sender<u64>>,
}

impl Relay {
    /// Starts a relay to an address.
    pub async fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let relay = Relay {
            address: listener.local_addr()?,
            treatment: Arc::new(watch::Sender::new(Treatment::Pass)),
            resets: Arc::new(watch::Sender::new(0)),
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
        let (from_caller, to_caller) = stream.into_split();
        let (from_target, to_target) = other.into_split();
        let there = pass(from_caller, to_target, self.treatment.subscribe(), false);
        let back = pass(from_target, to_caller, self.treatment.subscribe(), true);
        tokio::select! {
            // One side closed, or broke: so does the other when both are dropped.
            _ = there => (),
            _ = back => (),
            _ = resets.changed() => (),
        }
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut treatment: watch::Receiver<Treatment>,
    is_back: bool,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
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
        to.write_all(&chunk[..count]).await?;
    }
}
