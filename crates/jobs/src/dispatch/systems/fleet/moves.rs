//! Moves of machines between pools and into standby.
//!
//! Written for surges that visit one pool after the other: a pool that needs machines gets them from standby first,
//! then from pools that have more than they need; a machine that nobody needs goes to standby, where it costs nothing.

use std::collections::BTreeMap;

use super::super::super::Dispatcher;
use super::{Demand, Goal, Order, Row, Stage};
use crate::dispatch::event::MachineState;

/// Time for which a pool has too many machines before one is parked, in milliseconds. A move and the way back cost
/// as much as this time in the pool.
const PARK_MS: u64 = 2_000;
/// Machines of a pool.
#[derive(Clone, Debug, Default)]
struct Roll {
    /// Machines that serve or are on their way to it.
    have: u64,
    /// Machines without runs that may leave, longest idle last.
    idle: Vec<(u64, String)>,
    /// Machines without runs in availability zones that get no work.
    closed: Vec<String>,
}

impl Dispatcher {
    /// Orders the moves that demand asks for.
    pub(super) fn plan_moves(&mut self, now: u64) {
        let standby: Vec<String> =
            self.catalog.pools.iter().filter(|pool| pool.standby).map(|pool| pool.name.clone()).collect();
        let Some(parking) = standby.first().cloned() else { return };
        let mut rolls = self.roll_call(now);
        self.fill_pools(now, &mut rolls, &standby, |demand| demand.machines);
        self.fill_pools(now, &mut rolls, &standby, |demand| demand.kept);
        self.park_machines(now, &mut rolls, &parking);
    }

    /// Moves machines to the pools that have fewer than a number, the largest lack first.
    fn fill_pools(
        &mut self,
        now: u64,
        rolls: &mut BTreeMap<String, Roll>,
        standby: &[String],
        wanted: fn(&Demand) -> u64,
    ) {
        let want = |pool: &str| self.fleet.demand.get(pool).map_or(0, wanted);
        let mut needs: Vec<(u64, String)> = Vec::new();
        for pool in self.catalog.pools.iter().filter(|pool| !pool.standby) {
            let have = rolls.get(&pool.name).map_or(0, |roll| roll.have);
            let lack = want(&pool.name).saturating_sub(have);
            if lack > 0 {
                needs.push((lack, pool.name.clone()));
            }
        }
        needs.sort_unstable_by(|a, b| b.cmp(a));
        for (count, pool) in needs {
            for _ in 0..count {
                let Some(name) = self.take_machine(rolls, standby, &pool, wanted) else { break };
                if let Some(roll) = rolls.get_mut(&pool) {
                    roll.have += 1;
                }
                self.start_move(now, &name, &pool);
            }
        }
    }

    fn roll_call(&self, now: u64) -> BTreeMap<String, Roll> {
        let mut rolls: BTreeMap<String, Roll> = BTreeMap::new();
        for (name, row) in &self.fleet.rows {
            match &row.order {
                Some(Order { goal: Goal::Pool(pool), .. }) => {
                    rolls.entry(pool.clone()).or_default().have += 1;
                    continue;
                }
                Some(Order { goal: Goal::Upkeep(_), .. }) => continue,
                None => {}
            }
            let serves = matches!(row.machine.state, MachineState::Up | MachineState::Moving);
            if !serves {
                continue;
            }
            if self.evacuated.contains(&row.machine.zone) {
                if row.free(now) && self.movable(row) {
                    rolls.entry(row.machine.pool.clone()).or_default().closed.push(name.clone());
                }
                continue;
            }
            let roll = rolls.entry(row.machine.pool.clone()).or_default();
            roll.have += 1;
            if row.free(now) && self.movable(row) {
                roll.idle.push((row.idle.unwrap_or(now), name.clone()));
            }
        }
        for roll in rolls.values_mut() {
            // The machine that has been idle for longest is taken from the end.
            roll.idle.sort_unstable_by(|a, b| b.cmp(a));
        }
        rolls
    }

    /// True if a machine can leave without ending a run.
    fn movable(&self, row: &Row) -> bool {
        let worker = self.machine_worker(row).and_then(|key| self.workers.get(key));
        worker.is_none_or(|worker| worker.runs.is_empty() && worker.silent == 0 && !worker.record.draining)
    }

    /// Machine for a pool in need.
    fn take_machine(
        &self,
        rolls: &mut BTreeMap<String, Roll>,
        standby: &[String],
        pool: &str,
        wanted: fn(&Demand) -> u64,
    ) -> Option<String> {
        for name in standby {
            if let Some((_, machine)) = rolls.get_mut(name).and_then(|roll| roll.idle.pop()) {
                return Some(machine);
            }
        }
        let surplus = |name: &String, roll: &Roll| {
            let want = self.fleet.demand.get(name).map_or(0, wanted);
            roll.have.saturating_sub(want)
        };
        let giver = rolls
            .iter()
            .filter(|(name, roll)| name.as_str() != pool && !roll.idle.is_empty())
            .map(|(name, roll)| (surplus(name, roll), name.clone()))
            .filter(|(surplus, _)| *surplus > 0)
            .max()?
            .1;
        let roll = rolls.get_mut(&giver)?;
        roll.have -= 1;
        roll.idle.pop().map(|(_, machine)| machine)
    }

    fn park_machines(&mut self, now: u64, rolls: &mut BTreeMap<String, Roll>, parking: &str) {
        let pools: Vec<String> =
            self.catalog.pools.iter().filter(|pool| !pool.standby).map(|pool| pool.name.clone()).collect();
        for pool in pools {
            let Some(roll) = rolls.get_mut(&pool) else { continue };
            for name in std::mem::take(&mut roll.closed) {
                self.start_move(now, &name, parking);
            }
            let Some(demand) = self.fleet.demand.get_mut(&pool) else { continue };
            if roll.have <= demand.kept {
                demand.surplus = None;
                continue;
            }
            let since = *demand.surplus.get_or_insert(now);
            if now < since + PARK_MS {
                continue;
            }
            let surplus = roll.have - demand.kept;
            for _ in 0..surplus {
                let Some((idle, name)) = roll.idle.pop() else { break };
                if now >= idle + PARK_MS {
                    self.start_move(now, &name, parking);
                }
            }
        }
    }

    fn start_move(&mut self, now: u64, name: &str, pool: &str) {
        if let Some(row) = self.fleet.rows.get_mut(name) {
            log::info!(machine = name, from = row.machine.pool.as_str(), to = pool; "the machine changes its pool");
            row.order = Some(Order { goal: Goal::Pool(pool.to_owned()), stage: Stage::Emptying(now) });
        }
    }
}
