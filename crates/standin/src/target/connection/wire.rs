//! The buffers around a connection's socket, and the gate that faults close.

use std::io;
use std::sync::Arc;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::network::Faults;
use crate::target::Target;

use super::frontend;
use super::frontend::Malformed;
use super::frontend::Message;
use super::frontend::Opening;

const READ_BYTES: usize = 16 << 10;

/// The size at which buffered answers are sent before the end of a batch, in bytes.
const OUTPUT_BYTES: usize = 64 << 10;

/// The reason for the end of a connection.
#[derive(Debug)]
pub enum WireError {
    /// The peer closed the connection.
    Closed,
    /// The peer violated the protocol.
    Malformed(Malformed),
}

impl From<io::Error> for WireError {
    fn from(_: io::Error) -> WireError {
        WireError::Closed
    }
}

impl From<Malformed> for WireError {
    fn from(malformed: Malformed) -> WireError {
        WireError::Malformed(malformed)
    }
}

/// A gate that is closed while a fault blocks the connection.
#[derive(Debug)]
pub struct Gate {
    faults: watch::Receiver<Faults>,
    target: Arc<Target>,
    zone: String,
    open: bool,
}

impl Gate {
    fn new(target: &Arc<Target>) -> Gate {
        let faults = target.network.subscribe();
        Gate { faults, target: Arc::clone(target), zone: String::new(), open: false }
    }

    /// Waits until the gate is open.
    pub async fn pass(&mut self) {
        while !self.open || self.faults.has_changed().unwrap_or_default() {
            let options = self.target.options();
            let blocked =
                self.faults.borrow_and_update().blocks(&options.name, &options.zone, &self.zone);
            self.open = !blocked;
            if blocked && self.faults.changed().await.is_err() {
                return;
            }
        }
    }
}

/// The transport of a connection.
#[derive(Debug)]
enum Transport<'a> {
    /// The socket.
    Socket(&'a mut TcpStream),
    /// A delay line.
    Delayed(DuplexStream),
}

impl Transport<'_> {
    async fn read(&mut self, input: &mut BytesMut) -> Result<usize, io::Error> {
        match self {
            Transport::Socket(stream) => stream.read_buf(input).await,
            Transport::Delayed(stream) => stream.read_buf(input).await,
        }
    }

    async fn write(&mut self, output: &[u8]) -> Result<(), io::Error> {
        match self {
            Transport::Socket(stream) => stream.write_all(output).await,
            Transport::Delayed(stream) => stream.write_all(output).await,
        }
    }
}

/// A connection with its buffers.
#[derive(Debug)]
pub struct Wire<'a> {
    transport: Transport<'a>,
    input: BytesMut,
    /// The buffered answers.
    pub output: BytesMut,
    /// The gate.
    pub gate: Gate,
}

impl<'a> Wire<'a> {
    /// Creates empty buffers around a socket.
    pub fn new(stream: &'a mut TcpStream, target: &Arc<Target>) -> Wire<'a> {
        let input = BytesMut::with_capacity(READ_BYTES);
        let transport = Transport::Socket(stream);
        Wire { transport, input, output: BytesMut::new(), gate: Gate::new(target) }
    }

    /// Inserts a delay line. Returns the socket for its other end, or `None` if there
    /// is a delay line already.
    pub fn delay(&mut self, line: DuplexStream) -> Option<&'a mut TcpStream> {
        match std::mem::replace(&mut self.transport, Transport::Delayed(line)) {
            Transport::Socket(stream) => Some(stream),
            Transport::Delayed(_) => None,
        }
    }

    /// Sets the zone of the peer.
    pub fn set_zone(&mut self, zone: &str) {
        zone.clone_into(&mut self.gate.zone);
        self.gate.open = false;
    }

    /// Receives the start-up packet.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection or violates the protocol.
    pub async fn opening(&mut self) -> Result<Opening, WireError> {
        loop {
            self.gate.pass().await;
            if let Some(opening) = frontend::take_opening(&mut self.input)? {
                return Ok(opening);
            }
            self.read().await?;
        }
    }

    /// Receives the next message.
    ///
    /// It may be dropped while it waits.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection or violates the protocol.
    pub async fn next(&mut self) -> Result<Message, WireError> {
        loop {
            self.gate.pass().await;
            if let Some(message) = frontend::take_message(&mut self.input)? {
                return Ok(message);
            }
            self.read().await?;
        }
    }

    /// Returns the tag of the next message, which is not consumed.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection.
    pub async fn peek(&mut self) -> Result<u8, WireError> {
        loop {
            if let Some(tag) = frontend::peek_tag(&self.input) {
                return Ok(tag);
            }
            self.read().await?;
        }
    }

    async fn read(&mut self) -> Result<(), WireError> {
        self.input.reserve(READ_BYTES);
        if self.transport.read(&mut self.input).await? == 0 {
            return Err(WireError::Closed);
        }
        Ok(())
    }

    /// Sends the buffered answers.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.output.is_empty() {
            return Ok(());
        }
        self.gate.pass().await;
        self.transport.write(&self.output).await?;
        self.output.clear();
        Ok(())
    }

    /// Sends the buffered answers if they exceed the size limit.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection.
    pub async fn flush_if_large(&mut self) -> Result<(), WireError> {
        if self.output.len() < OUTPUT_BYTES {
            return Ok(());
        }
        self.flush().await
    }

    /// Sends a single byte, the answer to a request for encryption.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection.
    pub async fn send_byte(&mut self, byte: u8) -> Result<(), WireError> {
        self.transport.write(&[byte]).await?;
        Ok(())
    }
}
