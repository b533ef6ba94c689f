//! Leases and runs of tasks.
//!
//! There are no timers: each access computes from the clock which runs have ended. A run ends when its work is done
//! or its lease expires, whichever comes first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_wire::worker::{Lease, LeaseRequest, RunState, StartTask, TaskStatus};

use super::journal::{Journal, RunOutcome, StartedWork};
use super::payload::{Checkpoint, Payload, TaskResult, decode, encode};

/// Leases and runs of one worker, addressed by lease id and task id.
#[derive(Debug)]
pub struct Tasks {
    worker: String,
    nonce: u64,
    ttl: Duration,
    next_lease: u64,
    leases: BTreeMap<u64, LeaseRecord>,
    runs: BTreeMap<String, Run>,
    running: BTreeSet<String>,
}

/// Valid lease; removed when it expires or its run ends.
#[derive(Debug)]
struct LeaseRecord {
    task: String,
    attempt: u32,
    expires_at: Instant,
    /// Whether an attempt runs under this lease; until then the lease only reserves a slot.
    started: bool,
}

/// Latest attempt of a task on this worker.
#[derive(Debug)]
struct Run {
    lease: u64,
    /// Index of the journal entry.
    entry: u64,
    payload: Payload,
    /// Work that the checkpoint of an earlier attempt covers.
    prior_work: Duration,
    started: Instant,
    status: TaskStatus,
}

impl Run {
    /// Time at which the work is done, if the lease lasts that long.
    fn finish_time(&self) -> Instant {
        self.started + Duration::from_millis(self.payload.work_ms).saturating_sub(self.prior_work)
    }
}

impl Tasks {
    /// Creates an empty table. `nonce` is sent with every lease and task status; `ttl` is the time to expiry of a lease.
    #[must_use]
    pub fn new(worker: String, nonce: u64, ttl: Duration) -> Self {
        let (leases, runs, running) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Self { worker, nonce, ttl, next_lease: 1, leases, runs, running }
    }

    /// Number of running attempts and of leases whose attempt has not started.
    #[must_use]
    pub fn slots_used(&self) -> u32 {
        let reserved = self.leases.values().filter(|lease| !lease.started).count();
        u32::try_from(reserved + self.running.len()).unwrap_or(u32::MAX)
    }

    /// Grants a lease, which replaces an unused lease of the same task. Call [`Tasks::advance`] first, so that expired
    /// leases hold no slots. `request_slots` counts the slots that requests take.
    ///
    /// # Errors
    ///
    /// `Lease` if this or a later attempt has already started on this worker, or an earlier one is still running; `Full`
    /// if no slot is free.
    pub fn grant(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
        slots: u32,
        request_slots: u32,
    ) -> Result<Lease, WorkerRefusal> {
        let known = self.runs.get(&request.task);
        if known
            .is_some_and(|run| run.status.attempt >= request.attempt || run.status.state == RunState::Running)
        {
            return Err(WorkerRefusal::Lease);
        }
        self.revoke_unused(&request.task);
        if request_slots + self.slots_used() >= slots {
            return Err(WorkerRefusal::Full);
        }
        let record = LeaseRecord {
            task: request.task.clone(),
            attempt: request.attempt,
            expires_at: now + self.ttl,
            started: false,
        };
        Ok(self.insert_lease(record))
    }

