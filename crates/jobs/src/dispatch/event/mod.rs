//! What the owner learns from workers, machines and the store.

use crate::ids::TaskId;
use crate::spec::Resources;

/// What a worker says of itself in the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerRecord {
    /// Id.
    pub worker: String,
    /// Address.
    pub address: String,
    /// Pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Rack and other labels.
    pub labels: Vec<String>,
    /// Resources in all.
    pub capacity: Resources,
    /// True while it takes no new work.
    pub draining: bool,
    /// Start of its lifetime, in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
    /// Its steady clock, in milliseconds.
    pub clock_ms: u64,
}

/// Run that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunStatus {
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Share of the work that is done, in percent; 100 once a lasting task is at work.
    pub progress: u8,
    /// Tail of the response times of a serving task in milliseconds; processor use of any other.
    pub metric: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was stopped on order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// Ended run that a worker lists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Number of the end in the worker's lifetime, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub reason: EndReason,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Answer to a look.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerStatus {
    /// The worker's steady clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of the worker's lifetime; 0 if unknown.
    pub started_ms: u64,
    /// Runs.
    pub running: Vec<RunStatus>,
    /// Ends that were not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// Outcome of an order to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Carried out.
    Taken,
    /// The worker knows a newer owner.
    Fenced,
    /// This run or a later one was stopped or has ended there.
    Outdated,
    /// The order came after its deadline.
    Late,
    /// The worker has no room.
    Full,
    /// The policy's ticket is not valid.
    Ticket,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another worker or lifetime has this address.
    Replaced,
    /// The worker cannot read the order.
    Malformed,
    /// No connection was made, nothing was sent.
    Unsent,
    /// Its turn in this process did not come in time, nothing was sent.
    Deferred,
    /// No answer; it may be carried out, now or later.
    Unknown,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Serves its pool.
    Up,
    /// On its way to another pool.
    Moving,
    /// In upkeep.
    Upkeep,
    /// Out of order.
    Down,
}

/// Machine of the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// State.
    pub state: MachineState,
    /// Availability zone.
    pub zone: String,
    /// Kind and rack.
    pub labels: Vec<String>,
    /// Worker of this life.
    pub worker: Option<String>,
}

/// Upkeep that operators ask for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Machines that are due.
    pub machines: Vec<String>,
    /// Time in which all are to be done, in milliseconds.
    pub within_ms: u64,
    /// Most machines in upkeep at once.
    pub most: u32,
}
