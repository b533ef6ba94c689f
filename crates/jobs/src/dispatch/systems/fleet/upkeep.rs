//! Waves of upkeep: every machine of a wave is maintained in time, a few at once, those with the least effect
//! on running tasks first.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

use super::super::super::Dispatcher;
use super::super::super::command::Command;
use super::super::super::event::{self, MachineState};
use super::{Goal, MachineRow, Order, Stage};
use crate::DECISIONS;

/// Time from the start of emptying a machine until it serves again, without the upkeep itself, in
/// milliseconds.
const UPKEEP_CYCLE_MS: u64 = 3_000;
/// Reserve before the deadline of a wave, in milliseconds.
const WAVE_MARGIN_MS: u64 = 3_000;
/// Time after which a wave's state that was not stored is published again, in milliseconds.
const REPORT_RETRY_MS: u64 = 500;
/// Time after which a call that publishes a wave's state is given up, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 5_000;

/// Stored progress of a wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Time of day at which an owner first saw its record, in milliseconds since 1970.
    pub seen_ms: u64,
    /// Machines whose upkeep has begun. Those that turned out not to belong to the wave are here, too, if an earlier release
    /// stored them.
    pub begun: BTreeSet<String>,
    /// Offset of the operators' record that it is about; none if an earlier release stored it.
    pub offset: Option<u64>,
    /// Machines that turned out not to belong to the wave.
    pub excluded: BTreeSet<String>,
    /// Digest of the record's content; none if an earlier release stored it.
    pub digest: Option<u64>,
}

/// Wave with its deadline and the state that was published.
#[derive(Clone, Debug)]
pub(in super::super::super) struct WaveState {
    plan: event::Wave,
    /// Offset of the operators' record.
    offset: u64,
    /// Time by which all machines must be maintained.
    deadline: u64,
    /// State that was last stored as published: running (false) or complete (true); none if unknown.
    reported: Option<bool>,
    /// Time of the last attempt to publish the state.
    last_report: u64,
}

impl WaveState {
    /// Names of the machines in the wave.
    pub(super) fn names(&self) -> impl Iterator<Item = &String> {
        self.plan.machines.iter()
    }

    /// Number of machines in the wave.
    pub(in super::super) const fn machines(&self) -> usize {
        self.plan.machines.len()
    }
}

impl Dispatcher {
    /// Replaces the operators' waves. `read_to` is the offset up to which their records were read; progress that is stored for a
    /// later record stays.
    pub fn set_waves(&mut self, now: u64, records: &BTreeMap<u64, event::WaveRecord>, read_to: u64) {
        let covered = |wave: &WaveProgress| wave.offset.is_some_and(|offset| offset < read_to);
        let stored = self.table.waves.iter().filter(|(_, wave)| covered(wave)).map(|(number, _)| number);
        let known: BTreeSet<u64> = self.fleet.waves.keys().chain(stored).copied().collect();
        for number in known.into_iter().filter(|number| !records.contains_key(number)) {
            self.end_wave(number);
        }
        for record in records.values() {
            self.plan_wave(now, record);
        }
    }

    /// Plans a wave, or replaces its plan by that of a newer record.
    fn plan_wave(&mut self, now: u64, record: &event::WaveRecord) {
        let number = record.plan.number;
        let unix = self.moment(now).wall;
        let known = self.fleet.waves.get_mut(&number);
        if known.as_ref().is_some_and(|known| known.offset >= record.offset) {
            return;
        }
        let stored = self.table.waves.entry(number).or_default();
        let (former, former_digest) = (stored.offset, stored.digest);
        // A former owner has read a newer record.
        if former.is_some_and(|offset| offset > record.offset) {
            return;
        }
        stored.offset = Some(record.offset);
        stored.digest = Some(digest(&record.plan));
        if (former, former_digest) != (stored.offset, stored.digest) {
            self.dirty_waves.insert(number);
        }
        let removed = former.is_some_and(|offset| offset < record.since);
        if let Some(known) = known.filter(|known| !removed && known.plan == record.plan) {
            known.offset = record.offset;
            return;
        }
        if removed {
            stored.begun.clear();
        }
        let changed = former.is_some_and(|offset| offset != record.offset) && former_digest != stored.digest;
        if removed || changed || stored.seen_ms == 0 {
            stored.seen_ms = unix;
            stored.excluded.clear();
        }
        let plan = record.plan.clone();
        for row in self.fleet.rows.values_mut() {
            row.refusals = row.refusals.filter(|(refused, _)| *refused != number);
        }
        let age = unix.saturating_sub(stored.seen_ms).min(plan.within_ms);
        log::info!(
            target: DECISIONS, wave = number, machines = plan.machines.len(), most = plan.most, age_ms = age,
            begun = stored.begun.len(); "a wave of upkeep is planned"
        );
        let deadline = now.saturating_add(plan.within_ms) - age;
        if removed {
            self.withdraw_orders(number, &[]);
        } else {
            self.withdraw_orders(number, &plan.machines);
        }
        let reported = self.fleet.waves.get(&number).and_then(|wave| wave.reported);
        let wave = WaveState { plan, offset: record.offset, deadline, reported, last_report: 0 };
        self.fleet.waves.insert(number, wave);
    }

