//! PostgreSQL wire encoding of control connections: encoding of commands as simple queries, and an
//! incremental decoder of the answers and notices.

use bytes::BytesMut;
use fallible_iterator::FallibleIterator;
use postgres_protocol::message::backend;
use postgres_protocol::message::backend::Message;
use postgres_protocol::message::frontend;
use skylark_core::member_status::MemberStatus;

use crate::process::member::client::MemberCommand;
use crate::process::member::client::MemberError;
use crate::process::member::client::MemberMessage;

/// The database name that requests a control connection in the startup packet.
const CONTROL_DATABASE: &str = "group_control";

/// The `LISTEN` channel on which members send notices of status changes.
const STATUS_CHANNEL: &str = "group_status";

/// Appends the startup packet of a control connection to `out`.
pub fn encode_startup(application_name: &str, out: &mut BytesMut) -> Result<(), MemberError> {
    let parameters = [
        ("user", "skylark"),
        ("database", CONTROL_DATABASE),
        ("application_name", application_name),
    ];
    frontend::startup_message(parameters, out).map_err(broken)
}

/// Appends a command to `out` as a simple query.
pub fn encode_command(command: &MemberCommand, out: &mut BytesMut) -> Result<(), MemberError> {
    frontend::query(&query_text(command), out).map_err(broken)
}

fn query_text(command: &MemberCommand) -> String {
    match command {
        MemberCommand::Probe | MemberCommand::Status => "SHOW group.status".to_owned(),
        MemberCommand::Listen => format!("LISTEN {STATUS_CHANNEL}"),
        MemberCommand::RaiseTerm { term, driver } => {
            format!("SELECT group_raise_term({term}, {})", quoted(driver))
        }
        MemberCommand::Promote { term, driver } => {
            format!("SELECT group_promote({term}, {})", quoted(driver))
        }
        MemberCommand::Follow { term, address } => {
            format!("SELECT group_follow({term}, {})", quoted(address))
        }
    }
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

fn broken<E>(error: E) -> MemberError
where
    E: ToString,
{
    MemberError::Broken(error.to_string())
}

/// The progress of a connection's startup.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Startup {
    /// The member will send more startup messages.
    InProgress,
    /// The member is ready for commands.
    Ready,
}

/// Decodes the next startup message. Returns `None` if it has not fully arrived.
pub fn decode_startup(buffer: &mut BytesMut) -> Result<Option<Startup>, MemberError> {
    let Some(message) = Message::parse(buffer).map_err(protocol)? else { return Ok(None) };
    match message {
        Message::ReadyForQuery(_) => Ok(Some(Startup::Ready)),
        Message::ErrorResponse(body) => Err(MemberError::Broken(error_text(&body))),
        Message::AuthenticationOk
        | Message::ParameterStatus(_)
        | Message::BackendKeyData(_)
        | Message::NoticeResponse(_) => Ok(Some(Startup::InProgress)),
        _ => Err(MemberError::Protocol("unexpected message during startup".to_owned())),
    }
}

/// Assembles the protocol messages of a command's answer into one [`MemberMessage`].
#[derive(Debug, Default)]
pub struct AnswerDecoder {
    answer: Option<MemberMessage>,
}

impl AnswerDecoder {
    /// Consumes protocol messages from `buffer` until a member message is complete. Returns `None` if
    /// more bytes are needed.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<MemberMessage>, MemberError> {
        while let Some(message) = Message::parse(buffer).map_err(protocol)? {
            match message {
                Message::NotificationResponse(body) => {
                    let text = body.message().map_err(protocol)?;
                    return Ok(Some(MemberMessage::Notice(parse_status(text.as_bytes())?)));
                }
                Message::DataRow(body) => {
                    self.answer = Some(MemberMessage::Answer(row_status(&body)?));
                }
                Message::ErrorResponse(body) => {
                    self.answer = Some(MemberMessage::CommandFailed(error_text(&body)));
                }
                Message::ReadyForQuery(_) => {
                    return Ok(Some(self.answer.take().unwrap_or(MemberMessage::Done)));
                }
                _ => {}
            }
        }
        Ok(None)
    }
}

fn row_status(body: &backend::DataRowBody) -> Result<MemberStatus, MemberError> {
    let first = body.ranges().next().map_err(protocol)?;
    let Some(Some(range)) = first else {
        return Err(MemberError::Protocol("status row without a value".to_owned()));
    };
    parse_status(&body.buffer()[range])
}

fn parse_status(json: &[u8]) -> Result<MemberStatus, MemberError> {
    serde_json::from_slice(json).map_err(protocol)
}

fn protocol<E>(error: E) -> MemberError
where
    E: ToString,
{
    MemberError::Protocol(error.to_string())
}

fn error_text(body: &backend::ErrorResponseBody) -> String {
    const MESSAGE_FIELD: u8 = b'M';
    let mut fields = body.fields();
    while let Ok(Some(field)) = fields.next() {
        if field.type_() == MESSAGE_FIELD {
            return String::from_utf8_lossy(field.value_bytes()).into_owned();
        }
    }
    "error response without a message".to_owned()
}
