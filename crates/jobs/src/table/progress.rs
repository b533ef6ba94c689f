//! Progress of a job: the states of its tasks.
//!
//! A large progress is stored in parts. A write stores the parts before the record of the job, which counts the occurrences
//! that have begun, and deletes the parts of occurrences that are done after it. If a write is stored incompletely, an
//! occurrence may lack parts. If it counts as begun, these were deleted and their tasks are done; if not, they were not
//! stored yet and their tasks wait.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ids::{PartId, TaskId};
use crate::spec::Submission;

/// Number of tasks in a part. All owners use the same, so that parts of two owners never overlap.
pub const PART_TASKS: usize = 128;

/// Largest size of the numbers of a task's failed runs, in bytes; at least eight numbers, and 40 that follow each other closely.
const MAX_NUMBER_BYTES: u32 = 40;

/// Phase of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Tasks are waiting or running.
    Active,
    /// All tasks are done.
    Completed,
    /// A task failed as often as the queue allows.
    Failed,
    /// Cancelled; no more tasks start.
    Canceled,
}

/// Worker process that a task is placed on.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Placement {
    /// Id of the worker.
    pub worker: String,
    /// Start of the worker process in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
}

/// State of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskState {
    /// Not running anywhere.
    Waiting,
    /// Assigned to a worker; it may or may not have started.
    Placed(Placement),
    /// Done.
    Done,
}

/// Task with its runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// State as decided by the owner.
    pub state: TaskState,
    /// Number of the last run; 0 before the first.
    pub run: u32,
    /// Failed runs; none without one.
    failed: Option<Box<FailedRuns>>,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

impl Task {
    const fn new(state: TaskState) -> Self {
        Self { state, run: 0, failed: None, checkpoint: String::new() }
    }

    /// Records the failure of a run. False if it was recorded before.
    pub fn record_failure(&mut self, run: u32) -> bool {
        self.failed.get_or_insert_default().insert(run)
    }

    /// Number of failed runs.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failed.as_ref().map_or(0, |failed| failed.count())
    }

    /// Failed runs; none without one.
    #[must_use]
    pub fn failed_runs(&self) -> Option<&FailedRuns> {
        self.failed.as_deref()
    }

    /// Replaces the failed runs.
    pub fn set_failed_runs(&mut self, failed: FailedRuns) {
        self.failed = Some(Box::new(failed));
    }

    /// True if the task may be running.
    #[must_use]
    pub const fn placed(&self) -> bool {
        matches!(self.state, TaskState::Placed(_))
    }
}

/// Numbers of the failed runs of a task, so that an end that is reported again counts once.
///
/// The oldest of many are only counted. An end that is reported again after that counts only if its number is higher.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "StoredRuns", into = "StoredRuns")]
pub struct FailedRuns {
    /// Ascending.
    numbers: Vec<u32>,
    /// Number of the older ones.
    older: u32,
    /// Highest number among the older ones.
    floor: u32,
}

impl FailedRuns {
    /// Adds a run. False if it was added before.
    fn insert(&mut self, run: u32) -> bool {
        if self.older > 0 && run <= self.floor {
            return false;
        }
        let Err(position) = self.numbers.binary_search(&run) else { return false };
        self.numbers.insert(position, run);
        while self.distances().map(varint_bytes).sum::<u32>() > MAX_NUMBER_BYTES {
            self.floor = self.numbers.remove(0);
            self.older += 1;
        }
        true
    }

    /// Distance of each number from the one before, and of the first one from the floor.
    fn distances(&self) -> impl Iterator<Item = u32> {
        let before = std::iter::once(&self.floor).chain(&self.numbers);
        self.numbers.iter().zip(before).map(|(number, before)| number - before)
    }

    fn count(&self) -> u32 {
        self.older.saturating_add(u32::try_from(self.numbers.len()).unwrap_or(u32::MAX))
    }
}

