//! The core's confirmations, the platform's objects and the calls between them, as numbers.

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

/// The platform's answer to a call, as a number where it holds an object.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Reply {
    /// The object with this number.
    Found(u16),
    /// There is no such object.
    Missing,
    /// The update took and gave this version.
    Took(u8),
    /// The update did not take.
    Conflict,
    /// No answer.
    Lost,
}

/// What the platform makes of a call.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Effect {
    /// The answer.
    pub reply: Reply,
    /// The object after the call; none where it does not exist.
    pub object: Option<u16>,
    /// Whether the object changed.
    pub changed: bool,
}

/// What a confirmation does next.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Makes the call with this number.
    Call(u16),
    /// Waits.
    Pause,
    /// Ends.
    End(End),
}

/// What decides how a call is treated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct CallTraits {
    /// Whether it only reads.
    pub is_read: bool,
    /// Whether it is about a plan's record.
    pub on_plan_record: bool,
}

/// A call, the object's number, the store's revision, and whether any version will do.
type EffectKey = (u16, Option<u16>, u8, bool);

/// The numbered values, and the transitions that were taken before.
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
    /// The number of a new confirmation of a plan.
    pub fn new_confirmation(&self, plan: &str) -> u16 {
        self.confirmations.borrow_mut().number(Confirmation::new(plan))
    }

    /// What it means to stop a confirmation here; none before it read its record.
    pub fn progress(&self, number: u16) -> Option<Progress> {
        let confirmations = self.confirmations.borrow();
        let confirmation = confirmations.value(number);
        confirmation.record().map(|_| confirmation.progress())
    }

    /// What a confirmation does next, and its number after it was asked.
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

    /// The number of a confirmation after an answer.
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

    /// The number of an object.
    pub fn object_number(&self, object: StoredObject) -> u16 {
        self.objects.borrow_mut().number(object)
    }

    /// The object with this number.
    pub fn object(&self, number: u16) -> StoredObject {
        self.objects.borrow().value(number).clone()
    }

    /// The version of an object; zero for none.
    pub fn version(&self, number: Option<u16>) -> u64 {
        number.map_or(0, |number| self.objects.borrow().value(number).version)
    }

    /// The number of a call.
    pub fn call_number(&self, call: Call) -> u16 {
        self.calls.borrow_mut().number(call)
    }

    /// The call with this number.
    pub fn call(&self, number: u16) -> Call {
        self.calls.borrow().value(number).clone()
    }

    /// What decides how a call is treated.
    pub fn traits(&self, number: u16) -> CallTraits {
        let calls = self.calls.borrow();
        let call = calls.value(number);
        CallTraits {
            is_read: call.verb == Verb::Get,
            on_plan_record: call.kind == ObjectKind::Plan,
        }
    }

    /// Whether a call is about the object with this number.
    pub fn is_about(&self, call: u16, object: u16) -> bool {
        let (calls, objects) = (self.calls.borrow(), self.objects.borrow());
        let (call, object) = (calls.value(call), objects.value(object));
        (call.kind, &call.name) == (object.kind, &object.name)
    }

    /// Lets the platform act on a call. `any_version` leaves out the check of the version.
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
