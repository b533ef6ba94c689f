//! Processes the answers of workers about task attempts.

use super::super::event::{TaskAnswer, TaskReport, WorkerRefusal};
use super::super::runs::RunStage;
use super::super::view::RetryReason;
use super::super::{Engine, Millis};
use crate::ids::TaskId;
use crate::policy::outlier::Outcome;
use crate::record::{Record, StopProof, TaskOutcome};

impl Engine {
    pub(in crate::engine) fn handle_report(&mut self, now: Millis, report: TaskReport) {
        let Some(run) = self.runs.rows.get(&report.task) else {
            return;
        };
        if run.attempt != report.attempt || run.worker != report.worker || run.stage == RunStage::RecordingEnd
        {
            return;
        }
        if run.stage == RunStage::Leasing {
            self.end_leasing(now, report);
        } else {
            self.handle_answer(now, report);
        }
    }

    fn end_leasing(&mut self, now: Millis, report: TaskReport) {
        let id = report.task;
        match report.answer {
            TaskAnswer::Leased { lease, ttl_ms, asked } => {
                self.set_lease(id, lease, ttl_ms, asked, report.nonce);
                self.record_start(now, id);
            }
            TaskAnswer::Refused(refusal) => {
                self.pause_worker(now, report.worker, refusal);
                self.drop_run(now, id);
            }
            _ => {
                self.upstreams.row(report.worker).back_off(now);
                self.probe(report.worker);
                self.drop_run(now, id);
            }
        }
    }

    fn pause_worker(&mut self, now: Millis, worker: crate::ids::WorkerId, refusal: WorkerRefusal) {
        *self.counters.retries.entry(RetryReason::from(refusal)).or_default() += 1;
        let upstream = self.upstreams.row(worker);
        if refusal == WorkerRefusal::Full {
            upstream.pause_full(now);
        } else {
            upstream.pause_refused(now);
        }
    }

    fn set_lease(&mut self, id: TaskId, lease: u64, ttl_ms: u64, asked: Millis, nonce: u64) {
        // The drift is subtracted because the worker's clock may run faster.
        let ttl = ttl_ms.saturating_sub(ttl_ms * self.options.drift_ppm / 1_000_000);
        if let Some(run) = self.runs.rows.get_mut(&id) {
            run.lease = lease;
            run.expires = asked.plus(ttl);
            run.renew_at = asked.plus(ttl / 3);
            if run.nonce == 0 {
                run.nonce = nonce;
            }
        }
    }

    /// Appends the start record. An idempotent task is started without waiting for it, so that it can start while the
    /// log is unreachable.
    fn record_start(&mut self, now: Millis, task: TaskId) {
        let idempotent = self.fleet.tasks.get(&task).is_some_and(|t| t.idempotent);
        let Some(run) = self.runs.rows.get_mut(&task) else {
            return;
        };
        let (attempt, worker, nonce) = (run.attempt, run.worker, run.nonce);
        run.stage = RunStage::Recording;
        let startable = run.expires > now && self.fleet.workers.get(&worker).is_some_and(|w| self.may_use(w));
        if !startable {
            self.drop_run(now, task);
            return;
        }
        self.append_record(now, Record::TaskStarted { task, attempt, worker, nonce });
        if idempotent {
            self.send_start(now, task);
        }
    }

    fn handle_answer(&mut self, now: Millis, report: TaskReport) {
        let id = report.task;
        match report.answer {
            TaskAnswer::Leased { lease, ttl_ms, asked } => {
                self.set_lease(id, lease, ttl_ms, asked, report.nonce)
            }
            TaskAnswer::Refused(_) | TaskAnswer::Unsent => self.handle_refused(now, id),
            TaskAnswer::Never => self.handle_never(now, id, report.nonce),
            TaskAnswer::Running => self.handle_running(id),
            TaskAnswer::Done(result) => self.handle_done(now, id, result),
            TaskAnswer::Failed(reason) => self.handle_failed(now, id, reason),
            TaskAnswer::Stopped { checkpoint } => self.handle_stopped(now, id, checkpoint),
            TaskAnswer::NoAnswer => self.probe(report.worker),
        }
    }

