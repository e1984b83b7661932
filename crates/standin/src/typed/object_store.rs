//! The state of the platform's store: objects by kind and name under one revision counter, with a
//! history of events that can be discarded.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde_json::Value;
use skylark_platform::objects::Event;
use skylark_platform::objects::Events;
use skylark_platform::objects::Meta;
use skylark_platform::objects::Object;
use skylark_platform::objects::Page;
use tokio::sync::watch;

/// The maximum number of objects on a page. It is small so that tests regularly read several pages.
const PAGE_SIZE: usize = 4;

#[derive(Clone, Debug)]
struct State {
    /// The number of restores.
    generation: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// The revision, the kind and the event of each change, in the order of revisions.
    history: Vec<(u64, String, Event)>,
    /// The revision up to which events were discarded.
    forgotten_through: u64,
}

/// A copy of the store, from which it can be restored.
#[derive(Clone, Debug)]
pub struct Backup(State);

/// The reason why a call was refused.
#[derive(Clone, PartialEq, Debug)]
pub enum Refused {
    /// The object has another revision or exists already; holds the current object.
    Conflict(Box<Object>),
    /// There is no such object.
    NotFound,
    /// The requested part of the history was discarded.
    HistoryGone,
}

/// The objects and their history.
#[derive(Debug)]
pub struct ObjectStore {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for ObjectStore {
    fn default() -> ObjectStore {
        let state = State {
            generation: 0,
            revision: 1,
            objects: BTreeMap::new(),
            history: Vec::new(),
            forgotten_through: 0,
        };
        ObjectStore { state: Mutex::new(state), changed: watch::Sender::new(1) }
    }
}

impl ObjectStore {
    /// Subscribes to the store's revision.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns how often the store was restored.
    pub fn generation(&self) -> u64 {
        self.state.lock().generation
    }

    /// Copies the store.
    pub fn backup(&self) -> Backup {
        Backup(self.state.lock().clone())
    }

    /// Restores the store from a copy. All later writes are lost, and their revisions are assigned again,
    /// first to the later writes of `kinds`, whose writers repeat them.
    pub fn restore(&self, backup: &Backup, kinds: &[&str]) {
        let lost = {
            let mut state = self.state.lock();
            let generation = state.generation + 1;
            let restored = State { generation, ..backup.0.clone() };
            std::mem::replace(&mut *state, restored)
        };
        let is_repeated = |key: &&(String, String)| kinds.contains(&key.0.as_str());
        for (kind, name) in backup.0.objects.keys().filter(is_repeated) {
            if !lost.objects.contains_key(&(kind.clone(), name.clone())) {
                self.remove(kind, name);
            }
        }
        for (kind, name) in lost.objects.keys().filter(is_repeated) {
            let object = &lost.objects[&(kind.clone(), name.clone())];
            self.put(kind, name, object.spec.clone());
        }
        self.changed.send_replace(self.state.lock().revision);
    }

    /// Returns a page of the objects of a kind whose names sort after `after`.
    pub fn list(&self, kind: &str, after: &str) -> Page {
        let state = self.state.lock();
        let of_kind = state
            .objects
            .iter()
            .filter(|((object_kind, name), _)| object_kind == kind && **name > *after);
        let mut items: Vec<Object> = of_kind.map(|(_, object)| object.clone()).collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        Page { items, has_more, revision: state.revision }
    }

    /// Returns an object.
    ///
    /// # Errors
    ///
    /// Fails with [`Refused::NotFound`] if there is no such object.
    pub fn get(&self, kind: &str, name: &str) -> Result<Object, Refused> {
        let key = (kind.to_owned(), name.to_owned());
        self.state.lock().objects.get(&key).cloned().ok_or(Refused::NotFound)
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// Fails with [`Refused::Conflict`] if the object exists already.
    pub fn create(&self, kind: &str, name: &str, spec: Value) -> Result<Object, Refused> {
        match self.get(kind, name) {
            Ok(existing) => Err(Refused::Conflict(Box::new(existing))),
            Err(_) => Ok(self.put(kind, name, spec)),
        }
    }

    /// Replaces an object.
    ///
    /// # Errors
    ///
    /// Fails if there is no such object, or if `revision` is given and the object has another one.
    pub fn replace(
        &self,
        kind: &str,
        name: &str,
        spec: Value,
        revision: Option<u64>,
    ) -> Result<Object, Refused> {
        let existing = self.get(kind, name)?;
        if revision.is_some() && existing.meta.rev != revision {
            return Err(Refused::Conflict(Box::new(existing)));
        }
        Ok(self.put(kind, name, spec))
    }

    /// Writes an object unconditionally. A write that changes nothing makes no event or new revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> Object {
        let (object, revision) = {
            let mut state = self.state.lock();
            let key = (kind.to_owned(), name.to_owned());
            if let Some(existing) = state.objects.get(&key).filter(|existing| existing.spec == spec)
            {
                return existing.clone();
            }
            state.revision += 1;
            let meta = Meta { name: name.to_owned(), rev: Some(state.revision) };
            let object = Object { meta, spec };
            state.objects.insert(key, object.clone());
            let event = Event { removed: false, object: object.clone() };
            let revision = state.revision;
            state.history.push((revision, kind.to_owned(), event));
            (object, revision)
        };
        self.changed.send_replace(revision);
        object
    }

    /// Removes an object; does nothing if there is none.
    pub fn remove(&self, kind: &str, name: &str) {
        let revision = {
            let mut state = self.state.lock();
            let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
                return;
            };
            state.revision += 1;
            let revision = state.revision;
            let event = Event { removed: true, object };
            state.history.push((revision, kind.to_owned(), event));
            revision
        };
        self.changed.send_replace(revision);
    }

    /// Discards all events up to the current revision.
    pub fn forget_history(&self) {
        let mut state = self.state.lock();
        state.forgotten_through = state.revision;
        state.history.clear();
    }

    /// Returns the events of a kind after a revision, and the current revision.
    ///
    /// # Errors
    ///
    /// Fails with [`Refused::HistoryGone`] if events after `after` were discarded, or if that revision was lost
    /// with a restore.
    pub fn events(&self, kind: &str, after: u64) -> Result<Events, Refused> {
        let state = self.state.lock();
        if after < state.forgotten_through || after > state.revision {
            return Err(Refused::HistoryGone);
        }
        let later =
            state.history.iter().filter(|(at, event_kind, _)| *at > after && event_kind == kind);
        let events = later.map(|(_, _, event)| event.clone()).collect();
        Ok(Events { events, revision: state.revision })
    }
}
