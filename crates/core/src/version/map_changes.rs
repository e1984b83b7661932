//! Differences between two versions of a map keyed by name.

use std::sync::Arc;

use crate::FastMap;

/// A map from names to values.
pub type ByName<V> = FastMap<Arc<str>, Arc<V>>;

/// Returns the values of `next` that are new or differ from `base`.
pub fn written<V>(base: &ByName<V>, next: &ByName<V>) -> Vec<Arc<V>>
where
    V: PartialEq,
{
    let changed = next.iter().filter(|(name, value)| base.get(*name) != Some(*value));
    changed.map(|(_, value)| Arc::clone(value)).collect()
}

/// Returns the names in `base` that are missing in `next`.
pub fn removed<V>(base: &ByName<V>, next: &ByName<V>) -> Vec<Arc<str>> {
    base.keys().filter(|name| !next.contains_key(*name)).cloned().collect()
}

/// Returns `base` with these changes applied. `name_of` returns the name of a value.
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
