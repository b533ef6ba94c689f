//! Polling of the platform's instance list.

use std::sync::Arc;

use parking_lot::Mutex;
use rattanfall_core::engine::Event;
use rattanfall_wire::platform::{InstanceList, Kind};
use tokio::time::{MissedTickBehavior, interval};

use super::Platform;
use crate::shell::Shell;

/// Entry instances in the platform's last list. Used to find peers before the state is known.
#[derive(Debug, Default)]
pub struct EntryInstances {
    entries: Mutex<Vec<(u64, String)>>,
}

impl EntryInstances {
    /// Nonce and peer address of each entry instance.
    #[must_use]
    pub fn entries(&self) -> Vec<(u64, String)> {
        self.entries.lock().clone()
    }

    /// Replaces the entry instances with those of a list.
    pub fn set(&self, list: &InstanceList) {
        let entries = list.instances.iter().filter(|instance| instance.kind == Kind::Entry);
        *self.entries.lock() = entries.map(|entry| (entry.nonce, entry.address.clone())).collect();
    }
}

/// Reads the list at the configured interval until the task is aborted.
pub async fn poll_lists(shell: Arc<Shell>, platform: Arc<Platform>, entry_instances: Arc<EntryInstances>) {
    let mut reads = interval(platform.list_interval());
    reads.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        reads.tick().await;
        match platform.instances().await {
            Ok(list) => {
                entry_instances.set(&list);
                shell.handle(Event::List(list.into()));
            }
            Err(error) => log::debug!("instance list read failed: {error}"),
        }
    }
}
