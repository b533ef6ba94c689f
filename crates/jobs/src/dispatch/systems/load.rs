//! Load of each pool, logged once a second. It tells whether capacity limits the work, or the path of a start: placed,
//! stored, sent, answered, and its end listed and stored.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::fleet::Goal;
use crate::DECISIONS;

/// Interval between two log lines about a pool, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Load of one pool. Processor is given in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// Listed workers.
    pub workers: u64,
    /// Those on which tasks may be placed.
    pub open: u64,
    /// Workers whose ends wait for the store.
    pub storing: u64,
    /// Machines on their way to the pool.
    pub coming: u64,
    /// Processor of the listed workers.
    pub capacity: u64,
    /// Processor reserved by runs.
    pub used: u64,
    /// Runs whose start has no answer yet.
    pub unanswered: u64,
    /// Tasks that wait although their steps are ready.
    pub ready: u64,
    /// Processor that these tasks need.
    pub ready_cpu: u64,
    /// Jobs with such tasks.
    pub jobs: u64,
    /// Those of these jobs that have missed their objective.
    pub late: u64,
}

/// Listed workers of a pool that get no tasks, by the first reason that applies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Exclusions {
    /// Workers that drain, are emptied or are in an evacuated availability zone.
    pub leaving: u64,
    /// Workers whose present process has not answered a poll with its token.
    pub unfenced: u64,
    /// Workers that have not answered.
    pub silent: u64,
    /// Workers that refused a start, failed most runs or have a run of unknown size.
    pub refusing: u64,
}

impl Dispatcher {
    /// Workers that get no tasks, for each pool that has some.
    #[must_use]
    pub fn exclusions(&self, now: u64) -> BTreeMap<&str, Exclusions> {
        let mut pools: BTreeMap<&str, Exclusions> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.listed && worker.served) {
            let evacuated = self.evacuated.contains(&worker.record.zone);
            if worker.accepts_tasks(now) && !evacuated {
                continue;
            }
            let pool = pools.entry(worker.record.pool.as_str()).or_default();
            let count = if worker.record.draining || worker.emptying || evacuated {
                &mut pool.leaving
            } else if worker.silent {
                &mut pool.silent
            } else if worker.excluded_until > now {
                &mut pool.refusing
            } else {
                &mut pool.unfenced
            };
            *count += 1;
        }
        pools
    }

    /// Logs why workers get no tasks, for the pools in which some don't answer or refuse starts.
    fn log_exclusions(&self, now: u64) {
        for (pool, excluded) in self.exclusions(now) {
            if excluded.silent + excluded.refusing == 0 {
                continue;
            }
            log::info!(
                target: DECISIONS, pool = pool, silent = excluded.silent, refusing = excluded.refusing,
                unfenced = excluded.unfenced, leaving = excluded.leaving, lost_percent = self.losses.percent();
                "workers of the pool get no tasks"
            );
        }
    }

    /// Load of each pool that the catalog names.
    #[must_use]
    pub fn pool_loads(&self, now: u64) -> BTreeMap<&str, PoolLoad> {
        let mut loads: BTreeMap<&str, PoolLoad> =
            self.catalog.pools.iter().map(|pool| (pool.name.as_str(), PoolLoad::default())).collect();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            let Some(load) = loads.get_mut(worker.record.pool.as_str()) else { continue };
            load.workers += 1;
            load.open += u64::from(worker.accepts_tasks(now));
            load.storing += u64::from(worker.pending_ack.is_some());
            load.capacity += worker.record.capacity.cpu;
            load.used += worker.used.cpu;
            load.unanswered += worker.runs.values().filter(|run| run.awaits_answer()).count() as u64;
        }
        for order in self.fleet.rows.values().filter_map(|row| row.order.as_ref()) {
            if let Goal::Pool(pool) = &order.goal
                && let Some(load) = loads.get_mut(pool.as_str())
            {
                load.coming += 1;
            }
        }
        self.add_ready_tasks(now, &mut loads);
        loads
    }

    fn add_ready_tasks(&self, now: u64, loads: &mut BTreeMap<&str, PoolLoad>) {
        for track in self.tracks.values().filter(|track| track.backlog.ready > 0) {
            let Some(load) = loads.get_mut(self.pools.name(track.pool)) else { continue };
            load.ready += track.backlog.ready;
            load.ready_cpu = load.ready_cpu.saturating_add(track.backlog.ready_cpu);
            load.jobs += 1;
            load.late += u64::from(now > track.objective);
        }
    }

    /// Logs the load of the pools that have work, once a second.
    pub(in super::super) fn log_load(&mut self, now: u64) {
        if now < self.last_load + LOG_INTERVAL_MS {
            return;
        }
        self.last_load = now;
        self.log_exclusions(now);
        self.log_surplus();
        for (name, load) in self.pool_loads(now) {
            if load.used == 0 && load.ready == 0 {
                continue;
            }
            let demand = self.fleet.demand.get(name).copied().unwrap_or_default();
            log::info!(
                pool = name, workers = load.workers, open = load.open, storing = load.storing, coming = load.coming,
                wanted = demand.machines, capacity = load.capacity, used = load.used,
                unanswered = load.unanswered, ready = load.ready, ready_cpu = load.ready_cpu,
                jobs = load.jobs, late = load.late;
                "load of the pool"
            );
        }
    }
}
