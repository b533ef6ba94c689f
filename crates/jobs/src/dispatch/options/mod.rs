//! Options of the dispatcher. Times are in milliseconds.

use crate::table::PART_TASKS;

/// Largest part of a record that a progress may take to be stored whole.
const WHOLE_DIVISOR: usize = 8;
/// Largest size of a stored task without its checkpoint, in bytes. The id of a worker is a key of the store, which has at
/// most 255 bytes.
const MAX_TASK_BYTES: usize = 344;

/// Part of the memory of a process that tasks of repeated jobs may take.
const BEGUN_DIVISOR: u64 = 8;
/// Memory that a task takes at a holder, in bytes: twice its size in the table, since a new owner reads its part beside it.
pub(super) const TASK_MEMORY_BYTES: u64 = 160;
/// Part of the memory of a process that all accepted jobs may take.
const ACCEPTED_DIVISOR: u64 = 4;

/// Options of a dispatcher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// Length of the lease that each poll grants to all runs of a worker. The tasks of a worker that is gone start again only once it
    /// is over, and it must cover a takeover.
    pub lease_ms: u64,
    /// Longest lease that a worker grants, whatever an order asks for.
    pub max_lease_ms: u64,
    /// Validity of a start order on the worker's clock; the worker refuses it afterwards.
    pub start_ttl_ms: u64,
    /// How long a worker may hold a poll open until a run ends.
    pub poll_wait_ms: u64,
    /// Shortest time between two polls of a worker, so that several ends are reported together.
    pub poll_gap_ms: u64,
    /// Time without contact to the store after which an owner starts nothing and polls no worker.
    pub store_timeout_ms: u64,
    /// Time after an owner's last contact with the store by which all its leases end. A new owner waits for it, and runs go on that
    /// long while the store is away.
    pub contact_lease_ms: u64,
    /// Longest time from the arrival of a stop until the run has ended.
    pub stop_ms: u64,
    /// How long the state of an ended job is kept.
    pub retention_ms: u64,
    /// Time for which a long-running task must be up to count as available.
    pub notice_ms: u64,
    /// Duration of a machine's upkeep.
    pub upkeep_ms: u64,
    /// Duration of a machine's move between pools.
    pub move_ms: u64,
    /// Time after another owner's order to a machine in which this owner gives it none, so that orders of two
    /// owners never interleave.
    pub handover_ms: u64,
    /// Interval between two reads of the list of machines.
    pub list_ms: u64,
    /// Interval between two reads of that list while machines have orders or workers with runs do not answer.
    pub list_busy_ms: u64,
    /// Size from which the progress of a job is stored in parts, in bytes.
    pub whole_bytes: usize,
    /// Longest checkpoint that is stored, in bytes.
    pub checkpoint_bytes: usize,
    /// Number of tasks of repeated jobs in occurrences that have begun from which no job begins a second one.
    pub begun_tasks: u64,
    /// Memory that all accepted jobs may take, by estimate, in bytes; none if it is unlimited.
    pub accepted_bytes: Option<u64>,
    /// Time in which a team's account fills at its owed rate; 0 if no team has an account.
    pub quota_window_ms: u64,
    /// Time for which a serving task may be over its target while best-effort tasks beside it work.
    pub harm_ms: u64,
    /// Whether interference between images is measured and avoided.
    pub interference: bool,
}

impl Default for Options {
    /// Values that suit the stand-in platform.
    fn default() -> Self {
        Self {
            lease_ms: 4_500,
            max_lease_ms: 10_000,
            start_ttl_ms: 2_500,
            poll_wait_ms: 1_000,
            poll_gap_ms: 100,
            store_timeout_ms: 6_000,
            contact_lease_ms: 6_500,
            stop_ms: 900,
            retention_ms: 150_000,
            notice_ms: 4_500,
            upkeep_ms: 2_000,
            move_ms: 1_500,
            handover_ms: 3_500,
            list_ms: 1_000,
            list_busy_ms: 300,
            whole_bytes: 0,
            checkpoint_bytes: 0,
            begun_tasks: 0,
            accepted_bytes: None,
            quota_window_ms: 0,
            harm_ms: 4_000,
            interference: true,
        }
        .with_record_bytes(256 << 10)
        .with_memory_bytes(256 << 20)
    }
}

impl Options {
    /// Sets the sizes of stored progress for records of this size, in bytes. Parts stay within it, whatever their tasks
    /// report; a progress far below it is stored whole, so that small changes do not write large records.
    #[must_use]
    pub const fn with_record_bytes(mut self, bytes: usize) -> Self {
        self.whole_bytes = bytes / WHOLE_DIVISOR;
        self.checkpoint_bytes = (bytes / PART_TASKS).saturating_sub(MAX_TASK_BYTES);
        self
    }

    /// Sets the number of tasks that may have begun for a process with this much memory, in bytes.
    #[must_use]
    pub const fn with_memory_bytes(mut self, bytes: u64) -> Self {
        self.begun_tasks = bytes / BEGUN_DIVISOR / TASK_MEMORY_BYTES;
        self
    }

    /// Sets the memory that all accepted jobs may take, for a process that is ended above this much memory, in bytes.
    #[must_use]
    pub const fn with_memory_limit(mut self, bytes: u64) -> Self {
        self.accepted_bytes = Some(bytes / ACCEPTED_DIVISOR);
        self
    }
}
