//! Outcomes of request attempts: answers or retries the request, updates the worker and releases the slot.

use super::super::command::{NotRun, Refusal, Unknown};
use super::super::event::{AttemptOutcome, WorkerRefusal};
use super::super::holds::Permit;
use super::super::requests::Stage;
use super::super::view::RetryReason;
use super::super::{DELIVERY_TIMEOUT_MS, Engine, Millis, RequestKey};
use super::scheduling::MAX_ATTEMPTS;
use crate::ids::{PoolId, TeamId, WorkerId};
use crate::policy::outlier::Outcome;
use slotmap::Key;

/// Maximum time from the `Send` command until the request is written, including the connect, in milliseconds.
const MAX_SEND_DELAY_MS: u64 = 1_000;

/// Data of the request and of its running attempt, copied from the request's row.
#[derive(Clone, Copy)]
struct AttemptInfo {
    key: RequestKey,
    pool: PoolId,
    team: TeamId,
    idempotent: bool,
    deadline: Millis,
    attempts: u32,
    worker: WorkerId,
    sent: Millis,
}

impl Engine {
    pub(in crate::engine) fn end_attempt(&mut self, now: Millis, key: RequestKey, outcome: AttemptOutcome) {
        let Some((attempt, permit)) = self.take_running(key) else {
            return;
        };
        self.close_attempt(now, &attempt, permit, outcome);
        self.update_worker(now, &attempt, outcome);
        match outcome {
            AttemptOutcome::Answered { .. } => self.finish(key),
            AttemptOutcome::Refused(refusal) => self.retry_refused(now, &attempt, refusal),
            AttemptOutcome::Unsent => {
                self.retry_not_run(now, &attempt, RetryReason::Unsent);
            }
            AttemptOutcome::Broken => {
                self.retry_if_idempotent(now, &attempt, RetryReason::Broken, Unknown::Broken)
            }
            AttemptOutcome::Corrupt => {
                self.retry_if_idempotent(now, &attempt, RetryReason::Corrupt, Unknown::CorruptAnswer)
            }
            AttemptOutcome::TimedOut => self.end_request(key, Refusal::Unknown(Unknown::TimedOut)),
        }
        self.schedule(now, attempt.pool);
    }

    /// Returns the attempt and the permit of a running request, and sets the request to waiting.
    fn take_running(&mut self, key: RequestKey) -> Option<(AttemptInfo, Permit)> {
        let row = self.requests.rows.get_mut(key)?;
        match std::mem::replace(&mut row.stage, Stage::Waiting) {
            Stage::Waiting => None,
            Stage::Running { worker, permit, sent } => {
                let attempt = AttemptInfo {
                    key,
                    pool: row.pool,
                    team: row.team,
                    idempotent: row.idempotent,
                    deadline: row.deadline,
                    attempts: row.attempts,
                    worker,
                    sent,
                };
                Some((attempt, permit))
            }
        }
    }

    fn finish(&mut self, key: RequestKey) {
        self.requests.rows.remove(key);
        self.counters.answered += 1;
    }

    fn end_request(&mut self, key: RequestKey, refusal: Refusal) {
        self.requests.rows.remove(key);
        self.refuse(key, refusal);
    }

    /// Releases the slot, or keeps it while the worker may still run the request.
    fn close_attempt(&mut self, now: Millis, attempt: &AttemptInfo, permit: Permit, outcome: AttemptOutcome) {
        let row = self.shares.row(attempt.pool, attempt.team);
        row.running = row.running.saturating_sub(1);
        self.upstreams.end(attempt.worker, attempt.team, false);
        if matches!(outcome, AttemptOutcome::Broken | AttemptOutcome::TimedOut | AttemptOutcome::Corrupt) {
            self.release_later(now, attempt, permit);
        } else {
            permit.release(&mut self.slot_usage);
        }
    }

    /// Keeps the slot until the worker must have stopped the request: the worker counts the time limit, which is the
    /// time left when the request was sent, from the arrival of the request.
    fn release_later(&mut self, now: Millis, attempt: &AttemptInfo, permit: Permit) {
        let limit = attempt.deadline.since(attempt.sent);
        let arrival = attempt.sent.plus(MAX_SEND_DELAY_MS + DELIVERY_TIMEOUT_MS);
        let until = arrival.plus(self.with_drift(limit)).max(now);
        permit.release_at(&mut self.slot_usage, until);
        let upstream = self.upstreams.row(attempt.worker);
        upstream.orphaned.retain(|other| *other > now);
        upstream.orphaned.push(until);
    }

