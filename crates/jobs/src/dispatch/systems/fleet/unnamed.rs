//! Workers that the list of machines doesn't name.
//!
//! If the listed worker of a machine is unknown or doesn't answer, the machine may have started another one since the list was read. A worker that the
//! list never names is elsewhere if two lists in a row show the machine with the same other worker or with none, and the worker's
//! process was up all the while: by its own answers, from some time before the first one was requested until after the second one
//! was read.

use std::collections::{BTreeMap, BTreeSet};

use slotmap::SecondaryMap;

use super::super::super::Dispatcher;
use super::super::super::names::PoolKey;
use super::super::super::worker::{Worker, WorkerKey};
use super::LIST_DELAY_MS;
use crate::DECISIONS;

/// Worker with runs that the list of machines doesn't name.
#[derive(Clone, Copy, Debug)]
struct Unnamed {
    worker: WorkerKey,
    /// Request of the first of the last two lists that were read while it was surely up; none without such lists.
    covered: Option<u64>,
}

/// Workers with runs that the list of machines doesn't name: for each pool and availability zone the one with the oldest lists.
#[derive(Clone, Debug)]
pub(in super::super::super) struct UnnamedWorkers {
    places: SecondaryMap<PoolKey, BTreeMap<String, Unnamed>>,
}

impl Dispatcher {
    /// True if a listed machine may have runs. If its listed worker is unknown or doesn't answer, a worker with runs that the list
    /// doesn't name may be on it; these are searched for once and kept in `unnamed`.
    pub(super) fn may_have_runs(&mut self, name: &str, unnamed: &mut Option<UnnamedWorkers>) -> bool {
        let Some(row) = self.fleet.rows.get(name) else { return false };
        if let Some(worker) = self.machine_worker(row).and_then(|key| self.workers.get(key)) {
            let busy = !worker.runs.is_empty();
            if busy || worker.responds() {
                return busy;
            }
        }
        let Some(pool) = self.pools.key(&row.machine.pool) else { return false };
        if unnamed.is_none() {
            self.counters.searched += (self.fleet.rows.len() + self.workers.len()) as u64;
        }
        let unnamed = unnamed.get_or_insert_with(|| self.unnamed_workers());
        let place = unnamed.places.get(pool).and_then(|zones| zones.get(&row.machine.zone));
        let possible = place.filter(|place| place.covered.is_none_or(|asked| asked < row.unchanged_since));
        let Some(worker) = possible.and_then(|place| self.workers.get(place.worker)) else { return false };
        if let Some(order) = self.fleet.rows.get_mut(name).and_then(|row| row.order.as_mut())
            && !std::mem::replace(&mut order.delayed, true)
        {
            log::info!(
                target: DECISIONS, machine = name, goal:? = order.goal, worker = worker.record.worker.as_str(),
                runs = worker.runs.len(); "the order waits, since the list of machines doesn't name a worker with runs"
            );
        }
        true
    }

    fn unnamed_workers(&self) -> UnnamedWorkers {
        let rows = self.fleet.rows.values();
        let named: BTreeSet<WorkerKey> = rows.filter_map(|row| self.machine_worker(row)).collect();
        let mut places: SecondaryMap<PoolKey, BTreeMap<String, Unnamed>> = SecondaryMap::new();
        for (key, worker) in &self.workers {
            if worker.runs.is_empty() || named.contains(&key) {
                continue;
            }
            let Some(zones) = places.entry(worker.pool).map(|entry| entry.or_default()) else { continue };
            let own = Unnamed { worker: key, covered: self.covered(worker) };
            match zones.get_mut(&worker.record.zone) {
                Some(place) if own.covered < place.covered => *place = own,
                Some(_) => {}
                None => drop(zones.insert(worker.record.zone.clone(), own)),
            }
        }
        UnnamedWorkers { places }
    }

    /// Request of the first of the last two lists that surely show a worker's process. The lists prove nothing about a process whose
    /// start is unknown, since its restart would not be noticed.
    fn covered(&self, worker: &Worker) -> Option<u64> {
        let contact = worker.contact.filter(|_| worker.process_start != 0)?;
        let read = self.fleet.lists.iter().rev().filter(|list| list.read < contact.at.steady);
        let asked = read.map(|list| list.asked).nth(1)?;
        (contact.since + LIST_DELAY_MS < asked).then_some(asked)
    }
}
