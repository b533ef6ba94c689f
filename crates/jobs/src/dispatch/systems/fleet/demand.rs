//! Demand of each pool, from arriving work, waiting work and long-running tasks.
//!
//! While the store is late, work arrives that can't be read, so its absence says nothing about the demand: pools keep
//! machines that no other pool needs, for a limited time.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::super::super::Dispatcher;
use super::super::super::names::PoolKey;
use super::super::super::worker::Worker;
use super::super::backlog::GangNeed;
use super::super::durations::JobTimes;
use crate::DECISIONS;
use crate::ids::JobId;
use crate::spec::{Step, Submission};

/// Time constant of the short average of arriving work, in milliseconds. Short against a surge of some
/// seconds, long against the time between jobs.
const FAST_WINDOW_MS: u64 = 800;
/// Time constant of the long average, from which the trend is computed, in milliseconds.
const SLOW_WINDOW_MS: u64 = 2_400;
/// Time for which a rising trend is extrapolated, in milliseconds. A machine that is ordered now is in
/// service by then.
const FORECAST_MS: u64 = 2_000;
/// Time within which waiting work that can still be on time should be placed, in milliseconds.
const BACKLOG_MS: u64 = 1_200;
/// Time within which late waiting work should be placed, in milliseconds.
const LATE_BACKLOG_MS: u64 = 6_000;
/// Capacity above the rate of arriving work, in percent. Waiting times grow without bound as it nears 0.
const HEADROOM_PERCENT: u64 = 25;
/// Machines of a pool beyond those that its long-running tasks need, so that one can be emptied.
const SPARE_MACHINES: u64 = 1;
/// Machines of a pool beyond those that its long-running tasks need, as long as no other pool needs them.
/// They cover the first seconds of a surge.
const KEPT_MACHINES: u64 = 3;

/// Time for which a change may wait for the store before it counts as late, in milliseconds. Several writes of a
/// store without load.
const LATE_WRITE_MS: u64 = 250;
/// Age of the view of the intake from which the store counts as late, in milliseconds. Longer than two reads that wait
/// for a record.
const LATE_INTAKE_MS: u64 = 1_500;
/// Time after which an announced job that isn't stored shows that the store is late, in milliseconds.
const LATE_JOB_MS: u64 = 300;
/// Time for which pools keep their machines after the store was last late, in milliseconds. Callers that were refused
/// come back, and the averages fill again.
const HOLD_MS: u64 = 1_500;
/// Longest time for which pools keep their machines, in milliseconds.
const MAX_HOLD_MS: u64 = 20_000;
/// Time for which an announced job is awaited, in milliseconds. A call doesn't wait longer for the store.
const ANNOUNCED_MS: u64 = 4_000;
/// Largest number of announced jobs that are awaited.
const MAX_ANNOUNCED: usize = 4_096;

/// Job that was handed in and isn't known to be stored.
#[derive(Clone, Debug)]
struct Announced {
    /// Time at which it was handed in.
    at: u64,
    pool: String,
    work: Work,
}

/// Jobs that were handed in and aren't known to be stored.
#[derive(Clone, Debug, Default)]
pub(in super::super::super) struct Announcements(BTreeMap<JobId, Announced>);

impl Announcements {
    /// Forgets the jobs that are no longer awaited.
    fn expire(&mut self, now: u64) {
        self.0.retain(|_, job| now <= job.at + ANNOUNCED_MS);
    }

    /// True if a job waits longer than a store without load takes.
    fn late(&self, now: u64) -> bool {
        self.0.values().any(|job| now > job.at + LATE_JOB_MS)
    }

    /// Resources needed to place the announced work of a pool in time.
    fn backlog(&self, pool: &str) -> Work {
        let jobs = self.0.values().filter(|job| job.pool == pool);
        jobs.map(|job| job.work).fold(Work::default(), Work::plus).over(BACKLOG_MS)
    }
}

