//! Settings of one node.

use std::time::Duration;

use crate::dispatch::options::Options as DispatchOptions;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the instance, unique for each process.
    pub name: String,
    /// Time between two calls to the group.
    pub join_gap: Duration,
    /// Least time between two reads of a topic that only followers need.
    pub follow_gap: Duration,
    /// Least time between two reads of the directory.
    pub directory_gap: Duration,
    /// Age of the view above which the node is not ready and refuses calls at once. Above the wait of a read.
    pub stale: Duration,
    /// Time for which calls are still answered after a stop was asked for.
    pub stop_grace: Duration,
    /// Most bytes of one append.
    pub append_bytes: usize,
    /// Most bytes of one record. A job that needs more is refused, as its progress could not be stored.
    pub record_bytes: usize,
    /// Settings of the owner's decisions.
    pub dispatch: DispatchOptions,
}

impl Options {
    /// Settings with the defaults of the stand-in platform.
    #[must_use]
    pub fn new(name: String) -> Self {
        Self {
            name,
            join_gap: Duration::from_millis(300),
            follow_gap: Duration::from_millis(250),
            directory_gap: Duration::from_millis(300),
            stale: Duration::from_millis(1_300),
            stop_grace: Duration::from_secs(3),
            append_bytes: 1 << 20,
            record_bytes: 256 << 10,
            dispatch: DispatchOptions::default(),
        }
    }
}
