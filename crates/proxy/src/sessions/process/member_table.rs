//! The listed targets by id, name and service.
//!
//! Each change of a target is applied to its own service only, and unchanged services are shared between
//! successive views. With thousands of targets, rebuilding everything took milliseconds at each change, and a
//! lost availability zone changes hundreds of targets within seconds.

use std::sync::Arc;

use skylark_core::FastMap;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::version::view::Member;
use crate::sessions::version::view::ServiceMembers;

/// The listed targets.
#[derive(Debug, Default)]
pub struct MemberTable {
    by_id: FastMap<Arc<str>, Member>,
    /// The id of the most recently listed target of each name.
    ids_by_name: FastMap<Arc<str>, Arc<str>>,
    services: FastMap<Arc<str>, ServiceMembers>,
}

impl MemberTable {
    /// Returns a target by id.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id)
    }

    /// Returns the id of the target with this name.
    pub fn id_by_name(&self, name: &str) -> Option<&Arc<str>> {
        self.ids_by_name.get(name)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values()
    }

    /// Number of targets.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are no targets.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The targets of each service.
    pub fn services(&self) -> &FastMap<Arc<str>, ServiceMembers> {
        &self.services
    }

    /// Adds or replaces a target. Returns whether that is a change.
    pub fn insert(&mut self, member: &Member) -> bool {
        let TargetRecord { id, name, service, .. } = &*member.record;
        if let Some(known) = self.by_id.get(id) {
            if known == member {
                return false;
            }
            if known.record.service != *service || known.record.name != *name {
                self.remove(id);
            }
        }
        self.by_id.insert(Arc::clone(id), member.clone());
        self.ids_by_name.insert(Arc::clone(name), Arc::clone(id));
        let members = Arc::make_mut(self.services.entry(Arc::clone(service)).or_default());
        match members.binary_search_by(|known| known.record.id.cmp(id)) {
            Ok(index) => members[index] = member.clone(),
            Err(index) => members.insert(index, member.clone()),
        }
        true
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &str) -> Option<Member> {
        let member = self.by_id.remove(id)?;
        let (name, service) = (&member.record.name, &member.record.service);
        if self.ids_by_name.get(name) == Some(&member.record.id) {
            self.ids_by_name.remove(name);
        }
        if let Some(members) = self.services.get_mut(service) {
            Arc::make_mut(members).retain(|known| *known.record.id != *id);
            if members.is_empty() {
                self.services.remove(service);
            }
        }
        Some(member)
    }
}
