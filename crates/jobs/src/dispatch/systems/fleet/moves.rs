//! Moves of machines between pools and to standby.
//!
//! Surges may reach one pool after the other. A pool that needs machines gets them from standby first, then
//! from pools with more than they need. A machine that no pool needs goes to standby, where it costs nothing.

use std::collections::BTreeMap;

use super::super::super::Dispatcher;
use super::{Demand, Goal, MachineRow, Order};
use crate::DECISIONS;
use crate::dispatch::event::MachineState;

/// Time for which a pool must have a surplus before a machine is parked, in milliseconds. A move to standby
/// and back costs about this much time in service.
const PARK_DELAY_MS: u64 = 2_000;

/// Machines of a pool during planning.
#[derive(Clone, Debug, Default)]
struct PoolMachines {
    /// Number of machines that serve the pool or are on their way to it.
    total: u64,
    /// Machines without runs that may leave, with the time since which they are idle; the one that is idle
    /// for longest is last.
    idle: Vec<(u64, String)>,
    /// Machines without runs in evacuated availability zones.
    evacuated: Vec<String>,
}

impl Dispatcher {
    /// Orders the moves that match machines to demand.
    pub(super) fn plan_moves(&mut self, now: u64) {
        let standby: Vec<String> =
            self.catalog.pools.iter().filter(|pool| pool.standby).map(|pool| pool.name.clone()).collect();
        let Some(parking_pool) = standby.first().cloned() else { return };
        let mut inventory = self.count_machines(now);
        self.fill_pools(now, &mut inventory, &standby, |demand| demand.machines);
        self.fill_pools(now, &mut inventory, &standby, |demand| demand.kept);
        self.park_machines(now, &mut inventory, &parking_pool);
    }

    /// Moves machines to the pools that have fewer than `wanted`, starting with the largest shortage.
    fn fill_pools(
        &mut self,
        now: u64,
        inventory: &mut BTreeMap<String, PoolMachines>,
        standby: &[String],
        wanted: fn(&Demand) -> u64,
    ) {
        let want = |pool: &str| self.fleet.demand.get(pool).map_or(0, wanted);
        let mut needs: Vec<(u64, String)> = Vec::new();
        for pool in self.catalog.pools.iter().filter(|pool| !pool.standby) {
            let total = inventory.get(&pool.name).map_or(0, |machines| machines.total);
            let shortage = want(&pool.name).saturating_sub(total);
            if shortage > 0 {
                needs.push((shortage, pool.name.clone()));
            }
        }
        needs.sort_unstable_by(|a, b| b.cmp(a));
        for (count, pool) in needs {
            for _ in 0..count {
                let Some(name) = self.take_machine(inventory, standby, &pool, wanted) else { break };
                if let Some(machines) = inventory.get_mut(&pool) {
                    machines.total += 1;
                }
                self.start_move(now, &name, &pool);
            }
        }
    }

    fn count_machines(&self, now: u64) -> BTreeMap<String, PoolMachines> {
        let mut inventory: BTreeMap<String, PoolMachines> = BTreeMap::new();
        for (name, row) in &self.fleet.rows {
            match &row.order {
                Some(Order { goal: Goal::Pool(pool), .. }) => {
                    inventory.entry(pool.clone()).or_default().total += 1;
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
                if row.is_available(now) && self.movable(row) {
                    inventory.entry(row.machine.pool.clone()).or_default().evacuated.push(name.clone());
                }
                continue;
            }
            let machines = inventory.entry(row.machine.pool.clone()).or_default();
            machines.total += 1;
            if row.is_available(now) && self.movable(row) {
                machines.idle.push((row.idle.unwrap_or(now), name.clone()));
            }
        }
        for machines in inventory.values_mut() {
            // Machines are taken from the end, so the one that is idle for longest comes last.
            machines.idle.sort_unstable_by(|a, b| b.cmp(a));
        }
        inventory
    }

    /// True if a machine can leave its pool without ending a run.
    fn movable(&self, row: &MachineRow) -> bool {
        let worker = self.machine_worker(row).and_then(|key| self.workers.get(key));
        worker.is_none_or(|worker| {
            worker.runs.is_empty() && worker.missed_polls == 0 && !worker.record.draining
        })
    }

    /// Takes a machine for a pool from standby, or from the pool with the largest surplus.
    fn take_machine(
        &self,
        inventory: &mut BTreeMap<String, PoolMachines>,
        standby: &[String],
        pool: &str,
        wanted: fn(&Demand) -> u64,
    ) -> Option<String> {
        for name in standby {
            if let Some((_, machine)) = inventory.get_mut(name).and_then(|machines| machines.idle.pop()) {
                return Some(machine);
            }
        }
        let surplus = |name: &String, machines: &PoolMachines| {
            let want = self.fleet.demand.get(name).map_or(0, wanted);
            machines.total.saturating_sub(want)
        };
        let donor = inventory
            .iter()
            .filter(|(name, machines)| name.as_str() != pool && !machines.idle.is_empty())
            .map(|(name, machines)| (surplus(name, machines), name.clone()))
            .filter(|(surplus, _)| *surplus > 0)
            .max()?
            .1;
        let machines = inventory.get_mut(&donor)?;
        machines.total -= 1;
        machines.idle.pop().map(|(_, machine)| machine)
    }

    fn park_machines(
        &mut self,
        now: u64,
        inventory: &mut BTreeMap<String, PoolMachines>,
        parking_pool: &str,
    ) {
        let pools: Vec<String> =
            self.catalog.pools.iter().filter(|pool| !pool.standby).map(|pool| pool.name.clone()).collect();
        for pool in pools {
            let Some(machines) = inventory.get_mut(&pool) else { continue };
            for name in std::mem::take(&mut machines.evacuated) {
                self.start_move(now, &name, parking_pool);
            }
            let holds = self.fleet.hold.holds(now);
            let Some(demand) = self.fleet.demand.get_mut(&pool) else { continue };
            if holds || machines.total <= demand.kept {
                demand.surplus = None;
                continue;
            }
            let since = *demand.surplus.get_or_insert(now);
            if now < since + PARK_DELAY_MS {
                continue;
            }
            let surplus = machines.total - demand.kept;
            for _ in 0..surplus {
                let Some((idle, name)) = machines.idle.pop() else { break };
                if now >= idle + PARK_DELAY_MS {
                    self.start_move(now, &name, parking_pool);
                }
            }
        }
    }

    fn start_move(&mut self, now: u64, name: &str, pool: &str) {
        if let Some(machine) = self.fleet.give_order(now, name, Goal::Pool(pool.to_owned())) {
            log::info!(target: DECISIONS, machine = name, from = machine.pool.as_str(), to = pool; "the machine changes its pool");
        }
    }
}
