//! Mutable state of a worker.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_wire::worker::parse_refusal;

use super::{Faults, Journal, RunOutcome, Spec, StartedWork, Tasks};

/// Everything about a worker that changes at run time; [`super::Worker`] guards it with a mutex.
#[derive(Debug)]
pub(super) struct State {
    /// Identifies the period between two reboots; random.
    pub(super) nonce: u64,
    pub(super) pool: String,
    /// End of the current reboot.
    pub(super) rebooting_until: Option<Instant>,
    /// Slots that requests take.
    pub(super) running_requests: u32,
    pub(super) tasks: Tasks,
    pub(super) journal: Journal,
    pub(super) faults: Faults,
    /// Remote addresses of the connections that have carried a request.
    pub(super) connections: HashSet<SocketAddr>,
    /// Remote addresses whose requests are never answered, see [`Faults::silence_open`].
    pub(super) silenced: HashSet<SocketAddr>,
    /// Request id and token of the previous answer, for [`Faults::crossed`].
    pub(super) last_answer: (String, String),
}

impl State {
    pub(super) fn new(spec: &Spec) -> Self {
        let nonce = rand::random();
        Self {
            nonce,
            pool: spec.pool.clone(),
            rebooting_until: None,
            running_requests: 0,
            tasks: Tasks::new(spec.name.clone(), nonce, Duration::from_millis(spec.lease_ms)),
            journal: Journal::new(spec.journal_entries),
            faults: Faults::default(),
            connections: HashSet::new(),
            silenced: HashSet::new(),
            last_answer: Default::default(),
        }
    }

    /// Ends the runs, leases and reboot that are over at `now`.
    pub(super) fn advance(&mut self, now: Instant) {
        self.tasks.advance(now, &mut self.journal);
        if self.rebooting_until.is_some_and(|until| until <= now) {
            self.rebooting_until = None;
        }
    }

    /// Slots that requests, running tasks and unused leases take.
    pub(super) fn slots_used(&self) -> u32 {
        self.running_requests + self.tasks.slots_used()
    }

    /// Reason to refuse new work for a pool; `None` if the worker accepts it. Free slots are not checked.
    pub(super) fn refusal(&self, pool: Option<&str>) -> Option<WorkerRefusal> {
        if self.rebooting_until.is_some() || self.faults.leaving {
            return Some(WorkerRefusal::Leaving);
        }
        if let Some(refusal) = self.faults.refuse.as_deref() {
            return Some(parse_refusal(refusal).unwrap_or(WorkerRefusal::Full));
        }
        pool.filter(|pool| *pool != self.pool).map(|_| WorkerRefusal::WrongPool)
    }

    /// Takes a slot for a request and returns the index of its journal entry.
    pub(super) fn start_request(
        &mut self,
        now: Instant,
        slots: u32,
        start: StartedWork,
    ) -> Result<u64, WorkerRefusal> {
        if self.slots_used() >= slots {
            return Err(WorkerRefusal::Full);
        }
        self.running_requests += 1;
        Ok(self.journal.start(now, start))
    }

    /// Frees the slot of a request.
    pub(super) fn end_request(&mut self, now: Instant, entry: u64, end: RunOutcome) {
        self.running_requests -= 1;
        self.journal.end(now, entry, end);
    }

    /// Stops every task. Requests end on their own: each one watches [`super::Worker`]'s reboot counter.
    pub(super) fn reboot(&mut self, now: Instant, pool: String, duration: Duration) {
        self.nonce = rand::random();
        self.tasks.reboot(now, self.nonce, &mut self.journal);
        self.pool = pool;
        self.rebooting_until = Some(now + duration);
    }

    /// Records a connection and returns whether it is silenced.
    pub(super) fn is_silenced(&mut self, peer: SocketAddr) -> bool {
        self.connections.insert(peer);
        self.silenced.contains(&peer)
    }
}
