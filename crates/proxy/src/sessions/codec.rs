//! The border between typed messages and their bytes.
//!
//! A codec has no state. One message after the other is cut off the input; what it means for the
//! session is decided elsewhere.

use std::fmt::Debug;

use bytes::BytesMut;
use skylark_core::log_position::LogPosition;
use skylark_core::request::statement::PreparedShape;
use skylark_core::request::statement::Statement;
use skylark_core::request::statement::TargetError;
use skylark_core::request::statement::TransactionStatus;

use crate::request::refusal::Refusal;

/// Why bytes are no message.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CodecError {
    /// The message is longer than the limit.
    TooLong,
    /// The message is not understood.
    Malformed,
}

/// A message of a caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallerMessage<'a> {
    /// The first message.
    Startup {
        /// The database's name.
        database: &'a str,
        /// The caller's key.
        key: &'a str,
    },
    /// A statement.
    Query {
        /// The caller's name for this try.
        id: &'a str,
        /// What to do.
        statement: Statement<'a>,
    },
    /// The caller leaves.
    Terminate,
}

/// A message of a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetMessage<'a> {
    /// The answer is complete.
    Ready {
        /// Whether the connection is in a transaction.
        status: TransactionStatus,
        /// How far the target's log goes, where it says so.
        position: Option<LogPosition>,
    },
    /// One row.
    Row(&'a str),
    /// The statement succeeded.
    Complete {
        /// The target's proof that it ran the statement.
        proof: &'a str,
    },
    /// The statement was refused or failed.
    Error {
        /// Why.
        error: TargetError,
        /// The message as it came, without its framing.
        text: &'a str,
    },
}

/// What is sent to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Query<'a> {
    /// A statement.
    Statement {
        /// The caller's name for this try; none for a statement of the proxy's own.
        id: Option<&'a str>,
        /// The target refuses the statement if its log ends before this position.
        at_least: Option<LogPosition>,
        /// What to do.
        statement: Statement<'a>,
    },
    /// Forget the session's values and prepared statements.
    Reset,
    /// Tell role and positions. It waits for a slot like any statement.
    Status,
    /// The same, at once: it takes no slot, so a target that is overrun answers as well.
    ImmediateStatus,
    /// Tell a position of the service's primary and its age. Only proxies understand it.
    Position {
        /// How old it may be, in microseconds.
        max_age_us: u64,
    },
    /// Receive nothing more, under this term.
    Pause {
        /// The term.
        term: u64,
    },
    /// Make a primary of a lower term a replica. It tells role and positions.
    StepDown {
        /// The term.
        term: u64,
    },
    /// Receive again.
    Resume {
        /// The term of the pause.
        term: u64,
    },
}

/// A message to a target, or to another proxy in a target's place.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetRequest<'a> {
    /// The first message.
    Startup {
        /// The service that the target must belong to.
        service: &'a str,
        /// Who connects.
        user: &'a str,
        /// The id that the target must have; empty for any.
        target_id: &'a str,
    },
    /// A request.
    Query(Query<'a>),
    /// For whom the requests that follow run; empty for nobody in particular. It is not answered, and only
    /// proxies understand it.
    OnBehalf {
        /// The organisation.
        organisation: &'a str,
    },
    /// The last message.
    Terminate,
}

/// What a target says of itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TargetStatus {
    /// Whether it leads.
    pub is_primary: bool,
    /// The term that it knows of.
    pub term: u64,
    /// The end of the log that it received.
    pub received: LogPosition,
    /// The term under which it was paused; zero if it never was.
    pub paused_term: u64,
}

/// A protocol of typed statements.
pub trait Codec: Debug + Copy + Send + Sync + 'static {
    /// The length of the first message in `input`, its framing included; none if it is incomplete.
    fn message_len(input: &[u8], limit: usize) -> Result<Option<usize>, CodecError>;

    /// Decodes one message of a caller, its framing included.
    fn decode_caller(message: &[u8]) -> Result<CallerMessage<'_>, CodecError>;

    /// Decodes one message to a target, its framing included.
    fn decode_request(message: &[u8]) -> Result<TargetRequest<'_>, CodecError>;

    /// Decodes one message of a target, its framing included.
    fn decode_target(message: &[u8]) -> Result<TargetMessage<'_>, CodecError>;

    /// Decodes the row that answers [`Query::Status`], [`Query::ImmediateStatus`], [`Query::Pause`],
    /// [`Query::StepDown`] and [`Query::Resume`].
    fn decode_status(row: &str) -> Result<TargetStatus, CodecError>;

    /// Decodes the row that answers [`Query::Position`]: the position, and its age in microseconds.
    fn decode_position(row: &str) -> Result<(LogPosition, u64), CodecError>;

    /// Encodes the row that answers [`Query::Position`].
    fn encode_position(position: LogPosition, age_us: u64) -> String;

    /// Writes an answer to a caller.
    fn encode_answer(message: &TargetMessage<'_>, out: &mut BytesMut);

    /// Tells another proxy that there is no way from here to the target, as
    /// [`TargetError::Unreachable`].
    fn encode_unreachable(out: &mut BytesMut);

    /// Writes a refusal to a caller.
    fn encode_refusal(refusal: &Refusal, out: &mut BytesMut);

    /// Writes the first message to a target.
    fn encode_startup(service: &str, user: &str, target_id: &str, out: &mut BytesMut);

    /// Tells another proxy for whom the requests that follow run.
    fn encode_on_behalf(organisation: &str, out: &mut BytesMut);

    /// Writes a request to a target.
    fn encode_query(query: &Query<'_>, out: &mut BytesMut);

    /// Writes the last message to a target.
    fn encode_terminate(out: &mut BytesMut);
}

/// The name that a prepared statement has on connections to targets: callers' names collide, and
/// one name for each shape lets callers share a connection without preparing again.
pub fn shared_name(shape: PreparedShape<'_>, number: u32) -> String {
    use skylark_core::request::retry::Effect;
    match shape.effect {
        Effect::Read => format!("r{number}"),
        Effect::Write | Effect::Commit => format!("w{number}"),
    }
}
