//! Reservation of loopback ports that stay free until a test listens on them.
//!
//! An ephemeral port that was released may be assigned to any connection opened meanwhile, so that a
//! restarted process could not listen on its port again. Ports are therefore chosen from below the
//! ephemeral range. The process that chose a port holds the UDP port of the same number until it ends,
//! which keeps other processes from choosing it even while nothing listens on the TCP port.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use tokio::net::TcpStream;

/// The first port to choose from. The range ends below 32,768, where the ephemeral range begins.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;

/// The UDP sockets that reserve the chosen ports until the process ends.
static CLAIMS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Reserves and returns a free loopback address. The search starts at an offset derived from the
/// process id, so that concurrent processes start at different ports.
///
/// # Errors
///
/// Fails with `AddrNotAvailable` if no port is free.
pub async fn free_address() -> io::Result<SocketAddr> {
    let start = std::process::id().wrapping_mul(613);
    free_address_from(start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed))).await
}

/// Reserves and returns the first free loopback address at or after the offset `start` in the range,
/// wrapping around at its end.
///
/// # Errors
///
/// Fails with `AddrNotAvailable` if no port is free.
pub async fn free_address_from(start: u32) -> io::Result<SocketAddr> {
    for offset in 0..PORT_COUNT {
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        let Ok(claim) = UdpSocket::bind(address) else { continue };
        // Probes for a listener by connecting. A trial listener could be inherited by a process that
        // another thread starts meanwhile, which would keep the port in use.
        if TcpStream::connect(address).await.is_err() {
            CLAIMS.lock().push(claim);
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
