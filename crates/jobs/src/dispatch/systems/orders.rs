//! Start and stop orders, repeated until their outcome is known.
//!
//! A start without an answer may be carried out now or seconds later. It is repeated under the same number,
//! which a worker carries out once. If repeats do not help, the run is stopped, and the worker refuses the
//! start from then on.

use super::super::Dispatcher;
use super::super::command::{Command, Start, Stop, Target};
use super::super::event::Outcome;
use super::super::worker::{Worker, WorkerKey};
use super::polls::target;
use crate::DECISIONS;
use crate::ids::TaskId;
use crate::spec::Resources;
use crate::table::Phase;

/// Starts without an answer after which the run is stopped, unless it is long-running.
const MAX_START_ATTEMPTS: u32 = 3;
/// The same while the fleet loses answers, as a stop and its answer get lost as well.
const MAX_LOSSY_ATTEMPTS: u32 = 10;
/// Failed connections after which a start that never reached the worker is given up.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// Time until an order without an answer is repeated, in milliseconds.
const REPEAT_MS: u64 = 150;
/// The same while the fleet loses answers.
const LOSSY_REPEAT_MS: u64 = 10;
/// Time for which a worker that refused a start gets no new tasks, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 400;

impl Dispatcher {
    /// Sends the start of a placed task, or requeues the task if its worker takes no new ones.
    pub(in super::super) fn send_start(&mut self, now: u64, key: WorkerKey, task: TaskId) {
        let Some(job) = self.table.get(task.job) else { return };
        if job.progress.phase != Phase::Active || job.canceled {
            return;
        }
        let row = job.progress.task(&job.submission, task);
        let checkpoint = row.map_or_else(String::new, |row| row.checkpoint.clone());
        let payload = job.submission.payload.clone();
        let in_contact = self.in_contact(now);
        let ttl_ms = self.lease_length(now, self.options.start_ttl_ms);
        let at = self.moment(now);
        let step = job.submission.steps.get(usize::from(task.step));
        let Some(worker) = self.workers.get(key) else { return };
        let suits = step.is_some_and(|step| worker.suits(step));
        let gang = step.is_some_and(|step| step.gang);
        // The members' starts go out in the order of their numbers.
        let gang_closed = gang && task.index == 0 && self.has_closed_member(task);
        // The limit may have been lowered since the task was placed.
        let over = !self.within_limit(task, Resources::default());
        let Some(worker) = self.workers.get_mut(key) else { return };
        let closed =
            over || gang_closed || worker.record.draining || self.evacuated.contains(&worker.record.zone);
        let clock = worker.clock_at(at);
        let target = target(worker);
        let Some(run) = worker.runs.get_mut(&task).filter(|run| !run.stopping) else { return };
        if closed && !run.sent {
            let why = if over { "its team is over its limit" } else { "the worker takes no new tasks" };
            self.requeue_not_begun(now, key, task, why);
            if gang {
                self.withdraw_gang(now, task);
            }
            return;
        }
        if closed && run.confirmed.is_some() {
            run.next_order = None;
            return;
        }
        // The worker may have restarted as another kind since the start was first sent.
        if closed || clock.is_some() && !suits {
            log::info!(
                target: DECISIONS, task:% = task, run = run.number, worker = target.worker.as_str(), closed = closed, over = over;
                "the worker no longer takes the task; its start is not repeated"
            );
            self.stop_run(now, key, task);
            return;
        }
        let Some(clock) = clock.filter(|_| in_contact) else {
            run.next_order = Some(now + REPEAT_MS);
            self.unsettled.insert((key, task));
            return;
        };
        run.sent = true;
        run.open_starts += 1;
        run.next_order = None;
        let start = Start {
            target,
            token: worker.token,
            task,
            run: run.number,
            payload,
            checkpoint,
            deadline_ms: clock + ttl_ms,
            ticket: run.ticket.clone(),
            limit_ms: self.losses.start_limit_ms(run.unanswered),
        };
        worker.grant(now, ttl_ms);
        self.counters.starts += 1;
        self.commands.push(Command::Start(start));
    }

    /// True if the worker of a member whose start was not sent takes no new tasks.
    fn has_closed_member(&self, member: TaskId) -> bool {
        let closed = |(task, key): (TaskId, WorkerKey)| {
            self.workers.get(key).is_some_and(|worker| {
                let unsent = worker.runs.get(&task).is_some_and(|run| !run.sent);
                unsent && (worker.record.draining || self.evacuated.contains(&worker.record.zone))
            })
        };
        self.gang_runs(member).any(closed)
    }

