//! Demand of each pool: what arrives, what waits and what its lasting tasks need.

use super::super::super::Dispatcher;
use crate::ids::JobId;
use crate::spec::Submission;
use crate::table::{Phase, TaskState};

/// Time constant of the rate of arriving work, in milliseconds. Short against a surge of some seconds, long against
/// the time between jobs.
const FAST_WINDOW_MS: u64 = 800;
/// Time constant of the rate that the trend is taken against, in milliseconds.
const SLOW_WINDOW_MS: u64 = 2_400;
/// Time ahead for which a rising rate is extrapolated, in milliseconds. A machine that is ordered now serves then.
const FORECAST_MS: u64 = 2_000;
/// Time in which waiting work that can still be on time is to be placed, in milliseconds.
const BACKLOG_MS: u64 = 1_200;
/// Time in which waiting work that is late is to be placed, in milliseconds.
const LATE_MS: u64 = 6_000;
/// Room above the rate of arriving work, in percent. Waits grow without bound as it nears 0.
const SPARE_PERCENT: u64 = 25;
/// Machines of a pool beyond those of its lasting tasks, so that one can be emptied.
const SPARE_MACHINES: u64 = 1;
/// Machines of a pool beyond those of its lasting tasks while no other pool needs them. They serve the first seconds
/// of a surge.
const KEPT_MACHINES: u64 = 3;

/// Work that arrived lately, decayed with a time constant.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Thousandths of a core times milliseconds.
    work: u64,
    /// Time to which it is decayed.
    updated: u64,
}

impl Rate {
    fn decay(&mut self, now: u64, constant: u64) {
        let elapsed = now.saturating_sub(self.updated).min(constant);
        self.work = self.work * (constant - elapsed) / constant;
        self.updated = now;
    }

    /// Thousandths of a core.
    const fn average(self, constant: u64) -> u64 {
        self.work / constant
    }
}

/// Demand of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(in super::super::super) struct Demand {
    fast: Rate,
    slow: Rate,
    /// Machines that are needed.
    pub(in super::super) machines: u64,
    /// Machines that are kept while no other pool needs them.
    pub(super) kept: u64,
    /// Time from which fewer machines were wanted than there are.
    pub(super) surplus: Option<u64>,
}

impl Demand {
    fn decay(&mut self, now: u64) {
        self.fast.decay(now, FAST_WINDOW_MS);
        self.slow.decay(now, SLOW_WINDOW_MS);
    }

    fn add(&mut self, work: u64) {
        self.fast.work += work;
        self.slow.work += work;
    }

    /// Rate of arriving work by the time that a machine ordered now serves, in thousandths of a core.
    fn forecast(&self) -> u64 {
        let (fast, slow) = (self.fast.average(FAST_WINDOW_MS), self.slow.average(SLOW_WINDOW_MS));
        let rise = fast.saturating_sub(slow) * FORECAST_MS / (SLOW_WINDOW_MS - FAST_WINDOW_MS);
        fast.max(slow) + rise
    }
}

/// Waiting work of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingWork {
    /// Processor time to place what can still be on time.
    backlog: u64,
    /// Processor time of lasting tasks.
    long_running: u64,
    /// Workers that lasting tasks need to be apart.
    min_workers: u64,
}

/// Work of a job's tasks that do not last, in thousandths of a core times milliseconds.
fn work(submission: &Submission) -> u64 {
    let steps = submission.steps.iter().filter(|step| !step.long_running);
    steps.map(|step| u64::from(step.count) * step.need.cpu * step.estimate_ms).sum()
}

impl Dispatcher {
    /// Adds the work of a new job to its pool's rate.
    pub(in super::super) fn add_arrival(&mut self, now: u64, id: JobId) {
        let Some(job) = self.table.get(id) else { return };
        let pool = self.terms(&job.submission).pool;
        let work = work(&job.submission);
        let demand = self.fleet.demand.entry(pool).or_default();
        demand.decay(now);
        demand.add(work);
    }

    /// Computes the machines that each pool needs.
    pub(super) fn update_demand(&mut self, now: u64) {
        for pool in &self.catalog.pools {
            let demand = self.fleet.demand.entry(pool.name.clone()).or_default();
            demand.decay(now);
        }
        let names: Vec<String> = self.fleet.demand.keys().cloned().collect();
        for name in names {
            let size = self.worker_cpu(&name);
            let waiting = self.waiting_work(now, &name);
            let Some(demand) = self.fleet.demand.get_mut(&name) else { continue };
            let rate = demand.forecast() * (100 + SPARE_PERCENT) / 100;
            let needed = (rate + waiting.backlog + waiting.long_running).div_ceil(size.max(1));
            demand.machines = needed.max(waiting.min_workers + SPARE_MACHINES);
            demand.kept = needed.max(waiting.min_workers + KEPT_MACHINES);
        }
    }

    /// Processor time of a usual worker of a pool, in thousandths of a core.
    fn worker_cpu(&self, pool: &str) -> u64 {
        let sizes = self.workers.values().filter(|w| w.listed && w.record.pool == pool);
        sizes.map(|w| w.record.capacity.cpu).max().unwrap_or(0).max(1_000)
    }

    /// What waits in a pool and what its lasting tasks take.
    fn waiting_work(&self, now: u64, pool: &str) -> WaitingWork {
        let mut waiting = WaitingWork::default();
        for (id, track) in &self.tracks {
            if track.ended.is_some() {
                continue;
            }
            let Some(job) = self.table.get(*id) else { continue };
            if job.progress.phase != Phase::Active || self.pool_of(&job.submission) != pool {
                continue;
            }
            let within = if now > track.objective { LATE_MS } else { BACKLOG_MS };
            for occurrence in &job.progress.occurrences {
                for (number, step) in job.submission.steps.iter().enumerate() {
                    if step.long_running {
                        waiting.long_running += u64::from(step.count) * step.reserved().cpu;
                        let min_workers =
                            step.spread.map_or(1, |most| u64::from(step.count.div_ceil(most.max(1))));
                        waiting.min_workers = waiting.min_workers.max(min_workers);
                        continue;
                    }
                    if !occurrence.step_ready(&job.submission, number) {
                        continue;
                    }
                    let rows = occurrence.step(&job.submission, number);
                    let count = rows.iter().filter(|row| row.state == TaskState::Waiting).count() as u64;
                    waiting.backlog += count * step.need.cpu * step.estimate_ms / within;
                }
            }
        }
        waiting
    }

    fn pool_of<'a>(&'a self, submission: &'a Submission) -> &'a str {
        let queue = self.queue(&submission.queue);
        queue.map_or(submission.terms.pool.as_str(), |queue| queue.terms.pool.as_str())
    }
}
