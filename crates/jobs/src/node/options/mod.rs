//! Settings of a node.

use std::time::Duration;

use crate::dispatch::options::Options as DispatchOptions;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the process: instance, CPU in thousandths of a core and start in ms since 1970, both in hexadecimal, joined
    /// by `-`. The instance may contain its address for other instances.
    pub name: String,
    /// Interval between two joins of a group.
    pub join_interval: Duration,
    /// Minimum interval between two reads of the job topics by followers.
    pub follow_interval: Duration,
    /// Minimum interval between two reads of the worker directory.
    pub directory_interval: Duration,
    /// Age of the summaries from which the node is not ready and refuses calls. Longer than the wait of a read.
    pub max_view_age: Duration,
    /// Time for which calls are still answered after a shutdown was requested.
    pub stop_grace: Duration,
    /// Maximum size of an append in bytes.
    pub append_bytes: usize,
    /// Maximum size of a record in bytes. A job that could exceed it is refused, because its progress could not be stored.
    pub record_bytes: usize,
    /// Settings of the scheduler.
    pub dispatch: DispatchOptions,
}

impl Options {
    /// Returns the defaults, which suit the stand-in platform.
    #[must_use]
    pub fn new(name: String) -> Self {
        Self {
            name,
            join_interval: Duration::from_millis(300),
            follow_interval: Duration::from_millis(250),
            directory_interval: Duration::from_millis(300),
            max_view_age: Duration::from_millis(1_300),
            stop_grace: Duration::from_secs(3),
            append_bytes: 1 << 20,
            record_bytes: 256 << 10,
            dispatch: DispatchOptions::default(),
        }
    }
}
