//! Runs that are far slower than they should be, or on a worker that does not answer.
//!
//! A worker can slow down or stall while it still answers polls. If a run makes no progress any more, or its progress
//! leaves more time than a new run elsewhere would need, the run is stopped and the task placed again. A step that
//! allows speculative execution gets a second run beside the first instead.
//!
//! A task may also be slow itself, wherever it runs. Each slow run of a task therefore doubles the limits for its next one:
//! the number of its slow runs grows with the logarithm of its duration, and their time stays within a multiple of it. Runs
//! that got a copy because their worker is silent count as slow ones, so that outages don't add copies without end.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::super::worker::{Run, WorkerKey};
use crate::ids::{JobId, TaskId};
use crate::spec::Step;
use crate::table::TaskState;

/// Multiple of the time of other tasks of its step from which a run counts as slow, in percent. Tasks of a step differ
/// by less, and a task far from its data takes three times as long.
const SLOW_PERCENT: u64 = 400;
/// The same multiple of the time within which most tasks of the queue are done.
const UNUSUAL_PERCENT: u64 = 200;
/// Time before which no run counts as slow, in milliseconds. Progress is too coarse until then.
const SLOW_MIN_MS: u64 = 800;
/// Time without any progress after which a run has stalled, in milliseconds. Workers are polled at least each second.
const STALL_MS: u64 = 1_200;
/// Progress that a run would have made in that time, in percent, for the lack of it to count.
const STALL_PERCENT: u64 = 20;
/// Time that a stop and a new start take in addition to the task, in milliseconds.
const RESTART_MS: u64 = 500;
/// Time for which a worker with a slow run gets no new tasks, in milliseconds.
const EXCLUDE_MS: u64 = 1_500;
/// Largest number of times that the limits are doubled, so that they don't overflow.
const MAX_DOUBLINGS: u32 = 20;

/// Slow runs of a task or gang.
#[derive(Clone, Copy, Debug, Default)]
struct SlowRuns {
    count: u32,
    /// Number of the last one.
    last: u32,
}

/// Slow runs of the active jobs. A gang has one entry, under its first task.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Stragglers {
    jobs: BTreeMap<JobId, BTreeMap<TaskId, SlowRuns>>,
}

impl Stragglers {
    /// Counts a slow run, once for all members of a gang. Returns the number of slow runs.
    fn record(&mut self, task: TaskId, run: u32) -> u32 {
        let slow = self.jobs.entry(task.job).or_default().entry(task).or_default();
        if run > slow.last {
            slow.count += 1;
            slow.last = run;
        }
        slow.count
    }

    /// Multiple of the limits that applies to a task.
    fn factor(&self, task: TaskId) -> u64 {
        let slow = self.jobs.get(&task.job).and_then(|tasks| tasks.get(&task));
        1 << slow.map_or(0, |slow| slow.count.min(MAX_DOUBLINGS))
    }

    /// Forgets a task that is done.
    fn forget_task(&mut self, task: TaskId) {
        if let Some(tasks) = self.jobs.get_mut(&task.job) {
            tasks.remove(&task);
        }
    }

    /// Forgets the tasks of a job.
    pub(super) fn forget(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }
}

impl Dispatcher {
    /// Stops or supersedes the slow runs of a worker that has just answered a poll.
    pub(super) fn replace_slow_runs(&mut self, now: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs = worker.runs.iter().filter(|(task, run)| self.is_slow(now, **task, run));
        let slow: Vec<(TaskId, u32)> = runs.map(|(task, run)| (*task, run.number)).collect();
        for (task, number) in slow {
            let count = self.stragglers.record(self.counted_task(task), number);
            let (expected_ms, by_siblings) = self.expected_ms(now, task);
            log::info!(
                task:% = task, run = number, slow_runs = count, expected_ms = expected_ms,
                by_siblings = by_siblings, worker = self.worker_id(key);
                "the run is far slower than declared"
            );
            // A second slow run shows that the task is slow, not the worker.
            if count == 1
                && let Some(worker) = self.workers.get_mut(key)
            {
                worker.excluded_until = worker.excluded_until.max(now + EXCLUDE_MS);
            }
            if self.allows_copies(task) {
                self.supersede_run(key, task);
            } else {
                self.stop_run(now, key, task);
            }
        }
    }