    /// A refused start proves that the attempt did not run only if no other start was sent; otherwise the worker is
    /// queried.
    fn handle_refused(&mut self, now: Millis, id: TaskId) {
        let Some(run) = self.runs.rows.get(&id) else {
            return;
        };
        if run.stage == RunStage::MaybeStarted && run.start_calls == 1 && !run.taken_over() {
            self.requeue(now, id, StopProof::Refused);
        }
    }

    /// Processes the answer that the worker never started the attempt. It is a proof only if the worker has not
    /// restarted since the grant of the lease, and only once the lease has expired, so that no delayed start can take
    /// effect.
    fn handle_never(&mut self, now: Millis, id: TaskId, nonce: u64) {
        let Some(run) = self.runs.rows.get(&id) else {
            return;
        };
        let unconfirmed = matches!(run.stage, RunStage::MaybeStarted | RunStage::Running);
        if unconfirmed && nonce != run.nonce {
            self.end_lost_attempt(now, id);
        } else if run.stage == RunStage::MaybeStarted && run.expires <= now {
            self.requeue(now, id, StopProof::NeverStarted);
        } else if run.stage == RunStage::MaybeStarted && !run.taken_over() {
            self.send_start(now, id);
        }
    }

    /// Marks the attempt as running. If an earlier owner started it, its lease is taken over.
    fn handle_running(&mut self, id: TaskId) {
        let Some(run) = self.runs.rows.get_mut(&id) else {
            return;
        };
        run.stage = RunStage::Running;
        run.unconfirmed = false;
        if run.taken_over() {
            self.call_worker(id, super::super::command::TaskAction::Renew { lease: 0 });
        }
    }

    fn record_task_outcome(&mut self, now: Millis, id: TaskId, failed: bool) {
        let (Some(run), Some(task)) = (self.runs.rows.get(&id), self.fleet.tasks.get(&id)) else {
            return;
        };
        let job = id.member.0 << 32 | u64::from(id.number);
        self.record_outcome(now, task.pool, run.worker, Outcome { team: task.team, job, failed });
    }

    fn handle_done(&mut self, now: Millis, id: TaskId, result: Vec<u8>) {
        self.record_task_outcome(now, id, false);
        if let (Some(run), Some(task)) = (self.runs.rows.get(&id), self.fleet.tasks.get(&id)) {
            let (pool, worker) = (task.pool, run.worker);
            self.upstreams.learn_run_time(pool, worker, now.since(run.started));
        }
        self.end_task(now, id, TaskOutcome::Done(result));
    }

    /// Tries a failed attempt of an idempotent task on other workers, up to the declared number of attempts.
    fn handle_failed(&mut self, now: Millis, id: TaskId, reason: String) {
        self.record_task_outcome(now, id, true);
        let Some(task) = self.fleet.tasks.get(&id) else {
            return;
        };
        let allowed =
            self.fleet.effective_default(task.pool, task.team, |d| d.task_attempts.into(), "task_attempts");
        let failed = task.failed.len() as u64 + 1;
        if task.idempotent && failed < allowed {
            self.requeue(now, id, StopProof::Failed);
        } else {
            self.end_task(now, id, TaskOutcome::Failed(reason));
        }
    }

    /// Requeues a stopped attempt with its checkpoint. Without one, only an idempotent task may start again.
    fn handle_stopped(&mut self, now: Millis, id: TaskId, checkpoint: Option<Vec<u8>>) {
        let Some(task) = self.fleet.tasks.get(&id) else {
            return;
        };
        if task.cancelled {
            self.end_task(now, id, TaskOutcome::Cancelled);
        } else if let Some(checkpoint) = checkpoint {
            self.runs.checkpoints.insert(id, checkpoint);
            self.requeue(now, id, StopProof::Checkpointed);
        } else if task.idempotent {
            self.requeue(now, id, StopProof::Stopped);
        } else {
            let reason = "the task was stopped without a checkpoint and may not run twice";
            self.end_task(now, id, TaskOutcome::Failed(reason.into()));
        }
    }
}
