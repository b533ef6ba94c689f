//! Task attempts: start, takeover from an earlier owner, polling and end.
//!
//! An attempt first obtains a lease from the worker and starts under it, so that a start that is delayed, for
//! instance by a frozen process, is refused by the worker's clock. The start record of a non-idempotent task is in
//! the log before the start is sent.

use super::super::command::{Command, TaskAction, TaskCall};
use super::super::holds::Permit;
use super::super::runs::{Run, RunStage};
use super::super::{Engine, Millis};
use crate::fleet::{Task, TaskState, WorkerState};
use crate::ids::{TaskId, WorkerId};
use crate::record::{Batch, Origin, Record, StopProof, TaskOutcome};

/// Minimum time between two queries about an attempt, in milliseconds.
const MIN_QUERY_MS: u64 = 100;
/// Maximum time between two queries about an attempt, in milliseconds.
pub(super) const MAX_QUERY_MS: u64 = 1_000;
/// Time that an idempotent task may continue on a worker that is draining, moving or leaving, in milliseconds.
const STOP_GRACE_MS: u64 = 10_000;

impl Engine {
    /// Tracks the tasks in a batch, or all tasks if members changed, because owners change with them.
    pub(super) fn track_batch_tasks(&mut self, now: Millis, batch: &Batch) {
        let members = |r: &Record| matches!(r, Record::Join(_) | Record::Leave | Record::Gone { .. });
        if batch.records.iter().any(members) {
            return self.track_all_tasks(now);
        }
        for record in &batch.records {
            if let Some(task) = touched_task(batch.origin, record) {
                self.track_task(now, task);
            }
        }
    }

    pub(super) fn track_all_tasks(&mut self, now: Millis) {
        let Some(me) = self.member() else {
            return;
        };
        let open = |task: &Task| task.owner == me && !matches!(task.state, TaskState::Ended { .. });
        let own: Vec<TaskId> = self.fleet.tasks.iter().filter(|(_, t)| open(t)).map(|(id, _)| *id).collect();
        for id in own {
            self.track_task(now, id);
        }
    }

    /// Queues a waiting task of this member, or takes over a started one.
    fn track_task(&mut self, now: Millis, id: TaskId) {
        let Some(task) = self.fleet.tasks.get(&id).filter(|task| Some(task.owner) == self.member()) else {
            return;
        };
        let known = self.runs.rows.contains_key(&id);
        match task.state {
            TaskState::Waiting if !known && self.runs.queued.insert(id) => {
                self.requests.enqueue_task(task.pool, task.team, task.class, id);
            }
            TaskState::Started { attempt, worker, nonce } if !known => {
                self.take_over_attempt(now, id, attempt, worker, nonce)
            }
            TaskState::Ended { .. } => self.dequeue_task(id),
            _ => {}
        }
    }

    fn dequeue_task(&mut self, id: TaskId) {
        let Some(task) = self.fleet.tasks.get(&id) else {
            return;
        };
        if self.runs.queued.remove(&id)
            && let Some(queue) = self.requests.queues.get_mut(&(task.pool, task.team))
        {
            queue.remove_one();
        }
        self.runs.checkpoints.remove(&id);
    }

    /// Takes over an attempt that an earlier owner may have started. The slot that it uses was transferred with it.
    fn take_over_attempt(&mut self, now: Millis, id: TaskId, attempt: u32, worker: WorkerId, nonce: u64) {
        let task = &self.fleet.tasks[&id];
        let (pool, team) = (task.pool, task.team);
        let permit = self.slot_usage.acquire_unchecked(team);
        self.shares.row(pool, team).running += 1;
        self.upstreams.start(worker, team, true);
        let expires = now.plus(self.with_drift(self.options.lease_cap_ms));
        let mut run = new_run(now, attempt, worker, permit);
        run.stage = RunStage::MaybeStarted;
        run.unconfirmed = true;
        run.recorded = true;
        run.nonce = nonce;
        run.expires = expires;
        self.runs.rows.insert(id, run);
    }

    pub(super) fn start_task(&mut self, now: Millis, id: TaskId, worker: WorkerId, permit: Permit) {
        self.runs.queued.remove(&id);
        let Some(task) = self.fleet.tasks.get(&id) else {
            permit.release(&mut self.slot_usage);
            return;
        };
        let attempt = task.attempts + 1;
        let pool = self.fleet.pools[&task.pool].name.clone();
        let mut run = new_run(now, attempt, worker, permit);
        run.query_at = now.plus(MAX_QUERY_MS);
        self.runs.rows.insert(id, run);
        self.call_worker(id, TaskAction::Lease { pool });
    }

