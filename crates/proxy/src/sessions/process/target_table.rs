//! An immutable table of the listed targets with their state.

use std::sync::Arc;

use skylark_core::FastMap;

use crate::sessions::codec::Codec;
use crate::sessions::process::targets::TargetState;

/// The targets of one service, sorted by id.
pub type ServiceTargets<C> = Vec<Arc<TargetState<C>>>;

/// All listed targets. A change of the list creates a new table, which shares the targets of unchanged
/// services with the previous one.
#[derive(Debug)]
pub struct TargetTable<C>
where
    C: Codec,
{
    by_id: FastMap<Arc<str>, Arc<TargetState<C>>>,
    by_service: FastMap<Arc<str>, Arc<ServiceTargets<C>>>,
}

impl<C> Default for TargetTable<C>
where
    C: Codec,
{
    fn default() -> TargetTable<C> {
        TargetTable { by_id: FastMap::default(), by_service: FastMap::default() }
    }
}

impl<C> TargetTable<C>
where
    C: Codec,
{
    /// Returns this table with the targets of some services replaced.
    pub fn with(&self, changes: Vec<(Arc<str>, ServiceTargets<C>)>) -> TargetTable<C> {
        let (mut by_id, mut by_service) = (self.by_id.clone(), self.by_service.clone());
        for (service, members) in changes {
            for gone in self.members(&service) {
                // An id that another service lists now may already have its new state.
                if by_id.get(&gone.record.id).is_some_and(|known| Arc::ptr_eq(known, gone)) {
                    by_id.remove(&gone.record.id);
                }
            }
            for member in &members {
                by_id.insert(Arc::clone(&member.record.id), Arc::clone(member));
            }
            match members.is_empty() {
                true => by_service.remove(&service),
                false => by_service.insert(service, Arc::new(members)),
            };
        }
        TargetTable { by_id, by_service }
    }

    /// Returns a target by id.
    pub fn get(&self, id: &str) -> Option<&Arc<TargetState<C>>> {
        self.by_id.get(id)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Arc<TargetState<C>>> {
        self.by_id.values()
    }

    /// The targets of a service, sorted by id.
    pub fn members(&self, service: &str) -> &[Arc<TargetState<C>>] {
        self.by_service.get(service).map_or(&[], |members| members.as_slice())
    }
}
