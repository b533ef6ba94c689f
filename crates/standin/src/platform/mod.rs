//! Stand-in for the platform: log service, list of instances, reboots of workers.

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

/// Platform in memory.
#[derive(Debug)]
pub struct Platform {
    options: PlatformOptions,
    state: Mutex<State>,
    // Offset after the last entry; wakes the waiting reads.
    end: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    log: Log,
    list: List,
    faults: Faults,
}

impl Platform {
    /// Platform without log entries and instances.
    #[must_use]
    pub fn new(options: PlatformOptions) -> Self {
        Self { options, state: Mutex::default(), end: watch::Sender::new(1) }
    }
}