    /// Calls the worker of a task's current attempt.
    pub(super) fn call_worker(&mut self, task: TaskId, action: TaskAction) {
        let Some(run) = self.runs.rows.get(&task) else {
            return;
        };
        let (attempt, worker) = (run.attempt, run.worker);
        let address = self.fleet.workers.get(&worker).map(|w| w.address.clone()).unwrap_or_default();
        self.emit(Command::Task(TaskCall { task, attempt, worker, address, action }));
    }

    pub(super) fn send_start(&mut self, now: Millis, id: TaskId) {
        let checkpoint = self.runs.checkpoints.get(&id).cloned();
        let payload = self.fleet.tasks.get(&id).map(|task| task.payload.clone()).unwrap_or_default();
        let Some(run) = self.runs.rows.get_mut(&id) else {
            return;
        };
        run.stage = RunStage::MaybeStarted;
        run.start_calls += 1;
        run.query_at = now.plus(MAX_QUERY_MS);
        let lease = run.lease;
        self.call_worker(id, TaskAction::Start { lease, payload, checkpoint });
    }

    /// Sends the start once the start record was applied, or ends the attempt if the record is void or the lease
    /// expired.
    pub(super) fn complete_start_record(&mut self, now: Millis, id: TaskId, attempt: u32, applied: bool) {
        let Some(run) = self.runs.rows.get_mut(&id).filter(|run| run.attempt == attempt) else {
            return;
        };
        run.recorded = applied;
        if run.stage != RunStage::Recording {
            return;
        }
        let (worker, valid) = (run.worker, run.expires > now);
        if !applied {
            self.drop_run(now, id);
        } else if valid && self.fleet.workers.get(&worker).is_some_and(|w| self.may_use(w)) {
            self.send_start(now, id);
        } else {
            self.requeue(now, id, StopProof::NeverStarted);
        }
    }

    /// Removes an attempt whose final record was applied or is void.
    pub(super) fn complete_final_record(&mut self, now: Millis, id: TaskId) {
        let ended = self.runs.rows.get(&id).is_some_and(|run| run.stage == RunStage::RecordingEnd);
        if ended {
            self.drop_run(now, id);
        }
    }

    pub(in crate::engine) fn run_tasks(&mut self, now: Millis) {
        if self.member().is_none() {
            return;
        }
        for id in self.runs.rows.keys().copied().collect::<Vec<_>>() {
            self.poll_attempt(now, id);
        }
    }

    fn poll_attempt(&mut self, now: Millis, id: TaskId) {
        if self.end_if_lost(now, id) {
            return;
        }
        let stop = self.should_stop(now, id);
        let Some(run) = self.runs.rows.get_mut(&id) else {
            return;
        };
        let watched = matches!(run.stage, RunStage::MaybeStarted | RunStage::Running);
        let renew = run.renew_at <= now && run.lease != 0 && run.stage != RunStage::RecordingEnd;
        let query = watched && run.query_at <= now;
        let lease = run.lease;
        if renew {
            run.renew_at = now.plus(MAX_QUERY_MS);
        }
        if query {
            run.query_at = now.plus(query_interval(now.since(run.started)));
        }
        if renew {
            self.call_worker(id, TaskAction::Renew { lease });
        }
        if query {
            self.call_worker(id, if stop { TaskAction::Stop } else { TaskAction::Query });
        }
    }

    /// True if the attempt should be stopped: the task was cancelled, or it is idempotent and the grace time on a
    /// worker that is draining, moving or leaving is over.
    fn should_stop(&mut self, now: Millis, id: TaskId) -> bool {
        let (Some(run), Some(task)) = (self.runs.rows.get_mut(&id), self.fleet.tasks.get(&id)) else {
            return false;
        };
        let state = self.fleet.workers.get(&run.worker).map(|w| w.state);
        let stopping = matches!(
            state,
            Some(WorkerState::Draining(_) | WorkerState::Moving { .. } | WorkerState::Leaving)
        );
        run.stop_at = if stopping { run.stop_at.or(Some(now.plus(STOP_GRACE_MS))) } else { None };
        task.cancelled || (task.idempotent && run.stop_at.is_some_and(|stop| stop <= now))
    }

    /// Ends an attempt whose worker is lost according to the log.
    fn end_if_lost(&mut self, now: Millis, id: TaskId) -> bool {
        let Some(run) = self.runs.rows.get(&id).filter(|run| run.stage != RunStage::RecordingEnd) else {
            return false;
        };
        let lost = self.fleet.workers.get(&run.worker).is_none_or(|w| w.state == WorkerState::Lost);
        if lost {
            self.end_lost_attempt(now, id);
        }
        lost
    }

