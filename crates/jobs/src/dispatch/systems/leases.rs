//! Expiry of leases: the tasks of a worker that does not answer are requeued once none of its runs can still
//! be active.

use super::super::Dispatcher;
use super::super::worker::{PollState, Worker, WorkerKey};
use super::proof::Proof;

impl Dispatcher {
    /// Requeues the tasks of workers that do not answer and whose leases have expired, and forgets workers
    /// that are gone.
    pub(in super::super) fn expire_leases(&mut self, now: u64) {
        let silent = |w: &Worker| !w.runs.is_empty() && (w.missed_polls > 0 || !w.fenced);
        let expired: Vec<(WorkerKey, Proof)> = self
            .workers
            .iter()
            .filter(|(_, w)| silent(w))
            .filter_map(|(key, w)| Some((key, Proof::leases_expired(w, now)?)))
            .collect();
        for (key, proof) in expired {
            self.mark_some_lost(now, key, |_| Some(proof));
            if let Some(worker) = self.workers.get_mut(key) {
                // It has not listed their ends.
                worker.require_answer(now);
            }
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