    /// Runs of all members of a gang, with their workers.
    fn gang_runs(&self, member: TaskId) -> impl Iterator<Item = (TaskId, WorkerKey)> {
        self.placed_runs(TaskId { index: 0, ..member }, TaskId { index: u16::MAX, ..member })
    }

    /// Takes back the starts of a gang's members, one of which doesn't start: the others would wait for it in vain.
    fn withdraw_gang(&mut self, now: u64, member: TaskId) {
        for (task, key) in self.gang_runs(member).collect::<Vec<_>>() {
            self.stop_run(now, key, task);
        }
    }

    /// Sends the starts that are stored and waited for an answer of their worker.
    pub(super) fn send_stored_starts(&mut self, now: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else { return };
        let stored = worker.runs.iter().filter(|(_, run)| !run.sent && run.next_order.is_some());
        for task in stored.map(|(task, _)| *task).collect::<Vec<_>>() {
            self.send_start(now, key, task);
        }
    }

    /// Handles the outcome of a start.
    pub fn started(&mut self, now: u64, start: &Start, outcome: Outcome) {
        let (id, task, number) = (start.target.worker.as_str(), start.task, start.run);
        let Some(key) = self.worker_key(id) else { return };
        let replaced = outcome == Outcome::Replaced && self.is_current(key, &start.target, start.token);
        if replaced {
            self.close_replaced(now, key);
        }
        self.note_answer(now, key, start.token, outcome);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let outdated = start.token < worker.token;
        let usable = worker.usable();
        let Some(run) = worker.runs.get_mut(&task).filter(|run| run.number == number) else { return };
        if !matches!(outcome, Outcome::Unknown | Outcome::TimedOut) {
            run.open_starts = run.open_starts.saturating_sub(1);
        }
        match outcome {
            // The list of the present process tells whether it has the run; a repeat could begin it after that list was made.
            _ if outdated && !matches!(outcome, Outcome::Taken | Outcome::Outdated) => {}
            Outcome::Taken => {
                run.confirmed.get_or_insert(now);
                run.unanswered = 0;
                if run.next_order.is_none() {
                    self.unsettled.remove(&(key, task));
                }
                self.ticket_used(task);
                self.mark_started(task.job);
            }
            Outcome::Outdated => {
                run.confirmed.get_or_insert(now);
            }
            Outcome::Fenced => self.fenced_out = true,
            // No process of the worker has got it.
            Outcome::Replaced if replaced && !run.may_have_begun() => {
                self.requeue_not_begun(now, key, task, "another worker has the address");
            }
            Outcome::Replaced => {
                run.next_order = Some(now + REPEAT_MS);
                self.unsettled.insert((key, task));
            }
            Outcome::Unknown | Outcome::TimedOut => self.start_unanswered(now, key, task),
            Outcome::Deferred => {
                self.unsettled.insert((key, task));
                run.next_order = Some(now + REPEAT_MS);
                // Nothing was sent to the worker, so there is no answer to wait for.
                run.sent = run.may_have_begun();
                if !usable && !run.sent {
                    self.requeue_not_begun(now, key, task, "the worker does not answer");
                }
            }
            Outcome::Unsent => {
                self.unsettled.insert((key, task));
                run.failed_connects += 1;
                run.next_order = Some(now + REPEAT_MS);
                run.sent = run.may_have_begun();
                if worker.missed_polls > 0 && !run.sent {
                    self.requeue_not_begun(now, key, task, "the worker does not answer");
                } else if run.failed_connects >= MAX_CONNECT_ATTEMPTS && !run.sent {
                    worker.excluded_until = now + REFUSAL_BACKOFF_MS;
                    self.requeue_not_begun(now, key, task, "the worker cannot be reached");
                }
            }
            Outcome::Full | Outcome::Late | Outcome::Ticket | Outcome::Unhealthy | Outcome::Malformed => {
                if outcome == Outcome::Full {
                    self.counters.refused_room += 1;
                } else {
                    self.counters.refused_other += 1;
                }
                worker.excluded_until = worker.excluded_until.max(now + REFUSAL_BACKOFF_MS);
                log::warn!(task:% = task, run = number, worker = id, outcome:? = outcome; "the worker refused the start");
                let listed = run.listed;
                self.remove_ticket(id, task);
                if listed {
                    // The run had begun before this repeat of its start was refused.
                    return;
                }
                if !self.requeue_not_begun(now, key, task, "the worker refused the start") {
                    self.stop_run(now, key, task);
                }
            }
        }
    }

