//! Pace of filling tasks: they use what serving tasks leave, and give way when these get near their target.

use super::super::Dispatcher;
use super::super::command::{Command, Throttle};
use super::super::event::WorkerStatus;
use super::super::worker::WorkerKey;
use super::polls::target;

/// Share of a serving task's target above which filling tasks are slowed, in percent.
const HIGH_PERCENT: u64 = 85;
/// Share of a serving task's target below which filling tasks may speed up, in percent.
const LOW_PERCENT: u64 = 60;
/// Step of a speed-up, in percent of full speed.
const STEP_UP: u8 = 15;
/// Time between two changes of pace of a run, in milliseconds. The figures cover the last half second.
const CHANGE_MS: u64 = 700;

impl Dispatcher {
    /// Slows or speeds the filling tasks of a worker by the response times that it lists.
    pub(super) fn throttle_runs(&mut self, now: u64, key: WorkerKey, status: &WorkerStatus) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let mut nearest = 0;
        for listed in &status.running {
            let target = worker.runs.get(&listed.task).and_then(|run| run.target_ms);
            if let Some(target) = target.filter(|&target| target > 0) {
                nearest = nearest.max(listed.metric * 100 / target);
            }
        }
        let target = target(worker);
        let mut orders = Vec::new();
        for (task, run) in &mut worker.runs {
            if !run.best_effort
                || run.stopping
                || run.confirmed.is_none()
                || run.last_change + CHANGE_MS > now
            {
                continue;
            }
            let percent = next_speed(run.speed, nearest);
            if percent == run.speed {
                continue;
            }
            run.last_change = now;
            run.speed = percent;
            orders.push(Throttle {
                target: target.clone(),
                token: self.epoch,
                task: *task,
                run: run.number,
                percent,
            });
        }
        self.commands.extend(orders.into_iter().map(Command::Throttle));
    }
}

/// Next pace of a filling task beside a serving task at a share of its target, in percent.
#[must_use]
pub(super) fn next_speed(speed: u8, nearest: u64) -> u8 {
    if nearest > 100 {
        speed / 4
    } else if nearest > HIGH_PERCENT {
        speed / 2
    } else if nearest < LOW_PERCENT {
        speed.saturating_add(STEP_UP).min(100)
    } else {
        speed
    }
}