    /// Starts an attempt under its lease. Repeating the call for the same lease and attempt only returns the status.
    ///
    /// # Errors
    ///
    /// `Lease` if the lease has expired, is unknown or is for another attempt.
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
            Err(error) => (Payload::default(), Some(format!("malformed payload: {error}"))),
        };
        let checkpoint: Checkpoint =
            decode(start.checkpoint.as_deref().unwrap_or_default()).unwrap_or_default();
        let entry = journal.start(now, started_work(start, &payload, pool));
        let run = Run {
            lease: start.lease,
            entry,
            payload,
            prior_work: Duration::from_millis(checkpoint.done_ms),
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

    /// Extends a lease. Id 0 takes over the lease of the running attempt that `request` names: the lease gets a new id,
    /// and the old id becomes invalid.
    ///
    /// # Errors
    ///
    /// `Lease` if there is no such lease or run.
    pub fn renew(
        &mut self,
        now: Instant,
        lease: u64,
        request: Option<&LeaseRequest>,
    ) -> Result<Lease, WorkerRefusal> {
        if lease != 0 {
            let record = self.leases.get_mut(&lease).ok_or(WorkerRefusal::Lease)?;
            record.expires_at = now + self.ttl;
            return Ok(self.lease(lease));
        }
        let request = request.ok_or(WorkerRefusal::Lease)?;
        let run = self.runs.get(&request.task).filter(|run| run.status.state == RunState::Running);
        let run = run.filter(|run| run.status.attempt == request.attempt).ok_or(WorkerRefusal::Lease)?;
        let mut record = self.leases.remove(&run.lease).ok_or(WorkerRefusal::Lease)?;
        record.expires_at = now + self.ttl;
        let renewed = self.insert_lease(record);
        if let Some(run) = self.runs.get_mut(&request.task) {
            run.lease = renewed.lease;
        }
        Ok(renewed)
    }

    /// Status of a task; `Never` if no attempt has started since the last reboot.
    #[must_use]
    pub fn query(&self, task: &str) -> TaskStatus {
        self.runs.get(task).map_or_else(|| status(self.nonce, RunState::Never, 0), |run| run.status.clone())
    }

    /// Stops a running attempt, or revokes a lease whose attempt has not started.
    pub fn stop(&mut self, now: Instant, task: &str, journal: &mut Journal) -> TaskStatus {
        self.revoke_unused(task);
        if self.running.contains(task) {
            self.stop_run(now, task, RunOutcome::Stopped, journal);
        }
        self.query(task)
    }

    /// Stops every run, then drops all leases and task statuses, as a process restart does.
    pub fn reboot(&mut self, now: Instant, nonce: u64, journal: &mut Journal) {
        for task in self.running.clone() {
            self.stop_run(now, &task, RunOutcome::Rebooted, journal);
        }
        self.leases.clear();
        self.runs.clear();
        self.nonce = nonce;
    }

    /// Ends a running attempt as failed; does nothing if the task is not running.
    pub fn fail(&mut self, at: Instant, task: &str, reason: &str, journal: &mut Journal) {
        let Some(run) = self.end_run(task) else { return };
        run.status.state = RunState::Failed;
        run.status.reason = Some(reason.to_owned());
        journal.end(at, run.entry, RunOutcome::Failed);
    }

    /// Ends runs whose work is done or whose lease has expired by `now`, and drops expired leases.
    pub fn advance(&mut self, now: Instant, journal: &mut Journal) {
        for task in self.running.clone() {
            let Some(run) = self.runs.get(&task) else { continue };
            let expiry = self.leases.get(&run.lease).map_or(now, |lease| lease.expires_at);
            let finish_time = run.finish_time();
            if finish_time <= now && finish_time <= expiry {
                self.complete(finish_time, &task, journal);
            } else if expiry <= now {
                self.stop_run(expiry, &task, RunOutcome::Stopped, journal);
            }
        }
        self.leases.retain(|_, lease| lease.expires_at > now);
    }

    fn complete(&mut self, at: Instant, task: &str, journal: &mut Journal) {
        if self.runs.get(task).is_some_and(|run| run.payload.fail) {
            return self.fail(at, task, "failure requested by the payload", journal);
        }
        let worker = self.worker.clone();
        let Some(run) = self.end_run(task) else { return };
        let token = run.payload.token.clone();
        run.status.state = RunState::Done;
        run.status.result = Some(encode(&TaskResult { token, worker, attempt: run.status.attempt }));
        journal.end(at, run.entry, RunOutcome::Done);
    }

    fn stop_run(&mut self, at: Instant, task: &str, end: RunOutcome, journal: &mut Journal) {
        let Some(run) = self.end_run(task) else { return };
        run.status.state = RunState::Stopped;
        let done = run.prior_work + at.saturating_duration_since(run.started);
        run.status.checkpoint = run.payload.checkpoint.then(|| encode(&Checkpoint::after(done)));
        journal.end(at, run.entry, end);
    }

    /// Removes a task from the running ones together with its lease; `None` if it is not running.
    fn end_run(&mut self, task: &str) -> Option<&mut Run> {
        if !self.running.remove(task) {
            return None;
        }
        let run = self.runs.get_mut(task)?;
        self.leases.remove(&run.lease);
        Some(run)
    }

    /// Drops the lease of a task if its attempt has not started.
    fn revoke_unused(&mut self, task: &str) {
        self.leases.retain(|_, lease| lease.started || lease.task != task);
    }

    fn insert_lease(&mut self, record: LeaseRecord) -> Lease {
        let id = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(id, record);
        self.lease(id)
    }

    fn lease(&self, lease: u64) -> Lease {
        Lease { lease, ttl_ms: u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX), nonce: self.nonce }
    }
}

const fn status(nonce: u64, state: RunState, attempt: u32) -> TaskStatus {
    TaskStatus { state, attempt, nonce, result: None, reason: None, checkpoint: None }
}

fn started_work(start: &StartTask, payload: &Payload, pool: &str) -> StartedWork {
    StartedWork {
        request: String::new(),
        task: start.task.clone(),
        attempt: start.attempt,
        token: payload.token.clone(),
        team: payload.team.clone(),
        pool: pool.to_owned(),
    }
}
