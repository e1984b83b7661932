//! Reading and writing a whole TCP stream with bounds on how long the other end may stall.

use std::io;
use std::io::IoSlice;
use std::io::Read;
use std::time::Duration;

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time;

/// How much a read asks for.
pub const READ_BYTES: usize = 16 << 10;

/// How long the other end may take to read a farewell before the socket is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes all of `first`, then all of `second`; the other end may take no byte for `stall` at most.
pub async fn write_both(
    stream: &TcpStream,
    mut first: &[u8],
    mut second: &[u8],
    stall_timeout: Duration,
) -> io::Result<()> {
    while !first.is_empty() || !second.is_empty() {
        match stream.try_write_vectored(&[IoSlice::new(first), IoSlice::new(second)]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => {
                let of_first = written.min(first.len());
                first = &first[of_first..];
                second = &second[written - of_first..];
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                match time::timeout(stall_timeout, stream.writable()).await {
                    Ok(ready) => ready?,
                    Err(_) => return Err(io::ErrorKind::TimedOut.into()),
                }
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Writes all of `bytes`.
pub async fn write_all(
    stream: &TcpStream,
    bytes: &[u8],
    stall_timeout: Duration,
) -> io::Result<()> {
    write_both(stream, bytes, &[], stall_timeout).await
}

/// Appends what can be read without waiting. `None` when there is nothing now; zero at the end.
pub fn try_read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Option<usize>> {
    buffer.reserve(READ_BYTES);
    match stream.try_read_buf(buffer) {
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Whether the stream is open and nothing can be read, by the system's own word.
///
/// An event loop that came to watch the stream a moment ago has seen no event of it, and would say
/// "nothing to read" of a stream that was closed long ago. So the system is asked in any case. What
/// is read is lost: a stream that is not silent is of no further use.
pub fn is_open_without_input(stream: &TcpStream) -> bool {
    let mut asked = false;
    let mut look = || {
        asked = true;
        (&*SockRef::from(stream)).read(&mut [0])
    };
    // Through the loop first, so that it learns that there is nothing and waits for more.
    let mut found = stream.try_io(Interest::READABLE, &mut look);
    if !asked {
        found = (&*SockRef::from(stream)).read(&mut [0]);
    }
    matches!(found, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Waits for input and appends it; zero at the end.
pub async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if let Some(count) = try_read(stream, buffer)? {
            return Ok(count);
        }
    }
}

/// Gives the other end a moment to read the last answer before the socket is closed.
///
/// Closing a socket with unread input resets the connection, and the reset overtakes the last
/// answer. So the write side is closed first, and the other end has a moment to close its own.
pub async fn linger(stream: &mut TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = BytesMut::new();
    let drained = async {
        while let Ok(1..) = read_some(stream, &mut dropped).await {
            dropped.clear();
        }
    };
    // Whether the other end closed or the time ran out, the socket is closed next.
    let _ = time::timeout(LINGER_TIMEOUT, drained).await;
}
