//! Runs that are far slower than declared, or on a worker that does not answer.
//!
//! A worker can slow down or stall while it still answers polls. If the listed progress of a run leaves more
//! time than a new run elsewhere would need, the run is stopped and the task placed again. A step that allows
//! speculative execution gets a second run beside the first instead.

use super::super::Dispatcher;
use super::super::worker::{Run, WorkerKey};
use crate::ids::TaskId;
use crate::table::TaskState;

/// Share of the declared time after which a run may count as slow, in percent. Declared times are often off
/// by half.
const SLOW_PERCENT: u64 = 200;
/// Time before which no run counts as slow, in milliseconds. Progress is too coarse until then.
const SLOW_MIN_MS: u64 = 800;
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
        let Some(job) = self.table.get(task.job) else { return false };
        let estimate = job.submission.steps[usize::from(task.step)].estimate_ms;
        let elapsed = now.saturating_sub(started.max(run.placed));
        if elapsed < SLOW_MIN_MS || elapsed < estimate * SLOW_PERCENT / 100 {
            return false;
        }
        let progress = u64::from(run.progress);
        let remaining_ms = (elapsed * (100 - progress.min(100))).checked_div(progress);
        remaining_ms.unwrap_or(u64::MAX) > estimate + RESTART_MS + self.options.stop_ms
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

    fn allows_copies(&self, task: TaskId) -> bool {
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