/// Period in which pools keep their machines.
#[derive(Clone, Copy, Debug, Default)]
pub(in super::super::super) struct Hold {
    /// Time since which the store is late.
    since: Option<u64>,
    /// Time at which the store was last late.
    last: u64,
}

impl Hold {
    /// Updates the period.
    const fn update(&mut self, now: u64, late: bool) {
        if late {
            if self.since.is_none() {
                self.since = Some(now);
            }
            self.last = now;
        } else if now > self.last + HOLD_MS {
            self.since = None;
        }
    }

    /// True while pools keep their machines.
    pub(super) fn holds(&self, now: u64) -> bool {
        self.since.is_some_and(|since| now <= since + MAX_HOLD_MS)
    }
}

/// Work, in thousandths of a core and in MB, each times milliseconds. Divided by a time: processor and memory.
#[derive(Clone, Copy, Debug, Default)]
struct Work {
    cpu: u64,
    memory: u64,
}

impl Work {
    /// Sum of both.
    const fn plus(self, other: Self) -> Self {
        Self { cpu: self.cpu.saturating_add(other.cpu), memory: self.memory.saturating_add(other.memory) }
    }

    /// Resources that do this work in a time.
    const fn over(self, ms: u64) -> Self {
        Self { cpu: self.cpu / ms, memory: self.memory / ms }
    }

    /// Number of machines of a size that have these resources; the larger of the numbers by processor and by memory.
    fn machines(self, size: Self) -> u64 {
        self.cpu.div_ceil(size.cpu.max(1)).max(self.memory.div_ceil(size.memory.max(1)))
    }
}

/// Decaying sum of the work that arrived, of one resource.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Resource times milliseconds.
    work: u64,
    /// Time of the last decay.
    updated: u64,
}

impl Rate {
    fn decay(&mut self, now: u64, constant: u64) {
        let elapsed = now.saturating_sub(self.updated).min(constant);
        let rest = u128::from(self.work) * u128::from(constant - elapsed) / u128::from(constant);
        self.work = u64::try_from(rest).unwrap_or(u64::MAX);
        self.updated = now;
    }

    /// Average rate over a time constant.
    const fn average(self, constant: u64) -> u64 {
        self.work / constant
    }
}

/// Demand of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(in super::super::super) struct Demand {
    cpu: Arrivals,
    memory: Arrivals,
    /// Number of machines that it needs.
    pub(in super::super) machines: u64,
    /// Number of machines that it keeps while no other pool needs them.
    pub(super) kept: u64,
    /// Time since which it has more machines than it keeps.
    pub(super) surplus: Option<u64>,
}

/// Rates of the work that arrives, of one resource.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    fast: Rate,
    slow: Rate,
}

impl Arrivals {
    fn decay(&mut self, now: u64) {
        self.fast.decay(now, FAST_WINDOW_MS);
        self.slow.decay(now, SLOW_WINDOW_MS);
    }

    fn add(&mut self, work: u64) {
        self.fast.work = self.fast.work.saturating_add(work);
        self.slow.work = self.slow.work.saturating_add(work);
    }

    /// Expected rate of arriving work when a machine that is ordered now is in service.
    fn forecast(&self) -> u64 {
        let (fast, slow) = (self.fast.average(FAST_WINDOW_MS), self.slow.average(SLOW_WINDOW_MS));
        let rise = fast.saturating_sub(slow).saturating_mul(FORECAST_MS) / (SLOW_WINDOW_MS - FAST_WINDOW_MS);
        fast.max(slow).saturating_add(rise).saturating_mul(100 + HEADROOM_PERCENT) / 100
    }
}

impl Demand {
    fn decay(&mut self, now: u64) {
        self.cpu.decay(now);
        self.memory.decay(now);
    }

    fn add(&mut self, work: Work) {
        self.cpu.add(work.cpu);
        self.memory.add(work.memory);
    }

    /// Expected processor and memory of arriving work, with headroom.
    fn forecast(&self) -> Work {
        Work { cpu: self.cpu.forecast(), memory: self.memory.forecast() }
    }
}

