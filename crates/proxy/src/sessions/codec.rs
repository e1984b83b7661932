//! The protocol-independent message types of callers and targets, and the [`Codec`] that converts them to and
//! from bytes.
//!
//! A codec is stateless: it finds the end of the next message in the input, and decodes or encodes one
//! message at a time. The effect of a message on the session is decided in [`connection`](super::connection)
//! and [`request`](super::request).

use std::fmt::Debug;

use bytes::BytesMut;
use skylark_core::log_position::LogPosition;
use skylark_core::request::statement::PreparedShape;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use skylark_core::request::statement::TransactionStatus;

use crate::request::refusal::Refusal;

/// A failure to decode a message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CodecError {
    /// The message exceeds the size limit.
    TooLong,
    /// The message does not conform to the protocol.
    Malformed,
}

/// A message sent by a caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallerMessage<'a> {
    /// The message that opens the session.
    Startup {
        /// The database to connect to.
        database: &'a str,
        /// The caller's API key.
        key: &'a str,
    },
    /// A statement to run.
    Query {
        /// The caller's identifier of this attempt.
        id: &'a str,
        /// The statement.
        statement: Statement<'a>,
    },
    /// The message that closes the session.
    Terminate,
}

/// A message sent by a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetMessage<'a> {
    /// The end of a reply.
    Ready {
        /// The connection's transaction status after the statement.
        status: TransactionStatus,
        /// The end of the target's log; `None` if the target reports no position.
        position: Option<LogPosition>,
    },
    /// One result row.
    Row(&'a str),
    /// The statement succeeded.
    Complete {
        /// The target's proof that it ran the statement, passed on to the caller unchanged.
        proof: &'a str,
    },
    /// The target refused the statement, or the statement failed.
    Error {
        /// The error class.
        error: TargetError,
        /// The message as received, without its framing.
        text: &'a str,
    },
}

/// A request sent to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Query<'a> {
    /// A statement to run.
    Statement {
        /// The caller's identifier of this attempt; `None` for a statement issued by the proxy itself.
        id: Option<&'a str>,
        /// The target refuses the statement if its log ends before this position.
        at_least: Option<LogPosition>,
        /// The statement.
        statement: Statement<'a>,
    },
    /// Clears the session's values and prepared statements.
    Reset,
    /// Requests the target's role and log positions. It waits for an execution slot like any statement.
    Status,
    /// Requests the same as [`Query::Status`] without taking an execution slot, so that an overloaded target
    /// answers as well.
    ImmediateStatus,
    /// Requests a position of the service's primary and the position's age. Only proxies understand it.
    Position {
        /// The maximum age of the position, in microseconds.
        max_age_us: u64,
    },
    /// Stops the target from receiving the log, under this term.
    Pause {
        /// The term of the takeover that pauses the target.
        term: u64,
    },
    /// Demotes a primary of a lower term to a replica. The reply has the target's role and positions.
    StepDown {
        /// The term of the new primary.
        term: u64,
    },
    /// Lets a paused target receive the log again.
    Resume {
        /// The term under which the target was paused.
        term: u64,
    },
}

/// A message to a target, or to another proxy that forwards to the target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetRequest<'a> {
    /// The message that opens the connection.
    Startup {
        /// The service that the target must belong to.
        service: &'a str,
        /// The user that the connection runs as.
        user: &'a str,
        /// The id that the target must have; empty for any.
        target_id: &'a str,
    },
    /// A request that is answered.
    Query(Query<'a>),
    /// Sets the organisation that the following requests run for; empty for none. It has no reply, and only
    /// proxies understand it.
    OnBehalf {
        /// The organisation's name.
        organisation: &'a str,
    },
    /// Sets the class of the following statements, and for how long the next one may wait for admission. It
    /// has no reply, and only proxies that announce shared admission understand it.
    Precedence {
        /// The class; 0 is the most urgent one.
        class: u32,
        /// The maximum wait until the statement is sent to the target, in milliseconds.
        wait_ms: u64,
    },
    /// The message that closes the connection.
    Terminate,
}

