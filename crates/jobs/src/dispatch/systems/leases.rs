//! Ends of leases: what ran on a worker that no longer answers waits again once nothing can be running there.

use super::super::Dispatcher;
use super::super::worker::WorkerKey;

impl Dispatcher {
    /// Requeues the runs of workers that do not answer and whose leases are over.
    pub(in super::super) fn expire_leases(&mut self, now: u64) {
        let over: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.runs.is_empty() && (w.missed_polls > 0 || !w.fenced) && w.lease_end < now)
            .map(|(key, _)| key)
            .collect();
        for key in over {
            self.mark_runs_lost(key, "the worker's leases are over");
        }
        self.workers
            .retain(|_, w| w.listed || !w.runs.is_empty() || w.missed_polls == 0 && w.pending_ack.is_some());
        let workers = &self.workers;
        self.keys_by_id.retain(|_, key| workers.contains_key(*key));
    }
}
