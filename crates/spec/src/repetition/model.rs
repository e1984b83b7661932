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
use super::state::Place;
use super::state::Sender;
use super::state::State;
use super::state::Step;
use super::state::Told;
use crate::explore::Model;

/// The model.
#[derive(Clone, Copy, Debug)]
pub struct RepetitionModel {
    /// How often each sender may send the request.
    pub tries: usize,
    /// The safeguard that is switched off.
    pub without: Option<Safeguard>,
}

type Next = Vec<(Step, State)>;

/// What a deadline that has not passed leaves; its exact length decides nothing.
const TIME_LEFT_US: u64 = 1_000_000;

/// The refusals that a target gives before it runs anything.
const REFUSALS: [[u8; 5]; 3] = [*b"25006", *b"57P01", *b"53300"];

fn sender_mut(state: &mut State, place: Place) -> &mut Sender {
    match place {
        Place::Entry => &mut state.entry,
        Place::Home(number) => &mut state.homes[number],
    }
}

impl RepetitionModel {
    fn has(&self, safeguard: Safeguard) -> bool {
        self.without != Some(safeguard)
    }

    /// The steps of one sender and of what it sent.
    fn sender_steps(&self, state: &State, place: Place, sender: &Sender, next: &mut Next) {
        for (number, message) in sender.messages.iter().enumerate() {
            if *message == Message::Pending {
                self.arrivals(state, place, number, next);
            }
        }
        if sender.told.is_some() {
            return;
        }
        match sender.messages[sender.attempt()] {
            Message::Absent => self.before_sending(state, place, next),
            message => self.after_sending(state, place, message, next),
        }
    }

    /// A message arrives, also long after its sender gave up.
    fn arrivals(&self, state: &State, place: Place, number: usize, next: &mut Next) {
        let mut taken = *state;
        sender_mut(&mut taken, place).messages[number] = Message::Taken;
        next.push((Step::Take(place, number), taken));
        if matches!(place, Place::Home(_)) {
            let mut refused = *state;
            sender_mut(&mut refused, place).messages[number] = Message::Refused;
            next.push((Step::Refuse(place, number), refused));
        }
    }

    fn before_sending(&self, state: &State, place: Place, next: &mut Next) {
        let mut sent = *state;
        let sender = sender_mut(&mut sent, place);
        sender.messages[sender.attempt()] = Message::Pending;
        next.push((Step::Send(place), sent));
        for stage in [Stage::Connecting, Stage::NothingSent, Stage::PartlySent] {
            // The commit goes to the connection of its transaction.
            if stage != Stage::Connecting || !state.commit {
                self.fail(state, place, stage, Failure::Broken, next);
            }
        }
    }

    fn after_sending(&self, state: &State, place: Place, message: Message, next: &mut Next) {
        for failure in [Failure::Broken, Failure::TimedOut] {
            self.fail(state, place, Stage::Sent, failure, next);
        }
        let told = match (place, message) {
            (Place::Entry, _) => state.homes[state.entry.attempt()].told,
            (Place::Home(_), Message::Taken) => Some(Told::Success),
            (Place::Home(_), Message::Refused) => {
                for sqlstate in REFUSALS {
                    let failure = Failure::Said { sqlstate, claimed: None };
                    self.fail(state, place, Stage::Sent, failure, next);
                }
                None
            }
            (Place::Home(_), _) => None,
        };
        match told {
            None => {}
            Some(Told::Success) => {
                self.fail(state, place, Stage::AnswerStarted, Failure::Broken, next);
                let mut after = *state;
                sender_mut(&mut after, place).told = Some(Told::Success);
                next.push((Step::Succeed(place), after));
            }
            Some(Told::Error { sqlstate, claimed }) => {
                let failure = Failure::Said { sqlstate, claimed };
                self.fail(state, place, Stage::Sent, failure, next);
            }
        }
        if matches!(place, Place::Home(_)) && state.commit && message == Message::Taken {
            // A target that is shut down may end the connection after the commit took effect.
            let failure = Failure::Said { sqlstate: *b"57P01", claimed: None };
            self.fail(state, place, Stage::Sent, failure, next);
        }
    }

    /// The sender sees a failure and takes its verdict.
    fn fail(&self, state: &State, place: Place, stage: Stage, failure: Failure, next: &mut Next) {
        let mut after = *state;
        let sender = sender_mut(&mut after, place);
        let attempt = self.attempt(sender.failed, state.commit, stage, failure);
        let budget = RetryBudget::new(100, MAX_TRIES as u32);
        let verdict = retry::decide(&attempt, &budget, TIME_LEFT_US);
        let last = sender.attempt() + 1 == self.tries;
        sender.told = match (verdict, failure) {
            (RetryVerdict::Retry, _) if !last => None,
            (RetryVerdict::Retry, _) => Some(self.given_up(&attempt)),
            (RetryVerdict::Answer(kind), _) => {
                let answer = kind.answer();
                Some(told(answer.sqlstate, Some(answer.outcome)))
            }
            (RetryVerdict::PassThrough, Failure::Said { sqlstate, claimed }) => {
                Some(Told::Error { sqlstate, claimed })
            }
            (RetryVerdict::PassThrough, _) => Some(told("08007", Some(Outcome::Unknown))),
        };
        if sender.told.is_none() {
            sender.failed += 1;
        }
        next.push((Step::Fail(place, stage, failure), after));
    }

    /// The bound of the model ends the tries: the answer claims what the decision proved.
    fn given_up(&self, attempt: &Attempt) -> Told {
        told("08001", Some(retry::outcome_of(attempt)))
    }

    fn attempt(&self, failed: u8, commit: bool, stage: Stage, failure: Failure) -> Attempt {
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
        Attempt { effect, stage, in_transaction, failure, retries: u32::from(failed) }
    }
}

fn told(sqlstate: &str, claimed: Option<Outcome>) -> Told {
    let code = sqlstate.as_bytes().try_into().expect("an SQLSTATE has five characters");
    Told::Error { sqlstate: code, claimed }
}

impl Model for RepetitionModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State { commit: false, entry: Sender::default(), homes: [Sender::default(); MAX_TRIES] }
    }

    fn steps(&self, state: &State, next: &mut Next) {
        if *state == self.initial() {
            next.push((Step::Ask { commit: true }, State { commit: true, ..*state }));
        }
        self.sender_steps(state, Place::Entry, &state.entry, next);
        for (number, home) in state.homes.iter().enumerate() {
            if state.entry.messages[number] == Message::Taken {
                self.sender_steps(state, Place::Home(number), home, next);
            }
        }
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.runs() > 1 {
            return Some("the request ran twice");
        }
        match state.entry.told {
            Some(Told::Error { claimed: Some(Outcome::NotRun), .. }) if state.runs() > 0 => {
                Some("the caller was told \"not run\" of a request that ran")
            }
            Some(Told::Success) if state.runs() == 0 => {
                Some("the caller was told of a success of a request that did not run")
            }
            _ => None,
        }
    }

    fn describe(&self, state: &State) -> String {
        state.to_string()
    }
}
