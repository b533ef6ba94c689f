//! Emptying of machines before an order: long-running tasks are restarted elsewhere within the limit of their
//! step, others finish or are stopped.

use super::super::super::Dispatcher;
use super::super::super::worker::{Run, WorkerKey};
use super::super::placing::Choice;
use super::{Goal, Stage, UnnamedWorkers};
use crate::DECISIONS;
use crate::ids::TaskId;
use crate::table::TaskState;

/// Time that tasks get to finish before they are stopped, in milliseconds. Longer than most tasks.
const FINISH_TIMEOUT_MS: u64 = 2_500;
/// Unavailable tasks that a long-running step tolerates if it does not state a number.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

impl Dispatcher {
    /// Empties the machines that have an order, and orders those that are empty.
    pub(super) fn empty_machines(&mut self, now: u64) {
        let mut machines = Vec::new();
        for (name, row) in &self.fleet.rows {
            let Some(order) = &row.order else { continue };
            machines.push((name.clone(), order.stage, order.goal.clone(), self.machine_worker(row)));
        }
        let mut unnamed = None;
        for (name, stage, goal, worker) in machines {
            match stage {
                Stage::Emptying(since) => {
                    self.empty_machine(now, &name, since, &goal, worker, &mut unnamed);
                }
                Stage::Waiting(at) if at <= now => self.order_machine(&name),
                Stage::Waiting(_) | Stage::Ordered | Stage::Taken(_) => {}
            }
        }
    }

    fn empty_machine(
        &mut self,
        now: u64,
        name: &str,
        since: u64,
        goal: &Goal,
        key: Option<WorkerKey>,
        unnamed: &mut Option<UnnamedWorkers>,
    ) {
        let runs: Vec<(TaskId, bool, bool)> = key
            .and_then(|key| self.workers.get(key))
            .map(|w| w.runs.iter().map(|(task, run)| (*task, run.long_running, run.stopping)).collect())
            .unwrap_or_default();
        if runs.is_empty() {
            if !self.may_have_runs(name, unnamed) {
                self.order_machine(name);
            }
            return;
        }
        let Some(key) = key else { return };
        let waits_for_runs = matches!(goal, Goal::Pool(_));
        for (task, long_running, stopping) in runs {
            if stopping {
                continue;
            }
            if long_running {
                if self.may_interrupt(task) && self.fits_elsewhere(now, task) {
                    log::info!(target: DECISIONS, task:% = task, machine = name; "a long-running task moves to another worker");
                    self.stop_run(now, key, task);
                }
            } else if !waits_for_runs && now > since + FINISH_TIMEOUT_MS {
                log::info!(target: DECISIONS, task:% = task, machine = name; "a task is stopped for the machine's upkeep");
                self.stop_run(now, key, task);
            }
        }
    }

    /// True if a long-running task may be interrupted: fewer of the step's other tasks are unavailable than
    /// the step tolerates.
    fn may_interrupt(&self, task: TaskId) -> bool {
        let Some(job) = self.table.get(task.job) else { return true };
        let step = &job.submission.steps[usize::from(task.step)];
        let max = step.max_unavailable.unwrap_or(DEFAULT_MAX_UNAVAILABLE);
        let Some(occurrence) = job.progress.occurrence(task.occurrence) else {
            return true;
        };
        let rows = occurrence.step(&job.submission, usize::from(task.step));
        let mut unavailable = 0;
        for (index, row) in (0_u16..).zip(rows) {
            let other = TaskId { index, ..task };
            let available = match &row.state {
                TaskState::Placed(place) => self
                    .worker_key(&place.worker)
                    .and_then(|key| self.workers.get(key))
                    .filter(|worker| worker.responds())
                    .and_then(|worker| worker.runs.get(&other))
                    .is_some_and(Run::available),
                TaskState::Waiting | TaskState::Done => false,
            };
            if other != task && !available {
                unavailable += 1;
            }
        }
        unavailable < max
    }

    /// True if a task could be placed on another worker now.
    fn fits_elsewhere(&mut self, now: u64, task: TaskId) -> bool {
        let Some(job) = self.table.get(task.job) else { return false };
        let terms = self.terms(&job.submission);
        let step = job.submission.steps[usize::from(task.step)].clone();
        let mut rooms = self.open_rooms(now, &terms.pool);
        matches!(self.choose(now, &mut rooms, None, &step, task), Choice::Worker(_))
    }
}
