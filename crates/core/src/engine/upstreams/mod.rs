//! Per-worker state of this member: work in flight, backoff after refusals and failures, and learned run times.

use std::collections::BTreeMap;

use super::Millis;
use crate::fleet::{Fleet, WorkerState};
use crate::ids::{PoolId, TeamId, WorkerId};
use crate::policy::placement::RunTime;

/// Pause after a worker refused work because its slots were full, in milliseconds.
const FULL_PAUSE_MS: u64 = 20;
/// Pause after a worker refused work because it is shutting down or in another pool, in milliseconds. The log or the
/// platform's list shows the change within this time.
const REFUSAL_PAUSE_MS: u64 = 5_000;
/// First pause after a failed connection, in milliseconds; doubles with each consecutive failure.
const MIN_BACKOFF_MS: u64 = 200;
/// Maximum pause after failed connections, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Assumed run time until a pool has answered for the first time, in milliseconds.
const DEFAULT_RUN_MS: f64 = 10.0;

/// State of one worker as seen by this member.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    /// Index of the worker's rack in `Upstreams::racks`.
    rack: u32,
    run_time: RunTime,
    /// Requests and tasks of this member in flight.
    pub(super) in_flight: u32,
    /// Tasks of this member in flight.
    tasks: u32,
    /// Nothing is started before this time.
    pub(super) paused_until: Millis,
    /// Consecutive failed connections.
    pub(super) failures: u32,
    /// True while a probe is in progress.
    pub(super) probing: bool,
    /// True if the platform's list shows the worker as shutting down.
    pub(super) leaving: bool,
    /// For each request whose answer was lost: the time until which the worker may still run it.
    pub(super) orphaned: Vec<Millis>,
}

/// State of all workers as seen by this member, and an index of them.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    pub(super) rows: BTreeMap<WorkerId, Upstream>,
    /// Workers of each pool that are not lost.
    pools: BTreeMap<PoolId, Vec<WorkerId>>,
    /// Serving workers of each pool that the current maintenance wave has not drained yet.
    due: BTreeMap<PoolId, Vec<WorkerId>>,
    /// Workers that are neither serving nor lost.
    stopped: Vec<WorkerId>,
    racks: BTreeMap<String, u32>,
    /// Running work of this member by team and rack.
    team_racks: BTreeMap<(TeamId, u32), u32>,
    /// Run times of requests and tasks.
    run_times: BTreeMap<PoolId, RunTime>,
    /// Run times of requests alone.
    request_times: BTreeMap<(PoolId, TeamId), RunTime>,
}

impl Upstreams {
    pub(super) fn row(&mut self, id: WorkerId) -> &mut Upstream {
        self.rows.entry(id).or_default()
    }

    /// Requests and tasks of this member in flight on a worker.
    pub(super) fn in_flight(&self, id: WorkerId) -> u32 {
        self.rows.get(&id).map_or(0, |row| row.in_flight)
    }

    /// Tasks of this member in flight on a worker.
    pub(super) fn tasks(&self, id: WorkerId) -> u32 {
        self.rows.get(&id).map_or(0, |row| row.tasks)
    }

    /// True if no work of this member can still run on the worker.
    pub(super) fn idle(&self, id: WorkerId, now: Millis) -> bool {
        self.rows.get(&id).is_none_or(|row| row.idle(now))
    }