    /// Handles that a start has no answer: the worker's list is asked for it, and it is repeated.
    fn start_unanswered(&mut self, now: u64, key: WorkerKey, task: TaskId) {
        let lossy = self.losses.expected();
        let Some(worker) = self.workers.get_mut(key) else { return };
        if lossy {
            worker.poll_soon(now);
        }
        let Some(run) = worker.runs.get_mut(&task) else { return };
        self.unsettled.insert((key, task));
        run.unanswered += 1;
        let repeat_ms = if lossy { LOSSY_REPEAT_MS } else { REPEAT_MS };
        run.next_order = Some(now + repeat_ms * u64::from(run.unanswered));
        self.counters.repeats += 1;
        let attempts = if lossy { MAX_LOSSY_ATTEMPTS } else { MAX_START_ATTEMPTS };
        // A long-running task may be at work by then, and its step may tolerate no stop.
        if run.unanswered >= attempts && !run.long_running {
            self.stop_run(now, key, task);
        }
    }

    /// Stops a run. If its start was never sent, it is removed at once.
    pub(super) fn stop_run(&mut self, now: u64, key: WorkerKey, task: TaskId) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let (target, token) = (target(worker), worker.token);
        let Some(run) = worker.runs.get_mut(&task) else { return };
        if !run.sent && self.requeue_not_begun(now, key, task, "the start is no longer wanted") {
            return;
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(run) = worker.runs.get_mut(&task) else { return };
        run.stopping = true;
        run.next_order = None;
        run.last_change = now;
        let limit_ms = self.losses.limit_ms(0);
        let stop = Stop { target, token, task, run: run.number, limit_ms };
        self.counters.stops += 1;
        self.commands.push(Command::Stop(stop));
    }

    /// Handles the outcome of a stop.
    pub fn stopped(&mut self, now: u64, stop: &Stop, outcome: Outcome) {
        let (task, number) = (stop.task, stop.run);
        let Some(key) = self.worker_key(&stop.target.worker) else { return };
        let outdated = self.workers.get(key).is_some_and(|worker| stop.token < worker.token);
        match outcome {
            Outcome::Fenced if !outdated => {
                self.fenced_out = true;
                return;
            }
            Outcome::Replaced if self.is_current(key, &stop.target, stop.token) => {
                self.close_replaced(now, key);
            }
            _ => {}
        }
        self.note_answer(now, key, stop.token, outcome);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(run) = worker.runs.get_mut(&task).filter(|run| run.number == number) else { return };
        if outcome == Outcome::Taken && !outdated {
            run.confirmed.get_or_insert(now);
        } else {
            run.next_order = Some(now + REPEAT_MS);
            self.unsettled.insert((key, task));
        }
    }

    /// Records whether a worker answered an order with a token.
    fn note_answer(&mut self, now: u64, key: WorkerKey, token: u64, outcome: Outcome) {
        let at = self.moment(now);
        let Some(worker) = self.workers.get_mut(key) else { return };
        match outcome {
            Outcome::Unknown | Outcome::TimedOut => worker.unanswered = worker.unanswered.saturating_add(1),
            Outcome::Unsent | Outcome::Deferred | Outcome::Replaced | Outcome::Fenced => {}
            _ if token == worker.token => {
                worker.heard = Some(at);
                self.losses.record(now, worker.take_unanswered());
            }
            _ => {}
        }
    }

    /// False if a worker has restarted or has another address since an order was sent, so that an answer about the address proves
    /// nothing.
    fn is_current(&self, key: WorkerKey, sent: &Target, token: u64) -> bool {
        let current = |worker: &Worker| worker.token == token && worker.record.address == sent.address;
        self.workers.get(key).is_some_and(current)
    }

    /// Closes a worker at whose address another one has answered. Its former process may live behind a cut, so its runs stay until
    /// their leases have expired.
    pub(super) fn close_replaced(&mut self, now: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.missed_polls = worker.missed_polls.max(1);
        worker.silent = true;
        self.requeue_unsent(now, key);
    }

    /// Repeats the orders that are due.
    pub(in super::super) fn send_due_orders(&mut self, now: u64) {
        let workers = &self.workers;
        let mut due = Vec::new();
        self.unsettled.retain(|&(key, task)| {
            let Some(run) = workers.get(key).and_then(|worker| worker.runs.get(&task)) else { return false };
            if run.next_order.is_some_and(|at| at <= now) {
                due.push((key, task, run.stopping));
            }
            run.confirmed.is_none() || run.next_order.is_some()
        });
        for (key, task, stopping) in due {
            if stopping {
                self.stop_run(now, key, task);
            } else {
                self.send_start(now, key, task);
            }
        }
    }
}
