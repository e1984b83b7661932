//! Confirmations of `skylark-core`, objects of the platform and the calls between them, as numbers.
//!
//! Values are interned and transitions are memoised, so a state of the model stores numbers only.

use std::cell::RefCell;

use skylark_core::FastMap;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::plan::call::Answer;
use skylark_core::version::plan::call::Call;
use skylark_core::version::plan::call::End;
use skylark_core::version::plan::call::Next;
use skylark_core::version::plan::call::Progress;
use skylark_core::version::plan::call::Verb;
use skylark_core::version::plan::confirmation::Confirmation;

use crate::intern::Interner;

/// The platform's answer to a call, with objects given by number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Reply {
    /// The object exists and has this number.
    Found(u16),
    /// The object does not exist.
    Missing,
    /// The update was accepted and gave the object this version.
    Took(u8),
    /// The update was rejected because the object has another version than expected.
    Conflict,
    /// No answer arrives.
    Lost,
}

/// Effect of a call on the platform.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Effect {
    /// Answer of the platform.
    pub reply: Reply,
    /// Number of the object after the call; `None` if it does not exist.
    pub object: Option<u16>,
    /// Whether the object changed.
    pub changed: bool,
}

/// Next action of a confirmation.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Sends the call with this number.
    Call(u16),
    /// Waits before the next action.
    Pause,
    /// Ends the confirmation with this result.
    End(End),
}

/// Properties of a call that decide how the model handles it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallTraits {
    /// Whether the call only reads.
    pub is_read: bool,
    /// Whether the call addresses the record of a plan.
    pub on_plan_record: bool,
}

/// Number of the call, number of the object, revision of the store, and whether any version is accepted.
type EffectKey = (u16, Option<u16>, u8, bool);

/// Numbered values and the memoised transitions between them.
#[derive(Clone, Debug, Default)]
pub struct TransitionCache {
    confirmations: RefCell<Interner<Confirmation>>,
    objects: RefCell<Interner<StoredObject>>,
    calls: RefCell<Interner<Call>>,
    actions: RefCell<FastMap<u16, (u16, Action)>>,
    answers: RefCell<FastMap<(u16, Reply), u16>>,
    effects: RefCell<FastMap<EffectKey, Effect>>,
}

impl TransitionCache {
    /// Returns the number of a new confirmation of the plan with id `plan`.
    pub fn new_confirmation(&self, plan: &str) -> u16 {
        self.confirmations.borrow_mut().number(Confirmation::new(plan))
    }

    /// Returns the progress of a confirmation, which is reported if it is stopped now; `None` before it has
    /// read the record of its plan.
    pub fn progress(&self, number: u16) -> Option<Progress> {
        let confirmations = self.confirmations.borrow();
        let confirmation = confirmations.value(number);
        confirmation.record().map(|_| confirmation.progress())
    }

    /// Returns the next action of a confirmation, and the confirmation's number after that request.
    pub fn next_action(&self, number: u16) -> (u16, Action) {
        if let Some(known) = self.actions.borrow().get(&number) {
            return known.clone();
        }
        let mut confirmation = self.confirmations.borrow().value(number).clone();
        let action = match confirmation.next_action() {
            Next::Call(call) => Action::Call(self.call_number(call)),
            Next::Pause => Action::Pause,
            Next::End(end) => Action::End(end),
        };
        let after = self.confirmations.borrow_mut().number(confirmation);
        self.actions.borrow_mut().insert(number, (after, action.clone()));
        (after, action)
    }

    /// Returns the number of a confirmation after it received an answer.
    pub fn answer(&self, number: u16, reply: Reply) -> u16 {
        if let Some(&known) = self.answers.borrow().get(&(number, reply)) {
            return known;
        }
        let mut confirmation = self.confirmations.borrow().value(number).clone();
        confirmation.answer(match reply {
            Reply::Found(object) => Answer::Found(self.object(object)),
            Reply::Missing => Answer::Missing,
            Reply::Took(version) => Answer::Took { version: u64::from(version) },
            Reply::Conflict => Answer::Conflict,
            Reply::Lost => Answer::Lost,
        });
        let after = self.confirmations.borrow_mut().number(confirmation);
        self.answers.borrow_mut().insert((number, reply), after);
        after
    }

    /// Returns the number of an object.
    pub fn object_number(&self, object: StoredObject) -> u16 {
        self.objects.borrow_mut().number(object)
    }

    /// Returns the object with this number.
    pub fn object(&self, number: u16) -> StoredObject {
        self.objects.borrow().value(number).clone()
    }

    /// Returns the version of the object with this number; zero if there is no object.
    pub fn version(&self, number: Option<u16>) -> u64 {
        number.map_or(0, |number| self.objects.borrow().value(number).version)
    }

    /// Returns the number of a call.
    pub fn call_number(&self, call: Call) -> u16 {
        self.calls.borrow_mut().number(call)
    }

    /// Returns the call with this number.
    pub fn call(&self, number: u16) -> Call {
        self.calls.borrow().value(number).clone()
    }

    /// Returns the properties of the call with this number.
    pub fn traits(&self, number: u16) -> CallTraits {
        let calls = self.calls.borrow();
        let call = calls.value(number);
        CallTraits {
            is_read: call.verb == Verb::Get,
            on_plan_record: call.kind == ObjectKind::Plan,
        }
    }

    /// Whether a call addresses the object, both given by number.
    pub fn is_about(&self, call: u16, object: u16) -> bool {
        let (calls, objects) = (self.calls.borrow(), self.objects.borrow());
        let (call, object) = (calls.value(call), objects.value(object));
        (call.kind, &call.name) == (object.kind, &object.name)
    }

    /// Returns the effect of a call on the platform. With `any_version` the expected version is not checked.
    pub fn apply_call(
        &self,
        call: u16,
        object: Option<u16>,
        revision: u8,
        any_version: bool,
    ) -> Effect {
        let key = (call, object, revision, any_version);
        if let Some(&known) = self.effects.borrow().get(&key) {
            return known;
        }
        let effect = self.compute_effect(&self.call(call), object, revision, any_version);
        self.effects.borrow_mut().insert(key, effect);
        effect
    }

    fn compute_effect(
        &self,
        call: &Call,
        object: Option<u16>,
        revision: u8,
        any_version: bool,
    ) -> Effect {
        let (expected_version, body) = match &call.verb {
            Verb::Get => {
                let reply = object.map_or(Reply::Missing, Reply::Found);
                return Effect { reply, object, changed: false };
            }
            Verb::Put { expected_version, body } => (*expected_version, Some(body.clone())),
            Verb::Delete { expected_version } => (*expected_version, None),
        };
        if self.version(object) != expected_version && !any_version {
            return Effect { reply: Reply::Conflict, object, changed: false };
        }
        let version = u64::from(revision) + 1;
        let (kind, name) = (call.kind, call.name.clone());
        let stored = body.map(|body| StoredObject { kind, name, version, deleted: false, body });
        let object = stored.map(|stored| self.object_number(stored));
        Effect { reply: Reply::Took(revision + 1), object, changed: true }
    }
}
