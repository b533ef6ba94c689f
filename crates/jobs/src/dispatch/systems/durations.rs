//! Durations of tasks, learned from those that are done.
//!
//! Declared durations are often far off, but the tasks of a step behave alike, and the jobs of a queue are declared by the
//! same callers. Without this, a task whose caller declared too little looks like one on a slow worker.
//!
//! A run counts only if it did the whole work of its task and it is known when it began. One that resumed from a checkpoint
//! or was first seen shortly before its end would make all others look slow.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::super::estimates::{Estimate, Regression};
use crate::ids::{JobId, TaskId};
use crate::spec::{Step, Submission};
use crate::table::TaskState;

/// Share of the tasks that take at most the learned multiple of their declared duration, in percent.
const QUANTILE_PERCENT: f64 = 95.0;
/// Multiple of the declared duration that is assumed before anything is learned.
const INITIAL_RATIO: f64 = 2.0;
/// Relative change of the learned multiple by a task that exceeds it.
const LEARNING_RATE: f64 = 0.1;
/// Bounds of the learned multiple.
const MIN_RATIO: f64 = 1.0;
const MAX_RATIO: f64 = 8.0;

/// Multiple of the declared duration within which most tasks of a queue are done.
#[derive(Clone, Copy, Debug)]
struct Ratio(f64);

impl Default for Ratio {
    fn default() -> Self {
        Self(INITIAL_RATIO)
    }
}

impl Ratio {
    /// Learns from a task that took `took_ms`. The estimate rises for longer tasks and falls for others, in such steps
    /// that it stays where the given share of the tasks is below it.
    fn learn(&mut self, took_ms: u64, declared_ms: u64) {
        let longer = took_ms as f64 > self.0 * declared_ms.max(1) as f64;
        let share = QUANTILE_PERCENT / 100.0;
        let change = if longer { share } else { share - 1.0 };
        self.0 = (self.0 * (LEARNING_RATE * change).exp()).clamp(MIN_RATIO, MAX_RATIO);
    }
}

/// Done tasks of one step.
#[derive(Clone, Copy, Debug, Default)]
struct StepTimes {
    done: u64,
    total_ms: u64,
    /// Sum of the natural logarithms of the times, in thousandths. It doesn't depend on the order of the tasks.
    logarithms: u64,
}

impl StepTimes {
    /// Expected duration of the other tasks of the step; none before one is done.
    fn estimate(&self) -> Option<Estimate> {
        let mean_ms = self.total_ms.checked_div(self.done)?;
        let logarithm = self.logarithms as f64 / 1_000.0 / self.done as f64;
        let typical_ms = logarithm.exp().round() as u64;
        Some(Estimate { typical_ms, mean_ms })
    }
}

/// What is learned of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    limit: Ratio,
    expected: Regression,
}

/// Evidence that a task of a step gives, in steps of jobs. The tasks of a step share one error of declaration, and so do the
/// occurrences of a repeated job. Of a gang, one task is reported as done.
fn evidence(submission: &Submission, step: &Step) -> f64 {
    let tasks = if step.gang { 1 } else { step.count.max(1) };
    let times = submission.schedule.map_or(1, |schedule| schedule.times.max(1));
    1.0 / (f64::from(tasks) * f64::from(times))
}

/// Expected durations of the tasks of a job.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct JobTimes<'a> {
    job: JobId,
    steps: &'a BTreeMap<StepKey, StepTimes>,
    expected: Option<&'a Regression>,
}

impl JobTimes<'_> {
    /// Expected duration of the tasks of a step that has not begun.
    pub(super) fn of_step(&self, step: &Step) -> Estimate {
        let declared = Estimate::declared(step.estimate_ms);
        self.expected.map_or(declared, |expected| expected.estimate(step.estimate_ms))
    }

    /// Expected duration of the tasks of a step that are not done: as long as those that are.
    pub(super) fn of_rest(&self, occurrence: u32, number: usize, step: &Step) -> Estimate {
        let number = u16::try_from(number).unwrap_or(u16::MAX);
        let times = self.steps.get(&(self.job, occurrence, number));
        times.and_then(StepTimes::estimate).unwrap_or_else(|| self.of_step(step))
    }

    /// Number that changes when the expected durations of the queue have moved notably.
    pub(super) fn revision(&self) -> u32 {
        self.expected.map_or(0, Regression::revision)
    }
}

/// Job, occurrence and step.
type StepKey = (JobId, u32, u16);

/// Learned durations.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Durations {
    steps: BTreeMap<StepKey, StepTimes>,
    /// By the name of the queue.
    queues: BTreeMap<String, QueueTimes>,
}

