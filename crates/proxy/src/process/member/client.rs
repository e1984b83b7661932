//! What the control thread asks of a member, as a small trait, so that another kind of target can
//! take the place of the documented one.

use std::fmt;
use std::future::Future;

use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;

/// A command on a control connection. Each is answered by the member's status, read in one step
/// after the command's effect.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberCommand {
    /// Report the status. Left out while another such probe is unanswered.
    Probe,
    /// Report the status as it is after this command was sent.
    Status,
    /// Send notices from now on, and report the status.
    Listen,
    /// Promise `term` to `driver`.
    RaiseTerm {
        /// The term to promise.
        term: Term,
        /// The VM that drives the change to it.
        driver: String,
    },
    /// Become the primary of `term`, which must be promised to `driver`.
    Promote {
        /// The term to lead.
        term: Term,
        /// The VM that drives the change to it.
        driver: String,
    },
    /// Follow the primary of `term`.
    Follow {
        /// The primary's term.
        term: Term,
        /// The primary's IP address and port.
        address: String,
    },
}

/// What a member sends.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberMessage {
    /// The status after a change, sent without being asked.
    Notice(MemberStatus),
    /// The answer to the oldest command without one.
    Answer(MemberStatus),
    /// The oldest command without an answer failed; the connection goes on.
    CommandFailed(String),
    /// The oldest command needs no status of its own: it ended without a row.
    Done,
}

/// Why a control connection ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberError {
    /// The member refuses connections: nothing listens at its address.
    Refused(String),
    /// The connection can't be opened, or broke.
    Broken(String),
    /// The member did not answer in time.
    TimedOut,
    /// The member sent something that the protocol does not allow here.
    Protocol(String),
}

impl fmt::Display for MemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MemberError::Refused(reason) => write!(f, "the member refuses connections: {reason}"),
            MemberError::Broken(reason) => write!(f, "the control connection broke: {reason}"),
            MemberError::TimedOut => f.write_str("the member did not answer in time"),
            MemberError::Protocol(reason) => write!(f, "the member broke the protocol: {reason}"),
        }
    }
}

/// Opens control connections.
pub trait MemberClient: Clone + Send + Sync + 'static {
    /// An open connection.
    type Connection: MemberConnection;

    /// Connects to the member at `address` (IP address and port).
    fn connect(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<Self::Connection, MemberError>> + Send;
}

/// An open control connection. Commands may be sent before earlier ones are answered.
pub trait MemberConnection: Send + 'static {
    /// Sends a command.
    fn send(
        &mut self,
        command: &MemberCommand,
    ) -> impl Future<Output = Result<(), MemberError>> + Send;

    /// Waits for the next message. Dropping the future loses nothing.
    fn receive(&mut self) -> impl Future<Output = Result<MemberMessage, MemberError>> + Send;
}
