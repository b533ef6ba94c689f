//! Operator interface of accepted work: who owns it, what waits, where machines go, and why a job is where it is.
//!
//! `GET /v1/work` answers with [`Work`], `GET /v1/work/jobs/{id}` with [`Job`]. Both only read.

use serde::{Deserialize, Serialize};

/// Accepted work as one instance sees it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Name of the answering process.
    pub instance: String,
    /// Version of the configuration.
    pub version: u64,
    /// Process that owns the work, as far as this instance has read.
    pub owner: String,
    /// Epoch of the owner, the fencing token of its orders.
    pub epoch: u64,
    /// Time since the answering instance reached the end of the intake, in milliseconds; none before the first time.
    pub age_ms: Option<u64>,
    /// Jobs by state.
    pub jobs: Vec<Count>,
    /// Jobs that have not started, by queue.
    pub waiting: Vec<Count>,
    /// Pools; empty unless the answering instance is the owner.
    pub pools: Vec<Pool>,
    /// Machines under an order; empty unless the answering instance is the owner.
    pub moves: Vec<MachineOrder>,
    /// Waves of upkeep.
    pub waves: Vec<Wave>,
}

/// Number of things of one name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Name.
    pub name: String,
    /// Number.
    pub count: u64,
}

/// Pool and what it is asked for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// Workers that are listed.
    pub workers: u64,
    /// Workers that answer and take tasks.
    pub open: u64,
    /// Runs.
    pub runs: u64,
    /// Processor in use, in percent of what the workers have.
    pub used_percent: u64,
    /// Machines that its demand asks for.
    pub wanted: u64,
}

/// Machine that is emptied, moved or maintained.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MachineOrder {
    /// Machine.
    pub machine: String,
    /// Pool in which it is.
    pub pool: String,
    /// Pool or wave that it is ordered for.
    pub goal: String,
    /// How far the order is.
    pub stage: String,
}

/// Wave of upkeep.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// Machines in all; 0 if the wave is not known here.
    pub machines: u64,
    /// Machines whose upkeep has begun, or that are no part of it.
    pub begun: u64,
}

/// One job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Id.
    pub id: String,
    /// Queue.
    pub queue: String,
    /// Team; none for a queue that is open to all.
    pub team: Option<String>,
    /// State that callers are told.
    pub state: String,
    /// Steps of the occurrences that are not done.
    pub steps: Vec<Step>,
    /// Tasks that may be running.
    pub places: Vec<Placement>,
    /// What the job waits for or why it ended, one sentence each.
    pub reasons: Vec<String>,
}

/// Step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Tasks that wait.
    pub waiting: u64,
    /// Tasks that may be running.
    pub placed: u64,
    /// Tasks that are done.
    pub done: u64,
    /// Runs that failed.
    pub failures: u64,
}

/// Task that may be running.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Task.
    pub task: String,
    /// Number of its run.
    pub run: u32,
    /// Worker.
    pub worker: String,
}