/// Stored form of failed runs.
#[derive(Deserialize, Serialize)]
struct StoredRuns {
    distances: Vec<u32>,
    older: u32,
    floor: u32,
}

impl From<FailedRuns> for StoredRuns {
    fn from(failed: FailedRuns) -> Self {
        Self { distances: failed.distances().collect(), older: failed.older, floor: failed.floor }
    }
}

impl From<StoredRuns> for FailedRuns {
    fn from(stored: StoredRuns) -> Self {
        let StoredRuns { distances, older, floor } = stored;
        let numbers = distances.into_iter().scan(floor, |number, distance| {
            *number = number.saturating_add(distance);
            Some(*number)
        });
        Self { numbers: numbers.collect(), older, floor }
    }
}

/// Size of a number in a record, in bytes.
const fn varint_bytes(number: u32) -> u32 {
    match u32::BITS - number.leading_zeros() {
        0 => 1,
        bits => bits.div_ceil(7),
    }
}

/// Stored form of a task. The failed runs have a bit each, by their number modulo 64; releases that know no other form read it.
#[derive(Deserialize, Serialize)]
struct StoredTask<S, C> {
    state: S,
    run: u32,
    failed: u64,
    checkpoint: C,
}

impl Serialize for Task {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let numbers = self.failed.iter().flat_map(|failed| &failed.numbers);
        let failed = numbers.fold(0, |bits, number| bits | 1_u64 << (number % u64::BITS));
        let (state, checkpoint) = (&self.state, &self.checkpoint);
        StoredTask { state, run: self.run, failed, checkpoint }.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Task {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        StoredTask::deserialize(deserializer).map(Self::from)
    }
}

impl From<StoredTask<TaskState, String>> for Task {
    /// Takes each bit for the highest number that it can stand for.
    fn from(stored: StoredTask<TaskState, String>) -> Self {
        let StoredTask { state, run, failed, checkpoint } = stored;
        let mut task = Self { state, run, failed: None, checkpoint };
        let lowest = run.saturating_sub(u64::BITS - 1);
        for number in (lowest..=run).filter(|number| failed & 1_u64 << (number % u64::BITS) != 0) {
            task.record_failure(number);
        }
        task
    }
}

/// Occurrence of a job: one run through its steps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Occurrence {
    /// Number in the job's schedule, from 0.
    pub number: u32,
    /// Tasks of all steps, in the order of the steps.
    pub tasks: Vec<Task>,
}

/// Progress of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Final once it is no longer `Active`.
    pub phase: Phase,
    /// True once a worker has taken a task.
    pub started: bool,
    /// Number of occurrences that have begun.
    pub begun: u32,
    /// Occurrences that have begun and are not done, in the order of their numbers.
    pub occurrences: Vec<Occurrence>,
}

impl Occurrence {
    /// Creates an occurrence in which all tasks wait.
    #[must_use]
    pub fn new(number: u32, submission: &Submission) -> Self {
        Self { number, tasks: vec![Task::new(TaskState::Waiting); submission.tasks()] }
    }

    /// Tasks of a step.
    #[must_use]
    pub fn step(&self, submission: &Submission, step: usize) -> &[Task] {
        let start = offset(submission, step);
        &self.tasks[start..start + submission.steps[step].count as usize]
    }

    /// True if all tasks of a step are done.
    #[must_use]
    pub fn step_done(&self, submission: &Submission, step: usize) -> bool {
        self.step(submission, step).iter().all(|task| task.state == TaskState::Done)
    }

    /// True if all steps that a step depends on are done.
    #[must_use]
    pub fn step_ready(&self, submission: &Submission, step: usize) -> bool {
        let after = &submission.steps[step].after;
        after.iter().all(|&before| self.step_done(submission, usize::from(before)))
    }
}

/// Index of the first task of a step in `Occurrence::tasks`.
fn offset(submission: &Submission, step: usize) -> usize {
    submission.steps[..step].iter().map(|step| step.count as usize).sum()
}

