//! Addresses that the load goes to.

use std::collections::BTreeMap;
use std::sync::Arc;

use rattanfall_wire::platform::{InstanceList, Kind};

use crate::client::{CallError, get_json};

/// Workers by pool.
#[derive(Clone, Debug, Default)]
pub struct Workers(BTreeMap<String, Vec<Arc<str>>>);

impl Workers {
    /// Reads the platform's list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer with a list.
    pub async fn read(platform: &str) -> Result<Self, CallError> {
        let list: InstanceList = get_json(platform, "/instances").await?;
        let mut workers: BTreeMap<String, Vec<Arc<str>>> = BTreeMap::new();
        for instance in list.instances.into_iter().filter(|instance| instance.kind == Kind::Worker) {
            workers.entry(instance.pool).or_default().push(instance.address.into());
        }
        Ok(Self(workers))
    }

    /// Addresses in a pool.
    #[must_use]
    pub fn pool(&self, pool: &str) -> &[Arc<str>] {
        self.0.get(pool).map_or(&[], Vec::as_slice)
    }

    /// All addresses.
    pub fn all(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.values().flatten()
    }
}
