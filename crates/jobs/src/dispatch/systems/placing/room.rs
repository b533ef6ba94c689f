//! Index of a pool's workers by free processor, for one placement pass.
//!
//! It answers the loads in which many tasks wait on hundreds of workers: a worker with room for a task is found without
//! examining all others.

use std::collections::{BTreeSet, HashMap};

use slotmap::{KeyData, SecondaryMap, SlotMap};

use crate::dispatch::worker::{Worker, WorkerKey};

/// Average of failed runs that counts as one class of workers, in thousandths.
const FAILURE_CLASS_PERMILLE: u64 = 100;
/// Highest class of failures.
const MAX_FAILURES: u64 = 1_000 / FAILURE_CLASS_PERMILLE;

/// Position of a worker in the order in which workers get tasks: fewest failures first, then least free processor, so
/// that other workers become idle.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// Class of failed runs.
    failures: u64,
    /// Free processor, in thousandths of the worker's.
    free: u64,
    key: WorkerKey,
}

impl Rank {
    fn of(key: WorkerKey, worker: &Worker) -> Self {
        let free = worker.free_resources().cpu * 1_000 / worker.record.capacity.cpu.max(1);
        Self { failures: worker.failure_permille / FAILURE_CLASS_PERMILLE, free, key }
    }

    /// Lowest rank of a class with at least this free processor.
    fn lowest(failures: u64, free: u64) -> Self {
        Self { failures, free, key: KeyData::from_ffi(0).into() }
    }
}

/// Workers of a pool on which tasks may be placed.
#[derive(Debug, Default)]
pub(in super::super) struct Rooms {
    ranks: SecondaryMap<WorkerKey, Rank>,
    all: BTreeSet<Rank>,
    /// Workers with a label, for the labels that were asked for.
    labelled: HashMap<String, BTreeSet<Rank>>,
    /// Processor of the largest worker, in thousandths of a core.
    largest: u64,
}

impl Rooms {
    /// Creates the index of some workers.
    pub(super) fn new(workers: &SlotMap<WorkerKey, Worker>, keys: &[WorkerKey]) -> Self {
        let mut rooms = Self::default();
        let mut ranks = Vec::with_capacity(keys.len());
        for &key in keys {
            let Some(worker) = workers.get(key) else { continue };
            let rank = Rank::of(key, worker);
            rooms.largest = rooms.largest.max(worker.record.capacity.cpu);
            rooms.ranks.insert(key, rank);
            ranks.push(rank);
        }
        // A set is built fastest from sorted elements.
        ranks.sort_unstable();
        rooms.all = ranks.into_iter().collect();
        rooms
    }

    /// Keys of all workers.
    pub(super) fn keys(&self) -> impl Iterator<Item = WorkerKey> {
        self.all.iter().map(|rank| rank.key)
    }

    /// True if a worker is part of the index.
    pub(super) fn contains(&self, key: WorkerKey) -> bool {
        self.ranks.contains_key(key)
    }

    /// Workers that may have this much free processor, best first; with a label only those that have it.
    pub(super) fn candidates(
        &mut self,
        workers: &SlotMap<WorkerKey, Worker>,
        label: Option<&str>,
        cpu: u64,
    ) -> impl Iterator<Item = WorkerKey> {
        let free = cpu.saturating_mul(1_000) / self.largest.max(1);
        let ranks = match label {
            None => &self.all,
            Some(label) => {
                if !self.labelled.contains_key(label) {
                    let has = |rank: &&Rank| workers.get(rank.key).is_some_and(|w| w.has_label(Some(label)));
                    let ranks = self.all.iter().filter(has).copied().collect();
                    self.labelled.insert(label.to_owned(), ranks);
                }
                &self.labelled[label]
            }
        };
        let class = move |failures| ranks.range(Rank::lowest(failures, free)..Rank::lowest(failures + 1, 0));
        (0..=MAX_FAILURES).flat_map(class).map(|rank| rank.key)
    }

    /// Updates a worker after a run was added to it or removed from it.
    pub(super) fn update(&mut self, key: WorkerKey, worker: &Worker) {
        let Some(old) = self.ranks.get_mut(key) else { return };
        let new = Rank::of(key, worker);
        let old = std::mem::replace(old, new);
        self.all.remove(&old);
        self.all.insert(new);
        for (_, ranks) in self.labelled.iter_mut().filter(|(label, _)| worker.has_label(Some(label))) {
            ranks.remove(&old);
            ranks.insert(new);
        }
    }
}
