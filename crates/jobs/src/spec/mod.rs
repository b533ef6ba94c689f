//! What a caller asks for: a job of steps, each of tasks that need resources.
//!
//! A submission is checked once, when it arrives. Later code relies on the checks: step numbers in `after` are
//! earlier ones, and counts are within the limits below.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::JobId;

/// Most steps of a job. Bounds the size of its stored progress.
pub const MAX_STEPS: usize = 64;
/// Most tasks of one step.
pub const MAX_TASKS: u32 = 1_000;
/// Longest payload, in bytes. From the interface of the callers.
pub const MAX_PAYLOAD: usize = 4_000;
/// Bytes of a task in a record of the progress, at most: its state with the id of a worker, numbers and a checkpoint.
const TASK_BYTES: usize = 96;

/// Amounts of each resource.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Adds each amount.
    pub fn add(&mut self, other: Self) {
        self.cpu += other.cpu;
        self.memory += other.memory;
        self.accelerators += other.accelerators;
    }

    /// Subtracts each amount, down to 0.
    pub fn subtract(&mut self, other: Self) {
        self.cpu = self.cpu.saturating_sub(other.cpu);
        self.memory = self.memory.saturating_sub(other.memory);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
    }

    /// Sum of both.
    #[must_use]
    pub fn plus(mut self, other: Self) -> Self {
        self.add(other);
        self
    }

    /// True if each amount is at most the other's.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// True if no amount passes a limit. A limit of 0 does not bound its resource.
    #[must_use]
    pub const fn within(self, limit: Self) -> bool {
        (limit.cpu == 0 || self.cpu <= limit.cpu)
            && (limit.memory == 0 || self.memory <= limit.memory)
            && (limit.accelerators == 0 || self.accelerators <= limit.accelerators)
    }
}

/// Tasks of the same kind within a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub need: Resources,
    /// Declared duration of a task, in milliseconds. Often far off.
    pub estimate_ms: u64,
    /// Steps that must be done first.
    pub after: Vec<u16>,
    /// Tasks that save their progress resume from it.
    pub checkpoints: bool,
    /// All tasks run at once or not at all.
    pub gang: bool,
    /// Tasks are slower when they run on more than one rack.
    pub compact: bool,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack near the tasks' data.
    pub data_rack: Option<String>,
    /// Most tasks of one occurrence on one worker.
    pub spread: Option<u32>,
    /// Copies may run side by side.
    pub speculative: bool,
    /// Tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of what the tasks run.
    pub image: Option<String>,
    /// Bound of the response time of a serving task, in milliseconds.
    pub target_ms: Option<u64>,
    /// Tasks use the processor time that others leave and need none of their own.
    pub best_effort: bool,
    /// Tasks of a lasting step that may be away at once through our own acts.
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Resources that a task takes from a worker's room.
    #[must_use]
    pub const fn reserved(&self) -> Resources {
        let cpu = if self.best_effort { 0 } else { self.need.cpu };
        Resources { cpu, memory: self.need.memory, accelerators: self.need.accelerators }
    }
}

/// Repeated runs of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since 1970.
    pub start_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

impl Schedule {
    /// Due time of an occurrence, in milliseconds since 1970.
    #[must_use]
    pub const fn due_ms(&self, occurrence: u32) -> u64 {
        self.start_ms + self.interval_ms * occurrence as u64
    }
}

/// Terms of a queue that decide how its jobs run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Terms {
    /// Pool whose workers run the tasks.
    pub pool: String,
    /// Urgency; 0 goes first.
    pub priority: u32,
    /// Failed runs after which a task has failed.
    pub attempts: u32,
    /// Factor on the chain of work in the latency objective, in percent.
    pub stretch_percent: u64,
    /// Added time in the latency objective, in milliseconds.
    pub target_ms: u64,
}

/// Accepted job, as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Submission {
    /// Id.
    pub id: JobId,
    /// Name of the queue that took it.
    pub queue: String,
    /// Terms of the queue at that time. They hold once the queue is no longer declared.
    pub terms: Terms,
    /// Team that it counts for; none in a queue open to all.
    pub team: Option<String>,
    /// Payload, handed to each task as it is.
    pub payload: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Repeated runs.
    pub schedule: Option<Schedule>,
    /// Arrival at the entry instance, in milliseconds since 1970.
    pub arrived_ms: u64,
}

/// Why a job cannot be accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadJob {
    /// There is no step.
    #[error("the job has no steps")]
    NoSteps,
    /// There are too many steps.
    #[error("the job has more than {MAX_STEPS} steps")]
    ManySteps,
    /// A step has no tasks or too many.
    #[error("a step needs 1 to {MAX_TASKS} tasks")]
    Count,
    /// A step waits for itself or a later step.
    #[error("a step may wait only for earlier steps")]
    Order,
    /// The payload is too long.
    #[error("the payload is longer than {MAX_PAYLOAD} bytes")]
    Payload,
    /// A record of the job or of its progress would be larger than the store takes.
    #[error("the job has more tasks or a longer description than the store keeps")]
    Large,
}

impl Submission {
    /// Checks counts, sizes and the order of steps, for a store that takes records of some bytes.
    ///
    /// # Errors
    ///
    /// Names the first problem.
    pub fn check(&self, record_bytes: usize) -> Result<(), BadJob> {
        if self.steps.is_empty() {
            return Err(BadJob::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(BadJob::ManySteps);
        }
        if self.payload.len() > MAX_PAYLOAD {
            return Err(BadJob::Payload);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                return Err(BadJob::Count);
            }
            if step.after.iter().any(|&before| usize::from(before) >= number) {
                return Err(BadJob::Order);
            }
        }
        if self.tasks() * TASK_BYTES > record_bytes {
            return Err(BadJob::Large);
        }
        Ok(())
    }

    /// Tasks of one occurrence.
    #[must_use]
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Declared length of the longest chain of steps, in milliseconds.
    #[must_use]
    pub fn chain_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|&s| ends.get(usize::from(s))).max().copied();
            ends.push(start.unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }
}
