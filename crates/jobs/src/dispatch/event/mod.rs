//! Events that reach the dispatcher from workers, machines and the store.

use crate::ids::TaskId;
use crate::spec::Resources;

/// Record of a worker in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerRecord {
    /// Id of the worker process; a restarted worker may keep it.
    pub worker: String,
    /// Host and port; empty if only a stored placement names the worker.
    pub address: String,
    /// Pool that the worker serves.
    pub pool: String,
    /// Availability zone of its machine.
    pub zone: String,
    /// Kind of the machine, then its rack.
    pub labels: Vec<String>,
    /// Total resources, including those in use.
    pub capacity: Resources,
    /// True while the worker refuses new work.
    pub draining: bool,
    /// Start of the worker process, in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
}

/// Status of a run that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunStatus {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run within its task.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Completed share of the work, in percent. A long-running task reports 100 once it is up.
    pub progress: u8,
    /// Over the last half second: tail response time in milliseconds for a serving task, processor use for
    /// any other.
    pub metric: u64,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// Its work is complete.
    Done,
    /// It reported a failure.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// Ended run that a worker lists until the end is acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Number of the end within the worker process, from 1.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run within its task.
    pub run: u32,
    /// Why it ended.
    pub reason: EndReason,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Answer of a worker to a poll.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerStatus {
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the worker process, in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
    /// Runs that have not ended.
    pub running: Vec<RunStatus>,
    /// Ends that are not acknowledged yet, from the first one on.
    pub ended: Vec<EndedRun>,
    /// True if further ends may follow, which the worker lists once these are acknowledged.
    pub more_ended: bool,
}

/// Outcome of a request to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Carried out, now or earlier.
    Taken,
    /// Refused: the worker has seen a newer owner.
    Fenced,
    /// Refused: this run or a later one of the task was stopped or has ended there.
    Outdated,
    /// Refused: the order arrived after its deadline.
    Late,
    /// Refused: the worker lacks free resources.
    Full,
    /// Refused: the policy's ticket is not valid.
    Ticket,
    /// Refused: the worker is unhealthy.
    Unhealthy,
    /// Refused: another worker, or a restarted one, has this address.
    Replaced,
    /// Refused: the worker could not decode the request.
    Malformed,
    /// No connection could be made; nothing was sent.
    Unsent,
    /// Not sent: the request waited too long for its turn in this process.
    Deferred,
    /// No answer; the request may be carried out, now or later.
    Unknown,
    /// No answer within the time limit, on a connection that didn't break; the request may be carried out, now or later.
    TimedOut,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// It serves its pool.
    Up,
    /// It is being moved to another pool.
    Moving,
    /// It is being maintained.
    Upkeep,
    /// It has failed and serves nothing.
    Down,
}

/// Machine of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Unique name; it stays the same across moves and restarts.
    pub name: String,
    /// Pool that it serves or is moved to.
    pub pool: String,
    /// State in the list of machines.
    pub state: MachineState,
    /// Availability zone.
    pub zone: String,
    /// Kind, then rack.
    pub labels: Vec<String>,
    /// Id of the worker that runs on it now; none while it serves nothing.
    pub worker: Option<String>,
}

/// Request of the operators to maintain a set of machines.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Wave {
    /// Unique number.
    pub number: u64,
    /// Names of the machines to maintain.
    pub machines: Vec<String>,
    /// Time in which all must be maintained, in milliseconds.
    pub within_ms: u64,
    /// Largest number of machines that may be maintained at once.
    pub most: u32,
}

/// Operators' record of a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveRecord {
    /// Content.
    pub plan: Wave,
    /// Offset of the record.
    pub offset: u64,
    /// Offset of an earlier record of the wave, or of this one, after which the wave was certainly not removed.
    pub since: u64,
}
