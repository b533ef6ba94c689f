//! Moves of machines between pools and to standby.
//!
//! Surges may reach one pool after the other. A pool that needs machines gets them from standby first, then
//! from pools with more than they need. A machine that no pool needs goes to standby, where it costs nothing.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::super::super::Dispatcher;
use super::{Demand, Goal, MachineRow, Order};
use crate::DECISIONS;
use crate::dispatch::event::MachineState;

/// Time for which a machine must be idle before it is parked, in milliseconds. Longer than the time from the end of a step to the
/// start of the next one.
const PARK_DELAY_MS: u64 = 500;

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

/// Machines that a pool has and wants.
#[derive(Clone, Debug)]
struct Need {
    pool: String,
    has: u64,
    wants: u64,
}

impl Need {
    /// Orders by the part of the wanted machines that the pool has.
    fn compare(&self, other: &Self) -> Ordering {
        let (own, others) = (self.has.saturating_mul(other.wants), other.has.saturating_mul(self.wants));
        own.cmp(&others).then_with(|| self.pool.cmp(&other.pool))
    }
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

    /// Moves machines to the pools that have fewer than `wanted`. Each goes to the pool that has the smallest part of what it
    /// wants, so that no kind of work waits for all others if the machines don't suffice.
    fn fill_pools(
        &mut self,
        now: u64,
        inventory: &mut BTreeMap<String, PoolMachines>,
        standby: &[String],
        wanted: fn(&Demand) -> u64,
    ) {
        let mut needs: Vec<Need> = Vec::new();
        for pool in self.catalog.pools.iter().filter(|pool| !pool.standby) {
            let has = inventory.get(&pool.name).map_or(0, |machines| machines.total);
            let wants = self.fleet.demand.get(&pool.name).map_or(0, wanted);
            needs.push(Need { pool: pool.name.clone(), has, wants });
        }
        loop {
            needs.retain(|need| need.has < need.wants);
            let Some((index, need)) = needs.iter_mut().enumerate().min_by(|(_, a), (_, b)| a.compare(b))
            else {
                return;
            };
            let Some(name) = self.take_machine(inventory, standby, &need.pool, wanted) else {
                needs.swap_remove(index);
                continue;
            };
            need.has += 1;
            let pool = need.pool.clone();
            inventory.entry(pool.clone()).or_default().total += 1;
            self.start_move(now, &name, &pool);
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
            let kept = self.fleet.demand.get(&pool).map_or(0, |demand| demand.kept);
            if self.fleet.hold.holds(now) {
                continue;
            }
            let surplus = machines.total.saturating_sub(kept);
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
