//! Polls of workers. A poll renews leases, makes the worker refuse former owners, and returns the ends and
//! the runs that the worker really has.

use std::collections::BTreeSet;

use super::super::Dispatcher;
use super::super::command::{Command, Poll, Stop, Target};
use super::super::event::{Outcome, RunStatus, WorkerRecord, WorkerStatus};
use super::super::worker::{FormerStop, Moment, PollState, Run, Worker, WorkerKey};
use super::proof::Proof;
use super::runs::RunEnd;
use crate::DECISIONS;
use crate::ids::{JobId, TaskId};
use crate::table::{Phase, TaskState};

/// Interval between polls while ends wait for the store, in milliseconds. A poll that waits for ends would
/// return at once.
const STORING_POLL_GAP_MS: u64 = 800;
/// Time for which a worker may hold a poll while the fleet loses answers, in milliseconds.
const LOSSY_WAIT_MS: u64 = 120;
/// Time after such a wait from which another poll is sent beside one that may be held for longer, in milliseconds.
const HEDGE_MS: u64 = 100;
/// Polls without an answer that are repeated at once while the fleet loses answers.
const MAX_EARLY_POLLS: u32 = 8;
/// Time without an answer after which a worker whose machine the lists lack is polled, in milliseconds.
const MISSING_POLL_MS: u64 = 1_000;
/// Time until a failed poll is repeated, in milliseconds.
const POLL_RETRY_MS: u64 = 200;
/// Largest multiple of that time for a worker without runs. The directory lists workers for some seconds
/// after they are gone.
const MAX_BACKOFF_STEPS: u32 = 8;
/// Consecutive polls that must not list a confirmed run before it counts as lost, the last one with all ends.
const LOST_AFTER_POLLS: u32 = 2;
/// Time for which a worker with a run of unknown size gets no new tasks, in milliseconds. Longer than the
/// interval between polls, so that each poll extends it.
const EXCLUDE_MS: u64 = 2_000;
/// Time to wait for the intake before runs and ends of unknown jobs are discarded, in milliseconds. Longer
/// than a claim takes. Without a limit they would keep all later ends of the worker from being acknowledged.
const UNREAD_JOB_MS: u64 = 5_000;
/// Error of a recent estimate of a worker's clock that is logged, in milliseconds. Leases allow for this much.
const CLOCK_ERROR_MS: u64 = 500;
/// Time after which a stop without effect is repeated, in milliseconds.
const STOP_REPEAT_MS: u64 = 1_500;

