//! Leases and runs of tasks.
//!
//! Ends are computed from the clock at each access instead of by timers: a run ends when its work is done or its
//! lease lapses, whichever comes first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_wire::worker::{Lease, LeaseRequest, RunState, StartTask, TaskStatus};

use super::journal::{Journal, RunEnd, Start};
use super::payload::{Checkpoint, Payload, TaskResult, decode, encode};

/// Leases and runs of one worker.
#[derive(Debug)]
pub struct Tasks {
    worker: String,
    nonce: u64,
    ttl: Duration,
    next: u64,
    leases: BTreeMap<u64, Held>,
    runs: BTreeMap<String, Run>,
    running: BTreeSet<String>,
}

#[derive(Debug)]
struct Held {
    task: String,
    attempt: u32,
    until: Instant,
    started: bool,
}

#[derive(Debug)]
struct Run {
    lease: u64,
    number: u64,
    payload: Payload,
    before: Duration,
    started: Instant,
    status: TaskStatus,
}

impl Run {
    fn finish(&self) -> Instant {
        self.started + Duration::from_millis(self.payload.work_ms).saturating_sub(self.before)
    }
}

impl Tasks {
    /// No leases and no runs.
    #[must_use]
    pub fn new(worker: String, nonce: u64, ttl: Duration) -> Self {
        let (leases, runs, running) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Self { worker, nonce, ttl, next: 1, leases, runs, running }
    }

