//! Ends of attempts: what the outcome means for the caller, the worker and the hold.

use super::super::command::{NotRun, Refusal, Unknown};
use super::super::event::{AttemptOutcome, WorkerRefusal};
use super::super::holds::Permit;
use super::super::requests::Stage;
use super::super::view::RetryReason;
use super::super::{DELIVERY_TIMEOUT_MS, Engine, Millis, RequestKey};
use super::scheduling::REQUEST_ATTEMPTS;
use crate::ids::{PoolId, TeamId, WorkerId};
use crate::policy::outlier::Outcome;
use slotmap::Key;

/// Longest time from the order to send until the request is written, in milliseconds. It covers the connect.
const DISPATCH_MS: u64 = 1_000;

/// What the end of an attempt needs to know of its request.
#[derive(Clone, Copy)]
struct Facts {
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
    pub(in crate::engine) fn end_attempt(&mut self, now: Millis, key: RequestKey, end: AttemptOutcome) {
        let Some((facts, permit)) = self.take_running(key) else {
            return;
        };
        self.close_attempt(now, &facts, permit, end);
        self.judge_worker(now, &facts, end);
        match end {
            AttemptOutcome::Answered { .. } => self.finish(key),
            AttemptOutcome::Refused(refusal) => self.retry_refused(now, &facts, refusal),
            AttemptOutcome::Unsent => {
                self.retry_unrun(now, &facts, RetryReason::Unsent);
            }
            AttemptOutcome::Broken => self.retry_unproven(now, &facts, RetryReason::Broken, Unknown::Broken),
            AttemptOutcome::Corrupt => {
                self.retry_unproven(now, &facts, RetryReason::Corrupt, Unknown::CorruptAnswer)
            }
            AttemptOutcome::TimedOut => self.end_request(key, Refusal::Unknown(Unknown::TimedOut)),
        }
        self.schedule(now, facts.pool);
    }

