//! Expiry of leases: the tasks of a worker that does not answer are requeued once none of its runs can still
//! be active.

use super::super::Dispatcher;
use super::super::worker::{PollState, WorkerKey};

impl Dispatcher {
    /// Requeues the tasks of workers that do not answer and whose leases have expired, and forgets workers
    /// that are gone.
    pub(in super::super) fn expire_leases(&mut self, now: u64) {
        let expired: Vec<WorkerKey> = self
            .workers
            .iter()
            .filter(|(_, w)| !w.runs.is_empty() && (w.missed_polls > 0 || !w.fenced) && w.lease_end < now)
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.mark_runs_lost(key, "the worker's leases have expired");
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
