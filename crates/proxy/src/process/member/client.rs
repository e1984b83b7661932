//! The protocol of control connections to members, as a trait, so that other kinds of targets can be
//! supported.

use std::fmt;
use std::future::Future;

use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;

/// A command on a control connection. The member answers with its status, read atomically after the
/// command has taken effect.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberCommand {
    /// Report the status. Not sent while an earlier probe is unanswered.
    Probe,
    /// Report the status. Always sent, so that the answer shows the state after the command was issued.
    Status,
    /// Start sending notices of status changes, and report the status.
    Listen,
    /// Raise the member's term to `term` and promise it to `driver`.
    RaiseTerm {
        /// The term to promise.
        term: Term,
        /// The name of the failover driver that opens the term.
        driver: String,
    },
    /// Become the primary of `term`, which must be promised to `driver`.
    Promote {
        /// The term to lead.
        term: Term,
        /// The name of the failover driver that opens the term.
        driver: String,
    },
    /// Replicate from the primary of `term`.
    Follow {
        /// The primary's term.
        term: Term,
        /// The primary's IP address and port.
        address: String,
    },
}

/// A message from a member.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberMessage {
    /// The status after a change, sent without a command.
    Notice(MemberStatus),
    /// The answer to the oldest unanswered command.
    Answer(MemberStatus),
    /// The oldest unanswered command failed, with the member's message; the connection stays usable.
    CommandFailed(String),
    /// The oldest unanswered command completed without a status row.
    Done,
}

/// Why a control connection ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum MemberError {
    /// The connection was refused: nothing listens at the member's address.
    Refused(String),
    /// The connection could not be opened for another reason, or was lost.
    Broken(String),
    /// The member did not answer in time.
    TimedOut,
    /// The member violated the protocol.
    Protocol(String),
}

impl fmt::Display for MemberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MemberError::Refused(reason) => {
                write!(f, "the member refused the connection: {reason}")
            }
            MemberError::Broken(reason) => write!(f, "the control connection was lost: {reason}"),
            MemberError::TimedOut => f.write_str("the member did not answer in time"),
            MemberError::Protocol(reason) => {
                write!(f, "the member violated the protocol: {reason}")
            }
        }
    }
}

/// A factory of control connections.
pub trait MemberClient: Clone + Send + Sync + 'static {
    /// The type of an open connection.
    type Connection: MemberConnection;

    /// Connects to the member at `address`, an IP address and port.
    fn connect(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<Self::Connection, MemberError>> + Send;
}

/// An open control connection. Commands can be pipelined; answers arrive in the order of the commands.
pub trait MemberConnection: Send + 'static {
    /// Sends a command.
    fn send(
        &mut self,
        command: &MemberCommand,
    ) -> impl Future<Output = Result<(), MemberError>> + Send;

    /// Waits for the next message. Cancel-safe: dropping the future loses no data.
    fn receive(&mut self) -> impl Future<Output = Result<MemberMessage, MemberError>> + Send;
}
