//! A connection's bytes: buffers around the socket, and the gate that faults close.

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

/// How many bytes of answers are gathered before they leave in the middle of a batch.
const OUTPUT_BYTES: usize = 64 << 10;

/// Why a connection ends.
#[derive(Debug)]
pub enum WireError {
    /// The peer is gone.
    Closed,
    /// The peer breaks the protocol.
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

/// Lets nothing pass while a fault blocks the connection.
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

    /// Waits until nothing blocks the connection.
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

/// What a connection's bytes go through.
#[derive(Debug)]
enum Transport<'a> {
    /// Straight through the socket.
    Socket(&'a mut TcpStream),
    /// Through a delay line.
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
    /// Where answers are written.
    pub output: BytesMut,
    /// The gate.
    pub gate: Gate,
}

impl<'a> Wire<'a> {
    /// Empty buffers around a socket.
    pub fn new(stream: &'a mut TcpStream, target: &Arc<Target>) -> Wire<'a> {
        let input = BytesMut::with_capacity(READ_BYTES);
        let transport = Transport::Socket(stream);
        Wire { transport, input, output: BytesMut::new(), gate: Gate::new(target) }
    }

    /// Goes on through a delay line. Returns the socket for its other end, or `None` where there
    /// is a delay line already.
    pub fn delay(&mut self, line: DuplexStream) -> Option<&'a mut TcpStream> {
        match std::mem::replace(&mut self.transport, Transport::Delayed(line)) {
            Transport::Socket(stream) => Some(stream),
            Transport::Delayed(_) => None,
        }
    }

    /// Tells the gate in which zone the peer is.
    pub fn set_zone(&mut self, zone: &str) {
        zone.clone_into(&mut self.gate.zone);
        self.gate.open = false;
    }

    /// The opening packet.
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

    /// The next message.
    ///
    /// Safe to drop while it waits.
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

    /// The tag of the next message, which stays.
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

    /// Sends the gathered answers.
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

    /// Sends the gathered answers if they are many.
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

    /// Answers a single byte, as encryption requests want it.
    ///
    /// # Errors
    ///
    /// If the peer closed the connection.
    pub async fn send_byte(&mut self, byte: u8) -> Result<(), WireError> {
        self.transport.write(&[byte]).await?;
        Ok(())
    }
}
