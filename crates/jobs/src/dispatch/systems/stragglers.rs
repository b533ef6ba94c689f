//! Runs that are far slower than they should be, or on a worker that does not answer.
//!
//! A worker can slow down or stall while it still answers polls. If a run makes no progress any more, or its progress
//! leaves more time than a new run elsewhere would need, the run is stopped and the task placed again. A step that
//! allows speculative execution gets a second run beside the first instead.

use super::super::Dispatcher;
use super::super::worker::{Run, WorkerKey};
use crate::ids::TaskId;
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

impl Dispatcher {
    /// Stops or supersedes the slow runs of a worker that has just answered a poll.
    pub(super) fn replace_slow_runs(&mut self, now: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let slow: Vec<TaskId> = worker
            .runs
            .iter()
            .filter(|(task, run)| self.is_slow(now, **task, run))
            .map(|(task, _)| *task)
            .collect();
        if slow.is_empty() {
            return;
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.excluded_until = worker.excluded_until.max(now + EXCLUDE_MS);
        }
        for task in slow {
            log::info!(task:% = task, worker = self.worker_id(key); "the run is far slower than declared");
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
        let elapsed = now.saturating_sub(started.max(run.placed));
        if elapsed < SLOW_MIN_MS || run.progress >= 100 {
            return false;
        }
        let (expected, by_siblings) = self.expected_ms(now, task);
        let restart = expected.saturating_add(RESTART_MS + self.options.stop_ms);
        if Self::has_stalled(now, run) {
            return true;
        }
        let percent = if by_siblings { SLOW_PERCENT } else { UNUSUAL_PERCENT };
        let slow = expected.saturating_mul(percent) / 100;
        match run.projected_ms(now) {
            Some(projected) => projected > slow && projected - elapsed > restart,
            None => elapsed > slow,
        }
    }

    /// True if a run that made progress has made none for some time.
    fn has_stalled(now: u64, run: &Run) -> bool {
        let Some(started) = run.confirmed.filter(|_| run.progress > 0) else { return false };
        let idle = now.saturating_sub(run.progress_at);
        let moved = run.progress_at.saturating_sub(started.max(run.placed));
        idle > STALL_MS && idle * u64::from(run.progress) > STALL_PERCENT * moved
    }

    /// Makes the speculative tasks of a worker that does not answer available for a second run at once.
    pub(super) fn supersede_runs(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let tasks: Vec<TaskId> = worker.runs.keys().copied().collect();
        for task in tasks {
            if self.allows_copies(task) {
                self.supersede_run(key, task);
            }
        }
    }

    pub(super) fn allows_copies(&self, task: TaskId) -> bool {
        let step = self.table.get(task.job).and_then(|job| job.submission.steps.get(usize::from(task.step)));
        step.is_some_and(|step| step.speculative && !step.long_running && !step.gang)
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

    /// Stops the remaining runs of a task that is done.
    pub(super) fn stop_remaining_runs(&mut self, now: u64, task: TaskId) {
        let others: Vec<WorkerKey> = self.placed_runs(task, task).map(|(_, key)| key).collect();
        for key in others {
            self.stop_run(now, key, task);
        }
    }
}