/// The replication state that a target reports of itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TargetStatus {
    /// Whether the target believes itself to be the primary.
    pub is_primary: bool,
    /// The highest term that the target knows of.
    pub term: u64,
    /// The end of the log that the target has received.
    pub received: LogPosition,
    /// The term under which the target was last paused; zero if it never was.
    pub paused_term: u64,
}

/// A wire protocol of typed statements.
pub trait Codec: Debug + Copy + Send + Sync + 'static {
    /// Returns the length in bytes of the first message in `input`, including its framing; `None` if the
    /// message is incomplete.
    ///
    /// # Errors
    ///
    /// [`CodecError::TooLong`] if the message exceeds `limit` bytes.
    fn message_len(input: &[u8], limit: usize) -> Result<Option<usize>, CodecError>;

    /// Decodes one message of a caller, including its framing.
    fn decode_caller(message: &[u8]) -> Result<CallerMessage<'_>, CodecError>;

    /// Decodes one message to a target, including its framing.
    fn decode_request(message: &[u8]) -> Result<TargetRequest<'_>, CodecError>;

    /// Decodes one message of a target, including its framing.
    fn decode_target(message: &[u8]) -> Result<TargetMessage<'_>, CodecError>;

    /// Decodes the row that answers [`Query::Status`], [`Query::ImmediateStatus`], [`Query::Pause`],
    /// [`Query::StepDown`] and [`Query::Resume`].
    fn decode_status(row: &str) -> Result<TargetStatus, CodecError>;

    /// Encodes the row that [`Codec::decode_status`] decodes.
    fn encode_status(status: &TargetStatus) -> String;

    /// Decodes the row that answers [`Query::Position`] into the position and its age in microseconds.
    fn decode_position(row: &str) -> Result<(LogPosition, u64), CodecError>;

    /// Encodes the row that answers [`Query::Position`].
    fn encode_position(position: LogPosition, age_us: u64) -> String;

    /// Appends a target's message to `out`, encoded for a caller.
    fn encode_answer(message: &TargetMessage<'_>, out: &mut BytesMut);

    /// Appends the refusal that tells another proxy that this one can't reach the target. The other proxy
    /// decodes it as [`TargetError::Unreachable`].
    fn encode_unreachable(out: &mut BytesMut);

    /// Appends a refusal for a caller.
    fn encode_refusal(refusal: &Refusal, out: &mut BytesMut);

    /// Appends the message that opens a connection to a target.
    fn encode_startup(service: &str, user: &str, target_id: &str, out: &mut BytesMut);

    /// Appends the message that tells another proxy which organisation the following requests run for.
    fn encode_on_behalf(organisation: &str, out: &mut BytesMut);

    /// Appends the message that tells another proxy the class of the following statements, and for how long the
    /// next one may wait for admission, in milliseconds.
    fn encode_precedence(class: u32, wait_ms: u64, out: &mut BytesMut);

    /// Appends the refusal of an admission queue for another proxy, which decodes it as
    /// [`TargetError::NotAdmitted`].
    fn encode_not_admitted(refusal: &Refusal, out: &mut BytesMut);

    /// Appends a request to a target.
    fn encode_query(query: &Query<'_>, out: &mut BytesMut);

    /// Appends the message that closes a connection to a target.
    fn encode_terminate(out: &mut BytesMut);
}

/// Returns the name of a prepared statement on connections to targets.
///
/// Callers' own names would collide on shared connections. One name for each statement shape lets callers
/// share a connection without preparing the statement again.
pub fn shared_name(shape: PreparedShape<'_>, number: u32) -> String {
    use skylark_core::request::retry::Effect;
    match shape.effect {
        Effect::Read => format!("r{number}"),
        Effect::Write | Effect::Commit => format!("w{number}"),
    }
}
