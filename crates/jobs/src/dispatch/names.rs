//! Keys of pools, teams and images, which stand for their names in the dispatcher's tables.

use std::collections::BTreeMap;
use std::sync::Arc;

use slotmap::{Key, SlotMap, new_key_type};

new_key_type! {
    /// Key of a pool.
    pub struct PoolKey;
    /// Key of a team.
    pub struct TeamKey;
    /// Key of an image.
    pub struct ImageKey;
}

/// Names with their keys. A name keeps its key, also while no configuration contains it. Cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct Names<K: Key>(Arc<Rows<K>>);

#[derive(Clone, Debug)]
struct Rows<K: Key> {
    names: SlotMap<K, String>,
    keys: BTreeMap<String, K>,
}

impl<K: Key> Default for Names<K> {
    fn default() -> Self {
        Self(Arc::new(Rows { names: SlotMap::with_key(), keys: BTreeMap::new() }))
    }
}

impl<K: Key> Names<K> {
    /// Key of a name, which is added if it is new.
    pub(super) fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.key(name) {
            return key;
        }
        let rows = Arc::make_mut(&mut self.0);
        let key = rows.names.insert(name.to_owned());
        rows.keys.insert(name.to_owned(), key);
        key
    }

    /// Key of a name; none if it was never added.
    pub(super) fn key(&self, name: &str) -> Option<K> {
        self.0.keys.get(name).copied()
    }

    /// Name of a key; empty if the key is not from here.
    pub(super) fn name(&self, key: K) -> &str {
        self.0.names.get(key).map_or("", String::as_str)
    }
}
