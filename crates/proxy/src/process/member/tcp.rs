//! [`MemberClient`] over TCP with the PostgreSQL wire protocol.

use std::io;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::process::member::client::MemberClient;
use crate::process::member::client::MemberCommand;
use crate::process::member::client::MemberConnection;
use crate::process::member::client::MemberError;
use crate::process::member::client::MemberMessage;
use crate::process::member::frames;

/// The initial capacity of a connection's buffers; a status takes about 150 bytes.
const BUFFER_BYTES: usize = 1024;

/// Opens control connections over TCP.
#[derive(Clone, Debug)]
pub struct TcpMemberClient {
    application_name: String,
}

impl TcpMemberClient {
    /// Creates a client that sends `ZONE/VM` to members as its application name.
    pub fn new(zone: &str, vm: &str) -> TcpMemberClient {
        TcpMemberClient { application_name: format!("{zone}/{vm}") }
    }
}

/// A control connection over TCP.
#[derive(Debug)]
pub struct TcpMemberConnection {
    stream: TcpStream,
    received: BytesMut,
    encoded: BytesMut,
    decoder: frames::AnswerDecoder,
}

impl MemberClient for TcpMemberClient {
    type Connection = TcpMemberConnection;

    async fn connect(&self, address: &str) -> Result<TcpMemberConnection, MemberError> {
        let stream = TcpStream::connect(address).await.map_err(connect_error)?;
        stream.set_nodelay(true).map_err(broken)?;
        let mut connection = TcpMemberConnection {
            stream,
            received: BytesMut::with_capacity(BUFFER_BYTES),
            encoded: BytesMut::with_capacity(BUFFER_BYTES),
            decoder: frames::AnswerDecoder::default(),
        };
        frames::encode_startup(&self.application_name, &mut connection.encoded)?;
        connection.flush().await?;
        connection.finish_startup().await?;
        Ok(connection)
    }
}

impl TcpMemberConnection {
    async fn finish_startup(&mut self) -> Result<(), MemberError> {
        loop {
            match frames::decode_startup(&mut self.received)? {
                Some(frames::Startup::Ready) => return Ok(()),
                Some(frames::Startup::InProgress) => {}
                None => self.fill().await?,
            }
        }
    }

    async fn flush(&mut self) -> Result<(), MemberError> {
        self.stream.write_all(&self.encoded).await.map_err(broken)?;
        self.encoded.clear();
        Ok(())
    }

    async fn fill(&mut self) -> Result<(), MemberError> {
        let count = self.stream.read_buf(&mut self.received).await.map_err(broken)?;
        if count == 0 {
            return Err(MemberError::Broken("the member closed the connection".to_owned()));
        }
        Ok(())
    }
}

impl MemberConnection for TcpMemberConnection {
    async fn send(&mut self, command: &MemberCommand) -> Result<(), MemberError> {
        frames::encode_command(command, &mut self.encoded)?;
        self.flush().await
    }

    async fn receive(&mut self) -> Result<MemberMessage, MemberError> {
        loop {
            if let Some(message) = self.decoder.next(&mut self.received)? {
                return Ok(message);
            }
            self.fill().await?;
        }
    }
}

fn connect_error(error: io::Error) -> MemberError {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => MemberError::Refused(error.to_string()),
        _ => MemberError::Broken(error.to_string()),
    }
}

fn broken(error: io::Error) -> MemberError {
    MemberError::Broken(error.to_string())
}
