//! Workers that the list of machines doesn't name.
//!
//! If the listed worker of a machine is unknown, the machine may have started another one since the list was read.

use std::collections::BTreeSet;

use slotmap::SecondaryMap;

use super::super::super::Dispatcher;
use super::super::super::names::PoolKey;
use super::super::super::worker::WorkerKey;

/// Availability zones, by pool, that have a worker with runs that the list of machines doesn't name.
#[derive(Clone, Debug)]
pub(in super::super::super) struct UnnamedWorkers {
    zones: SecondaryMap<PoolKey, BTreeSet<String>>,
}

impl Dispatcher {
    /// True if a listed machine may have runs. If its listed worker is unknown, any worker with runs that the list doesn't name may be
    /// on it; these are searched for once and kept in `unnamed`.
    pub(super) fn may_have_runs(&mut self, name: &str, unnamed: &mut Option<UnnamedWorkers>) -> bool {
        let Some(row) = self.fleet.rows.get(name) else { return false };
        if let Some(worker) = self.machine_worker(row).and_then(|key| self.workers.get(key)) {
            return !worker.runs.is_empty();
        }
        let Some(pool) = self.pools.key(&row.machine.pool) else { return false };
        if unnamed.is_none() {
            self.counters.searched += (self.fleet.rows.len() + self.workers.len()) as u64;
        }
        let unnamed = unnamed.get_or_insert_with(|| self.unnamed_workers());
        unnamed.zones.get(pool).is_some_and(|zones| zones.contains(&row.machine.zone))
    }

    fn unnamed_workers(&self) -> UnnamedWorkers {
        let rows = self.fleet.rows.values();
        let named: BTreeSet<WorkerKey> = rows.filter_map(|row| self.machine_worker(row)).collect();
        let mut zones: SecondaryMap<PoolKey, BTreeSet<String>> = SecondaryMap::new();
        for (key, worker) in &self.workers {
            if worker.runs.is_empty() || named.contains(&key) {
                continue;
            }
            let Some(known) = zones.entry(worker.pool).map(|entry| entry.or_default()) else { continue };
            if !known.contains(&worker.record.zone) {
                known.insert(worker.record.zone.clone());
            }
        }
        UnnamedWorkers { zones }
    }
}
