//! Runs of tasks: adding and removing them, and the effect of their ends on the job.

use std::sync::Arc;

use super::super::Dispatcher;
use super::super::event::EndReason;
use super::super::worker::{FormerStop, Run, WorkerKey};
use super::proof::Proof;
use super::removals::Removal;
use crate::DECISIONS;
use crate::ids::{JobId, TaskId};
use crate::spec::{Submission, Terms};
use crate::table::{Phase, Task, TaskState};

impl Dispatcher {
    /// Terms that apply to a job: those of its queue, or those under which it was accepted if the queue no
    /// longer exists.
    pub(in super::super) fn terms(&self, submission: &Submission) -> Terms {
        let queue = self.queue(&submission.queue);
        queue.map_or_else(|| submission.terms.clone(), |queue| queue.terms.clone())
    }

    /// Creates the run of a task that is about to be placed.
    pub(super) fn new_run(&mut self, now: u64, task: TaskId, number: u32) -> Option<Run> {
        let job = self.table.get(task.job)?;
        let step = job.submission.steps.get(usize::from(task.step))?;
        let image = step.image.as_deref().filter(|_| self.options.interference);
        let image = image.map(|image| self.interference.intern(now, image));
        Some(Run {
            number,
            reserved: step.reserved(),
            need: step.need,
            team: job.submission.team.as_deref().and_then(|team| self.teams.key(team)),
            placed: now,
            sent: false,
            open_starts: 0,
            listed: false,
            confirmed: None,
            stopping: false,
            former_stop: FormerStop::Impossible,
            superseded: false,
            next_order: None,
            unanswered: 0,
            failed_connects: 0,
            unlisted_polls: 0,
            progress: 0,
            progress_at: now,
            speed_percent: 100,
            speed_known: true,
            long_running: step.long_running,
            checkpoint: String::new(),
            listed_at: 0,
            target_ms: step.target_ms.filter(|_| step.long_running && !step.best_effort),
            best_effort: step.best_effort,
            last_change: now,
            ticket: None,
            image,
            sampled: None,
        })
    }

    /// Adds a run to a worker and to the usage of its team.
    pub(super) fn add_run(&mut self, key: WorkerKey, task: TaskId, run: Run) {
        if let Some(usage) = run.team.and_then(|team| self.team_usage.get_mut(team)) {
            usage.used.add(run.need);
        }
        self.placed.insert((task, key));
        self.unsettled.insert((key, task));
        if let Some(worker) = self.workers.get_mut(key) {
            worker.add(task, run);
        }
    }

    /// Removes a run from its worker and from the usage of its team.
    pub(super) fn remove_run(&mut self, key: WorkerKey, task: TaskId) -> Option<Run> {
        let run = self.workers.get_mut(key)?.remove(task)?;
        if let Some(usage) = run.team.and_then(|team| self.team_usage.get_mut(team)) {
            usage.used.subtract(run.need);
        }
        self.placed.remove(&(task, key));
        self.unsettled.remove(&(key, task));
        self.unchanged = false;
        Some(run)
    }

    /// Records that a worker has taken a task of a job. Callers see it at once; it is stored with the next change of the job.
    pub(super) fn mark_started(&mut self, id: JobId) {
        if let Some(job) = self.table.get_mut(id).filter(|job| !job.progress.started) {
            job.mark_started();
            self.started_jobs.push(id);
        }
    }

    /// Removes a run that has ended or will not begin. The task waits again if this was its current run.
    pub(super) fn requeue(&mut self, now: u64, key: WorkerKey, task: TaskId, proof: Proof) {
        let Some(run) = self.remove_run(key, task) else { return };
        let why = proof.why();
        if let Some(worker) = self.workers.get(key) {
            let lease_left_ms = worker.lease_end.saturating_sub(now);
            log::info!(
                target: DECISIONS, task:% = task, run = run.number, worker = worker.record.worker.as_str(), why = why,
                asked_ms = proof.age_ms(now), placed_ms = now.saturating_sub(run.placed),
                sent = run.sent, listed = run.listed, answer_ms = now.saturating_sub(worker.last_answer()),
                lease_ms = now.saturating_sub(worker.last_lease), lease_left_ms = lease_left_ms;
                "the run is removed; its task is requeued if this was its current run"
            );
            if run.sent {
                let removal = Removal { worker: key, why, at: now, lease_left_ms };
                self.removals.insert(now, task, run.number, removal);
            }
        }
        let Some(job) = self.table.get_mut(task.job) else { return };
        if let Some(row) = job.progress.task_mut(&job.submission, task)
            && row.placed()
            && row.run == run.number
        {
            row.state = TaskState::Waiting;
            self.touch(task.job);
            self.save_checkpoint(run.listed_at, task, run.number, run.checkpoint);
        }
    }