    /// Ends the planning of a wave that was removed. Orders that were sent are carried out.
    fn end_wave(&mut self, number: u64) {
        log::info!(target: DECISIONS, wave = number; "a wave of upkeep was removed");
        self.fleet.waves.remove(&number);
        if self.table.waves.remove(&number).is_some() {
            self.dirty_waves.insert(number);
        }
        self.withdraw_orders(number, &[]);
    }

    /// Withdraws the orders of a wave to machines that are not in `kept`. The answers to those that may have been sent no longer count.
    fn withdraw_orders(&mut self, number: u64, kept: &[String]) {
        let goal = Goal::Upkeep(number);
        for (name, row) in &mut self.fleet.rows {
            let order = row.order.as_mut().filter(|order| order.goal == goal && !kept.contains(name));
            match order {
                Some(Order { stage: Stage::Emptying(_), .. }) => row.order = None,
                Some(order) => order.former = true,
                None => {}
            }
        }
    }

    /// Records that the upkeep of a machine has begun.
    pub(super) fn mark_begun(&mut self, wave: u64, machine: &str) {
        let Some(stored) = self.table.waves.get_mut(&wave) else { return };
        if stored.begun.insert(machine.to_owned()) {
            self.dirty_waves.insert(wave);
        }
    }

    /// Leaves a machine out of a wave until the wave changes.
    pub(super) fn skip_upkeep(&mut self, wave: u64, machine: &str) {
        let Some(stored) = self.table.waves.get_mut(&wave) else { return };
        if stored.excluded.insert(machine.to_owned()) {
            self.dirty_waves.insert(wave);
        }
    }

    /// Selects the machines to maintain next and publishes the state of the waves.
    pub(super) fn plan_upkeep(&mut self, now: u64) {
        for (number, due) in self.report_waves(now) {
            if let Some(wave) = self.fleet.waves.get(&number).cloned().filter(|_| !due.is_empty()) {
                self.select_machines(now, number, &wave, &due);
            }
        }
    }

    /// Publishes the state of the waves. Returns the machines that are due in each.
    pub(super) fn report_waves(&mut self, now: u64) -> Vec<(u64, Vec<String>)> {
        let waves: Vec<(u64, Vec<String>)> = self
            .fleet
            .waves
            .iter()
            .map(|(number, wave)| (*number, self.due_machines(*number, wave)))
            .collect();
        for (number, due) in &waves {
            self.report_wave(now, *number, due.is_empty());
        }
        waves
    }

    /// Machines of a wave whose upkeep hasn't begun.
    fn due_machines(&self, number: u64, wave: &WaveState) -> Vec<String> {
        let stored = self.table.waves.get(&number);
        let over = |name: &String| {
            stored.is_some_and(|wave| wave.begun.contains(name) || wave.excluded.contains(name))
                || self.is_gone(name)
        };
        wave.names().filter(|name| !over(name)).cloned().collect()
    }

    fn select_machines(&mut self, now: u64, number: u64, wave: &WaveState, due: &[String]) {
        let goal = Goal::Upkeep(number);
        let begun = self.table.waves.get(&number).map(|stored| &stored.begun);
        let planned = |name: &String| {
            wave.plan.machines.contains(name) || begun.is_some_and(|begun| begun.contains(name))
        };
        // Orders of a former owner, and those that were given up, show only in the list, or are too recent to show there. The list
        // doesn't tell to which wave an upkeep belongs, or the wave's record may have changed since.
        let ordered_before = |row: &MachineRow| {
            row.order.is_none()
                && (row.machine.state == MachineState::Upkeep
                    || (row.handover_until > now || row.given_up.is_some()) && planned(&row.machine.name))
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
        // Two calls that are under way may be carried out in any order, and the store refuses the older one then.
        if self.fleet.publishing.values().any(|since| now < since + REPORT_TIMEOUT_MS) {
            return;
        }
        // A wave is published as complete only once the set of its maintained machines is stored.
        let writing = self.wave_writes.get(&number).is_some_and(|write| *write > self.stored_write);
        if complete && (writing || self.dirty_waves.contains(&number)) {
            return;
        }
        wave.last_report = now;
        self.fleet.publishing.insert(number, now);
        self.commands.push(Command::Publish(number, complete));
    }

    /// Handles whether a published state was stored. One that got no answer may be stored later.
    pub fn published(&mut self, number: u64, complete: bool, stored: bool) {
        self.fleet.publishing.remove(&number);
        let Some(wave) = self.fleet.waves.get_mut(&number) else { return };
        wave.reported = stored.then_some(complete);
        log::info!(
            target: DECISIONS, wave = number, complete = complete, machines = wave.plan.machines.len(), stored = stored;
            "the state of a wave of upkeep was published"
        );
    }
}

/// Digest of a record's content. Another release may compute another one for the same content.
fn digest(plan: &event::Wave) -> u64 {
    let mut hasher = DefaultHasher::new();
    plan.hash(&mut hasher);
    hasher.finish()
}
