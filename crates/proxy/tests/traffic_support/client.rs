//! A protocol client for tests that sends single messages and exposes the messages of each response.

use std::net::SocketAddr;

use bytes::BytesMut;
use fallible_iterator::FallibleIterator;
use postgres_protocol::message::backend::Message;
use postgres_protocol::message::frontend;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::GROUP;
use super::TIMEOUT;

/// The fields of an ErrorResponse message.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ErrorFields {
    pub severity: String,
    pub sqlstate: String,
    pub message: String,
    pub detail: String,
    pub hint: String,
}

/// The messages received up to a ReadyForQuery or the end of the connection.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Answer {
    pub rows: Vec<Vec<Option<String>>>,
    pub tags: Vec<String>,
    pub errors: Vec<ErrorFields>,
    pub parameters: Vec<(String, String)>,
    /// The type bytes of all messages in order.
    pub types: String,
    /// The transaction status of the ReadyForQuery, or `None` if the connection ended before it.
    pub status: Option<char>,
}

impl Answer {
    /// Returns the first value of the first row. Panics on an error, without a row, or if the value is null.
    pub fn value(&self) -> &str {
        assert_eq!(self.errors, [], "the request succeeds");
        self.rows[0][0].as_deref().expect("the value is not null")
    }

    /// Returns the error. Panics unless there is exactly one.
    pub fn error(&self) -> &ErrorFields {
        assert_eq!(self.errors.len(), 1, "one error in {self:?}");
        &self.errors[0]
    }

    /// Asserts that there was no error and that the connection is still open.
    pub fn ok(&self) -> &Answer {
        assert_eq!(self.errors, [], "the request succeeds");
        assert!(self.status.is_some(), "the connection is still open");
        self
    }
}

/// A caller's connection to a proxy.
pub struct Client {
    pub stream: TcpStream,
    input: BytesMut,
    pub output: BytesMut,
    pub cancel_key: (i32, i32),
    pub token: Option<String>,
}

impl Client {
    /// Connects as user `desk` with additional start-up parameters. Panics if the start-up is refused.
    pub async fn connect(address: SocketAddr, parameters: &[(&str, &str)]) -> Client {
        let (client, startup_answer) = Client::try_connect(address, parameters).await;
        assert_eq!(startup_answer.errors, [], "the start-up succeeds");
        client
    }

    /// Does the same as [`Client::connect`], but returns the response to the start-up instead of checking it.
    pub async fn try_connect(address: SocketAddr, parameters: &[(&str, &str)]) -> (Client, Answer) {
        let mut client = Client::connect_raw(address).await;
        let mut startup_parameters = vec![("user", "desk"), ("database", GROUP)];
        startup_parameters.extend_from_slice(parameters);
        // A later value for the same name replaces the default.
        let last_index =
            |name: &str| startup_parameters.iter().rposition(|(known, _)| *known == name);
        let unique: Vec<_> = startup_parameters
            .iter()
            .enumerate()
            .filter(|(index, (name, _))| last_index(name) == Some(*index))
            .map(|(_, pair)| *pair)
            .collect();
        frontend::startup_message(unique, &mut client.output).expect("no zero bytes");
        client.flush().await;
        let answer = client.answer().await;
        (client, answer)
    }

    /// Opens a connection without sending a start-up message.
    pub async fn connect_raw(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).await.expect("the proxy listens");
        stream.set_nodelay(true).expect("a socket option");
        Client {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            cancel_key: (0, 0),
            token: None,
        }
    }

    /// Sends the messages in `output`.
    pub async fn flush(&mut self) {
        let output = self.output.split();
        self.stream.write_all(&output).await.expect("the proxy reads");
    }

    /// Sends a simple query.
    pub async fn send(&mut self, sql: &str) {
        frontend::query(sql, &mut self.output).expect("no zero bytes");
        self.flush().await;
    }

    /// Sends a simple query and reads its response.
    pub async fn query(&mut self, sql: &str) -> Answer {
        self.send(sql).await;
        self.answer().await
    }

    /// Reads up to the next ReadyForQuery or the end of the connection.
    pub async fn answer(&mut self) -> Answer {
        self.answer_until('Z').await
    }

    /// Reads up to a message of type `last_type`, a ReadyForQuery or the end of the connection.
    pub async fn answer_until(&mut self, last_type: char) -> Answer {
        let mut answer = Answer::default();
        loop {
            let tag = self.input.first().map(|tag| *tag as char);
            let parsed = Message::parse(&mut self.input).expect("a message of the protocol");
            let Some(message) = parsed else {
                if !self.read().await {
                    return answer;
                }
                continue;
            };
            let tag = tag.expect("a message begins with its type");
            answer.types.push(tag);
            self.record_message(&mut answer, message);
            if tag == last_type || answer.status.is_some() {
                return answer;
            }
        }
    }

    fn record_message(&mut self, answer: &mut Answer, message: Message) {
        match message {
            Message::DataRow(row) => {
                let ranges: Vec<_> = row.ranges().collect().expect("ranges");
                let text = |range: Option<std::ops::Range<usize>>| {
                    let bytes = range.map(|range| row.buffer()[range].to_vec());
                    bytes.map(|bytes| String::from_utf8(bytes).expect("text"))
                };
                answer.rows.push(ranges.into_iter().map(text).collect());
            }
            Message::CommandComplete(body) => answer.tags.push(body.tag().expect("tag").to_owned()),
            Message::ErrorResponse(body) => {
                let mut error = ErrorFields::default();
                let fields: Vec<_> = body
                    .fields()
                    .map(|field| {
                        Ok((
                            field.type_(),
                            String::from_utf8_lossy(field.value_bytes()).into_owned(),
                        ))
                    })
                    .collect()
                    .expect("fields");
                for (code, value) in fields {
                    match code {
                        b'S' => error.severity = value,
                        b'C' => error.sqlstate = value,
                        b'M' => error.message = value,
                        b'D' => error.detail = value,
                        b'H' => error.hint = value,
                        _ => (),
                    }
                }
                answer.errors.push(error);
            }
            Message::ParameterStatus(body) => {
                let (name, value) = (body.name().expect("name"), body.value().expect("value"));
                if name == "skylark.token" {
                    self.token = Some(value.to_owned());
                }
                answer.parameters.push((name.to_owned(), value.to_owned()));
            }
            Message::BackendKeyData(body) => {
                self.cancel_key = (body.process_id(), body.secret_key())
            }
            Message::ReadyForQuery(body) => answer.status = Some(body.status() as char),
            _ => (),
        }
    }

    async fn read(&mut self) -> bool {
        let read = self.stream.read_buf(&mut self.input);
        let read = tokio::time::timeout(TIMEOUT, read)
            .await
            .expect("the response arrives before the timeout");
        // A reset counts as the end of the connection.
        !matches!(read, Ok(0) | Err(_))
    }
}

impl Client {
    /// Sends a simple query and closes the sending side without reading the response.
    pub async fn query_and_disconnect(&mut self, sql: &str) {
        self.send(sql).await;
        // Gives the proxy time to read the request before the socket closes.
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        let _ = self.stream.shutdown().await;
    }
}
