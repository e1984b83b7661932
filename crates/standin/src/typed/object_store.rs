//! The state of the platform's store: objects by kind and name under one revision counter, with a
//! history that can be forgotten.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use serde_json::Value;
use skylark_platform::objects::Event;
use skylark_platform::objects::Events;
use skylark_platform::objects::Meta;
use skylark_platform::objects::Object;
use skylark_platform::objects::Page;
use tokio::sync::watch;

/// The largest number of objects on a page. Small, so that a second page is nothing special.
const PAGE_SIZE: usize = 4;

#[derive(Debug)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// The events by kind in their order.
    history: Vec<(u64, String, Event)>,
    /// The events up to this revision are forgotten.
    forgotten_through: u64,
}

/// Why a change was not made.
#[derive(Clone, PartialEq, Debug)]
pub enum Refused {
    /// The object has another revision, or exists already; this is it.
    Conflict(Box<Object>),
    /// There is no such object.
    NotFound,
    /// The history that is asked for is gone.
    HistoryGone,
}

/// The store.
#[derive(Debug)]
pub struct ObjectStore {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for ObjectStore {
    fn default() -> ObjectStore {
        let state = State {
            revision: 1,
            objects: BTreeMap::new(),
            history: Vec::new(),
            forgotten_through: 0,
        };
        ObjectStore { state: Mutex::new(state), changed: watch::Sender::new(1) }
    }
}

impl ObjectStore {
    /// Notices of changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// A page of the objects of a kind after a name.
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

    /// One object.
    pub fn get(&self, kind: &str, name: &str) -> Result<Object, Refused> {
        let key = (kind.to_owned(), name.to_owned());
        self.state.lock().objects.get(&key).cloned().ok_or(Refused::NotFound)
    }

    /// Creates an object.
    pub fn create(&self, kind: &str, name: &str, spec: Value) -> Result<Object, Refused> {
        match self.get(kind, name) {
            Ok(existing) => Err(Refused::Conflict(Box::new(existing))),
            Err(_) => Ok(self.put(kind, name, spec)),
        }
    }

    /// Replaces an object that must have this revision, if one is named.
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

    /// Writes an object whatever was there.
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

    /// Removes an object.
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

    /// Forgets the history.
    pub fn forget_history(&self) {
        let mut state = self.state.lock();
        state.forgotten_through = state.revision;
        state.history.clear();
    }

    /// The events of a kind after a revision.
    pub fn events(&self, kind: &str, after: u64) -> Result<Events, Refused> {
        let state = self.state.lock();
        if after < state.forgotten_through {
            return Err(Refused::HistoryGone);
        }
        let later =
            state.history.iter().filter(|(at, event_kind, _)| *at > after && event_kind == kind);
        let events = later.map(|(_, _, event)| event.clone()).collect();
        Ok(Events { events, revision: state.revision })
    }
}
