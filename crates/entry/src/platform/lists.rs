//! Polls the platform's list of instances.

use std::sync::Arc;

use parking_lot::Mutex;
use rattanfall_core::engine::Event;
use rattanfall_wire::platform::{InstanceList, Kind};
use tokio::time::{MissedTickBehavior, interval};

use super::Platform;
use crate::shell::Shell;

/// Entry instances of the last list: nonce and peer address. Used to find peers before the state is known.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Mutex<Vec<(u64, String)>>,
}

impl Directory {
    /// Entry instances of the last list.
    #[must_use]
    pub fn entries(&self) -> Vec<(u64, String)> {
        self.entries.lock().clone()
    }

    /// Keeps the entry instances of a list.
    pub fn set(&self, list: &InstanceList) {
        let entries = list.instances.iter().filter(|instance| instance.kind == Kind::Entry);
        *self.entries.lock() = entries.map(|entry| (entry.nonce, entry.address.clone())).collect();
    }
}

/// Reads the list until the task is aborted.
pub async fn poll_lists(shell: Arc<Shell>, platform: Arc<Platform>, directory: Arc<Directory>) {
    let mut reads = interval(platform.list_interval());
    reads.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        reads.tick().await;
        match platform.instances().await {
            Ok(list) => {
                directory.set(&list);
                shell.handle(Event::List(list.into()));
            }
            Err(error) => log::debug!("a read of the instance list failed: {error}"),
        }
    }
}