/// Demand of a pool's accepted work.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingWork {
    /// Resources needed to place the waiting tasks in time.
    backlog: Work,
    /// Resources that long-running tasks occupy.
    long_running: Work,
    /// Number of workers over which long-running tasks must be spread.
    min_workers: u64,
    /// Number of workers that the largest gang that waits needs at once.
    gang: u64,
}

/// Expected work of a job without its long-running tasks.
fn work(submission: &Submission, times: JobTimes<'_>) -> Work {
    let steps = submission.steps.iter().filter(|step| !step.long_running);
    let work = steps.map(|step| {
        let time = u64::from(step.count).saturating_mul(times.of_step(step).mean_ms);
        Work { cpu: time.saturating_mul(step.need.cpu), memory: time.saturating_mul(step.need.memory) }
    });
    work.fold(Work::default(), Work::plus)
}

impl Dispatcher {
    /// Adds the work of a new job to the rate of its pool.
    pub(in super::super) fn add_arrival(&mut self, now: u64, id: JobId) {
        let Some(job) = self.table.get(id) else { return };
        let pool = self.terms(&job.submission).pool;
        let work = work(&job.submission, self.durations.of_job(&job.submission));
        self.add_work(now, pool, work);
    }

    /// Adds the work of a job that was handed in and is to be stored. It is counted once, however often the job is handed
    /// in or read.
    pub fn announce(&mut self, now: u64, submission: &Submission) {
        let announced = &self.fleet.announced.0;
        let known = self.table.get(submission.id).is_some() || announced.contains_key(&submission.id);
        if known || announced.len() >= MAX_ANNOUNCED {
            return;
        }
        let pool = self.terms(submission).pool;
        let work = work(submission, self.durations.of_job(submission));
        self.fleet.announced.0.insert(submission.id, Announced { at: now, pool: pool.clone(), work });
        self.add_work(now, pool, work);
    }

    /// Forgets an announced job that is stored. True if its work is counted.
    pub(in super::super) fn take_announced(&mut self, id: JobId) -> bool {
        self.fleet.announced.0.remove(&id).is_some()
    }

    fn add_work(&mut self, now: u64, pool: String, work: Work) {
        let demand = self.fleet.demand.entry(pool).or_default();
        demand.decay(now);
        demand.add(work);
    }

    /// Time since the view of the intake was complete, in milliseconds.
    fn intake_age(&self, now: u64) -> u64 {
        now.saturating_sub(self.intake_until.max(self.begun))
    }

    /// True if changes, the intake or announced jobs wait longer than a store without load takes.
    fn store_is_late(&self, now: u64) -> bool {
        now > self.settled + LATE_WRITE_MS
            || self.intake_age(now) > LATE_INTAKE_MS
            || self.fleet.announced.late(now)
    }

    /// Updates the period in which pools keep their machines.
    fn update_hold(&mut self, now: u64) {
        self.fleet.announced.expire(now);
        let late = self.store_is_late(now);
        let before = self.fleet.hold.holds(now);
        self.fleet.hold.update(now, late);
        let holds = self.fleet.hold.holds(now);
        if holds && !before {
            log::info!(
                target: DECISIONS, unstored_ms = now.saturating_sub(self.settled),
                intake_age_ms = self.intake_age(now), announced = self.fleet.announced.0.len();
                "the store is late; pools keep their machines"
            );
        } else if before && !holds {
            log::info!(target: DECISIONS, late = late; "pools no longer keep their machines for the store");
        }
    }

