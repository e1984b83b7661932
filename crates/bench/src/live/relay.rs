//! Passes connections on and counts their bytes, both ways.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16 * 1024;

/// What passed the relays that share it.
#[derive(Debug, Default)]
pub struct Passed {
    bytes: AtomicU64,
    reads: AtomicU64,
}

impl Passed {
    /// Bytes of payload, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Pieces that arrived in one read, both ways: about the packets that carried them.
    pub fn pieces(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }
}

/// A relay in front of one address. It ends when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `to`. Only connections whose first bytes contain `marker` are counted; an
    /// empty one counts all.
    pub async fn start(
        to: SocketAddr,
        marker: &'static str,
        passed: &Arc<Passed>,
    ) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let passed = Arc::clone(passed);
        let accepting = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(serve(near, to, marker, Arc::clone(&passed)));
            }
        });
        Ok(Relay { address, accepting })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn serve(near: TcpStream, to: SocketAddr, marker: &str, passed: Arc<Passed>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut near_read = near_read;
    let mut first = vec![0; BUFFER_BYTES];
    let Ok(length) = near_read.read(&mut first).await else { return };
    let counted = marker.is_empty() || contains(&first[..length], marker.as_bytes());
    let passed = counted.then_some(passed);
    let mut far_write = far_write;
    if far_write.write_all(&first[..length]).await.is_err() {
        return;
    }
    let out = copy(near_read, far_write, passed.clone());
    let back = copy(far_read, near_write, passed);
    tokio::join!(out, back);
}

fn contains(bytes: &[u8], marker: &[u8]) -> bool {
    bytes.windows(marker.len()).any(|window| window == marker)
}

async fn copy<R, W>(mut from: R, mut to: W, passed: Option<Arc<Passed>>)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if let Some(passed) = &passed {
            passed.bytes.fetch_add(length as u64, Ordering::Relaxed);
            passed.reads.fetch_add(1, Ordering::Relaxed);
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