    /// Counts the runs of a worker for which there is a proof as lost and requeues their tasks.
    pub(super) fn mark_some_lost(&mut self, now: u64, key: WorkerKey, proof: impl Fn(&Run) -> Option<Proof>) {
        let Some(worker) = self.workers.get(key) else { return };
        let proved = worker.runs.iter().filter_map(|(task, run)| proof(run).map(|proof| (*task, proof)));
        let lost: Vec<(TaskId, Proof)> = proved.collect();
        self.counters.lost += lost.len() as u64;
        for (task, proof) in lost {
            self.requeue(now, key, task, proof);
        }
        // Their room is used again once the worker itself has shown that it is free.
        if let Some(worker) = self.workers.get_mut(key).filter(|worker| worker.missed_polls > 0) {
            worker.silent = true;
        }
    }

    /// Requeues the tasks that were placed on a worker and not sent to it.
    pub(super) fn requeue_unsent(&mut self, now: u64, key: WorkerKey) {
        let unsent =
            |run: &Run| Proof::not_begun(run, "the worker does not answer", now).filter(|_| !run.sent);
        self.mark_some_lost(now, key, unsent);
    }

    /// Requeues a task whose start did not reach its worker or was refused. False if a process may have begun the run.
    pub(super) fn requeue_not_begun(
        &mut self,
        now: u64,
        key: WorkerKey,
        task: TaskId,
        why: &'static str,
    ) -> bool {
        let run = self.workers.get(key).and_then(|worker| worker.runs.get(&task));
        let Some(proof) = run.and_then(|run| Proof::not_begun(run, why, now)) else { return false };
        self.requeue(now, key, task, proof);
        true
    }

    /// Applies an end that a worker listed.
    ///
    /// An end as done or failed counts whatever run it belongs to, except for long-running steps. The run may
    /// have been superseded by another run of the task or be known to a former owner only, and the worker
    /// forgets the end once it is acknowledged.
    pub(super) fn apply_end(&mut self, now: u64, key: WorkerKey, task: TaskId, end: &RunEnd) {
        self.report_end(now, key, task, end);
        let placed = self.workers.get(key).and_then(|w| w.runs.get(&task)).map(|run| run.number);
        let run = if placed == Some(end.run) { self.remove_run(key, task) } else { None };
        if run.is_some() && matches!(end.reason, EndReason::Done | EndReason::Failed) {
            self.counters.ends += 1;
            self.record_run_outcome(now, key, task.job, end.reason);
        }
        self.mark_started(task.job);
        let Some(job) = self.table.get(task.job) else { return };
        let step = &job.submission.steps[usize::from(task.step)];
        let (long_running, gang) = (step.long_running, step.gang);
        let attempts = self.terms(&job.submission).attempts;
        let Some(job) = self.table.get_mut(task.job) else { return };
        let Some(row) = job.progress.task_mut(&job.submission, task) else { return };
        let current = row.placed() && row.run == end.run && run.is_some();
        let finished = end.reason == EndReason::Done && !long_running && row.state != TaskState::Done;
        if finished {
            row.state = TaskState::Done;
            let whole = row.checkpoint.is_empty();
            if let Some(begun) = run.as_ref().and_then(|run| run.begun(now)).filter(|_| whole) {
                let submission = Arc::clone(&job.submission);
                self.durations.learn(&submission, task, now.saturating_sub(begun));
            }
        } else if current {
            row.state = TaskState::Waiting;
        }
        let counts = end.reason == EndReason::Failed && !long_running && row.state != TaskState::Done;
        let failed = counts && row.record_failure(end.run);
        let failures = row.failures();
        if !finished && !current && !failed {
            return;
        }
        self.touch(task.job);
        if let Some(run) = run.filter(|_| current && !finished) {
            if end.checkpoint.is_empty() {
                self.save_checkpoint(run.listed_at, task, run.number, run.checkpoint);
            } else {
                self.save_checkpoint(now, task, run.number, end.checkpoint.clone());
            }
        }
        if !finished {
            log::info!(
                task:% = task, run = end.run, how:? = end.reason, failures = failures,
                worker = self.worker_id(key);
                "the run ended; its task is not done"
            );
        }
        if finished {
            self.stop_remaining_runs(now, task);
            if gang {
                self.complete_gang(now, task);
            }
        } else if failed && failures >= attempts {
            self.end_job(now, task.job, Phase::Failed);
        }
        self.complete_if_done(now, task.job);
    }

