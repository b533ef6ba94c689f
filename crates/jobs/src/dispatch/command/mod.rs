//! Commands of the dispatcher to the process that runs it.

use crate::ids::{StepId, TaskId};

/// Destination of a request to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Id of the worker process; the worker refuses a request for another id.
    pub worker: String,
    /// Host and port.
    pub address: String,
}

/// Status poll of a worker. It renews the lease of all its runs, acknowledges ends and returns the worker's
/// status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Poll {
    /// Number of the poll among those of this owner, from 1.
    pub number: u64,
    /// Worker to poll.
    pub target: Target,
    /// Epoch of the owner; the worker refuses one that is lower than the highest it has seen.
    pub token: u64,
    /// End of the renewed lease on the worker's clock; none if no lease is renewed or that clock is not known
    /// yet.
    pub deadline_ms: Option<u64>,
    /// Highest number of an end that is stored; the worker may forget the ends up to it.
    pub acknowledged: u64,
    /// Longest time for which the worker may hold the answer until a run ends, in milliseconds; 0 to answer
    /// at once.
    pub wait_ms: u64,
    /// Time limit of the answer in milliseconds beyond that wait; none for the usual one.
    pub limit_ms: Option<u64>,
}

/// Order to start a run of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Worker that gets the order.
    pub target: Target,
    /// Epoch of the owner; the worker refuses one that is lower than the highest it has seen.
    pub token: u64,
    /// Task to run.
    pub task: TaskId,
    /// Number of the run within its task; a repeated order has the same number and starts nothing new.
    pub run: u32,
    /// Payload of the job, as submitted.
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Time on the worker's clock after which it refuses the order; also the first end of its lease.
    pub deadline_ms: u64,
    /// Ticket of the queue's policy; none if the queue has no policy.
    pub ticket: Option<String>,
    /// Time limit of the answer in milliseconds; none for the usual one.
    pub limit_ms: Option<u64>,
}

/// Order to stop a run. The worker refuses later starts of this run and of earlier ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Worker that gets the order.
    pub target: Target,
    /// Epoch of the owner; the worker refuses one that is lower than the highest it has seen.
    pub token: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run within its task.
    pub run: u32,
    /// Time limit of the answer in milliseconds; none for the usual one.
    pub limit_ms: Option<u64>,
}

/// Order to limit a run's share of the processor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Throttle {
    /// Worker that gets the order.
    pub target: Target,
    /// Epoch of the owner; the worker refuses one that is lower than the highest it has seen.
    pub token: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run within its task.
    pub run: u32,
    /// Processor share, in percent of full speed.
    pub percent: u8,
}

/// Request to the queues' policy about a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PolicyRequest {
    /// Step.
    pub step: StepId,
    /// Ids of the workers that could run it.
    pub workers: Vec<String>,
    /// Time limit of the answer in milliseconds.
    pub timeout_ms: u64,
}

/// Identity of an order to a machine. By the time an answer comes, the machine may have another order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineOrder {
    /// Name of the machine.
    pub machine: String,
    /// Number of the order among those of this owner, from 1; a repeat has the same number.
    pub number: u64,
}

/// Request of the dispatcher; its outcome is reported back as an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Poll a worker.
    Poll(Poll),
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Limit the processor share of a run.
    Throttle(Throttle),
    /// Ask the queues' policy which workers may run a step.
    AskPolicy(PolicyRequest),
    /// Move a machine to a pool: order and pool.
    Move(MachineOrder, String),
    /// Maintain a machine as part of a wave: order and number of the wave.
    Maintain(MachineOrder, u64),
    /// Publish the state of a wave: its number, and true if it is complete.
    Publish(u64, bool),
}
