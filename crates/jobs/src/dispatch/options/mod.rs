//! Times of the owner's work, in milliseconds.

/// Settings of a dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Lease granted to all runs of a worker at each look.
    pub lease_ms: u64,
    /// Life of a start order on the worker's clock; a later arrival is refused.
    pub start_ttl_ms: u64,
    /// Time for which a look waits for an end.
    pub poll_wait_ms: u64,
    /// Least time between two looks at one worker, so that ends are collected.
    pub poll_gap_ms: u64,
    /// Time without contact to the store after which an owner grants no more leases.
    pub store_timeout_ms: u64,
    /// Longest time until a stopped run has ended.
    pub stop_ms: u64,
    /// Time for which the state of an ended job is kept.
    pub retention_ms: u64,
    /// Time for which a task must have been at work to count as available.
    pub notice_ms: u64,
    /// Time of a machine's upkeep.
    pub upkeep_ms: u64,
    /// Time of a machine's move between pools.
    pub move_ms: u64,
    /// Time after another owner's order of a machine in which it gets none, so that no two owners give them by turns.
    pub handover_ms: u64,
    /// Time between two reads of the list of machines.
    pub list_ms: u64,
    /// Time between two reads of the list while machines have orders.
    pub list_busy_ms: u64,
}

impl Default for Options {
    /// Values of the stand-in platform.
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            start_ttl_ms: 2_500,
            poll_wait_ms: 1_000,
            poll_gap_ms: 100,
            store_timeout_ms: 6_000,
            stop_ms: 900,
            retention_ms: 150_000,
            notice_ms: 4_500,
            upkeep_ms: 2_000,
            move_ms: 1_500,
            handover_ms: 3_500,
            list_ms: 1_000,
            list_busy_ms: 300,
        }
    }
}