impl Progress {
    /// Creates the progress of a new job. Occurrences of a repeated job begin when they are due.
    #[must_use]
    pub fn new(submission: &Submission) -> Self {
        let repeated = submission.schedule.is_some();
        let occurrences = if repeated { Vec::new() } else { vec![Occurrence::new(0, submission)] };
        Self { phase: Phase::Active, started: false, begun: u32::from(!repeated), occurrences }
    }

    /// Looks up a task.
    #[must_use]
    pub fn task(&self, submission: &Submission, id: TaskId) -> Option<&Task> {
        let index = Self::index(submission, id)?;
        self.occurrence(id.occurrence)?.tasks.get(index)
    }

    /// Looks up an occurrence that has begun and is not done.
    #[must_use]
    pub fn occurrence(&self, number: u32) -> Option<&Occurrence> {
        let position = self.occurrences.binary_search_by_key(&number, |occurrence| occurrence.number);
        self.occurrences.get(position.ok()?)
    }

    /// Progress without the tasks, which are stored in parts.
    #[must_use]
    pub const fn head(&self) -> Self {
        Self { phase: self.phase, started: self.started, begun: self.begun, occurrences: Vec::new() }
    }

    /// Parts that hold the tasks.
    pub fn parts(&self, submission: &Submission) -> impl Iterator<Item = (PartId, &[Task])> {
        let job = submission.id;
        self.occurrences.iter().flat_map(move |occurrence| {
            let firsts = (0_u32..).step_by(PART_TASKS);
            let part = move |first| PartId { job, occurrence: occurrence.number, first };
            firsts.map(part).zip(occurrence.tasks.chunks(PART_TASKS))
        })
    }

    /// Adds the occurrences of stored parts. If the record of the job has occurrences itself, it was written before the
    /// parts were complete, and they do not count.
    pub fn add_parts(&mut self, submission: &Submission, parts: BTreeMap<PartId, Vec<Task>>) {
        if !self.occurrences.is_empty() {
            return;
        }
        let begun = self.begun;
        for (part, tasks) in parts {
            let number = part.occurrence;
            if self.occurrences.last().is_none_or(|last| last.number != number) {
                let state = if number < begun { TaskState::Done } else { TaskState::Waiting };
                let missing = vec![Task::new(state); submission.tasks()];
                self.occurrences.push(Occurrence { number, tasks: missing });
                self.begun = self.begun.max(number + 1);
            }
            let Some(occurrence) = self.occurrences.last_mut() else { continue };
            let first = usize::try_from(part.first).unwrap_or(usize::MAX);
            for (slot, task) in occurrence.tasks.iter_mut().skip(first).zip(tasks) {
                *slot = task;
            }
        }
    }

    /// Looks up a task for a change.
    pub fn task_mut(&mut self, submission: &Submission, id: TaskId) -> Option<&mut Task> {
        let index = Self::index(submission, id)?;
        let position = self.occurrences.binary_search_by_key(&id.occurrence, |occurrence| occurrence.number);
        self.occurrences.get_mut(position.ok()?)?.tasks.get_mut(index)
    }

    fn index(submission: &Submission, id: TaskId) -> Option<usize> {
        let step = usize::from(id.step);
        let count = submission.steps.get(step)?.count;
        (u32::from(id.index) < count).then(|| offset(submission, step) + usize::from(id.index))
    }
}

/// Iterates over the tasks of an occurrence with their ids.
pub fn each_task<'a>(
    submission: &'a Submission,
    occurrence: &'a Occurrence,
) -> impl Iterator<Item = (TaskId, &'a Task)> {
    let ids = submission.steps.iter().enumerate().flat_map(move |(step, kind)| {
        (0..kind.count).map(move |index| TaskId {
            job: submission.id,
            occurrence: occurrence.number,
            step: u16::try_from(step).unwrap_or(u16::MAX),
            index: u16::try_from(index).unwrap_or(u16::MAX),
        })
    });
    ids.zip(&occurrence.tasks)
}
