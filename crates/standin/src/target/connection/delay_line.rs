//! The distance between two availability zones: bytes arrive some time after they were sent.
//!
//! A caller of another zone speaks through a [`run`]ning delay line. Each chunk waits by itself, so
//! that many may be under way at once, as on a real line.

use std::collections::VecDeque;
use std::future;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;

use crate::timer;

/// How many bytes the session's end takes before it waits.
pub const BUFFER_BYTES: usize = 64 << 10;

/// How many chunks are under way at most before the sender waits.
const MAX_CHUNKS: usize = 256;

#[derive(Debug)]
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Carries bytes between a socket and a session's end until the session has ended and all that it
/// sent has arrived.
pub async fn run(socket: &mut TcpStream, session: DuplexStream, delay: Duration) {
    let (from_peer, to_peer) = socket.split();
    let (from_session, to_session) = io::split(session);
    let inward = async {
        carry(from_peer, to_session, delay).await;
        future::pending::<()>().await;
    };
    tokio::select! {
        () = carry(from_session, to_peer, delay) => {}
        () = inward => {}
    }
}

/// Carries bytes in one direction until their source ends or their sink is gone.
async fn carry<R, W>(mut source: R, mut sink: W, delay: Duration)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut chunks = VecDeque::new();
    let mut ended = false;
    let mut buffer = BytesMut::new();
    while !ended || !chunks.is_empty() {
        buffer.reserve(BUFFER_BYTES);
        tokio::select! {
            read = source.read_buf(&mut buffer), if !ended && chunks.len() < MAX_CHUNKS => {
                ended = !matches!(read, Ok(1..));
                let bytes = buffer.split().freeze();
                chunks.push_back(Chunk { due: Instant::now() + delay, bytes });
            }
            () = first_due(&chunks) => {
                let Some(chunk) = chunks.pop_front() else { continue };
                if sink.write_all(&chunk.bytes).await.is_err() {
                    return;
                }
            }
        }
    }
    // The sink may be gone already, which ends it as well.
    let _ = sink.shutdown().await;
}

async fn first_due(chunks: &VecDeque<Chunk>) {
    match chunks.front() {
        Some(chunk) => timer::sleep_until(chunk.due).await,
        None => future::pending().await,
    }
}
