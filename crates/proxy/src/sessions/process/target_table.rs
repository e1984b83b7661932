//! An immutable table of the listed targets with their state.

use std::sync::Arc;

use skylark_core::FastMap;

use crate::sessions::codec::Codec;
use crate::sessions::process::targets::TargetState;

/// All listed targets. A change of the list creates a new table.
#[derive(Debug)]
pub struct TargetTable<C>
where
    C: Codec,
{
    by_id: FastMap<Arc<str>, Arc<TargetState<C>>>,
    /// The targets of each service, sorted by id.
    by_service: FastMap<Arc<str>, Vec<Arc<TargetState<C>>>>,
}

impl<C> Default for TargetTable<C>
where
    C: Codec,
{
    fn default() -> TargetTable<C> {
        TargetTable::new(FastMap::default())
    }
}

impl<C> TargetTable<C>
where
    C: Codec,
{
    /// Creates a table of these targets by id.
    pub fn new(by_id: FastMap<Arc<str>, Arc<TargetState<C>>>) -> TargetTable<C> {
        let mut by_service: FastMap<Arc<str>, Vec<Arc<TargetState<C>>>> = FastMap::default();
        for target in by_id.values() {
            by_service
                .entry(Arc::clone(&target.record.service))
                .or_default()
                .push(Arc::clone(target));
        }
        for members in by_service.values_mut() {
            members.sort_by(|a, b| a.record.id.cmp(&b.record.id));
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
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// The targets by id.
    pub fn by_id(&self) -> &FastMap<Arc<str>, Arc<TargetState<C>>> {
        &self.by_id
    }
}
