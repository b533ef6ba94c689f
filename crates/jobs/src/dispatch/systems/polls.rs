//! Looks at workers: they renew leases, fence older owners, bring ends and show what really runs.

use std::collections::BTreeSet;

use super::super::Dispatcher;
use super::super::command::{Command, Poll, Stop, Target};
use super::super::event::{Outcome, RunStatus, WorkerRecord, WorkerStatus};
use super::super::worker::{Inherited, Looking, Run, Worker, WorkerKey};
use super::runs::RunEnd;
use crate::ids::{JobId, TaskId};
use crate::table::{Phase, Placement, TaskState};

/// Time between looks while ends wait for the store, in milliseconds. A look that waits would return at once.
const STORING_GAP_MS: u64 = 800;
/// Time until a failed look is repeated, in milliseconds.
const RETRY_GAP_MS: u64 = 200;
/// Most times that this gap is lengthened for a worker without runs. The directory shows workers for some seconds after
/// they have gone.
const MOST_GAPS: u32 = 8;
/// Looks in a row that must miss a confirmed run before it counts as lost.
const MISSING_LOOKS: u32 = 2;
/// Time for which a worker with a run of unknown size gets no new tasks, in milliseconds. Above the time between looks.
const FOREIGN_MS: u64 = 2_000;
/// Time for which runs and ends of unknown jobs are left as they are, in milliseconds, until the intake has been read.
/// Above the time of a claim; without a bound they would keep all later ends of the worker from being acknowledged.
const UNKNOWN_MS: u64 = 5_000;
/// Time after which a stop that has no effect is repeated, in milliseconds.
const STOP_REPEAT_MS: u64 = 1_500;

impl Dispatcher {
    /// Takes note of a worker's entry in the directory.
    pub fn update_worker(&mut self, now: u64, record: WorkerRecord) {
        let Some(key) = self.worker_of(&record.worker) else {
            let id = record.worker.clone();
            let key = self.workers.insert(Worker::new(record, now));
            self.index.insert(id, key);
            self.crowded = false;
            return;
        };
        let Some(worker) = self.workers.get(key) else { return };
        let (old, new) = (worker.record.started_ms, record.started_ms);
        if old != 0 && new != 0 && new < old {
            return;
        }
        if old != 0 && new > old {
            self.renew_life(now, key, new);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.record.address != record.address || !worker.listed {
            worker.looking = Looking::Idle(now);
        }
        if worker.clock.is_none() && record.clock_ms > 0 {
            worker.clock = Some((record.clock_ms, now));
        }
        worker.listed = true;
        worker.record = record;
        self.crowded = false;
    }

    /// Takes note that a worker left the directory. It may still run what it has.
    pub fn unlist_worker(&mut self, id: &str) {
        if let Some(key) = self.worker_of(id)
            && let Some(worker) = self.workers.get_mut(key)
        {
            worker.listed = false;
        }
    }

    /// A worker started anew: it runs nothing and has forgotten all numbers.
    fn renew_life(&mut self, now: u64, key: WorkerKey, started_ms: u64) {
        self.lose_runs(key, "the worker started anew");
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.known = now;
        worker.record.started_ms = started_ms;
        worker.clock = None;
        worker.fenced = false;
        worker.silent = 0;
        worker.looking = Looking::Idle(now);
        worker.unknown = None;
        worker.acknowledged = 0;
        worker.told = 0;
        worker.storing = None;
        worker.failing = 0;
        worker.avoid = 0;
    }

    /// Sends the looks that are due.
    pub(in super::super) fn look_at_workers(&mut self, now: u64) {
        if !self.in_contact(now) {
            return;
        }
        for worker in self.workers.values_mut() {
            let Looking::Idle(due) = worker.looking else { continue };
            let tell = worker.acknowledged > worker.told;
            let open = !worker.answers() || tell || worker.unknown.is_some();
            let wanted = worker.listed && open || !worker.runs.is_empty();
            if due > now || !wanted || worker.record.address.is_empty() {
                continue;
            }
            let waits = worker.fenced && !worker.runs.is_empty() && worker.storing.is_none();
            // A worker that does not answer gets no new lease, or what runs there could never be given up.
            let renews = !worker.runs.is_empty() && worker.silent == 0;
            let deadline_ms =
                worker.clock_at(now).filter(|_| renews).map(|clock| clock + self.options.lease_ms);
            if deadline_ms.is_some() {
                worker.grant(now, self.options.lease_ms);
            }
            worker.looking = Looking::Waiting(now);
            worker.telling = worker.acknowledged;
            self.counters.polls += 1;
            self.commands.push(Command::Poll(Poll {
                target: target(worker),
                token: self.epoch,
                deadline_ms,
                acknowledged: worker.acknowledged,
                wait_ms: if waits { self.options.wait_ms } else { 0 },
            }));
        }
    }

    /// Takes note of the answer to a look.
    pub fn polled(&mut self, now: u64, id: &str, answer: Result<WorkerStatus, Outcome>) {
        let Some(key) = self.worker_of(id) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let sent = match worker.looking {
            Looking::Waiting(sent) => sent,
            Looking::Idle(_) => now,
        };
        worker.looking = Looking::Idle(now + RETRY_GAP_MS);
        match answer {
            Ok(status) => self.note_seen(now, sent, key, status),
            Err(Outcome::Fenced) => self.fenced_out = true,
            Err(Outcome::Replaced) => {
                self.lose_runs(key, "another worker has the address");
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.listed = false;
                    worker.silent += 1;
                }
            }
            Err(outcome) => {
                worker.silent = worker.silent.saturating_add(1);
                if worker.runs.is_empty() {
                    let gaps = u64::from(worker.silent.min(MOST_GAPS));
                    worker.looking = Looking::Idle(now + gaps * RETRY_GAP_MS);
                }
                if worker.silent == 1 {
                    log::warn!(worker = id, outcome:? = outcome; "the worker does not answer");
                    self.double_runs(key);
                }
            }
        }
    }

