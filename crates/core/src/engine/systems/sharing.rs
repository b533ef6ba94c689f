//! Shares: sums the load of all members and updates what each team uses, is owed and may start here.

use std::collections::BTreeMap;

use super::super::event::Load;
use super::super::shares::{Sum, TeamLoad};
use super::super::{Engine, Millis};
use crate::ids::{MemberId, PoolId, TeamId};

/// Arriving work below which a load is left out of the digest, in slots.
const LEAST_OFFERED: f64 = 0.05;

impl Engine {
    pub(in crate::engine) fn run_shares(&mut self, now: Millis) {
        let Some(me) = self.member() else {
            return;
        };
        let mut loads = self.member_loads(me);
        for pool in self.fleet.pools.keys().copied().collect::<Vec<_>>() {
            let capacity = self.capacity(pool);
            let teams = self.team_loads(pool, &mut loads);
            self.shares.update(now, me, pool, capacity, &teams);
        }
    }

    /// Slots of the workers of a pool that take work.
    pub(super) fn capacity(&self, pool: PoolId) -> u32 {
        let workers = self.fleet.workers.values().filter(|w| w.pool == pool && self.may_use(w));
        workers.map(|w| w.slots).sum()
    }

    fn member_loads(&self, me: MemberId) -> BTreeMap<(PoolId, TeamId), BTreeMap<MemberId, Sum>> {
        let mut loads: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
        for (member, load) in self.peers.loads().filter(|(member, _)| *member != me) {
            let sum = Sum::from(load);
            loads.entry((load.pool, load.team)).or_default().insert(member, sum);
        }
        for load in &self.own_loads() {
            let sum = Sum::from(load);
            loads.entry((load.pool, load.team)).or_default().insert(me, sum);
        }
        loads
    }

    fn team_loads(
        &self,
        pool: PoolId,
        loads: &mut BTreeMap<(PoolId, TeamId), BTreeMap<MemberId, Sum>>,
    ) -> Vec<TeamLoad> {
        let team_load = |(id, team): (&TeamId, &crate::fleet::Team)| TeamLoad {
            team: *id,
            share: team.share,
            limit: team.limit,
            members: loads.remove(&(pool, *id)).unwrap_or_default(),
            sent: self.sent_load(pool, *id),
        };
        self.fleet.teams.iter().map(team_load).collect()
    }

    fn sent_load(&self, pool: PoolId, team: TeamId) -> Sum {
        let sent = self.sent_loads.iter().find(|load| load.pool == pool && load.team == team);
        sent.map_or_else(Sum::default, Sum::from)
    }

    /// Running and waiting work of this member per pool and team.
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
            .filter(|l| l.running + l.waiting > 0 || l.offered > LEAST_OFFERED)
            .collect()
    }
}
