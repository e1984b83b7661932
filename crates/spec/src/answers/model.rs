//! The states, transitions and invariants of the answers model.

use std::fmt;

use super::Safeguard;
use crate::explore::Model;

/// The maximum number of callers. Each caller sends one statement.
pub const MAX_CALLERS: usize = 4;
const CONNECTIONS: usize = 2;

/// The state of a caller.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum Caller {
    /// The caller has not sent its statement.
    #[default]
    New,
    /// The caller waits for the answer.
    Waiting,
    /// The caller waits for the answer and has requested cancellation.
    Cancelling,
    /// The caller abandoned its statement.
    Gone,
    /// The caller received an answer.
    Answered {
        /// The caller whose statement the answer belongs to.
        owner: u8,
        /// Whether the answer says that the statement was cancelled.
        cancelled: bool,
        /// Whether the caller that received the answer had requested cancellation.
        asked: bool,
    },
}

/// An answer that the proxy has not read.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Answer {
    owner: u8,
    cancelled: bool,
}

/// The use that the proxy makes of a connection.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum Use {
    /// The connection is available to any caller.
    #[default]
    Idle,
    /// The connection serves this caller.
    Held(u8),
    /// The caller abandoned its statement. Answers are read and discarded.
    Draining,
    /// The connection was closed.
    Closed,
}

/// A connection to a target.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct Connection {
    used: Use,
    /// The statements that the target has not run, in order, each given by its caller.
    statements: [Option<u8>; MAX_CALLERS],
    /// The answers that the proxy has not read, in order.
    answers: [Option<Answer>; MAX_CALLERS],
    /// Whether a cancel request was sent and has not arrived at the target.
    cancel: bool,
    /// Whether a cancel request was ever sent for this connection.
    cancel_sent: bool,
}

/// A state of all callers and connections.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct State {
    callers: [Caller; MAX_CALLERS],
    connections: [Connection; CONNECTIONS],
}

/// A transition between two states. Callers and connections are given by their index.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Step {
    /// The statement of a caller is sent on an idle connection.
    Send(usize, usize),
    /// The target runs the next statement of a connection.
    Run(usize),
    /// A caller requests cancellation, and the cancel request is sent on a separate connection.
    Cancel(usize),
    /// The cancel request for a connection arrives at the target.
    CancelArrives(usize),
    /// The proxy reads the next answer of a connection and relays it to the caller.
    Read(usize),
    /// The proxy reads and discards the answer to an abandoned statement.
    Drop(usize),
    /// A caller abandons its statement. The flag is true if the proxy sends a cancel request.
    Abandon(usize, bool),
    /// A drained connection becomes idle or is closed.
    Drained(usize),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Send(caller, at) => {
                write!(f, "caller{caller}'s statement goes to connection{at}")
            }
            Step::Run(at) => write!(f, "the target runs the next statement of connection{at}"),
            Step::Cancel(caller) => write!(f, "caller{caller} asks to cancel"),
            Step::CancelArrives(at) => write!(f, "the cancel request for connection{at} arrives"),
            Step::Read(at) => write!(f, "the answer on connection{at} is passed on"),
            Step::Drop(at) => write!(f, "the answer on connection{at} is dropped"),
            Step::Abandon(caller, true) => write!(f, "caller{caller} gives up; a cancel is sent"),
            Step::Abandon(caller, false) => write!(f, "caller{caller} gives up"),
            Step::Drained(at) => write!(f, "connection{at} is drained"),
        }
    }
}

fn push_back<T>(queue: &mut [Option<T>; MAX_CALLERS], item: T) {
    let free_slot = queue.iter_mut().find(|slot| slot.is_none()).expect("one slot per caller");
    *free_slot = Some(item);
}

fn pop_front<T>(queue: &mut [Option<T>; MAX_CALLERS]) -> Option<T> {
    let first = queue[0].take();
    queue.rotate_left(1);
    first
}

/// The answers model.
#[derive(Clone, Copy, Debug)]
pub struct AnswersModel {
    /// The number of callers, at most [`MAX_CALLERS`].
    pub callers: usize,
    /// The safeguard that is switched off, if any.
    pub without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

impl AnswersModel {
    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Makes a connection idle, or closes it if [`Safeguard::CloseAfterCancel`] requires that.
    fn release(&self, connection: &mut Connection) {
        let closes = connection.cancel_sent && self.has(Safeguard::CloseAfterCancel);
        connection.used = if closes { Use::Closed } else { Use::Idle };
    }