    fn note_seen(&mut self, now: u64, sent: u64, key: WorkerKey, status: WorkerStatus) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let known = worker.record.started_ms;
        if known != 0 && status.started_ms != 0 && status.started_ms < known {
            return;
        }
        if status.started_ms > known && known != 0 {
            self.renew_life(now, key, status.started_ms);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.record.started_ms = worker.record.started_ms.max(status.started_ms);
        worker.clock = Some((status.clock_ms, now));
        worker.told = worker.told.max(worker.telling);
        let was_silent = worker.silent > 0;
        if was_silent {
            log::info!(worker = worker.record.worker.as_str(), looks = worker.silent; "the worker answers again");
            self.crowded = false;
        }
        worker.silent = 0;
        if !worker.fenced {
            worker.fenced = true;
            self.crowded = false;
        }
        let held = self.held_jobs(now, key, &status);
        self.note_ends(now, key, &status, &held);
        self.compare_runs(now, sent, key, &status, &held);
        self.pace_runs(now, key, &status);
        self.replace_slow_runs(now, key);
        if let Some(worker) = self.workers.get_mut(key) {
            let gap = if was_silent {
                0
            } else if worker.storing.is_some() {
                STORING_GAP_MS
            } else {
                self.options.gap_ms
            };
            worker.looking = Looking::Idle(now + gap);
        }
    }

    /// Listed jobs that are not known and may be in a part of the intake that has not been read yet.
    fn held_jobs(&mut self, now: u64, key: WorkerKey, status: &WorkerStatus) -> BTreeSet<JobId> {
        let tasks = status.running.iter().map(|run| run.task).chain(status.ended.iter().map(|end| end.task));
        let unknown: BTreeSet<JobId> =
            tasks.map(|task| task.job).filter(|id| self.table.get(*id).is_none()).collect();
        let Some(worker) = self.workers.get_mut(key) else { return unknown };
        if unknown.is_empty() {
            worker.unknown = None;
            return unknown;
        }
        let since = *worker.unknown.get_or_insert(now);
        if self.intake <= since && now < since + UNKNOWN_MS { unknown } else { BTreeSet::new() }
    }

    /// Takes note of the listed ends. Those from the first one of a held job on are not acknowledged.
    fn note_ends(&mut self, now: u64, key: WorkerKey, status: &WorkerStatus, held: &BTreeSet<JobId>) {
        let Some(worker) = self.workers.get(key) else { return };
        let stored = worker.acknowledged;
        let mut last = stored;
        let waiting = status.ended.iter().filter(|ended| held.contains(&ended.task.job));
        let first_held = waiting.map(|ended| ended.number).min().unwrap_or(u64::MAX);
        for ended in status.ended.iter().filter(|ended| ended.number > stored) {
            if ended.number < first_held {
                last = last.max(ended.number);
            }
            let end = RunEnd { run: ended.run, reason: ended.reason, checkpoint: ended.checkpoint.clone() };
            self.end_run(now, key, ended.task, &end);
        }
        if last == stored {
            return;
        }
        let write = if self.dirty.is_empty() { self.write } else { self.next_write() };
        let done = self.stored >= write;
        if let Some(worker) = self.workers.get_mut(key) {
            if done {
                worker.acknowledged = last;
            } else {
                worker.storing = Some((write, last));
            }
        }
    }

