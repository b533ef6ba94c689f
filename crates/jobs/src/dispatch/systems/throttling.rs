//! Throttling of best-effort tasks: they use the processor time that serving tasks leave, and slow down when
//! one of these nears its response time target. If it is known which neighbours harm it, only these slow down.

use super::super::Dispatcher;
use super::super::command::{Command, Throttle};
use super::super::event::{Outcome, WorkerStatus};
use super::super::worker::WorkerKey;
use super::polls::target;

/// Share of a serving task's target above which best-effort tasks are slowed down, in percent.
pub(super) const SLOW_DOWN_PERCENT: u64 = 85;
/// Share of a serving task's target below which best-effort tasks may speed up, in percent.
pub(super) const SPEED_UP_PERCENT: u64 = 60;
/// Increment of a speed-up, in percent of full speed.
const SPEED_UP_STEP: u8 = 15;
/// Shortest time between two changes of a run's speed, in milliseconds. The metrics cover the last half
/// second.
const CHANGE_INTERVAL_MS: u64 = 700;

impl Dispatcher {
    /// Adjusts the speed of a worker's best-effort tasks to the response times in its status.
    pub(super) fn throttle_runs(&mut self, now: u64, key: WorkerKey, status: &WorkerStatus) {
        let Some(worker) = self.workers.get(key) else { return };
        let mut worst = 0;
        for listed in &status.running {
            let target = worker.runs.get(&listed.task).and_then(|run| run.target_ms);
            if let Some(target) = target.filter(|&target| target > 0) {
                worst = worst.max(listed.metric.saturating_mul(100) / target);
            }
        }
        let chosen = self.chosen_neighbours(now, key, status, worst);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let (target, token) = (target(worker), worker.token);
        let mut orders = Vec::new();
        for (task, run) in &mut worker.runs {
            if !run.best_effort
                || run.stopping
                || run.confirmed.is_none()
                || run.last_change + CHANGE_INTERVAL_MS > now
            {
                continue;
            }
            let spared =
                chosen.as_ref().is_some_and(|chosen| run.image.is_none_or(|image| !chosen.contains(&image)));
            let percent = next_speed(run.speed_percent, if spared { spared_use(worst) } else { worst });
            if percent == run.speed_percent && run.speed_known {
                continue;
            }
            run.last_change = now;
            run.speed_known = true;
            run.speed_percent = percent;
            self.counters.throttled_single += u64::from(chosen.is_some() && !spared);
            orders.push(Throttle { target: target.clone(), token, task: *task, run: run.number, percent });
        }
        self.commands.extend(orders.into_iter().map(Command::Throttle));
    }

    /// Handles the outcome of an order to change a run's speed.
    pub fn throttled(&mut self, throttle: &Throttle, outcome: Outcome) {
        let key = self.worker_key(&throttle.target.worker);
        let Some(worker) = key.and_then(|key| self.workers.get_mut(key)) else { return };
        let outdated = throttle.token < worker.token;
        self.fenced_out |= outcome == Outcome::Fenced && !outdated;
        let run = worker.runs.get_mut(&throttle.task).filter(|run| run.number == throttle.run);
        if let Some(run) = run {
            run.speed_known &= outcome == Outcome::Taken && !outdated;
        }
    }
}

/// Use of a target that counts for best-effort tasks beside the neighbour that harms, in percent. They never slow down,
/// and speed up below the limit from which that neighbour is slowed down.
const fn spared_use(worst: u64) -> u64 {
    if worst > SLOW_DOWN_PERCENT { SLOW_DOWN_PERCENT } else { 0 }
}

/// Next speed of a best-effort task, in percent of full speed. `worst` is the highest share of its target
/// that a serving task on the worker uses, in percent.
#[must_use]
pub(super) fn next_speed(speed: u8, worst: u64) -> u8 {
    if worst > 100 {
        speed / 4
    } else if worst > SLOW_DOWN_PERCENT {
        speed / 2
    } else if worst < SPEED_UP_PERCENT {
        speed.saturating_add(SPEED_UP_STEP).min(100)
    } else {
        speed
    }
}
