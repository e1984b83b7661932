//! What changed between two versions of a map by name.

use std::sync::Arc;

use crate::FastMap;

/// Values by name.
pub type ByName<V> = FastMap<Arc<str>, Arc<V>>;

/// The values of `next` that are new or differ.
pub fn written<V>(base: &ByName<V>, next: &ByName<V>) -> Vec<Arc<V>>
where
    V: PartialEq,
{
    let changed = next.iter().filter(|(name, value)| base.get(*name) != Some(*value));
    changed.map(|(_, value)| Arc::clone(value)).collect()
}

/// The names that `next` has no value for any more.
pub fn removed<V>(base: &ByName<V>, next: &ByName<V>) -> Vec<Arc<str>> {
    base.keys().filter(|name| !next.contains_key(*name)).cloned().collect()
}

/// The map that follows from these changes, where `name_of` tells a value's name.
pub fn applied<V, N>(
    base: &ByName<V>,
    written: &[Arc<V>],
    removed: &[Arc<str>],
    name_of: N,
) -> ByName<V>
where
    N: Fn(&V) -> &Arc<str>,
{
    let mut next = base.clone();
    for name in removed {
        next.remove(name);
    }
    for value in written {
        next.insert(Arc::clone(name_of(value)), Arc::clone(value));
    }
    next
}