    /// Compares the runs that a worker lists with those placed there.
    fn compare_runs(
        &mut self,
        now: u64,
        sent: u64,
        key: WorkerKey,
        status: &WorkerStatus,
        held: &BTreeSet<JobId>,
    ) {
        let stop_ms = self.options.stop_ms;
        let Some(worker) = self.workers.get_mut(key) else { return };
        let mut lost = Vec::new();
        for (task, run) in &mut worker.runs {
            let listed =
                status.running.iter().find(|listed| listed.task == *task && listed.run == run.number);
            match listed {
                Some(listed) => {
                    run.confirmed.get_or_insert(now);
                    run.missing = 0;
                    run.unanswered = 0;
                    run.progress = listed.progress;
                    run.inherited = run.inherited.listed(now, stop_ms);
                    run.checkpoint.clone_from(&listed.checkpoint);
                    if !run.stopping {
                        run.due = None;
                    } else if run.paced + STOP_REPEAT_MS < now {
                        run.due = Some(now);
                    }
                }
                None if run.confirmed.is_some_and(|at| at < sent) => {
                    run.missing = run.missing.saturating_add(1);
                    if run.missing >= MISSING_LOOKS {
                        lost.push(*task);
                    }
                }
                None => {}
            }
        }
        let known = |task: &TaskId, number: u32| worker.runs.get(task).is_some_and(|r| r.number == number);
        let foreign: Vec<RunStatus> =
            status.running.iter().filter(|listed| !known(&listed.task, listed.run)).cloned().collect();
        let target = target(worker);
        self.counters.lost += lost.len() as u64;
        for task in lost {
            self.requeue(key, task, "the worker does not list the run");
        }
        for listed in foreign {
            if held.contains(&listed.task.job) {
                self.avoid_foreign(now, key);
                continue;
            }
            self.take_in_run(now, key, &target, &listed);
        }
    }

    /// Takes in a run that nobody knew of: it takes room until it has ended. It is the task's run again if no other was
    /// started since, and is stopped otherwise.
    fn take_in_run(&mut self, now: u64, key: WorkerKey, target: &Target, listed: &RunStatus) {
        let (task, number) = (listed.task, listed.run);
        let resumed = self.resume_run(key, task, number);
        log::warn!(
            task:% = task, run = number, worker = target.worker.as_str(), resumed = resumed;
            "the worker runs a task that is not placed there"
        );
        let occupied = self.workers.get(key).is_some_and(|worker| worker.runs.contains_key(&task));
        match self.new_run(now, task, number).filter(|_| !occupied) {
            Some(run) => {
                let run = Run {
                    sent: true,
                    confirmed: Some(now),
                    stopping: !resumed,
                    abandoned: !resumed,
                    inherited: Inherited::Unseen.listed(now, self.options.stop_ms),
                    ..run
                };
                self.add_run(key, task, run);
            }
            None => self.avoid_foreign(now, key),
        }
        if !resumed {
            let stop = Stop { target: target.clone(), token: self.epoch, task, run: number };
            self.commands.push(Command::Stop(stop));
        }
    }

    /// Keeps new tasks off a worker with a run of unknown size until it has ended.
    fn avoid_foreign(&mut self, now: u64, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.avoid = worker.avoid.max(now + FOREIGN_MS);
        }
    }

    /// Places a waiting task where its last run still goes on.
    fn resume_run(&mut self, key: WorkerKey, task: TaskId, number: u32) -> bool {
        let Some(worker) = self.workers.get(key) else { return false };
        let place = Placement { worker: worker.record.worker.clone(), started_ms: worker.record.started_ms };
        let Some(job) = self.table.get_mut(task.job) else { return false };
        if job.progress.phase != Phase::Active || job.canceled {
            return false;
        }
        let Some(row) = job.progress.task_mut(&job.submission, task) else { return false };
        if row.state != TaskState::Waiting || row.run != number {
            return false;
        }
        row.state = TaskState::Placed(place);
        self.dirty.insert(task.job);
        true
    }
}

/// Where orders to a worker go.
pub(super) fn target(worker: &Worker) -> Target {
    Target { worker: worker.record.worker.clone(), address: worker.record.address.clone() }
}
