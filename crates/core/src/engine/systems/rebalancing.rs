//! Rebalancing: moves workers between pools when demand shifts for longer than a move takes.
//!
//! Every member feeds its planner with the fleet's loads, but only the best-ranked member with a recent digest proposes
//! moves. In a partition each side may propose; a record that would violate a pool's minimum is void.

use std::collections::BTreeMap;

use super::super::shares::LoadSum;
use super::super::{Engine, Millis};
use super::duty::Duty;
use super::shares::Capacity;
use crate::fleet::WorkerState;
use crate::ids::{MemberId, PoolId, TeamId, WorkerId};
use crate::policy::rebalance::{Move, PoolLoad, WorkerLoad, choose_worker};
use crate::record::Record;

impl Engine {
    pub(in crate::engine) fn run_moves(&mut self, now: Millis) {
        let Some(me) = self.member() else {
            return;
        };
        let loads = self.pool_loads();
        let planned = self.planner.plan(now, &loads);
        let (true, Some(planned)) = (self.proposes_moves(me), planned) else {
            return;
        };
        if self.appends.contains(|r| matches!(r, Record::MoveLeft { .. })) {
            return;
        }
        if let Some(worker) = self.choose_worker_to_move(&planned) {
            self.counters.moves += 1;
            let to = self.fleet.pools[&planned.to].name.clone();
            self.append_record(now, Record::MoveLeft { worker, to });
        }
    }

    fn proposes_moves(&self, me: MemberId) -> bool {
        let own = self.rank(me, Duty::Moves);
        let live = |id: &MemberId| self.fleet.live_members().any(|other| other == *id);
        !self.peers.recent_members().filter(live).any(|id| self.rank(id, Duty::Moves) < own)
    }

    fn pool_loads(&self) -> Vec<PoolLoad> {
        let running = self.shares.running_by_team();
        let load = |pool: &PoolId| self.pool_load(*pool, self.capacity(*pool), &running);
        self.fleet.pools.keys().map(load).collect()
    }

    fn pool_load(&self, pool: PoolId, capacity: Capacity, team_running: &BTreeMap<TeamId, u32>) -> PoolLoad {
        let row = &self.fleet.pools[&pool];
        let Capacity { serving, arriving, slots } = capacity;
        let work = self.pool_work(pool, team_running);
        PoolLoad {
            pool,
            spare: row.spare,
            serving,
            arriving,
            min_serving: row.min_serving,
            slots: slots.checked_div(serving).unwrap_or(0),
            running: work.running,
            waiting: work.waiting,
            offered: work.offered,
            run_ms: self.upstreams.run_time(pool),
            max_wait_ms: self.fleet.declaration.defaults.deadline_ms as f64,
        }
    }

    /// Load of a pool over the fleet. Waiting work that exceeds its team's limit is left out.
    fn pool_work(&self, pool: PoolId, team_running: &BTreeMap<TeamId, u32>) -> LoadSum {
        let mut work = LoadSum::default();
        for id in self.shares.teams(pool) {
            let Some(team) = self.fleet.teams.get(&id) else {
                continue;
            };
            let sum = self.shares.total(pool, id);
            let used = team_running.get(&id).copied().unwrap_or(0);
            work.running += sum.running;
            work.waiting += sum.waiting.min(team.limit.saturating_sub(used));
            work.offered += sum.offered;
        }
        work
    }

    fn choose_worker_to_move(&self, planned: &Move) -> Option<WorkerId> {
        let workers = self.upstreams.of_pool(planned.from).iter().copied();
        let serving: Vec<WorkerId> =
            workers.filter(|id| self.fleet.takes_work(&self.fleet.workers[id])).collect();
        let loads: Vec<WorkerLoad> = serving.iter().map(|id| self.worker_load(*id, planned)).collect();
        choose_worker(&loads).map(|index| serving[index])
    }

    fn worker_load(&self, id: WorkerId, planned: &Move) -> WorkerLoad {
        let zone = self.fleet.workers[&id].zone;
        let in_zone = |pool: PoolId| {
            let same = self.fleet.workers.values().filter(|w| w.pool == pool && w.zone == zone);
            u32::try_from(same.filter(|w| w.state == WorkerState::Serving).count()).unwrap_or(u32::MAX)
        };
        WorkerLoad {
            running: self.upstreams.in_flight(id),
            source_in_zone: in_zone(planned.from),
            target_in_zone: in_zone(planned.to),
        }
    }
}
