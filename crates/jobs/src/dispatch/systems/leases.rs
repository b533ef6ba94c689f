//! Expiry of leases: the tasks of a worker that does not answer are requeued once none of its runs can still
//! be active.

use super::super::Dispatcher;
use super::super::worker::{PollState, WorkerKey};
use super::runs::Evidence;

impl Dispatcher {
    /// Requeues the tasks of workers that do not answer and whose leases have expired, and forgets workers
    /// that are gone.
    pub(in super::super) fn expire_leases(&mut self, now: u64) {
        let expired: Vec<(WorkerKey, u64)> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.runs.is_empty() && (w.missed_polls > 0 || !w.fenced) && w.lease_end < now)
            .map(|(key, w)| (key, w.lease_end))
            .collect();
        for (key, end) in expired {
            self.mark_runs_lost(now, key, Evidence::new("the worker's leases have expired", end));
        }
        let known = self.workers.len();
        self.workers.retain(|_, w| {
            let polled = matches!(w.poll_state, PollState::Waiting(..));
            w.listed || polled || !w.runs.is_empty() || w.missed_polls == 0 && w.pending_ack.is_some()
        });
        if self.workers.len() < known {
            let workers = &self.workers;
            self.keys_by_id.retain(|_, key| workers.contains_key(*key));
        }
    }
}