    fn is_slow(&self, now: u64, task: TaskId, run: &Run) -> bool {
        let Some(started) = run.confirmed.filter(|_| !run.long_running && !run.stopping && !run.superseded)
        else {
            return false;
        };
        // It has ended or was never there.
        if run.unlisted_polls > 0 {
            return false;
        }
        let elapsed = now.saturating_sub(started.max(run.placed));
        if elapsed < SLOW_MIN_MS || run.progress >= 100 {
            return false;
        }
        let factor = self.stragglers.factor(self.counted_task(task));
        if elapsed < SLOW_MIN_MS * factor {
            return false;
        }
        let (expected, by_siblings) = self.expected_ms(now, task);
        let restart = expected.saturating_add(RESTART_MS + self.options.stop_ms);
        if Self::has_stalled(now, run, factor) {
            return true;
        }
        let percent = if by_siblings { SLOW_PERCENT } else { UNUSUAL_PERCENT };
        let slow = (expected.saturating_mul(percent) / 100).saturating_mul(factor);
        match run.projected_ms(now) {
            Some(projected) => projected > slow && projected - elapsed > restart,
            None => elapsed > slow,
        }
    }

    /// True if a run that made progress has made none for some time.
    fn has_stalled(now: u64, run: &Run, factor: u64) -> bool {
        let Some(started) = run.confirmed.filter(|_| run.progress > 0) else { return false };
        let idle = now.saturating_sub(run.progress_at);
        let moved = run.progress_at.saturating_sub(started.max(run.placed));
        idle > STALL_MS * factor && idle * u64::from(run.progress) > STALL_PERCENT * factor * moved
    }

    /// Task under which the slow runs of a task are counted: a slow run of one member ends those of the whole gang.
    fn counted_task(&self, task: TaskId) -> TaskId {
        let gang = self.step(task).is_some_and(|step| step.gang);
        if gang { TaskId { index: 0, ..task } } else { task }
    }

    /// Makes the speculative tasks of a worker that does not answer available for a second run: at once the first time, and
    /// later the more copies a task got.
    pub(super) fn supersede_runs(&mut self, now: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let due = |task: TaskId, run: &Run| {
            let least = SLOW_MIN_MS * (self.stragglers.factor(task) - 1);
            let current = run.sent && !run.superseded && !run.stopping;
            current && self.allows_copies(task) && now >= run.placed + least
        };
        let runs = worker.runs.iter().filter(|(task, run)| due(**task, run));
        let tasks: Vec<(TaskId, u32)> = runs.map(|(task, run)| (*task, run.number)).collect();
        for (task, number) in tasks {
            self.stragglers.record(task, number);
            self.supersede_run(key, task);
        }
    }

    pub(super) fn allows_copies(&self, task: TaskId) -> bool {
        self.step(task).is_some_and(|step| step.speculative && !step.long_running && !step.gang)
    }

    fn step(&self, task: TaskId) -> Option<&Step> {
        self.table.get(task.job)?.submission.steps.get(usize::from(task.step))
    }

    /// Makes a task available for a second run while the present one continues. The present run still
    /// occupies its resources.
    fn supersede_run(&mut self, key: WorkerKey, task: TaskId) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(run) = worker.runs.get_mut(&task).filter(|run| run.sent && !run.superseded && !run.stopping)
        else {
            return;
        };
        let number = run.number;
        run.superseded = true;
        let Some(job) = self.table.get_mut(task.job) else { return };
        if let Some(row) = job.progress.task_mut(&job.submission, task)
            && row.placed()
            && row.run == number
        {
            log::info!(task:% = task, run = number; "the task may get a second run beside the first");
            row.state = TaskState::Waiting;
            self.touch(task.job);
            self.unchanged = false;
        }
    }

    /// Stops the remaining runs of a task that is done, and forgets its slow ones.
    pub(super) fn stop_remaining_runs(&mut self, now: u64, task: TaskId) {
        self.stragglers.forget_task(task);
        let others: Vec<WorkerKey> = self.placed_runs(task, task).map(|(_, key)| key).collect();
        for key in others {
            self.stop_run(now, key, task);
        }
    }
}
