//! Local view of the workers: own work in flight, refusals and failures of the last moments.

use std::collections::BTreeMap;

use super::Millis;
use crate::fleet::{Fleet, WorkerState};
use crate::ids::{PoolId, TeamId, WorkerId};
use crate::policy::placement::RunTime;

/// Pause after a worker refused for lack of slots, in milliseconds.
const FULL_PAUSE_MS: u64 = 20;
/// Pause after a worker said that it is leaving or in another pool, in milliseconds. The log or the list tells
/// for good within this time.
const REFUSAL_PAUSE_MS: u64 = 5_000;
/// First pause after a failed connection, in milliseconds; doubles with each failure in a row.
const MIN_BACKOFF_MS: u64 = 200;
/// Longest pause after failed connections, in milliseconds.
const MAX_BACKOFF_MS: u64 = 5_000;

/// Run time that is assumed before the first answer of a pool, in milliseconds.
const DEFAULT_RUN_MS: f64 = 10.0;

/// Local view of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Upstream {
    /// Number of its rack, from the index.
    rack: u32,
    run_time: RunTime,
    /// Own work in flight: requests and tasks.
    pub(super) in_flight: u32,
    /// Own tasks in flight.
    tasks: u32,
    /// No start before this time.
    pub(super) paused_until: Millis,
    /// Failed connections in a row.
    pub(super) failures: u32,
    /// True while a probe is under way.
    pub(super) probing: bool,
    /// True if the platform's list shows it as leaving.
    pub(super) leaving: bool,
    /// Requests whose answers may still be on the way although their connection is closed.
    pub(super) orphaned: Vec<Millis>,
}

/// Local view of all workers.
#[derive(Debug, Default)]
pub(super) struct Upstreams {
    pub(super) rows: BTreeMap<WorkerId, Upstream>,
    /// Workers of each pool that are not lost.
    pools: BTreeMap<PoolId, Vec<WorkerId>>,
    /// Serving workers of each pool that a maintenance wave has not reached.
    due: BTreeMap<PoolId, Vec<WorkerId>>,
    /// Workers that are neither serving nor lost.
    stopped: Vec<WorkerId>,
    racks: BTreeMap<String, u32>,
    /// Own running work of each team in each rack.
    team_racks: BTreeMap<(TeamId, u32), u32>,
    run_times: BTreeMap<PoolId, RunTime>,
    request_times: BTreeMap<(PoolId, TeamId), RunTime>,
}

impl Upstreams {
    pub(super) fn row(&mut self, id: WorkerId) -> &mut Upstream {
        self.rows.entry(id).or_default()
    }

    /// Own work in flight on a worker.
    pub(super) fn in_flight(&self, id: WorkerId) -> u32 {
        self.rows.get(&id).map_or(0, |row| row.in_flight)
    }

    /// Own tasks in flight on a worker.
    pub(super) fn tasks(&self, id: WorkerId) -> u32 {
        self.rows.get(&id).map_or(0, |row| row.tasks)
    }

    /// True if no own work can run on the worker any more.
    pub(super) fn idle(&self, id: WorkerId, now: Millis) -> bool {
        self.rows.get(&id).is_none_or(|row| row.idle(now))
    }

    /// Workers of a pool that are not lost.
    pub(super) fn of_pool(&self, pool: PoolId) -> &[WorkerId] {
        self.pools.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Serving workers of a pool that a maintenance wave has not reached.
    pub(super) fn due(&self, pool: PoolId) -> &[WorkerId] {
        self.due.get(&pool).map_or(&[], Vec::as_slice)
    }

    /// Workers that are neither serving nor lost.
    pub(super) fn stopped(&self) -> &[WorkerId] {
        &self.stopped
    }

    /// Rebuilds the index by pool, rack and life cycle after the replicated state changed. Ticks read the index, so
    /// that they do not pass over all workers.
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

    /// Counts a start on a worker.
    pub(super) fn start(&mut self, id: WorkerId, team: TeamId, task: bool) {
        let row = self.rows.entry(id).or_default();
        row.in_flight += 1;
        row.tasks += u32::from(task);
        *self.team_racks.entry((team, row.rack)).or_default() += 1;
    }

    /// Counts an end on a worker.
    pub(super) fn end(&mut self, id: WorkerId, team: TeamId, task: bool) {
        let row = self.rows.entry(id).or_default();
        row.in_flight = row.in_flight.saturating_sub(1);
        row.tasks = row.tasks.saturating_sub(u32::from(task));
        if let Some(running) = self.team_racks.get_mut(&(team, row.rack)) {
            *running = running.saturating_sub(1);
        }
    }

    /// Own running work of a team in the rack of a worker.
    pub(super) fn team_in_rack(&self, team: TeamId, id: WorkerId) -> u32 {
        let rack = self.rows.get(&id).map_or(0, |row| row.rack);
        self.team_racks.get(&(team, rack)).copied().unwrap_or(0)
    }

    pub(super) fn learn_run_time(&mut self, pool: PoolId, worker: WorkerId, ms: u64) {
        self.run_times.entry(pool).or_default().learn(ms as f64);
        self.row(worker).run_time.learn(ms as f64);
    }

    /// Learns the run time of a request. Tasks run much longer and would spoil the estimate.
    pub(super) fn learn_request_time(&mut self, pool: PoolId, team: TeamId, ms: u64) {
        self.request_times.entry((pool, team)).or_default().learn(ms as f64);
    }

    /// Learns that a request ran longer than this. Without it, an instance whose first requests all time out would
    /// never learn that they need more time.
    pub(super) fn learn_min_time(&mut self, pool: PoolId, team: TeamId, ms: u64) {
        if ms as f64 > self.request_time(pool, team) {
            self.request_times.entry((pool, team)).or_default().learn(ms as f64);
        }
    }

    /// Learned run time of a team's requests, in milliseconds.
    pub(super) fn request_time(&self, pool: PoolId, team: TeamId) -> f64 {
        self.request_times.get(&(pool, team)).and_then(RunTime::mean_ms).unwrap_or(DEFAULT_RUN_MS)
    }

    /// Learned run time of a pool, in milliseconds.
    pub(super) fn run_time(&self, pool: PoolId) -> f64 {
        self.run_times.get(&pool).and_then(RunTime::mean_ms).unwrap_or(DEFAULT_RUN_MS)
    }

    /// Learned run time on a worker, or else in its pool, in milliseconds.
    pub(super) fn run_time_on(&self, pool: PoolId, worker: WorkerId) -> f64 {
        let own = self.rows.get(&worker).and_then(|row| row.run_time.mean_ms());
        own.unwrap_or_else(|| self.run_time(pool))
    }
}

impl Upstream {
    /// True if a start may be tried now.
    pub(super) fn is_available(&self, now: Millis) -> bool {
        !self.leaving && self.paused_until <= now
    }

    /// True if no work of this instance can run on it any more.
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
