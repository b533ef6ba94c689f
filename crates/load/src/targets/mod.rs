//! Addresses of the workers, from the platform's list of instances.

use std::collections::BTreeMap;
use std::sync::Arc;

use rattanfall_wire::platform::{InstanceList, Kind};

use crate::client::{CallError, get_json};

/// Addresses of the workers by pool.
#[derive(Clone, Debug, Default)]
pub struct Workers(BTreeMap<String, Vec<Arc<str>>>);

impl Workers {
    /// Reads the workers from the platform's list of instances.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not return a valid list.
    pub async fn read(platform: &str) -> Result<Self, CallError> {
        let list: InstanceList = get_json(platform, "/instances").await?;
        let mut workers: BTreeMap<String, Vec<Arc<str>>> = BTreeMap::new();
        for instance in list.instances.into_iter().filter(|instance| instance.kind == Kind::Worker) {
            workers.entry(instance.pool).or_default().push(instance.address.into());
        }
        Ok(Self(workers))
    }

    /// Addresses of the workers in a pool; empty for an unknown pool.
    #[must_use]
    pub fn pool(&self, pool: &str) -> &[Arc<str>] {
        self.0.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Addresses of the workers in all pools.
    pub fn all(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.values().flatten()
    }
}