    fn caller_steps(&self, state: &State, caller: usize, next: &mut Next) {
        match state.callers[caller] {
            Caller::New => {
                for at in 0..CONNECTIONS {
                    if state.connections[at].used == Use::Idle {
                        let mut after = *state;
                        after.callers[caller] = Caller::Waiting;
                        after.connections[at].used = Use::Held(caller as u8);
                        push_back(&mut after.connections[at].statements, caller as u8);
                        next.push((Step::Send(caller, at), after));
                    }
                }
            }
            Caller::Waiting => {
                let held = |c: &Connection| c.used == Use::Held(caller as u8);
                let at = state
                    .connections
                    .iter()
                    .position(held)
                    .expect("a waiting caller holds a connection");
                let mut cancelling = *state;
                cancelling.callers[caller] = Caller::Cancelling;
                send_cancel(&mut cancelling.connections[at]);
                next.push((Step::Cancel(caller), cancelling));
                for cancel in [false, true] {
                    let mut after = *state;
                    after.callers[caller] = Caller::Gone;
                    let connection = &mut after.connections[at];
                    if cancel {
                        send_cancel(connection);
                    }
                    match self.has(Safeguard::Drain) {
                        true => connection.used = Use::Draining,
                        false => self.release(connection),
                    }
                    next.push((Step::Abandon(caller, cancel), after));
                }
            }
            Caller::Cancelling | Caller::Gone | Caller::Answered { .. } => {}
        }
    }

    fn connection_steps(&self, state: &State, at: usize, next: &mut Next) {
        let connection = &state.connections[at];
        if connection.statements[0].is_some() {
            let mut after = *state;
            finish_statement(&mut after.connections[at], false);
            next.push((Step::Run(at), after));
        }
        if connection.cancel {
            let mut after = *state;
            after.connections[at].cancel = false;
            finish_statement(&mut after.connections[at], true);
            next.push((Step::CancelArrives(at), after));
        }
        let idle = connection.statements[0].is_none() && connection.answers[0].is_none();
        match (connection.used, connection.answers[0]) {
            (Use::Held(caller), Some(answer)) => {
                let mut after = *state;
                pop_front(&mut after.connections[at].answers);
                let waiter = &mut after.callers[usize::from(caller)];
                let asked = *waiter == Caller::Cancelling;
                let Answer { owner, cancelled } = answer;
                *waiter = Caller::Answered { owner, cancelled, asked };
                self.release(&mut after.connections[at]);
                next.push((Step::Read(at), after));
            }
            (Use::Draining, Some(_)) => {
                let mut after = *state;
                pop_front(&mut after.connections[at].answers);
                next.push((Step::Drop(at), after));
            }
            (Use::Draining, None) if idle => {
                let mut after = *state;
                self.release(&mut after.connections[at]);
                next.push((Step::Drained(at), after));
            }
            _ => {}
        }
    }
}

fn send_cancel(connection: &mut Connection) {
    connection.cancel = true;
    connection.cancel_sent = true;
}

/// Ends the next statement of a connection, if any, and appends its answer.
fn finish_statement(connection: &mut Connection, cancelled: bool) {
    if let Some(owner) = pop_front(&mut connection.statements) {
        push_back(&mut connection.answers, Answer { owner, cancelled });
    }
}

impl Model for AnswersModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State::default()
    }

    fn steps(&self, state: &State, next: &mut Next) {
        for caller in 0..self.callers {
            self.caller_steps(state, caller, next);
        }
        for at in 0..CONNECTIONS {
            self.connection_steps(state, at, next);
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        for (number, caller) in state.callers.iter().enumerate() {
            match *caller {
                Caller::Answered { owner, .. } if usize::from(owner) != number => {
                    return Some("a caller got another one's answer");
                }
                Caller::Answered { cancelled: true, asked: false, .. } => {
                    return Some("a caller's statement was cancelled by another one's request");
                }
                _ => {}
            }
        }
        None
    }

    fn describe(&self, state: &State) -> String {
        let mut text = format!("callers {:?}", &state.callers[..self.callers]);
        for (number, connection) in state.connections.iter().enumerate() {
            let statements = connection.statements.iter().flatten().collect::<Vec<_>>();
            let answers = connection.answers.iter().flatten().collect::<Vec<_>>();
            let Connection { used, cancel, .. } = connection;
            text += &format!(
                "; connection{number} {used:?}, to run {statements:?}, answers {answers:?}, cancel on its way {cancel}"
            );
        }
        text
    }
}