impl Dispatcher {
    /// Adds or updates a worker from its record in the directory. A record of an earlier process than the one that
    /// answered is ignored.
    pub fn update_worker(&mut self, now: u64, record: WorkerRecord) {
        let Some(key) = self.worker_key(&record.worker) else {
            let id = record.worker.clone();
            let pool = self.pools.intern(&record.pool);
            let served = self.catalog.pool(&record.pool).is_some();
            let token = self.raise_token();
            let key = self.workers.insert(Worker { served, ..Worker::new(record, pool, token, now) });
            self.keys_by_id.insert(id, key);
            self.unchanged = false;
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let (old, new) = (worker.process_start, record.started_ms);
        if old != 0 && new != 0 && new < old && worker.contact.is_some() {
            return;
        }
        if worker.record.address != record.address {
            worker.disown_poll();
            worker.replaced_polls = 0;
        }
        let returned = !worker.listed && worker.replaced_polls == 0;
        if worker.record.address != record.address || returned {
            worker.poll_soon(now);
        }
        if old != 0 && new > old {
            // Only an answer of the worker proves that it has restarted.
            worker.contact = None;
            worker.fenced = false;
            worker.poll_soon(now);
        }
        if new > worker.record.started_ms && new > old && old != 0 {
            // Orders to the former process may have extended its leases, by deadlines on another clock.
            worker.grant(now, self.options.max_lease_ms);
        }
        worker.listed = true;
        worker.served = self.catalog.pool(&record.pool).is_some();
        worker.pool = self.pools.intern(&record.pool);
        worker.record = record;
        self.unchanged = false;
    }

    /// Marks a worker as no longer listed in the directory. It may still have runs.
    pub fn unlist_worker(&mut self, id: &str) {
        if let Some(key) = self.worker_key(id)
            && let Some(worker) = self.workers.get_mut(key)
        {
            worker.listed = false;
        }
    }

    /// Resets a worker that restarted. Runs that the former process listed have ended with it. Any other start may have
    /// reached either process, so its run stays until the present one shows whether it has it.
    ///
    /// The new process has seen no token, knows of no stop, and its clock begins anew, so orders to the former one could
    /// still take effect. It gets a token of its own, and counts as fenced once it has answered a poll with it.
    fn reset_worker(&mut self, now: u64, sent: u64, key: WorkerKey, started_ms: u64) {
        let token = self.raise_token();
        let Some(worker) = self.workers.get_mut(key) else { return };
        let oldest = worker.runs.values().map(|run| now.saturating_sub(run.placed)).max();
        log::info!(
            target: DECISIONS, worker = worker.record.worker.as_str(), started_ms = started_ms, before_ms = worker.process_start,
            listed_ms = worker.record.started_ms, runs = worker.runs.len(), oldest_run_ms = oldest.unwrap_or(0),
            token = token;
            "the worker restarted"
        );
        worker.known_since = now;
        worker.process_start = started_ms;
        worker.contact = None;
        worker.token = token;
        worker.fenced = false;
        worker.missed_polls = 0;
        worker.silent = false;
        worker.unanswered = 0;
        worker.heard = None;
        worker.poll_soon(now);
        worker.unknown_since = None;
        worker.unnamed_since = None;
        worker.replaced_polls = 0;
        worker.more_ended = false;
        worker.acknowledged = 0;
        worker.ack_sent = 0;
        worker.ack_received = 0;
        worker.pending_ack = None;
        worker.failure_permille = 0;
        worker.excluded_until = 0;
        // Any other start may have reached either process.
        let ended = |run: &Run| !run.may_have_begun() || run.listed && !run.may_start();
        for (task, run) in worker.runs.iter_mut().filter(|(_, run)| !ended(run)) {
            // Once the present process is fenced, one list of it tells.
            run.unlisted_polls = LOST_AFTER_POLLS;
            run.listed = false;
            run.confirmed = Some(now);
            // A repeat of the start could begin it after that list was made.
            run.next_order = None;
            if run.stopping {
                run.next_order = Some(now);
                self.unsettled.insert((key, *task));
            }
        }
        worker.grant(now, self.options.max_lease_ms);
        self.mark_some_lost(now, key, |run| ended(run).then_some(Proof::restarted(sent)));
        self.unchanged = false;
    }

    /// Sends the polls that are due.
    pub(in super::super) fn poll_workers(&mut self, now: u64) {
        if !self.in_contact(now) {
            return;
        }
        let at = self.moment(now);
        let lease_ms = self.lease_length(now, self.options.lease_ms);
        for worker in self.workers.values_mut() {
            if let PollState::Waiting(sent, _) = worker.poll_state
                && worker.poll_wait_ms > LOSSY_WAIT_MS
                && at.since(sent) > LOSSY_WAIT_MS + HEDGE_MS
                && self.losses.expected()
            {
                // The loss of its answer would show only after the wait. Another one is sent beside it.
                worker.missed_polls = worker.missed_polls.saturating_add(1);
                worker.poll_wait_ms = 0;
                worker.poll_state = PollState::Idle(now);
            }
            let PollState::Idle(due) = worker.poll_state else { continue };
            let ack_due = worker.acknowledged > worker.ack_received;
            let unproved = worker.missing && worker.last_answer() + MISSING_POLL_MS < now;
            let needed =
                !worker.responds() || worker.silent || ack_due || worker.unknown_since.is_some() || unproved;
            // A record may name a pool that doesn't exist, or anything else as its address.
            let wanted = worker.listed && worker.served && needed || !worker.runs.is_empty();
            if due > now || !wanted || worker.record.address.is_empty() {
                continue;
            }
            let clock = worker.clock_at(at);
            let limit_ms = self.losses.limit_ms(worker.missed_polls);
            let held = clock.is_some() && !worker.runs.is_empty() && worker.pending_ack.is_none();
            // The loss of an answer shows only after the wait.
            let wait_ms = match limit_ms {
                _ if !held || worker.missed_polls > 0 => 0,
                Some(_) => self.options.poll_wait_ms.min(LOSSY_WAIT_MS),
                None => self.options.poll_wait_ms,
            };
            // A worker that does not answer gets no new lease; otherwise its runs could never be given up.
            let deadline_ms = clock.filter(|_| !worker.runs.is_empty()).map(|clock| clock + lease_ms);
            if deadline_ms.is_some() {
                worker.grant(now, lease_ms);
            }
            worker.poll_state = PollState::Waiting(at, worker.token);
            worker.poll_wait_ms = wait_ms;
            // A new process of the worker would take the number for one of its own ends.
            worker.ack_sent = if clock.is_some() && ack_due { worker.acknowledged } else { 0 };
            self.counters.polls += 1;
            worker.poll_number = self.counters.polls;
            self.commands.push(Command::Poll(Poll {
                number: worker.poll_number,
                target: target(worker),
                token: worker.token,
                deadline_ms,
                acknowledged: worker.ack_sent,
                wait_ms,
                limit_ms,
            }));
        }
    }

    /// Handles the answer to a poll, which may not be the worker's last one.
    pub fn poll_answered(&mut self, now: u64, poll: &Poll, answer: Result<WorkerStatus, Outcome>) {
        let at = self.moment(now);
        let key = self.worker_key(&poll.target.worker);
        let Some(worker) = key.and_then(|key| self.workers.get_mut(key)) else { return };
        if worker.poll_number == poll.number {
            return self.polled(now, &poll.target.worker, answer);
        }
        // Its list may be older than one that is known.
        match answer {
            Ok(status) if poll.token == worker.token && status.started_ms == worker.process_start => {
                worker.heard = Some(at);
                self.losses.record(now, worker.take_unanswered());
            }
            Err(Outcome::TimedOut) => worker.unanswered = worker.unanswered.saturating_add(1),
            Err(Outcome::Fenced) if poll.token == worker.token => self.fenced_out = true,
            _ => {}
        }
    }

    /// Handles the answer to the last poll of a worker.
    pub fn polled(&mut self, now: u64, id: &str, answer: Result<WorkerStatus, Outcome>) {
        let Some(key) = self.worker_key(id) else { return };
        let at = self.moment(now);
        let Some(worker) = self.workers.get_mut(key) else { return };
        // An answer to a poll that is no longer known tells nothing about the present process.
        let PollState::Waiting(sent, token) = worker.poll_state else { return };
        worker.poll_state = PollState::Idle(now + POLL_RETRY_MS);
        let wait_ms = std::mem::take(&mut worker.poll_wait_ms);
        match &answer {
            Ok(_) => {
                self.losses.record(now, worker.take_unanswered());
                if wait_ms == 0 {
                    self.losses.record_time(now.saturating_sub(sent.steady));
                }
            }
            Err(Outcome::Unknown | Outcome::TimedOut) => {
                worker.unanswered = worker.unanswered.saturating_add(1)
            }
            Err(_) => {}
        }
        match answer {
            Ok(_) if token != worker.token => worker.poll_soon(now),
            Ok(status) => self.apply_status(now, sent, wait_ms, key, status),
            Err(Outcome::Fenced) if token == worker.token => self.fenced_out = true,
            Err(Outcome::Replaced) if token == worker.token => {
                worker.listed = false;
                worker.missed_polls = worker.missed_polls.saturating_add(1);
                worker.replaced_polls = worker.replaced_polls.saturating_add(1);
                let gaps = u64::from(worker.replaced_polls.min(MAX_BACKOFF_STEPS));
                worker.poll_state = PollState::Idle(now + gaps * POLL_RETRY_MS);
                self.close_replaced(now, key);
            }
            Err(outcome) => {
                worker.missed_polls = worker.missed_polls.saturating_add(1);
                if worker.runs.is_empty() {
                    let gaps = u64::from(worker.missed_polls.min(MAX_BACKOFF_STEPS));
                    worker.poll_state = PollState::Idle(now + gaps * POLL_RETRY_MS);
                }
                if outcome == Outcome::TimedOut && self.losses.expected() {
                    if worker.missed_polls <= MAX_EARLY_POLLS {
                        worker.poll_soon(now);
                    }
                    if !worker.silent && worker.excused(at) {
                        return;
                    }
                }
                let first = !std::mem::replace(&mut worker.silent, true);
                if first {
                    log::warn!(target: DECISIONS, worker = id, outcome:? = outcome; "the worker does not answer");
                }
                self.supersede_runs(now, key);
                if first {
                    self.requeue_unsent(now, key);
                }
            }
        }
    }

    /// Applies the answer to a poll that was sent at `sent` and that the worker could hold for `wait_ms`.
    fn apply_status(&mut self, now: u64, sent: Moment, wait_ms: u64, key: WorkerKey, status: WorkerStatus) {
        let at = self.moment(now);
        let Some(worker) = self.workers.get(key) else { return };
        let known = worker.process_start;
        if worker.contact.is_some() && status.started_ms != 0 && status.started_ms < known {
            return;
        }
        if status.started_ms > known && known != 0 {
            return self.reset_worker(now, sent.steady, key, status.started_ms);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let estimate = worker.clock_at(at);
        let off_ms = estimate.map_or(0, |estimate| estimate.abs_diff(status.clock_ms));
        if off_ms > CLOCK_ERROR_MS {
            log::warn!(
                target: DECISIONS, worker = worker.record.worker.as_str(), off_ms = off_ms, runs = worker.runs.len();
                "the worker's clock was estimated wrongly"
            );
        }
        if status.started_ms != 0 {
            worker.process_start = status.started_ms;
        }
        worker.record_contact(sent, at, wait_ms, status.clock_ms);
        worker.ack_received = worker.ack_received.max(worker.ack_sent);
        let was_unresponsive = worker.silent;
        // Such a poll renewed no lease.
        let was_unknown = !worker.usable();
        if was_unresponsive {
            log::info!(target: DECISIONS, worker = worker.record.worker.as_str(), looks = worker.missed_polls; "the worker answers again");
            self.unchanged = false;
        }
        worker.missed_polls = 0;
        worker.silent = false;
        worker.replaced_polls = 0;
        if !worker.fenced {
            worker.fenced = true;
            // Until now orders of a former owner or to a former process could extend its leases, to their longest at most.
            worker.lease_end = 0;
            worker.grant(now, self.options.max_lease_ms);
            self.unchanged = false;
        }
        if std::mem::replace(&mut worker.more_ended, status.more_ended) != status.more_ended {
            log::info!(
                target: DECISIONS, worker = worker.record.worker.as_str(), more = status.more_ended, ends = status.ended.len(),
                running = status.running.len(), runs = worker.runs.len();
                "whether the worker lists all ends has changed"
            );
        }
        let unread = self.unread_jobs(now, key, &status);
        self.apply_ends(now, key, &status, &unread);
        self.reconcile_runs(now, sent.steady, key, &status, &unread);
        self.learn_interference(now, key, &status);
        self.throttle_runs(now, key, &status);
        self.replace_slow_runs(now, key);
        if let Some(worker) = self.workers.get_mut(key) {
            let gap = if was_unknown {
                0
            } else if worker.pending_ack.is_some() {
                STORING_POLL_GAP_MS
            } else {
                self.options.poll_gap_ms
            };
            worker.poll_state = PollState::Idle(now + gap);
        }
        self.send_stored_starts(now, key);
    }

    /// Jobs in a status that are unknown here and may be in a part of the intake that is not read yet.
    fn unread_jobs(&mut self, now: u64, key: WorkerKey, status: &WorkerStatus) -> BTreeSet<JobId> {
        let tasks = status.running.iter().map(|run| run.task).chain(status.ended.iter().map(|end| end.task));
        let unknown: BTreeSet<JobId> =
            tasks.map(|task| task.job).filter(|id| self.table.get(*id).is_none()).collect();
        let Some(worker) = self.workers.get_mut(key) else { return unknown };
        if unknown.is_empty() {
            worker.unknown_since = None;
            return unknown;
        }
        let since = *worker.unknown_since.get_or_insert(now);
        if self.intake_until <= since && now < since + UNREAD_JOB_MS { unknown } else { BTreeSet::new() }
    }

    /// Applies the ends in a status. Ends from the first one of an unread job on are not acknowledged.
    fn apply_ends(&mut self, now: u64, key: WorkerKey, status: &WorkerStatus, unread: &BTreeSet<JobId>) {
        let Some(worker) = self.workers.get(key) else { return };
        let stored = worker.acknowledged;
        let mut last = stored;
        let waiting = status.ended.iter().filter(|ended| unread.contains(&ended.task.job));
        let first_unread = waiting.map(|ended| ended.number).min().unwrap_or(u64::MAX);
        for ended in status.ended.iter().filter(|ended| ended.number > stored) {
            if ended.number < first_unread {
                last = last.max(ended.number);
            }
            let end = RunEnd { run: ended.run, reason: ended.reason, checkpoint: ended.checkpoint.clone() };
            self.apply_end(now, key, ended.task, &end);
        }
        if last == stored {
            return;
        }
        let write = if self.dirty_jobs.is_empty() { self.last_write } else { self.next_write() };
        let done = self.stored_write >= write;
        if let Some(worker) = self.workers.get_mut(key) {
            if done {
                worker.acknowledged = last;
            } else {
                worker.pending_ack = Some((write, last));
            }
        }
    }

    /// Compares the runs that a worker lists with those placed on it.
    fn reconcile_runs(
        &mut self,
        now: u64,
        sent: u64,
        key: WorkerKey,
        status: &WorkerStatus,
        unread: &BTreeSet<JobId>,
    ) {
        let (stop_ms, checkpoint_bytes) = (self.options.stop_ms, self.options.checkpoint_bytes);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let mut lost = Vec::new();
        let mut begun = Vec::new();
        for (task, run) in &mut worker.runs {
            let listed =
                status.running.iter().find(|listed| listed.task == *task && listed.run == run.number);
            match listed {
                Some(listed) => {
                    if !std::mem::replace(&mut run.listed, true) {
                        begun.push(task.job);
                    }
                    run.listed_at = now;
                    run.confirmed.get_or_insert(now);
                    run.unlisted_polls = 0;
                    run.unanswered = 0;
                    if run.progress != listed.progress {
                        run.progress_at = now;
                    }
                    run.progress = listed.progress;
                    run.former_stop = run.former_stop.after_listing(now, stop_ms);
                    if listed.checkpoint.len() <= checkpoint_bytes {
                        run.checkpoint.clone_from(&listed.checkpoint);
                    }
                    if !run.stopping {
                        run.next_order = None;
                    } else if run.last_change + STOP_REPEAT_MS < now {
                        run.next_order = Some(now);
                        self.unsettled.insert((key, *task));
                    }
                }
                // Its end may be among those that are not listed yet.
                None if status.more_ended => run.unlisted_polls = run.unlisted_polls.max(1),
                None if run.confirmed.is_some_and(|at| at < sent) => {
                    run.unlisted_polls = run.unlisted_polls.saturating_add(1);
                    if run.unlisted_polls >= LOST_AFTER_POLLS {
                        lost.push(*task);
                    }
                }
                None => {}
            }
        }
        let known = |task: &TaskId, number: u32| worker.runs.get(task).is_some_and(|r| r.number == number);
        let unplaced: Vec<RunStatus> =
            status.running.iter().filter(|listed| !known(&listed.task, listed.run)).cloned().collect();
        let target = target(worker);
        begun.extend(unplaced.iter().map(|listed| listed.task.job).filter(|id| !unread.contains(id)));
        begun.into_iter().for_each(|id| self.mark_started(id));
        self.counters.lost += lost.len() as u64;
        for task in lost {
            self.requeue(now, key, task, Proof::not_listed(sent));
        }
        for listed in unplaced {
            if unread.contains(&listed.task.job) {
                self.exclude_worker(now, key);
                continue;
            }
            self.handle_unplaced_run(now, key, &target, &listed);
        }
    }

    /// Handles a listed run that is not placed on the worker. It occupies resources until it ends. If no
    /// other run of its task was started since, the task is attached to it again; otherwise the run is
    /// stopped.
    fn handle_unplaced_run(&mut self, now: u64, key: WorkerKey, target: &Target, listed: &RunStatus) {
        let (task, number) = (listed.task, listed.run);
        self.report_outlived(now, key, task, number);
        self.requeue_unsent_run(now, task);
        let resumed = self.reattach_run(key, task, number);
        log::warn!(
            target: DECISIONS, task:% = task, run = number, worker = target.worker.as_str(), resumed = resumed;
            "the worker runs a task that is not placed there"
        );
        let occupied = self.workers.get(key).is_some_and(|worker| worker.runs.contains_key(&task));
        match self.new_run(now, task, number).filter(|_| !occupied) {
            Some(run) => {
                let run = Run {
                    sent: true,
                    listed: true,
                    confirmed: Some(now),
                    stopping: !resumed,
                    superseded: !resumed,
                    speed_known: false,
                    former_stop: FormerStop::Possible.after_listing(now, self.options.stop_ms),
                    ..run
                };
                self.add_run(key, task, run);
            }
            None => self.exclude_worker(now, key),
        }
        if !resumed {
            let token = self.workers.get(key).map_or(self.epoch, |worker| worker.token);
            let stop = Stop { target: target.clone(), token, task, run: number, limit_ms: None };
            self.commands.push(Command::Stop(stop));
        }
    }

    /// Excludes a worker from placement while it has a run of unknown size.
    fn exclude_worker(&mut self, now: u64, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.excluded_until = worker.excluded_until.max(now + EXCLUDE_MS);
        }
    }

    /// Removes the run of a task whose start was not sent, because another run of the task has not ended.
    fn requeue_unsent_run(&mut self, now: u64, task: TaskId) {
        let unsent = |key: &WorkerKey| {
            let run = self.workers.get(*key).and_then(|worker| worker.runs.get(&task));
            run.is_some_and(|run| !run.sent)
        };
        let placed = self.placed_runs(task, task).map(|(_, key)| key).find(unsent);
        if let Some(key) = placed.filter(|_| !self.allows_copies(task)) {
            self.requeue_not_begun(now, key, task, "another run of the task has not ended");
        }
    }

    /// Marks a waiting task as placed where its last run continues. False if the task has another run or its
    /// job is not active.
    fn reattach_run(&mut self, key: WorkerKey, task: TaskId, number: u32) -> bool {
        let Some(worker) = self.workers.get(key) else { return false };
        let place = worker.placement();
        let Some(job) = self.table.get_mut(task.job) else { return false };
        if job.progress.phase != Phase::Active || job.canceled {
            return false;
        }
        let Some(row) = job.progress.task_mut(&job.submission, task) else { return false };
        if row.state != TaskState::Waiting || row.run != number {
            return false;
        }
        row.state = TaskState::Placed(place);
        self.touch(task.job);
        true
    }
}

/// Destination of requests to a worker.
pub(super) fn target(worker: &Worker) -> Target {
    Target { worker: worker.record.worker.clone(), address: worker.record.address.clone() }
}
