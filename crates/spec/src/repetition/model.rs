//! The transitions and invariants of the repetition model.

use skylark_core::request::error_kind::Outcome;
use skylark_core::request::retry;
use skylark_core::request::retry::Attempt;
use skylark_core::request::retry::Effect;
use skylark_core::request::retry::Failure;
use skylark_core::request::retry::RetryBudget;
use skylark_core::request::retry::RetryVerdict;
use skylark_core::request::retry::Stage;

use super::Safeguard;
use super::state::MAX_TRIES;
use super::state::Message;
use super::state::Reply;
use super::state::Sender;
use super::state::SenderId;
use super::state::State;
use super::state::Step;
use crate::explore::Model;

/// The repetition model.
#[derive(Clone, Copy, Debug)]
pub struct RepetitionModel {
    /// The maximum number of tries of each sender, at most [`MAX_TRIES`].
    pub tries: usize,
    /// The safeguard that is switched off, if any.
    pub without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

/// The time until the request's deadline, which never passes in this model. No decision depends on its exact
/// length.
const TIME_LEFT_US: u64 = 1_000_000;

/// The SQLSTATEs with which a target refuses a request before it runs anything.
const REFUSALS: [[u8; 5]; 3] = [*b"25006", *b"57P01", *b"53300"];

fn sender_mut(state: &mut State, sender_id: SenderId) -> &mut Sender {
    match sender_id {
        SenderId::Entry => &mut state.entry,
        SenderId::Home(number) => &mut state.homes[number],
    }
}

impl RepetitionModel {
    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// Appends the steps of one sender and of its messages.
    fn sender_steps(&self, state: &State, sender_id: SenderId, sender: &Sender, next: &mut Next) {
        for (number, message) in sender.messages.iter().enumerate() {
            if *message == Message::Pending {
                self.delivery_steps(state, sender_id, number, next);
            }
        }
        if sender.reply.is_some() {
            return;
        }
        match sender.messages[sender.attempt()] {
            Message::Absent => self.before_sending(state, sender_id, next),
            message => self.after_sending(state, sender_id, message, next),
        }
    }

    /// Appends the steps in which a message takes effect, which may be long after its sender stopped waiting.
    fn delivery_steps(&self, state: &State, sender_id: SenderId, number: usize, next: &mut Next) {
        let mut taken = *state;
        sender_mut(&mut taken, sender_id).messages[number] = Message::Taken;
        next.push((Step::Take(sender_id, number), taken));
        if matches!(sender_id, SenderId::Home(_)) {
            let mut refused = *state;
            sender_mut(&mut refused, sender_id).messages[number] = Message::Refused;
            next.push((Step::Refuse(sender_id, number), refused));
        }
    }

    fn before_sending(&self, state: &State, sender_id: SenderId, next: &mut Next) {
        let mut sent = *state;
        let sender = sender_mut(&mut sent, sender_id);
        sender.messages[sender.attempt()] = Message::Pending;
        next.push((Step::Send(sender_id), sent));
        for stage in [Stage::Connecting, Stage::NothingSent, Stage::PartlySent] {
            // A commit is sent on the connection of its transaction, so no connection is established for it.
            if stage != Stage::Connecting || !state.commit {
                self.fail(state, sender_id, stage, Failure::Broken, next);
            }
        }
    }

    fn after_sending(&self, state: &State, sender_id: SenderId, message: Message, next: &mut Next) {
        for failure in [Failure::Broken, Failure::TimedOut] {
            self.fail(state, sender_id, Stage::Sent, failure, next);
        }
        let received = match (sender_id, message) {
            (SenderId::Entry, _) => state.homes[state.entry.attempt()].reply,
            (SenderId::Home(_), Message::Taken) => Some(Reply::Success),
            (SenderId::Home(_), Message::Refused) => {
                for sqlstate in REFUSALS {
                    let failure = Failure::Said { sqlstate, claimed: None };
                    self.fail(state, sender_id, Stage::Sent, failure, next);
                }
                None
            }
            (SenderId::Home(_), _) => None,
        };
        match received {
            None => {}
            Some(Reply::Success) => {
                self.fail(state, sender_id, Stage::AnswerStarted, Failure::Broken, next);
                let mut after = *state;
                sender_mut(&mut after, sender_id).reply = Some(Reply::Success);
                next.push((Step::Succeed(sender_id), after));
            }
            Some(Reply::Error { sqlstate, claimed }) => {
                let failure = Failure::Said { sqlstate, claimed };
                self.fail(state, sender_id, Stage::Sent, failure, next);
            }
        }
        if matches!(sender_id, SenderId::Home(_)) && state.commit && message == Message::Taken {
            // A target that shuts down may terminate the connection after the commit took effect.
            let failure = Failure::Said { sqlstate: *b"57P01", claimed: None };
            self.fail(state, sender_id, Stage::Sent, failure, next);
        }
    }

