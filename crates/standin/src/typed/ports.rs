//! Addresses that stay free until they are listened on.
//!
//! A port that the system gave out and took back may be given to any connection that is opened
//! meanwhile, and a process that starts again would not get its port back. So ports are taken from below
//! the range that systems give out by themselves. Whoever has chosen a port holds the datagram port of the same
//! number for as long as it lives, which keeps others away also while nobody listens.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use tokio::net::TcpStream;

/// The ports to choose from: below 32,768, where the system's own range begins.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;

/// Held until the process ends.
static CLAIMS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// A free address of loopback. Processes that run side by side begin at different ports.
pub async fn free_address() -> io::Result<SocketAddr> {
    let start = std::process::id().wrapping_mul(613);
    free_address_from(start.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed))).await
}

/// A free address of loopback, the first one from this place on.
pub async fn free_address_from(start: u32) -> io::Result<SocketAddr> {
    for offset in 0..PORT_COUNT {
        let port = FIRST_PORT + start.wrapping_add(offset) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        let Ok(claim) = UdpSocket::bind(address) else { continue };
        // Whether somebody listens is asked by a connection: a listener of our own would be held for a moment
        // by any process that another thread starts meanwhile, and the port be taken after all.
        if TcpStream::connect(address).await.is_err() {
            CLAIMS.lock().push(claim);
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}
