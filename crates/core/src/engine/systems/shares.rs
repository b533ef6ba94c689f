//! Shares: sums the load over all members and updates the use, entitlement and quota of each team.

use std::collections::{BTreeMap, BTreeSet};

use super::super::event::Load;
use super::super::shares::{LoadSum, TeamLoad};
use super::super::{Engine, Millis};
use crate::fleet::WorkerState;
use crate::ids::{MemberId, Offset, PoolId, TeamId, ZoneId};

/// Workers and slots of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Capacity {
    /// Workers that accept work according to the log.
    pub(super) serving: u32,
    /// Workers that are moving to the pool.
    pub(super) arriving: u32,
    /// Slots of the workers that accept work according to the log and to all peers.
    pub(super) slots: u32,
}

/// Offered load up to which an otherwise idle load is left out of the digest, in slots.
const MIN_OFFERED_SLOTS: f64 = 0.05;

/// Loads by pool and team, each sorted by member id.
type MemberLoads = BTreeMap<(PoolId, TeamId), Vec<(MemberId, LoadSum)>>;

/// Capacity of each pool, with the inputs that it was computed from: the offset of the log and the zone removals that
/// peers have reported.
#[derive(Debug, Default)]
pub(in crate::engine) struct PoolCapacities {
    inputs: Option<(Option<Offset>, BTreeMap<ZoneId, u64>)>,
    pools: BTreeMap<PoolId, Capacity>,
}

impl Engine {
    pub(in crate::engine) fn run_shares(&mut self, now: Millis) {
        let Some(me) = self.member() else {
            return;
        };
        let mut loads = self.member_loads(me);
        self.update_capacities();
        for pool in self.fleet.pools.keys().copied().collect::<Vec<_>>() {
            let capacity = self.capacity(pool).slots;
            let teams = self.team_loads(pool, &mut loads);
            self.shares.update(now, me, pool, capacity, &teams);
        }
        self.shares.end_update(now);
    }

    /// Capacity of a pool as of the last tick.
    pub(super) fn capacity(&self, pool: PoolId) -> Capacity {
        self.capacities.pools.get(&pool).copied().unwrap_or_default()
    }

    /// Recomputes the capacities if the log or the reported zone removals have changed.
    fn update_capacities(&mut self) {
        let same = |(offset, removed): &(Option<Offset>, BTreeMap<ZoneId, u64>)| {
            *offset == self.fleet.applied && *removed == self.peers.removed
        };
        if !self.capacities.inputs.as_ref().is_some_and(same) {
            let inputs = Some((self.fleet.applied, self.peers.removed.clone()));
            self.capacities = PoolCapacities { inputs, pools: self.count_capacities() };
        }
    }

    /// Computes the capacity of all pools in one pass over the workers.
    fn count_capacities(&self) -> BTreeMap<PoolId, Capacity> {
        let mut capacities: BTreeMap<PoolId, Capacity> = BTreeMap::new();
        for worker in self.fleet.workers.values() {
            let pool = capacities.entry(worker.pool).or_default();
            pool.serving += u32::from(self.fleet.takes_work(worker));
            pool.slots += if self.may_use(worker) { worker.slots } else { 0 };
            if let WorkerState::Moving { to, .. } = worker.state {
                capacities.entry(to).or_default().arriving += 1;
            }
        }
        capacities
    }

    fn member_loads(&self, me: MemberId) -> MemberLoads {
        let mut loads = MemberLoads::new();
        for (member, load) in self.peers.loads().filter(|(member, _)| *member != me) {
            let sum = LoadSum::from(load);
            loads.entry((load.pool, load.team)).or_default().push((member, sum));
        }
        for load in &self.own_loads() {
            let sum = LoadSum::from(load);
            let members = loads.entry((load.pool, load.team)).or_default();
            // The peers are sorted by id.
            let place = members.partition_point(|(member, _)| *member < me);
            members.insert(place, (me, sum));
        }
        loads
    }

    fn team_loads(&self, pool: PoolId, loads: &mut MemberLoads) -> Vec<TeamLoad> {
        let with_load = loads.range((pool, TeamId(0))..=(pool, TeamId(u32::MAX))).map(|((_, team), _)| *team);
        let teams: BTreeSet<TeamId> = self.shares.teams(pool).chain(with_load).collect();
        let team_load = |id: TeamId| {
            let team = self.fleet.teams.get(&id)?;
            let members = loads.remove(&(pool, id)).unwrap_or_default();
            let sent = self.sent_load(pool, id);
            Some(TeamLoad { team: id, share: team.share, limit: team.limit, members, sent })
        };
        teams.into_iter().filter_map(team_load).collect()
    }

    /// Load of this member as of its last digest.
    fn sent_load(&self, pool: PoolId, team: TeamId) -> LoadSum {
        // The loads of a digest are sorted by pool and team, as `own_loads` returns them.
        let found = self.sent_loads.binary_search_by_key(&(pool, team), |load| (load.pool, load.team));
        found.map_or_else(|_| LoadSum::default(), |index| LoadSum::from(&self.sent_loads[index]))
    }

    /// Load of this member, sorted by pool and team; idle pairs are left out.
    pub(super) fn own_loads(&self) -> Vec<Load> {
        let mut keys: Vec<(PoolId, TeamId)> = self.shares.rows.keys().copied().collect();
        keys.extend(self.requests.queues.keys());
        keys.sort_unstable();
        keys.dedup();
        let load = |(pool, team): (PoolId, TeamId)| {
            let row = self.shares.rows.get(&(pool, team));
            Load {
                pool,
                team,
                running: row.map_or(0, |row| row.running),
                waiting: self.requests.waiting(pool, team),
                offered: row.map_or(0.0, |row| row.offered),
            }
        };
        keys.into_iter()
            .map(load)
            .filter(|l| l.running + l.waiting > 0 || l.offered > MIN_OFFERED_SLOTS)
            .collect()
    }
}
