//! State of a worker behind its lock.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_wire::worker::parse_refusal;

use super::{Faults, Journal, RunEnd, Spec, Start, Tasks};

/// Everything that changes.
#[derive(Debug)]
pub(super) struct State {
    pub(super) nonce: u64,
    pub(super) pool: String,
    pub(super) rebooting: Option<Instant>,
    pub(super) requests: u32,
    pub(super) tasks: Tasks,
    pub(super) journal: Journal,
    pub(super) faults: Faults,
    pub(super) peers: HashSet<SocketAddr>,
    pub(super) silent: HashSet<SocketAddr>,
    /// Id and token of the last answer, for the fault of crossed answers.
    pub(super) last: (String, String),
}

impl State {
    pub(super) fn new(spec: &Spec) -> Self {
        let nonce = rand::random();
        Self {
            nonce,
            pool: spec.pool.clone(),
            rebooting: None,
            requests: 0,
            tasks: Tasks::new(spec.name.clone(), nonce, Duration::from_millis(spec.lease_ms)),
            journal: Journal::new(spec.journal),
            faults: Faults::default(),
            peers: HashSet::new(),
            silent: HashSet::new(),
            last: Default::default(),
        }
    }

    /// Brings runs, leases and a reboot up to date.
    pub(super) fn settle(&mut self, now: Instant) {
        self.tasks.settle(now, &mut self.journal);
        if self.rebooting.is_some_and(|until| until <= now) {
            self.rebooting = None;
        }
    }

    /// Slots taken.
    pub(super) fn running(&self) -> u32 {
        self.requests + self.tasks.occupied()
    }

    /// Refusal of any new work for a pool; `None` if the worker takes it, slots aside.
    pub(super) fn refusal(&self, pool: Option<&str>) -> Option<WorkerRefusal> {
        if self.rebooting.is_some() || self.faults.leaving {
            return Some(WorkerRefusal::Leaving);
        }
        if let Some(refusal) = self.faults.refuse.as_deref() {
            return Some(parse_refusal(refusal).unwrap_or(WorkerRefusal::Full));
        }
        pool.filter(|pool| *pool != self.pool).map(|_| WorkerRefusal::WrongPool)
    }

    /// Takes a slot for a request and returns the number of its start.
    pub(super) fn start_request(
        &mut self,
        now: Instant,
        slots: u32,
        start: Start,
    ) -> Result<u64, WorkerRefusal> {
        if self.running() >= slots {
            return Err(WorkerRefusal::Full);
        }
        self.requests += 1;
        Ok(self.journal.start(now, start))
    }

    /// Frees the slot of a request.
    pub(super) fn end_request(&mut self, now: Instant, number: u64, end: RunEnd) {
        self.requests -= 1;
        self.journal.end(now, number, end);
    }

    /// Stops everything; requests end by themselves when they see the reboot.
    pub(super) fn reboot(&mut self, now: Instant, pool: String, duration: Duration) {
        self.nonce = rand::random();
        self.tasks.reboot(now, self.nonce, &mut self.journal);
        self.pool = pool;
        self.rebooting = Some(now + duration);
    }

    /// True if the connection was open when it was silenced.
    pub(super) fn is_silent(&mut self, peer: SocketAddr) -> bool {
        self.peers.insert(peer);
        self.silent.contains(&peer)
    }
}
