//! The state and steps of the repetition model.

use std::fmt;

use skylark_core::request::error_kind::Outcome;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::Stage;

/// How often each sender may send the request.
pub const MAX_TRIES: usize = 3;

/// A message on its way to the next hop, or there.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum Message {
    /// Not sent, or lost before it arrived in whole.
    #[default]
    Absent,
    /// Sent and not acted on yet. It may still be, whatever the sender has seen.
    Pending,
    /// Acted on: at a target it ran, at a home the home works on it.
    Taken,
    /// Refused by a target before anything ran.
    Refused,
}

/// What a sender told the one who asked it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Reply {
    /// The request succeeded.
    Success,
    /// An error with this code and, from a proxy, this claim on the outcome.
    Error {
        /// The SQLSTATE.
        sqlstate: [u8; 5],
        /// Whether the request ran, as far as a proxy says so.
        claimed: Option<Outcome>,
    },
}

/// One sender: the caller's proxy towards homes, or a home towards targets.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Sender {
    /// How many tries ended.
    pub failed_tries: u8,
    /// The messages of all tries.
    pub messages: [Message; MAX_TRIES],
    /// How it ended.
    pub reply: Option<Reply>,
}

impl Sender {
    /// The number of the present try.
    pub fn attempt(&self) -> usize {
        usize::from(self.failed_tries)
    }
}

/// A state: the caller's proxy, and the home that works on each of its messages.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// Whether the request is the commit of a transaction; a write of its own otherwise.
    pub commit: bool,
    /// The caller's proxy.
    pub entry: Sender,
    /// The homes, by the number of the entry's message.
    pub homes: [Sender; MAX_TRIES],
}

impl State {
    /// How often the request ran.
    pub fn runs(&self) -> usize {
        let taken = |message: &&Message| **message == Message::Taken;
        self.homes.iter().flat_map(|home| home.messages.iter()).filter(taken).count()
    }
}

/// Where a sender stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum SenderId {
    /// The caller's proxy.
    Entry,
    /// The home that works on the entry's message of this number.
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

/// What happens between two states.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The caller asks.
    Request {
        /// For the commit of a transaction.
        commit: bool,
    },
    /// The whole message is written.
    Send(SenderId),
    /// The next hop acts on a message.
    Take(SenderId, usize),
    /// A target refuses a message before it runs.
    Refuse(SenderId, usize),
    /// A sender sees a failure of its present try.
    Fail(SenderId, Stage, Failure),
    /// A sender gets the success of its present try.
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
