//! The state and steps of the repetition model.

use std::fmt;

use skylark_core::request::error_kind::Outcome;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::Stage;

/// The maximum number of tries of each sender.
pub const MAX_TRIES: usize = 3;

/// The state of a message from a sender to the next hop.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum Message {
    /// Not sent, or not sent completely.
    #[default]
    Absent,
    /// Sent, and not processed yet. The next hop may still process it after the sender detected a failure.
    Pending,
    /// Processed by the next hop: a target ran it, or a home accepted it and sends it on.
    Taken,
    /// Refused by a target, which ran nothing.
    Refused,
}

/// The reply of a sender to the previous hop: to the caller or to the caller's proxy.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Reply {
    /// The request succeeded.
    Success,
    /// The request failed, or its outcome is unknown.
    Error {
        /// The SQLSTATE.
        sqlstate: [u8; 5],
        /// The outcome that a proxy claims; `None` if the error of a target was relayed.
        claimed: Option<Outcome>,
    },
}

/// A sender: the caller's proxy, which sends to homes, or a home, which sends to targets.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Sender {
    /// The number of failed tries after which the sender retried.
    pub failed_tries: u8,
    /// The message of each try.
    pub messages: [Message; MAX_TRIES],
    /// The reply to the previous hop; `None` until the sender has finished.
    pub reply: Option<Reply>,
}

impl Sender {
    /// Returns the index of the current try, counted from 0.
    pub fn attempt(&self) -> usize {
        usize::from(self.failed_tries)
    }
}

/// A state of the caller's proxy and of the homes that process its messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// Whether the request is the commit of a transaction. Otherwise it is a single write.
    pub commit: bool,
    /// The caller's proxy.
    pub entry: Sender,
    /// The homes, by the index of the message that they process.
    pub homes: [Sender; MAX_TRIES],
}

impl State {
    /// Returns how often the request ran at targets.
    pub fn runs(&self) -> usize {
        let taken = |message: &&Message| **message == Message::Taken;
        self.homes.iter().flat_map(|home| home.messages.iter()).filter(taken).count()
    }
}

/// The identity of a sender.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SenderId {
    /// The caller's proxy.
    Entry,
    /// The home that processes the message with this index from the caller's proxy.
    Home(usize),
}

impl fmt::Display for SenderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SenderId::Entry => f.write_str("the caller's proxy"),
            SenderId::Home(number) => write!(f, "home{number}"),
        }
    }
}

/// A transition between two states. Messages are given by their sender and index.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The caller sends its request.
    Request {
        /// Whether the request is the commit of a transaction.
        commit: bool,
    },
    /// The sender writes the complete message of its current try.
    Send(SenderId),
    /// The next hop processes a message.
    Take(SenderId, usize),
    /// A target refuses a message and runs nothing.
    Refuse(SenderId, usize),
    /// The current try of a sender fails at this stage.
    Fail(SenderId, Stage, Failure),
    /// A sender receives a success as the answer to its current try.
    Succeed(SenderId),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Request { commit: true } => f.write_str("the caller asks for a commit"),
            Step::Request { commit: false } => f.write_str("the caller asks for a write"),
            Step::Send(sender_id) => write!(f, "{sender_id} sends the request"),
            Step::Take(sender_id, number) => {
                write!(f, "message {number} of {sender_id} is acted on")
            }
            Step::Refuse(sender_id, number) => {
                write!(f, "message {number} of {sender_id} is refused")
            }
            Step::Fail(sender_id, stage, Failure::Said { sqlstate, claimed }) => {
                let sqlstate = String::from_utf8_lossy(sqlstate);
                write!(f, "{sender_id} is told {sqlstate}, claimed {claimed:?}, at {stage:?}")
            }
            Step::Fail(sender_id, stage, failure) => {
                write!(f, "{sender_id} sees its try fail: {failure:?} at {stage:?}")
            }
            Step::Succeed(sender_id) => write!(f, "{sender_id} gets the success"),
        }
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "ran {} times; entry {:?} told {:?}",
            self.runs(),
            self.entry.messages,
            self.entry.reply
        )?;
        for (number, home) in self.homes.iter().enumerate() {
            if *home != Sender::default() {
                write!(f, "; home{number} {:?} told {:?}", home.messages, home.reply)?;
            }
        }
        Ok(())
    }
}
