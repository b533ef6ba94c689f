//! Runs that were removed although no list of their worker showed their end.
//!
//! If a worker lists such a run later, what was taken for the proof of its end was none. The log lines of both moments, and a counter,
//! tell which evidence it was and how much of the lease was left.

use std::collections::{BTreeMap, VecDeque};

use super::super::Dispatcher;
use super::super::worker::WorkerKey;
use super::runs::RunEnd;
use crate::DECISIONS;
use crate::ids::TaskId;

/// Time for which a removal is kept, in milliseconds. Longer than a worker is usually out of reach.
const KEPT_MS: u64 = 60_000;
/// Largest number of removals that are kept.
const MAX_KEPT: usize = 4_096;

/// Removal of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Removal {
    /// Worker that had the run.
    pub(super) worker: WorkerKey,
    /// Evidence for its end.
    pub(super) why: &'static str,
    /// Time of the removal.
    pub(super) at: u64,
    /// Time that was left until all leases of the worker would have ended, in milliseconds.
    pub(super) lease_left_ms: u64,
}

/// Recent removals.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Removals {
    /// By task and number of the run.
    runs: BTreeMap<(TaskId, u32), Removal>,
    /// The oldest one first.
    order: VecDeque<(TaskId, u32)>,
}

impl Removals {
    /// Adds a removal, and forgets old ones.
    pub(super) fn insert(&mut self, now: u64, task: TaskId, run: u32, removal: Removal) {
        if self.runs.insert((task, run), removal).is_none() {
            self.order.push_back((task, run));
        }
        while let Some(oldest) = self.order.front() {
            let old = self.runs.get(oldest).is_none_or(|removal| removal.at + KEPT_MS < now);
            if !old && self.order.len() <= MAX_KEPT {
                break;
            }
            self.runs.remove(oldest);
            self.order.pop_front();
        }
    }

    /// Removal of this run from this worker, which is reported once.
    fn take(&mut self, worker: WorkerKey, task: TaskId, run: u32) -> Option<Removal> {
        self.runs.get(&(task, run)).filter(|removal| removal.worker == worker)?;
        self.runs.remove(&(task, run))
    }
}

impl Dispatcher {
    /// Reports a run that its worker lists as at work after it was removed.
    pub(super) fn report_outlived(&mut self, now: u64, key: WorkerKey, task: TaskId, run: u32) {
        let Some(removal) = self.removals.take(key, task, run) else { return };
        self.counters.outlived += 1;
        log::warn!(
            target: DECISIONS, task:% = task, run = run, worker = self.worker_id(key), why = removal.why,
            removed_ms = now.saturating_sub(removal.at), lease_left_ms = removal.lease_left_ms;
            "a run that was removed is still at work"
        );
    }

    /// Reports the end of a run that was removed before its worker listed it.
    pub(super) fn report_end(&mut self, now: u64, key: WorkerKey, task: TaskId, end: &RunEnd) {
        let Some(removal) = self.removals.take(key, task, end.run) else { return };
        log::info!(
            target: DECISIONS, task:% = task, run = end.run, worker = self.worker_id(key), how:? = end.reason,
            why = removal.why, removed_ms = now.saturating_sub(removal.at), lease_left_ms = removal.lease_left_ms;
            "the worker lists the end of a run that was removed"
        );
    }
}