    /// Updates the number of machines that each pool needs.
    pub(super) fn update_demand(&mut self, now: u64) {
        self.update_hold(now);
        for pool in &self.catalog.pools {
            let demand = self.fleet.demand.entry(pool.name.clone()).or_default();
            demand.decay(now);
        }
        let names: Vec<String> = self.fleet.demand.keys().cloned().collect();
        let all = self.waiting_work(now);
        for name in names {
            let size = self.worker_size(&name);
            let key = self.pools.key(&name);
            let waiting = key.and_then(|key| all.get(key)).copied().unwrap_or_default();
            let announced = self.fleet.announced.backlog(&name);
            let Some(demand) = self.fleet.demand.get_mut(&name) else { continue };
            let backlog = waiting.backlog.plus(announced);
            let needed = demand.forecast().plus(backlog).plus(waiting.long_running).machines(size);
            // A gang is placed as a whole, beside the long-running tasks.
            let gang = match waiting.gang {
                0 => 0,
                workers => workers.saturating_add(waiting.long_running.machines(size)),
            };
            let least = waiting.min_workers.max(gang);
            demand.machines = needed.max(least.saturating_add(SPARE_MACHINES));
            demand.kept = needed.max(least.saturating_add(KEPT_MACHINES));
        }
    }

    /// Largest processor and memory of a worker of a pool. Without a worker, memory doesn't bind.
    fn worker_size(&self, pool: &str) -> Work {
        let workers = self.workers.values().filter(|w| w.listed && w.record.pool == pool);
        let (cpu, memory) = workers.fold((0, 0), |(cpu, memory), worker| {
            let capacity = worker.record.capacity;
            (capacity.cpu.max(cpu), capacity.memory.max(memory))
        });
        Work { cpu: cpu.max(1_000), memory: if memory == 0 { u64::MAX } else { memory } }
    }

    /// Demand of the waiting and of the long-running tasks, by pool.
    fn waiting_work(&self, now: u64) -> SecondaryMap<PoolKey, WaitingWork> {
        let mut all: SecondaryMap<PoolKey, WaitingWork> = SecondaryMap::new();
        for track in self.tracks.values() {
            let Some(waiting) = all.entry(track.pool).map(|entry| entry.or_default()) else { continue };
            let within = if now > track.objective { LATE_BACKLOG_MS } else { BACKLOG_MS };
            let backlog = &track.backlog;
            let ready = Work { cpu: backlog.ready_work, memory: backlog.ready_memory };
            let long_running = Work { cpu: backlog.long_running_cpu, memory: backlog.long_running_memory };
            waiting.backlog = waiting.backlog.plus(ready.over(within));
            waiting.long_running = waiting.long_running.plus(long_running);
            waiting.min_workers = waiting.min_workers.max(track.backlog.min_workers);
        }
        self.add_gangs(&mut all);
        all
    }

    /// Adds the workers that the largest gang of each pool needs at once, among those gangs that could be placed.
    fn add_gangs(&self, all: &mut SecondaryMap<PoolKey, WaitingWork>) {
        let mut sizes: SecondaryMap<PoolKey, u64> = SecondaryMap::new();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            if let Some(size) = sizes.entry(worker.pool).map(|entry| entry.or_default()) {
                *size = worker.record.capacity.cpu.max(*size);
            }
        }
        let machines = self.fleet.rows.len() as u64;
        for (id, track) in &self.tracks {
            let size = sizes.get(track.pool).copied().unwrap_or(0).max(1_000);
            let workers = track.backlog.gang.workers(size);
            let Some(waiting) = all.get_mut(track.pool) else { continue };
            if workers > waiting.gang && workers <= machines && self.could_run_gang(*id, track.backlog.gang) {
                waiting.gang = workers;
            }
        }
    }

    /// True if a worker of any pool is of the kind and size for the members of a gang.
    fn could_run_gang(&self, id: JobId, gang: GangNeed) -> bool {
        let step = self.table.get(id).and_then(|job| job.submission.steps.get(gang.step));
        let suits = |step: &Step| {
            let fits = |worker: &Worker| {
                worker.listed
                    && worker.has_label(step.label.as_deref())
                    && step.reserved().fits(worker.record.capacity)
            };
            self.workers.values().any(fits)
        };
        step.is_some_and(suits)
    }
}