    fn update_worker(&mut self, now: Millis, attempt: &AttemptInfo, outcome: AttemptOutcome) {
        let upstream = self.upstreams.row(attempt.worker);
        match outcome {
            AttemptOutcome::Answered { .. } => {
                upstream.reset_backoff();
                let ms = now.since(attempt.sent);
                self.upstreams.learn_run_time(attempt.pool, attempt.worker, ms);
                self.upstreams.learn_request_time(attempt.pool, attempt.team, ms);
            }
            AttemptOutcome::Refused(WorkerRefusal::Full) => upstream.pause_full(now),
            AttemptOutcome::Refused(_) => upstream.pause_refused(now),
            AttemptOutcome::Unsent | AttemptOutcome::Broken | AttemptOutcome::Corrupt => {
                upstream.back_off(now)
            }
            AttemptOutcome::TimedOut => {
                self.upstreams.learn_min_time(attempt.pool, attempt.team, now.since(attempt.sent));
                self.probe(attempt.worker);
            }
        }
        if outcome == AttemptOutcome::Unsent || outcome == AttemptOutcome::Broken {
            self.probe(attempt.worker);
        }
        let failed = match outcome {
            AttemptOutcome::Refused(_) | AttemptOutcome::Unsent => return,
            AttemptOutcome::Answered { failed } => failed,
            AttemptOutcome::Broken | AttemptOutcome::TimedOut | AttemptOutcome::Corrupt => true,
        };
        let job = attempt.key.data().as_ffi();
        self.record_outcome(now, attempt.pool, attempt.worker, Outcome { team: attempt.team, job, failed });
    }

    /// Upper bound, on this clock, of a duration on another clock, in milliseconds.
    pub(super) fn with_drift(&self, ms: u64) -> u64 {
        ms + ms * self.options.drift_ppm / 1_000_000 + 1
    }

    fn retry_refused(&mut self, now: Millis, attempt: &AttemptInfo, refusal: WorkerRefusal) {
        let reason = RetryReason::from(refusal);
        if refusal == WorkerRefusal::Full {
            // A full worker is paused, so retries do not pile up; the request waits for a free slot.
            if let Some(row) = self.requests.rows.get_mut(attempt.key) {
                row.attempts = row.attempts.saturating_sub(1);
            }
            self.requeue_request(attempt.key, reason);
            return;
        }
        self.retry_not_run(now, attempt, reason);
    }

    /// Tries another worker after an attempt that certainly did not run. Such a retry adds no work to the fleet, and
    /// the worker is paused, so it is not charged to the retry budget.
    fn retry_not_run(&mut self, now: Millis, attempt: &AttemptInfo, reason: RetryReason) {
        if attempt.deadline > now && attempt.attempts < MAX_ATTEMPTS {
            self.requeue_request(attempt.key, reason);
        } else {
            self.end_request(attempt.key, Refusal::NotRun(NotRun::NoWorker));
        }
    }

    fn retry_if_idempotent(
        &mut self,
        now: Millis,
        attempt: &AttemptInfo,
        reason: RetryReason,
        unknown: Unknown,
    ) {
        if attempt.idempotent {
            self.retry(now, attempt, reason, unknown);
        } else {
            self.end_request(attempt.key, Refusal::Unknown(unknown));
        }
    }

    fn retry(&mut self, now: Millis, attempt: &AttemptInfo, reason: RetryReason, unknown: Unknown) {
        let in_time = attempt.deadline > now && attempt.attempts < MAX_ATTEMPTS;
        if in_time && self.take_retry(attempt.team) {
            self.requeue_request(attempt.key, reason);
        } else {
            self.end_request(attempt.key, Refusal::Unknown(unknown));
        }
    }

    fn requeue_request(&mut self, key: RequestKey, reason: RetryReason) {
        *self.counters.retries.entry(reason).or_default() += 1;
        self.requests.enqueue(key, true);
    }

    /// Ends a request whose caller disconnected. If it was running, the worker may still run it.
    pub(in crate::engine) fn cancel_request(&mut self, now: Millis, key: RequestKey) {
        let Some((attempt, permit)) = self.take_running(key) else {
            if self.requests.remove_waiting(key).is_some() {
                self.count_not_run(NotRun::Cancelled);
            }
            return;
        };
        self.close_attempt(now, &attempt, permit, AttemptOutcome::Broken);
        self.requests.rows.remove(key);
        self.schedule(now, attempt.pool);
    }
}
