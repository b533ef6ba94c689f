//! Waves of upkeep: every machine of a wave is maintained in time, a few at once, those with the least effect
//! on running tasks first.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::super::super::Dispatcher;
use super::super::super::command::Command;
use super::super::super::event::{self, MachineState};
use super::{Goal, MachineRow};
use crate::DECISIONS;

/// Time from the start of emptying a machine until it serves again, without the upkeep itself, in
/// milliseconds.
const UPKEEP_CYCLE_MS: u64 = 3_000;
/// Reserve before the deadline of a wave, in milliseconds.
const WAVE_MARGIN_MS: u64 = 3_000;
/// Time after which a wave's state that was not stored is published again, in milliseconds.
const REPORT_RETRY_MS: u64 = 500;

/// Stored progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Time of day at which an owner first saw it, in milliseconds since 1970.
    pub seen_ms: u64,
    /// Machines whose upkeep has begun, or that turned out not to belong to the wave.
    pub begun: BTreeSet<String>,
}

/// Wave with its deadline and the state that was published.
#[derive(Clone, Debug)]
pub(in super::super::super) struct WaveState {
    plan: event::Wave,
    /// Time by which all machines must be maintained.
    deadline: u64,
    /// State that was last stored as published: none, running (false) or complete (true).
    reported: Option<bool>,
    /// Time of the last attempt to publish the state.
    last_report: u64,
}

impl WaveState {
    /// Number of machines in the wave.
    pub(in super::super) const fn machines(&self) -> usize {
        self.plan.machines.len()
    }
}

impl Dispatcher {
    /// Adds a wave; one that is known already is ignored.
    pub fn plan_wave(&mut self, now: u64, plan: event::Wave) {
        let number = plan.number;
        if self.fleet.waves.contains_key(&number) {
            return;
        }
        let unix = u64::try_from(i64::try_from(now).unwrap_or(0) + self.unix_offset).unwrap_or(0);
        let stored = self.table.waves.entry(number).or_default();
        if stored.seen_ms == 0 {
            stored.seen_ms = unix;
            self.dirty_waves.insert(number);
        }
        let age = unix.saturating_sub(stored.seen_ms).min(plan.within_ms);
        log::info!(target: DECISIONS, wave = number, machines = plan.machines.len(), most = plan.most, age_ms = age; "a wave of upkeep is planned");
        let deadline = now.saturating_add(plan.within_ms) - age;
        self.fleet.waves.insert(number, WaveState { plan, deadline, reported: None, last_report: 0 });
    }

    /// Records that the upkeep of a machine has begun.
    pub(super) fn mark_begun(&mut self, wave: u64, machine: &str) {
        let stored = self.table.waves.entry(wave).or_default();
        if stored.begun.insert(machine.to_owned()) {
            self.dirty_waves.insert(wave);
        }
    }

    /// Leaves a machine out of a wave.
    pub(super) fn skip_upkeep(&mut self, wave: u64, machine: &str) {
        self.mark_begun(wave, machine);
    }

    /// Selects the machines to maintain next and publishes the state of the waves.
    pub(super) fn plan_upkeep(&mut self, now: u64) {
        let numbers: Vec<u64> = self.fleet.waves.keys().copied().collect();
        for number in numbers {
            let begun = self.table.waves.get(&number).map(|w| w.begun.clone()).unwrap_or_default();
            let Some(wave) = self.fleet.waves.get(&number).cloned() else { continue };
            let due: Vec<String> =
                wave.plan.machines.iter().filter(|name| !begun.contains(*name)).cloned().collect();
            self.report_wave(now, number, due.is_empty());
            if !due.is_empty() {
                self.select_machines(now, number, &wave, &due);
            }
        }
    }

