//! JSON bodies of the operator API for jobs: the owner, queued jobs, pools, machine orders, and the state of a job.
//!
//! `GET /v1/work` returns [`Work`], `GET /v1/work/jobs/{id}` returns [`Job`]. Both are read-only.

use serde::{Deserialize, Serialize};

/// State of all accepted jobs as known to one instance.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Work {
    /// Name of the responding process.
    pub instance: String,
    /// Version of the active configuration.
    pub version: u64,
    /// Process that schedules the jobs, as far as this instance has read.
    pub owner: String,
    /// Epoch of the owner, which is the fencing token of its orders.
    pub epoch: u64,
    /// Time since the responding instance last reached the end of the intake topic, in milliseconds; none before the
    /// first time.
    pub age_ms: Option<u64>,
    /// Number of jobs by state.
    pub jobs: Vec<Count>,
    /// Number of jobs that have not started, by queue.
    pub waiting: Vec<Count>,
    /// Pools; empty unless the responding instance is the owner.
    pub pools: Vec<Pool>,
    /// Machines with an open order; empty unless the responding instance is the owner.
    pub moves: Vec<MachineOrder>,
    /// Maintenance waves.
    pub waves: Vec<Wave>,
}

/// Number of jobs in one state or queue.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Count {
    /// Name of the state or queue.
    pub name: String,
    /// Number of jobs.
    pub count: u64,
}

/// Capacity and demand of a pool.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pool {
    /// Name from the configuration.
    pub name: String,
    /// Number of workers in the directory.
    pub workers: u64,
    /// Number of workers that respond and accept tasks.
    pub open: u64,
    /// Number of runs on the workers.
    pub runs: u64,
    /// Reserved CPU in percent of the workers' capacity.
    pub used_percent: u64,
    /// Number of machines needed to meet the demand.
    pub wanted: u64,
}

/// Order to drain a machine and then move it to another pool or maintain it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MachineOrder {
    /// Name of the machine.
    pub machine: String,
    /// Pool that the machine belongs to now.
    pub pool: String,
    /// Destination: `pool <name>` or `wave <number>`.
    pub goal: String,
    /// `emptying`, `ordered`, `waiting` or `taken`.
    pub stage: String,
}

/// Progress of a maintenance wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Wave {
    /// Number by which operators identify the wave.
    pub number: u64,
    /// Total number of machines; 0 if the responding instance does not know the wave.
    pub machines: u64,
    /// Number of machines whose maintenance has begun or that turned out not to take part.
    pub begun: u64,
}

/// State of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Job id.
    pub id: String,
    /// Queue that accepted the job.
    pub queue: String,
    /// Team that submitted the job; none for a queue that requires no key.
    pub team: Option<String>,
    /// State as reported to callers.
    pub state: String,
    /// Steps of the occurrences that are not complete.
    pub steps: Vec<Step>,
    /// Tasks that may be running, with their workers.
    pub places: Vec<Placement>,
    /// What the job waits for or why it ended, one sentence each.
    pub reasons: Vec<String>,
}

/// Progress of a step of one occurrence of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of the occurrence, from 0; a job without a schedule has one.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
    /// Number of tasks waiting to start.
    pub waiting: u64,
    /// Number of tasks that may be running.
    pub placed: u64,
    /// Number of completed tasks.
    pub done: u64,
    /// Number of failed runs.
    pub failures: u64,
}

/// Assignment of a task to a worker, on which it may be running.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Task id.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// Worker that was ordered to run it.
    pub worker: String,
}