    /// Appends the step in which the sender detects a failure and follows the verdict of the core.
    fn fail(
        &self,
        state: &State,
        sender_id: SenderId,
        stage: Stage,
        failure: Failure,
        next: &mut Next,
    ) {
        let mut after = *state;
        let sender = sender_mut(&mut after, sender_id);
        let attempt = self.attempt(sender.failed_tries, state.commit, stage, failure);
        let budget = RetryBudget::new(100, MAX_TRIES as u32);
        let verdict = retry::decide(&attempt, &budget, TIME_LEFT_US);
        let last = sender.attempt() + 1 == self.tries;
        sender.reply = match (verdict, failure) {
            (RetryVerdict::Retry, _) if !last => None,
            (RetryVerdict::Retry, _) => Some(self.exhausted_reply(&attempt)),
            (RetryVerdict::Answer(kind), _) => {
                let answer = kind.answer();
                Some(error_reply(answer.sqlstate, Some(answer.outcome)))
            }
            (RetryVerdict::PassThrough, Failure::Said { sqlstate, claimed }) => {
                Some(Reply::Error { sqlstate, claimed })
            }
            (RetryVerdict::PassThrough, _) => Some(error_reply("08007", Some(Outcome::Unknown))),
        };
        if sender.reply.is_none() {
            sender.failed_tries += 1;
        }
        next.push((Step::Fail(sender_id, stage, failure), after));
    }

    /// Returns the reply of a sender that would retry but has no tries left within the bounds. The reply
    /// claims the outcome that the failure proves.
    fn exhausted_reply(&self, attempt: &Attempt) -> Reply {
        error_reply("08001", Some(retry::outcome_of(attempt)))
    }

    fn attempt(&self, failed_tries: u8, commit: bool, stage: Stage, failure: Failure) -> Attempt {
        let effect = match (self.has(Safeguard::LostAnswer), commit) {
            (false, _) => Effect::Read,
            (true, true) => Effect::Commit,
            (true, false) => Effect::Write,
        };
        let stage = match self.has(Safeguard::SentStage) {
            true => stage,
            false => Stage::NothingSent,
        };
        let failure = match failure {
            Failure::Said { sqlstate, claimed: Some(_) } if !self.has(Safeguard::HomeClaim) => {
                Failure::Said { sqlstate, claimed: Some(Outcome::NotRun) }
            }
            failure => failure,
        };
        let in_transaction = commit && self.has(Safeguard::LostAnswer);
        Attempt { effect, stage, in_transaction, failure, retries: u32::from(failed_tries) }
    }
}

fn error_reply(sqlstate: &str, claimed: Option<Outcome>) -> Reply {
    let code = sqlstate.as_bytes().try_into().expect("an SQLSTATE has five characters");
    Reply::Error { sqlstate: code, claimed }
}

impl Model for RepetitionModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State { commit: false, entry: Sender::default(), homes: [Sender::default(); MAX_TRIES] }
    }

    fn steps(&self, state: &State, next: &mut Next) {
        if *state == self.initial() {
            next.push((Step::Request { commit: true }, State { commit: true, ..*state }));
        }
        self.sender_steps(state, SenderId::Entry, &state.entry, next);
        for (number, home) in state.homes.iter().enumerate() {
            if state.entry.messages[number] == Message::Taken {
                self.sender_steps(state, SenderId::Home(number), home, next);
            }
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.runs() > 1 {
            return Some("the request ran twice");
        }
        match state.entry.reply {
            Some(Reply::Error { claimed: Some(Outcome::NotRun), .. }) if state.runs() > 0 => {
                Some("the caller was told \"not run\" of a request that ran")
            }
            Some(Reply::Success) if state.runs() == 0 => {
                Some("the caller was told of a success of a request that did not run")
            }
            _ => None,
        }
    }

    fn describe(&self, state: &State) -> String {
        state.to_string()
    }
}