    /// Ends an attempt whose worker was lost or restarted, so that its progress is not known.
    pub(super) fn end_lost_attempt(&mut self, now: Millis, id: TaskId) {
        let idempotent = self.fleet.tasks.get(&id).is_some_and(|task| task.idempotent);
        let sent = self
            .runs
            .rows
            .get(&id)
            .is_some_and(|run| run.start_calls > 0 || run.stage == RunStage::MaybeStarted);
        if !sent {
            self.requeue(now, id, StopProof::NeverStarted);
        } else if idempotent {
            self.requeue(now, id, StopProof::WorkerLost);
        } else {
            self.end_task(
                now,
                id,
                TaskOutcome::Unknown("the worker was lost while the task may have run".into()),
            );
        }
    }

    /// Returns the task to the waiting state. A record is only needed if a start record was or is being appended.
    pub(super) fn requeue(&mut self, now: Millis, task: TaskId, proof: StopProof) {
        let Some(run) = self.runs.rows.get_mut(&task) else {
            return;
        };
        let attempt = run.attempt;
        let logged = run.recorded || self.appends.contains(|r| is_start(r, task, attempt));
        if logged {
            self.close_run(now, task);
            self.append_record(now, Record::TaskRequeued { task, attempt, proof });
        } else {
            self.drop_run(now, task);
        }
    }

    pub(super) fn end_task(&mut self, now: Millis, task: TaskId, outcome: TaskOutcome) {
        let Some(attempt) = self.runs.rows.get(&task).map(|run| run.attempt) else {
            return;
        };
        self.close_run(now, task);
        self.runs.checkpoints.remove(&task);
        self.append_record(now, Record::TaskEnded { task, attempt, outcome });
    }

    /// Releases the slot; the row stays until the final record is in the log.
    fn close_run(&mut self, now: Millis, id: TaskId) {
        let Some(run) = self.runs.rows.remove(&id) else {
            return;
        };
        let team = self.fleet.tasks.get(&id).map(|task| (task.pool, task.team));
        if run.stage != RunStage::RecordingEnd
            && let Some((pool, team)) = team
        {
            let row = self.shares.row(pool, team);
            row.running = row.running.saturating_sub(1);
            self.upstreams.end(run.worker, team, true);
        }
        let wait = self.reclaim_ms();
        let owner_gone = self.gone_since.values().any(|gone| now.since(*gone) < wait);
        if run.unconfirmed && owner_gone {
            run.permit.release_at(&mut self.slot_usage, now.plus(wait));
        } else {
            run.permit.release(&mut self.slot_usage);
        }
        let permit = Permit::none();
        self.runs.rows.insert(id, Run { stage: RunStage::RecordingEnd, permit, ..run });
    }

    /// Removes an attempt and queues its task again if it still waits.
    pub(super) fn drop_run(&mut self, now: Millis, id: TaskId) {
        self.close_run(now, id);
        if let Some(run) = self.runs.rows.remove(&id) {
            run.permit.release(&mut self.slot_usage);
        }
        self.track_task(now, id);
    }
}

fn new_run(now: Millis, attempt: u32, worker: WorkerId, permit: Permit) -> Run {
    Run {
        attempt,
        worker,
        permit,
        stage: RunStage::Leasing,
        unconfirmed: false,
        recorded: false,
        nonce: 0,
        start_calls: 0,
        lease: 0,
        expires: now,
        renew_at: now,
        query_at: now,
        started: now,
        stop_at: None,
    }
}

/// Time until the next query: a quarter of the attempt's age, within the bounds.
fn query_interval(age_ms: u64) -> u64 {
    (age_ms / 4).clamp(MIN_QUERY_MS, MAX_QUERY_MS)
}

fn is_start(record: &Record, id: TaskId, number: u32) -> bool {
    matches!(record, Record::TaskStarted { task, attempt, .. } if *task == id && *attempt == number)
}

fn touched_task(origin: Origin, record: &Record) -> Option<TaskId> {
    match (origin, record) {
        (Origin::Member(member), Record::TaskAccepted(task)) => Some(TaskId { member, number: task.number }),
        (_, Record::TaskStarted { task, .. } | Record::TaskRequeued { task, .. }) => Some(*task),
        (_, Record::TaskEnded { task, .. } | Record::TaskCancelled { task }) => Some(*task),
        _ => None,
    }
}
