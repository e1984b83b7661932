//! Reads from and writes to TCP streams, with limits on how long the other end may stall.

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

/// The buffer space reserved for each read, in bytes.
pub const READ_BYTES: usize = 16 << 10;

/// The time that the other end has to read the last answer before the socket is closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes all of `first`, then all of `second`. Fails with `TimedOut` if the other end accepts no byte
/// for `stall_timeout`.
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

/// Writes all of `bytes`. Fails with `TimedOut` if the other end accepts no byte for `stall_timeout`.
pub async fn write_all(
    stream: &TcpStream,
    bytes: &[u8],
    stall_timeout: Duration,
) -> io::Result<()> {
    write_both(stream, bytes, &[], stall_timeout).await
}

/// Appends the bytes that can be read without waiting. Returns `None` if there are none yet, and zero
/// at the end of the stream.
pub fn try_read(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<Option<usize>> {
    buffer.reserve(READ_BYTES);
    match stream.try_read_buf(buffer) {
        Ok(count) => Ok(Some(count)),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Returns whether the stream is open and has no input, as reported by the operating system.
///
/// An event loop that has just registered the stream has seen no event for it, and would report
/// "nothing to read" for a stream that was closed long before. Therefore the operating system is asked
/// in any case. Input that is read here is lost, since a stream with unexpected input is not used
/// again.
pub fn is_open_without_input(stream: &TcpStream) -> bool {
    let mut read_attempted = false;
    let mut probe = || {
        read_attempted = true;
        (&*SockRef::from(stream)).read(&mut [0])
    };
    // The read goes through the event loop first, so that the loop registers that there is no input and
    // waits for more.
    let mut found = stream.try_io(Interest::READABLE, &mut probe);
    if !read_attempted {
        found = (&*SockRef::from(stream)).read(&mut [0]);
    }
    matches!(found, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Waits for input and appends it. Returns zero at the end of the stream.
pub async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        if let Some(count) = try_read(stream, buffer)? {
            return Ok(count);
        }
    }
}

/// Lets the other end read the last answer before the socket is closed.
///
/// Closing a socket with unread input resets the connection, and the reset may discard an answer that
/// was not read yet. Therefore the write side is shut down first, and the other end has a limited time
/// to close its own.
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
    // The socket is closed next, whether the other end has closed or the time has expired.
    let _ = time::timeout(LINGER_TIMEOUT, drained).await;
}