    /// Turns a running request into a waiting one and returns its permit.
    fn take_running(&mut self, key: RequestKey) -> Option<(Facts, Permit)> {
        let row = self.requests.rows.get_mut(key)?;
        match std::mem::replace(&mut row.stage, Stage::Waiting) {
            Stage::Waiting => None,
            Stage::Running { worker, permit, sent } => {
                let facts = Facts {
                    key,
                    pool: row.pool,
                    team: row.team,
                    idempotent: row.idempotent,
                    deadline: row.deadline,
                    attempts: row.attempts,
                    worker,
                    sent,
                };
                Some((facts, permit))
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

    /// Gives the slot back, or keeps it while the worker may still run the request.
    fn close_attempt(&mut self, now: Millis, facts: &Facts, permit: Permit, end: AttemptOutcome) {
        let row = self.shares.row(facts.pool, facts.team);
        row.running = row.running.saturating_sub(1);
        self.upstreams.end(facts.worker, facts.team, false);
        if matches!(end, AttemptOutcome::Broken | AttemptOutcome::TimedOut | AttemptOutcome::Corrupt) {
            self.linger(now, facts, permit);
        } else {
            permit.close(&mut self.uses);
        }
    }

    /// Keeps the slot until the worker must have stopped the request. The worker got the time left at the send and
    /// counts it from the arrival.
    fn linger(&mut self, now: Millis, facts: &Facts, permit: Permit) {
        let limit = facts.deadline.since(facts.sent);
        let arrival = facts.sent.plus(DISPATCH_MS + DELIVERY_TIMEOUT_MS);
        let until = arrival.plus(self.with_drift(limit)).max(now);
        permit.linger(&mut self.uses, until);
        let upstream = self.upstreams.row(facts.worker);
        upstream.lingering.retain(|other| *other > now);
        upstream.lingering.push(until);
    }

    fn judge_worker(&mut self, now: Millis, facts: &Facts, end: AttemptOutcome) {
        let upstream = self.upstreams.row(facts.worker);
        match end {
            AttemptOutcome::Answered { .. } => {
                upstream.recover();
                let ms = now.since(facts.sent);
                self.upstreams.learn_run_time(facts.pool, facts.worker, ms);
                self.upstreams.learn_request_time(facts.pool, facts.team, ms);
            }
            AttemptOutcome::Refused(WorkerRefusal::Full) => upstream.pause_full(now),
            AttemptOutcome::Refused(_) => upstream.pause_refused(now),
            AttemptOutcome::Unsent | AttemptOutcome::Broken | AttemptOutcome::Corrupt => upstream.fail(now),
            AttemptOutcome::TimedOut => {
                self.upstreams.learn_least_time(facts.pool, facts.team, now.since(facts.sent));
                self.probe(facts.worker);
            }
        }
        if end == AttemptOutcome::Unsent || end == AttemptOutcome::Broken {
            self.probe(facts.worker);
        }
        let failed = match end {
            AttemptOutcome::Refused(_) | AttemptOutcome::Unsent => return,
            AttemptOutcome::Answered { failed } => failed,
            AttemptOutcome::Broken | AttemptOutcome::TimedOut | AttemptOutcome::Corrupt => true,
        };
        let job = facts.key.data().as_ffi();
        self.judge(now, facts.pool, facts.worker, Outcome { team: facts.team, job, failed });
    }

    /// A duration on another clock, as an upper bound on this clock, in milliseconds.
    pub(super) fn with_drift(&self, ms: u64) -> u64 {
        ms + ms * self.options.drift_ppm / 1_000_000 + 1
    }

    fn retry_refused(&mut self, now: Millis, facts: &Facts, refusal: WorkerRefusal) {
        let reason = RetryReason::from(refusal);
        if refusal == WorkerRefusal::Full {
            // A full worker is paused, so this cannot multiply; the request waits for a free slot.
            if let Some(row) = self.requests.rows.get_mut(facts.key) {
                row.attempts = row.attempts.saturating_sub(1);
            }
            self.wait_again(facts.key, reason);
            return;
        }
        self.retry_unrun(now, facts, reason);
    }

    /// Tries another worker after a proof that nothing ran. Such a retry adds no work to the fleet and pauses the
    /// worker, so it needs no budget.
    fn retry_unrun(&mut self, now: Millis, facts: &Facts, reason: RetryReason) {
        if facts.deadline > now && facts.attempts < REQUEST_ATTEMPTS {
            self.wait_again(facts.key, reason);
        } else {
            self.end_request(facts.key, Refusal::NotRun(NotRun::NoWorker));
        }
    }

    fn retry_unproven(&mut self, now: Millis, facts: &Facts, reason: RetryReason, unknown: Unknown) {
        if facts.idempotent {
            self.retry(now, facts, reason, unknown);
        } else {
            self.end_request(facts.key, Refusal::Unknown(unknown));
        }
    }

    fn retry(&mut self, now: Millis, facts: &Facts, reason: RetryReason, unknown: Unknown) {
        let in_time = facts.deadline > now && facts.attempts < REQUEST_ATTEMPTS;
        if in_time && self.take_retry(facts.team) {
            self.wait_again(facts.key, reason);
        } else {
            self.end_request(facts.key, Refusal::Unknown(unknown));
        }
    }

    fn wait_again(&mut self, key: RequestKey, reason: RetryReason) {
        *self.counters.retries.entry(reason).or_default() += 1;
        self.requests.enqueue(key, true);
    }

    /// Ends a request whose caller hung up. A running one may still run at its worker.
    pub(in crate::engine) fn cancel_request(&mut self, now: Millis, key: RequestKey) {
        let Some((facts, permit)) = self.take_running(key) else {
            if self.requests.remove_waiting(key).is_some() {
                self.count_not_run(NotRun::Cancelled);
            }
            return;
        };
        self.close_attempt(now, &facts, permit, AttemptOutcome::Broken);
        self.requests.rows.remove(key);
        self.schedule(now, facts.pool);
    }
}