    /// Slots taken: runs, and leases under which nothing started yet.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        let reserved = self.leases.values().filter(|lease| !lease.started).count();
        u32::try_from(reserved + self.running.len()).unwrap_or(u32::MAX)
    }

    /// Grants a lease. The caller has settled and checked that a slot is free, unless `replaces` names one.
    ///
    /// # Errors
    ///
    /// `Lease` if this or a later attempt already started here, or an earlier one still runs.
    pub fn grant(
        &mut self,
        now: Instant,
        ask: &LeaseRequest,
        slots: u32,
        busy: u32,
    ) -> Result<Lease, WorkerRefusal> {
        let known = self.runs.get(&ask.task);
        if known.is_some_and(|run| run.status.attempt >= ask.attempt || run.status.state == RunState::Running)
        {
            return Err(WorkerRefusal::Lease);
        }
        self.drop_reserved(&ask.task);
        if busy + self.occupied() >= slots {
            return Err(WorkerRefusal::Full);
        }
        let held =
            Held { task: ask.task.clone(), attempt: ask.attempt, until: now + self.ttl, started: false };
        Ok(self.insert_lease(held))
    }

    /// Starts an attempt under its lease. A repeated start of the same attempt starts nothing.
    ///
    /// # Errors
    ///
    /// `Lease` if the lease lapsed, is unknown or is for another attempt.
    pub fn start(
        &mut self,
        now: Instant,
        start: &StartTask,
        pool: &str,
        journal: &mut Journal,
    ) -> Result<TaskStatus, WorkerRefusal> {
        let known = self.runs.get(&start.task);
        if let Some(run) = known.filter(|run| run.lease == start.lease && run.status.attempt == start.attempt)
        {
            return Ok(run.status.clone());
        }
        let lease = self.leases.get_mut(&start.lease).ok_or(WorkerRefusal::Lease)?;
        if lease.started || lease.task != start.task || lease.attempt != start.attempt {
            return Err(WorkerRefusal::Lease);
        }
        lease.started = true;
        let (payload, error) = match decode::<Payload>(&start.payload) {
            Ok(payload) => (payload, None),
            Err(error) => (Payload::default(), Some(format!("the payload is malformed: {error}"))),
        };
        let checkpoint: Checkpoint =
            decode(start.checkpoint.as_deref().unwrap_or_default()).unwrap_or_default();
        let number = journal.start(now, journal_start(start, &payload, pool));
        let run = Run {
            lease: start.lease,
            number,
            payload,
            before: Duration::from_millis(checkpoint.done_ms),
            started: now,
            status: status(self.nonce, RunState::Running, start.attempt),
        };
        self.runs.insert(start.task.clone(), run);
        self.running.insert(start.task.clone());
        if let Some(error) = error {
            self.fail(now, &start.task, &error, journal);
        }
        Ok(self.query(&start.task))
    }

    /// Extends a lease. Lease 0 takes over the lease of a running attempt: it gets a new number, and the old number
    /// is void.
    ///
    /// # Errors
    ///
    /// `Lease` if there is no such lease or run.
    pub fn renew(
        &mut self,
        now: Instant,
        lease: u64,
        ask: Option<&LeaseRequest>,
    ) -> Result<Lease, WorkerRefusal> {
        if lease != 0 {
            let held = self.leases.get_mut(&lease).ok_or(WorkerRefusal::Lease)?;
            held.until = now + self.ttl;
            return Ok(self.lease(lease));
        }
        let ask = ask.ok_or(WorkerRefusal::Lease)?;
        let run = self.runs.get(&ask.task).filter(|run| run.status.state == RunState::Running);
        let run = run.filter(|run| run.status.attempt == ask.attempt).ok_or(WorkerRefusal::Lease)?;
        let mut held = self.leases.remove(&run.lease).ok_or(WorkerRefusal::Lease)?;
        held.until = now + self.ttl;
        let renewed = self.insert_lease(held);
        if let Some(run) = self.runs.get_mut(&ask.task) {
            run.lease = renewed.lease;
        }
        Ok(renewed)
    }

    /// State of a task.
    #[must_use]
    pub fn query(&self, task: &str) -> TaskStatus {
        self.runs.get(task).map_or_else(|| status(self.nonce, RunState::Never, 0), |run| run.status.clone())
    }

    /// Stops a running attempt and withdraws a lease under which nothing started.
    pub fn stop(&mut self, now: Instant, task: &str, journal: &mut Journal) -> TaskStatus {
        self.drop_reserved(task);
        if self.running.contains(task) {
            self.halt(now, task, RunEnd::Stopped, journal);
        }
        self.query(task)
    }

    /// Stops everything, voids every lease and forgets every run, as a restarted process does.
    pub fn reboot(&mut self, now: Instant, nonce: u64, journal: &mut Journal) {
        for task in self.running.clone() {
            self.halt(now, &task, RunEnd::Rebooted, journal);
        }
        self.leases.clear();
        self.runs.clear();
        self.nonce = nonce;
    }

    /// Ends a running attempt as failed.
    pub fn fail(&mut self, at: Instant, task: &str, reason: &str, journal: &mut Journal) {
        let Some(run) = self.close(task) else { return };
        run.status.state = RunState::Failed;
        run.status.reason = Some(reason.to_owned());
        journal.end(at, run.number, RunEnd::Failed);
    }

    /// Ends runs whose work is done or whose lease lapsed, and drops lapsed leases.
    pub fn settle(&mut self, now: Instant, journal: &mut Journal) {
        for task in self.running.clone() {
            let Some(run) = self.runs.get(&task) else { continue };
            let lapse = self.leases.get(&run.lease).map_or(now, |lease| lease.until);
            let finish = run.finish();
            if finish <= now && finish <= lapse {
                self.complete(finish, &task, journal);
            } else if lapse <= now {
                self.halt(lapse, &task, RunEnd::Stopped, journal);
            }
        }
        self.leases.retain(|_, lease| lease.until > now);
    }

    fn complete(&mut self, at: Instant, task: &str, journal: &mut Journal) {
        if self.runs.get(task).is_some_and(|run| run.payload.fail) {
            return self.fail(at, task, "the payload asks for a failure", journal);
        }
        let worker = self.worker.clone();
        let Some(run) = self.close(task) else { return };
        let token = run.payload.token.clone();
        run.status.state = RunState::Done;
        run.status.result = Some(encode(&TaskResult { token, worker, attempt: run.status.attempt }));
        journal.end(at, run.number, RunEnd::Done);
    }

    fn halt(&mut self, at: Instant, task: &str, end: RunEnd, journal: &mut Journal) {
        let Some(run) = self.close(task) else { return };
        run.status.state = RunState::Stopped;
        let done = run.before + at.saturating_duration_since(run.started);
        run.status.checkpoint = run.payload.checkpoint.then(|| encode(&Checkpoint::after(done)));
        journal.end(at, run.number, end);
    }

    fn close(&mut self, task: &str) -> Option<&mut Run> {
        if !self.running.remove(task) {
            return None;
        }
        let run = self.runs.get_mut(task)?;
        self.leases.remove(&run.lease);
        Some(run)
    }

    fn drop_reserved(&mut self, task: &str) {
        self.leases.retain(|_, lease| lease.started || lease.task != task);
    }

    fn insert_lease(&mut self, held: Held) -> Lease {
        let number = self.next;
        self.next += 1;
        self.leases.insert(number, held);
        self.lease(number)
    }

    fn lease(&self, lease: u64) -> Lease {
        Lease { lease, ttl_ms: u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX), nonce: self.nonce }
    }
}

const fn status(nonce: u64, state: RunState, attempt: u32) -> TaskStatus {
    TaskStatus { state, attempt, nonce, result: None, reason: None, checkpoint: None }
}

fn journal_start(start: &StartTask, payload: &Payload, pool: &str) -> Start {
    Start {
        request: String::new(),
        task: start.task.clone(),
        attempt: start.attempt,
        token: payload.token.clone(),
        team: payload.team.clone(),
        pool: pool.to_owned(),
    }
}