impl Durations {
    /// Records that a task is done.
    pub(super) fn learn(&mut self, submission: &Submission, task: TaskId, took_ms: u64) {
        let step = &submission.steps[usize::from(task.step)];
        if step.long_running {
            return;
        }
        let times = self.steps.entry((task.job, task.occurrence, task.step)).or_default();
        times.done += 1;
        times.total_ms += took_ms;
        times.logarithms += ((took_ms.max(1) as f64).ln() * 1_000.0).round() as u64;
        if !self.queues.contains_key(&submission.queue) {
            self.queues.insert(submission.queue.clone(), QueueTimes::default());
        }
        let Some(queue) = self.queues.get_mut(&submission.queue) else { return };
        queue.limit.learn(took_ms, step.estimate_ms);
        if queue.expected.learn(step.estimate_ms, took_ms, evidence(submission, step)) {
            let estimate = queue.expected.estimate(step.estimate_ms);
            log::info!(
                queue = submission.queue.as_str(), evidence = queue.expected.evidence() as u64,
                slope_percent = (queue.expected.slope() * 100.0) as u64, declared_ms = step.estimate_ms,
                typical_ms = estimate.typical_ms, mean_ms = estimate.mean_ms;
                "the expected durations of the queue have changed"
            );
        }
    }

    /// Expected durations of the tasks of a job.
    pub(in super::super) fn of_job(&self, submission: &Submission) -> JobTimes<'_> {
        JobTimes {
            job: submission.id,
            steps: &self.steps,
            expected: self.queues.get(&submission.queue).map(|queue| &queue.expected),
        }
    }

    /// Forgets the steps of a job.
    pub(super) fn forget(&mut self, job: JobId) {
        let keys: Vec<StepKey> =
            self.steps.range((job, 0, 0)..=(job, u32::MAX, u16::MAX)).map(|(key, _)| *key).collect();
        for key in keys {
            self.steps.remove(&key);
        }
    }

    /// Time within which most tasks like this are done, by their declared duration, in milliseconds.
    fn usual_ms(&self, submission: &Submission, task: TaskId) -> u64 {
        let declared = submission.steps[usize::from(task.step)].estimate_ms;
        let limit = self.queues.get(&submission.queue).map_or_else(Ratio::default, |queue| queue.limit);
        (declared as f64 * limit.0) as u64
    }

    /// Mean time of the done tasks of a task's step, in milliseconds.
    fn done_ms(&self, task: TaskId) -> Option<u64> {
        let times = self.steps.get(&(task.job, task.occurrence, task.step))?;
        times.total_ms.checked_div(times.done)
    }
}

impl Dispatcher {
    /// Expected duration of a task of a queue by its declared one.
    #[must_use]
    pub fn estimate(&self, queue: &str, declared_ms: u64) -> Estimate {
        let queue = self.durations.queues.get(queue);
        queue.map_or(Estimate::declared(declared_ms), |queue| queue.expected.estimate(declared_ms))
    }

    /// Time that a task should take, in milliseconds: as long as the other tasks of its step, or else as most tasks of
    /// its queue by their declared durations. The second value is true in the first case.
    pub(super) fn expected_ms(&self, now: u64, task: TaskId) -> (u64, bool) {
        let Some(job) = self.table.get(task.job) else { return (0, false) };
        let siblings = self.durations.done_ms(task).or_else(|| self.projected_ms(now, task));
        let usual = self.durations.usual_ms(&job.submission, task);
        siblings.map_or((usual, false), |ms| (ms, true))
    }

    /// Median of the times that the running tasks of the same step on other workers will take by their progress.
    fn projected_ms(&self, now: u64, task: TaskId) -> Option<u64> {
        let job = self.table.get(task.job)?;
        let occurrence = job.progress.occurrence(task.occurrence)?;
        let rows = occurrence.step(&job.submission, usize::from(task.step));
        let own = match &rows.get(usize::from(task.index))?.state {
            TaskState::Placed(place) => Some(&place.worker),
            TaskState::Waiting | TaskState::Done => None,
        };
        let mut times = Vec::new();
        for (index, row) in (0_u16..).zip(rows) {
            let TaskState::Placed(place) = &row.state else { continue };
            if Some(&place.worker) == own || !row.checkpoint.is_empty() {
                continue;
            }
            let worker = self.worker_key(&place.worker).and_then(|key| self.workers.get(key));
            let run = worker.and_then(|worker| worker.runs.get(&TaskId { index, ..task }));
            times.extend(run.filter(|run| run.begun(now).is_some()).and_then(|run| run.projected_ms(now)));
        }
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }
}