    /// Workers of a pool that are not lost.
    pub(super) fn of_pool(&self, pool: PoolId) -> &[WorkerId] {
        self.pools.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Serving workers of a pool that the current maintenance wave has not drained yet.
    pub(super) fn due(&self, pool: PoolId) -> &[WorkerId] {
        self.due.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Workers that are neither serving nor lost.
    pub(super) fn stopped(&self) -> &[WorkerId] {
        &self.stopped
    }

    /// Rebuilds the index by pool, rack and state after a batch changed workers. Ticks use the index instead of
    /// scanning all workers.
    pub(super) fn rebuild_index(&mut self, fleet: &Fleet) {
        self.pools.clear();
        self.due.clear();
        self.stopped.clear();
        for (id, worker) in fleet.workers.iter().filter(|(_, w)| w.state != WorkerState::Lost) {
            self.pools.entry(worker.pool).or_default().push(*id);
            if worker.state != WorkerState::Serving {
                self.stopped.push(*id);
            } else if worker.due {
                self.due.entry(worker.pool).or_default().push(*id);
            }
            let rack = self.racks.get(&worker.rack).copied().unwrap_or_else(|| {
                let next = u32::try_from(self.racks.len()).unwrap_or(u32::MAX);
                self.racks.insert(worker.rack.clone(), next);
                next
            });
            self.rows.entry(*id).or_default().rack = rack;
        }
    }

    /// Counts work that starts on a worker.
    pub(super) fn start(&mut self, id: WorkerId, team: TeamId, task: bool) {
        let row = self.rows.entry(id).or_default();
        row.in_flight += 1;
        row.tasks += u32::from(task);
        *self.team_racks.entry((team, row.rack)).or_default() += 1;
    }

    /// Counts work that ended on a worker.
    pub(super) fn end(&mut self, id: WorkerId, team: TeamId, task: bool) {
        let row = self.rows.entry(id).or_default();
        row.in_flight = row.in_flight.saturating_sub(1);
        row.tasks = row.tasks.saturating_sub(u32::from(task));
        if let Some(running) = self.team_racks.get_mut(&(team, row.rack)) {
            *running = running.saturating_sub(1);
        }
    }

    /// Running work of a team at this member in the rack of a worker.
    pub(super) fn team_in_rack(&self, team: TeamId, id: WorkerId) -> u32 {
        let rack = self.rows.get(&id).map_or(0, |row| row.rack);
        self.team_racks.get(&(team, rack)).copied().unwrap_or(0)
    }

    pub(super) fn learn_run_time(&mut self, pool: PoolId, worker: WorkerId, ms: u64) {
        self.run_times.entry(pool).or_default().learn(ms as f64);
        self.row(worker).run_time.learn(ms as f64);
    }

    /// Updates the mean run time of a team's requests. Tasks are left out: they run much longer and would distort the
    /// estimate for requests.
    pub(super) fn learn_request_time(&mut self, pool: PoolId, team: TeamId, ms: u64) {
        self.request_times.entry((pool, team)).or_default().learn(ms as f64);
    }

    /// Updates the mean with a request that ran for at least `ms`. Without this, an instance whose first requests all
    /// time out would keep an estimate that is too low.
    pub(super) fn learn_min_time(&mut self, pool: PoolId, team: TeamId, ms: u64) {
        if ms as f64 > self.request_time(pool, team) {
            self.request_times.entry((pool, team)).or_default().learn(ms as f64);
        }
    }

    /// Mean run time of a team's requests, in milliseconds.
    pub(super) fn request_time(&self, pool: PoolId, team: TeamId) -> f64 {
        self.request_times.get(&(pool, team)).and_then(RunTime::mean_ms).unwrap_or(DEFAULT_RUN_MS)
    }

    /// Mean run time of requests and tasks in a pool, in milliseconds.
    pub(super) fn run_time(&self, pool: PoolId) -> f64 {
        self.run_times.get(&pool).and_then(RunTime::mean_ms).unwrap_or(DEFAULT_RUN_MS)
    }

    /// Mean run time on a worker, or in its pool if the worker has not answered yet, in milliseconds.
    pub(super) fn run_time_on(&self, pool: PoolId, worker: WorkerId) -> f64 {
        let own = self.rows.get(&worker).and_then(|row| row.run_time.mean_ms());
        own.unwrap_or_else(|| self.run_time(pool))
    }
}

impl Upstream {
    /// True if the worker is neither shutting down nor paused.
    pub(super) fn is_available(&self, now: Millis) -> bool {
        !self.leaving && self.paused_until <= now
    }

    /// True if no work of this member can still run on the worker.
    pub(super) fn idle(&self, now: Millis) -> bool {
        self.in_flight == 0 && self.orphaned.iter().all(|until| *until <= now)
    }

    pub(super) fn pause_full(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now.plus(FULL_PAUSE_MS));
    }

    pub(super) fn pause_refused(&mut self, now: Millis) {
        self.paused_until = self.paused_until.max(now.plus(REFUSAL_PAUSE_MS));
    }

    pub(super) fn back_off(&mut self, now: Millis) {
        let pause = MIN_BACKOFF_MS << self.failures.min(8);
        self.failures += 1;
        self.paused_until = self.paused_until.max(now.plus(pause.min(MAX_BACKOFF_MS)));
    }

    pub(super) fn reset_backoff(&mut self) {
        if self.failures > 0 {
            self.failures = 0;
            self.paused_until = Millis(0);
        }
    }
}
