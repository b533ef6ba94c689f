//! What the owner asks its process to do.

use crate::ids::TaskId;

/// Where an order goes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Id of the worker.
    pub worker: String,
    /// Address of the worker.
    pub address: String,
}

/// Look at a worker, which renews the lease of all its runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Poll {
    /// Worker.
    pub target: Target,
    /// Fencing token.
    pub token: u64,
    /// End of the lease on the worker's clock; none before that clock is known.
    pub deadline_ms: Option<u64>,
    /// Number of the last end that is stored.
    pub acknowledged: u64,
    /// Time to wait for an end.
    pub wait_ms: u64,
}

/// Start of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Worker.
    pub target: Target,
    /// Fencing token.
    pub token: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Payload of the job.
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// End of the lease on the worker's clock.
    pub deadline_ms: u64,
    /// Ticket of the queue's policy.
    pub ticket: Option<String>,
}

/// Stop of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Worker.
    pub target: Target,
    /// Fencing token.
    pub token: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
}

/// Change of a run's share of the processor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Throttle {
    /// Worker.
    pub target: Target,
    /// Fencing token.
    pub token: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
    /// Share of full speed, 0 to 100.
    pub percent: u8,
}

/// Order to the owner's process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Look at a worker.
    Poll(Poll),
    /// Start a task.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Pace a run.
    Throttle(Throttle),
    /// Ask the queue's policy which workers may run a step: step and workers.
    AskPolicy(String, Vec<String>),
    /// Move a machine to a pool.
    Move(String, String),
    /// Maintain a machine in a wave.
    Maintain(String, u64),
    /// Publish the state of a wave; true if it is complete.
    Publish(u64, bool),
}