    /// Counts the outcome of a run for its worker. Of each job only the first failed run counts, because
    /// tasks that fail on every worker would exclude all workers of a pool.
    fn record_run_outcome(&mut self, now: u64, key: WorkerKey, id: JobId, reason: EndReason) {
        let failed = reason == EndReason::Failed;
        if failed {
            let Some(track) = self.tracks.get_mut(&id) else { return };
            if std::mem::replace(&mut track.failure_counted, true) {
                return;
            }
        }
        if let Some(worker) = self.workers.get_mut(key) {
            worker.record_outcome(now, failed);
        }
    }

    /// Marks all members of a gang as done once one member is done.
    fn complete_gang(&mut self, now: u64, task: TaskId) {
        let Some(job) = self.table.get_mut(task.job) else { return };
        let count = job.submission.steps[usize::from(task.step)].count;
        let members: Vec<TaskId> = (0..u16::try_from(count).unwrap_or(u16::MAX))
            .map(|index| TaskId { index, ..task })
            .filter(|member| *member != task)
            .collect();
        for member in &members {
            if let Some(row) = job.progress.task_mut(&job.submission, *member) {
                row.state = TaskState::Done;
            }
        }
        for member in members {
            self.stop_remaining_runs(now, member);
        }
    }

    /// Removes completed occurrences, and completes the job once all its tasks are done.
    pub(super) fn complete_if_done(&mut self, now: u64, id: JobId) {
        let Some(job) = self.table.get_mut(id) else { return };
        if job.progress.phase != Phase::Active {
            return;
        }
        let before = job.progress.occurrences.len();
        job.progress.occurrences.retain(|o| o.tasks.iter().any(|t| t.state != TaskState::Done));
        let times = job.submission.schedule.map_or(1, |schedule| schedule.times);
        let completed = job.progress.occurrences.is_empty() && job.progress.begun >= times;
        if job.progress.occurrences.len() != before {
            self.touch(id);
        }
        if completed {
            self.end_job(now, id, Phase::Completed);
        }
    }

    /// Ends a job and stops its remaining runs.
    pub(super) fn end_job(&mut self, now: u64, id: JobId, phase: Phase) {
        let Some(job) = self.table.get_mut(id) else { return };
        if job.progress.phase != Phase::Active {
            return;
        }
        job.progress.phase = phase;
        // Only placed tasks matter from now on.
        job.progress.occurrences.retain(|occurrence| occurrence.tasks.iter().any(Task::placed));
        let scheduled = job.submission.schedule.is_some();
        self.touch(id);
        match phase {
            Phase::Completed => self.counters.completed += 1,
            Phase::Failed => self.counters.failed += 1,
            Phase::Active | Phase::Canceled => {}
        }
        let track = self.tracks.remove(&id);
        if let Some(track) = track.filter(|_| scheduled) {
            self.begun_work.remove(track.backlog.begun);
        }
        let late_ms = track.map_or(0, |track| now.saturating_sub(track.objective));
        if let Some(usage) = track.and_then(|track| self.team_usage.get_mut(track.team?)) {
            usage.jobs = usage.jobs.saturating_sub(1);
        }
        self.ended.push_back((now, id));
        if phase == Phase::Completed {
            self.lateness.push(late_ms);
        }
        log::info!(job:% = id, phase:? = phase, late_ms = late_ms; "the job ended");
        self.remove_tickets(id);
        self.durations.forget(id);
        self.stragglers.forget(id);
        self.gang_checkpoints.forget(id);
        self.stop_job_runs(now, id);
    }

    /// Stops all runs of a job.
    pub(super) fn stop_job_runs(&mut self, now: u64, id: JobId) {
        let first = TaskId { job: id, occurrence: 0, step: 0, index: 0 };
        let last = TaskId { job: id, occurrence: u32::MAX, step: u16::MAX, index: u16::MAX };
        let running: Vec<(TaskId, WorkerKey)> = self.placed_runs(first, last).collect();
        for (task, key) in running {
            self.stop_run(now, key, task);
        }
    }

    pub(super) fn worker_id(&self, key: WorkerKey) -> &str {
        self.workers.get(key).map_or("", |worker| worker.record.worker.as_str())
    }
}

/// End of a run as a worker reported it.
#[derive(Clone, Debug)]
pub(super) struct RunEnd {
    /// Number of the run.
    pub(super) run: u32,
    /// Why it ended.
    pub(super) reason: EndReason,
    /// Newest checkpoint; empty if there is none.
    pub(super) checkpoint: String,
}