    fn select_machines(&mut self, now: u64, number: u64, wave: &WaveState, due: &[String]) {
        let goal = Goal::Upkeep(number);
        // Orders of a former owner show only in the list, or are too recent to show there.
        let ordered_before = |row: &MachineRow| {
            row.order.is_none()
                && (row.machine.state == MachineState::Upkeep || row.handover_until > now)
                && wave.plan.machines.contains(&row.machine.name)
        };
        let ordered = |row: &MachineRow| row.order.as_ref().is_some_and(|order| order.goal == goal);
        let busy = self.fleet.rows.values().filter(|row| ordered(row) || ordered_before(row)).count();
        let most = wave.plan.most as usize;
        let mut slots = most.saturating_sub(busy);
        if slots == 0 {
            return;
        }
        let rounds = due.len().div_ceil(most.max(1)) as u64;
        let needed = rounds * (UPKEEP_CYCLE_MS + self.options.upkeep_ms) + WAVE_MARGIN_MS;
        let urgent = now + needed >= wave.deadline;
        let mut candidates: Vec<(u64, String)> = due
            .iter()
            .filter_map(|name| self.fleet.rows.get(name).map(|row| (name, row)))
            .filter(|(_, row)| row.is_available(now) && !self.is_draining(row))
            .map(|(name, row)| (self.upkeep_cost(now, row), name.clone()))
            .collect();
        candidates.sort_unstable();
        let mut available: BTreeMap<String, u64> = BTreeMap::new();
        for (cost, name) in candidates {
            if slots == 0 {
                break;
            }
            let Some(pool) = self.fleet.rows.get(&name).map(|row| row.machine.pool.clone()) else { continue };
            if cost > 0 && !urgent {
                let left = available.entry(pool.clone()).or_insert_with(|| self.count_available(now, &pool));
                let want = self.fleet.demand.get(&pool).map_or(0, |demand| demand.machines);
                if *left <= want {
                    continue;
                }
                *left -= 1;
            }
            if self.fleet.give_order(now, &name, goal.clone()).is_some() {
                log::info!(target: DECISIONS, machine = name.as_str(), wave = number, cost = cost, pressing = urgent; "the machine is emptied for upkeep");
                slots -= 1;
            }
        }
    }

    /// True if the machine's worker is draining; an order would find it busy.
    fn is_draining(&self, row: &MachineRow) -> bool {
        let worker = self.machine_worker(row).and_then(|key| self.workers.get(key));
        worker.is_some_and(|worker| worker.record.draining)
    }

    /// Cost of the upkeep of a machine: 0 in standby; otherwise 1, plus 100 for each long-running task and 1 for
    /// each run.
    fn upkeep_cost(&self, _now: u64, row: &MachineRow) -> u64 {
        if self.catalog.pool(&row.machine.pool).is_some_and(|pool| pool.standby) {
            return 0;
        }
        let worker = self.machine_worker(row).and_then(|key| self.workers.get(key));
        let Some(worker) = worker else { return 1 };
        let long_running = worker.runs.values().filter(|run| run.long_running).count() as u64;
        1 + long_running * 100 + worker.runs.len() as u64
    }

    /// Number of available machines of a pool.
    fn count_available(&mut self, now: u64, pool: &str) -> u64 {
        self.counters.searched += self.fleet.rows.len() as u64;
        let rows = self.fleet.rows.values();
        rows.filter(|row| row.machine.pool == pool && row.is_available(now)).count() as u64
    }

    fn report_wave(&mut self, now: u64, number: u64, complete: bool) {
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        if wave.reported == Some(complete) || now < wave.last_report + REPORT_RETRY_MS {
            return;
        }
        // A wave is published as complete only once the set of its maintained machines is stored.
        if complete && self.dirty_waves.contains(&number) {
            return;
        }
        wave.last_report = now;
        self.commands.push(Command::Publish(number, complete));
    }

    /// Handles whether a published state was stored.
    pub fn published(&mut self, number: u64, complete: bool, stored: bool) {
        if let Some(wave) = self.fleet.waves.get_mut(&number).filter(|_| stored) {
            wave.reported = Some(complete);
        }
    }
}
