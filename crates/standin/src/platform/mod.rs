//! Stand-in for the platform: log service, list of instances and reboots of workers.

mod faults;
mod list;
mod log;
mod service;

pub use faults::Faults;
pub use list::List;
pub use log::{Log, Page};

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::options::PlatformOptions;

/// Platform whose log and list of instances are in memory.
#[derive(Debug)]
pub struct Platform {
    options: PlatformOptions,
    state: Mutex<State>,
    /// Offset after the last log entry; a change wakes the reads that wait for an append.
    end_offset: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    log: Log,
    list: List,
    faults: Faults,
}

impl Platform {
    /// Creates a platform with an empty log and no instances.
    #[must_use]
    pub fn new(options: PlatformOptions) -> Self {
        Self { options, state: Mutex::default(), end_offset: watch::Sender::new(1) }
    }
}
