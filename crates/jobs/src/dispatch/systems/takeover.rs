//! Takeover by a new owner: placed tasks count as running until their worker shows otherwise.
//!
//! A placement is stored before its start is sent, so it doesn't prove that a worker has taken the task. A job counts as started
//! once a worker shows it, or if callers were shown so.
//!
//! A worker that answers a poll under the new epoch refuses all orders of former owners, so a run that it
//! does not list then will never start. A worker that does not answer may have the runs that were placed on
//! it until the longest lease that the former owner can have granted has expired.

use super::super::Dispatcher;
use super::super::event::WorkerRecord;
use super::super::worker::{FormerStop, Run, Worker, WorkerKey};
use super::backlog::{Backlog, Track};
use crate::ids::{JobId, TaskId};
use crate::spec::{Resources, Submission};
use crate::table::{Phase, Placement, Task, TaskState, each_task};

impl Dispatcher {
    /// Takes over all jobs in the table.
    pub(in super::super) fn adopt_jobs(&mut self, now: u64) {
        self.replay_charges(now);
        let ids: Vec<JobId> = self.table.ids().collect();
        for id in ids {
            self.track(now, id);
            self.adopt_job(now, id);
        }
        self.restore_arrivals(now);
        // The former owner deleted their submissions and had no time to delete their progress.
        for id in self.table.take_ended_orphans() {
            self.stored_parts.adopt(id, &self.table.take_parts(id));
            self.dirty_jobs.insert(id);
        }
        self.early_cancellations = self.table.early_cancellations().map(|id| (id, now)).collect();
        log::info!(
            epoch = self.epoch, jobs = self.table.jobs().count(), workers = self.workers.len();
            "this instance owns the work"
        );
    }

    /// Takes over the placed tasks of a job.
    pub(super) fn adopt_job(&mut self, now: u64, id: JobId) {
        self.stored_parts.adopt(id, &self.table.add_parts(id));
        for (task, row) in self.placed_tasks(id) {
            let TaskState::Placed(place) = row.state.clone() else { continue };
            let key = self.worker_for(now, &place);
            self.adopt_run(now, key, task, &row);
        }
        self.resume_job(now, id);
    }

    /// Completes a cancellation or an end of the job that the former owner may not have finished.
    fn resume_job(&mut self, now: u64, id: JobId) {
        let Some(job) = self.table.get(id) else { return };
        match (job.progress.phase, job.canceled) {
            (Phase::Active, true) => self.canceled(now, id),
            (Phase::Active, false) => self.complete_if_done(now, id),
            (Phase::Completed | Phase::Failed | Phase::Canceled, _) => self.stop_job_runs(now, id),
        }
    }

    fn placed_tasks(&self, id: JobId) -> Vec<(TaskId, Task)> {
        let Some(job) = self.table.get(id) else { return Vec::new() };
        let tasks = job.progress.occurrences.iter().flat_map(|o| each_task(&job.submission, o));
        tasks.filter(|(_, task)| task.placed()).map(|(id, task)| (id, task.clone())).collect()
    }

    /// Worker of a placement; created without a directory record if it is not known yet.
    fn worker_for(&mut self, now: u64, place: &Placement) -> WorkerKey {
        if let Some(key) = self.worker_key(&place.worker) {
            return key;
        }
        let record = WorkerRecord {
            worker: place.worker.clone(),
            address: String::new(),
            pool: String::new(),
            zone: String::new(),
            labels: Vec::new(),
            capacity: Resources::default(),
            draining: false,
            started_ms: place.started_ms,
        };
        let pool = self.pools.intern(&record.pool);
        let mut worker = Worker::new(record, pool, self.raise_token(), now);
        worker.listed = false;
        let key = self.workers.insert(worker);
        self.keys_by_id.insert(place.worker.clone(), key);
        key
    }

    /// Adds the run of a placed task. The former owner may have granted its worker a lease until just before it lost the
    /// store.
    fn adopt_run(&mut self, now: u64, key: WorkerKey, task: TaskId, row: &Task) {
        let Some(run) = self.new_run(now, task, row.run) else { return };
        if let Some(worker) = self.workers.get_mut(key) {
            worker.grant(now, self.options.contact_lease_ms);
        }
        let former_stop = FormerStop::Possible;
        // One poll that does not list the run suffices to requeue its task, since the worker answers under the
        // new epoch.
        let run = Run {
            confirmed: Some(0),
            unlisted_polls: u32::MAX,
            sent: true,
            former_stop,
            speed_known: false,
            ..run
        };
        self.add_run(key, task, run);
    }

    /// Time by which a job should complete.
    pub(in super::super) fn objective(&self, now: u64, submission: &Submission) -> u64 {
        let terms = self.terms(submission);
        let unix = i64::try_from(now).unwrap_or(0) + self.unix_offset;
        let age = unix.saturating_sub(i64::try_from(submission.arrived_ms).unwrap_or(0));
        let age = u64::try_from(age).unwrap_or(0).min(super::jobs::MAX_AGE_MS);
        let stretched = submission.chain_ms().saturating_mul(terms.stretch_percent) / 100;
        now.saturating_add(stretched.saturating_add(terms.target_ms)).saturating_sub(age)
    }

    /// Starts tracking a job and computes its objective.
    pub(super) fn track(&mut self, now: u64, id: JobId) {
        let surplus = self.classify(now, id);
        let Some(job) = self.table.get(id) else { return };
        let terms = self.terms(&job.submission);
        let objective = self.objective(now, &job.submission);
        // Also for a job that has ended, since its runs count until they have.
        let team = job.submission.team.as_deref().map(|team| self.teams.intern(team));
        let active = job.progress.phase == Phase::Active;
        if let Some(usage) = team.and_then(|team| self.team_usage.entry(team)) {
            usage.or_default().jobs += u64::from(active);
        }
        if !active {
            self.ended.push_back((now, id));
            return;
        }
        if job.submission.schedule.is_some() {
            self.scheduled.insert(id);
        }
        let track = Track {
            objective,
            failure_counted: false,
            pool: self.pools.intern(&terms.pool),
            priority: terms.priority,
            surplus,
            team,
            wait_logged: false,
            backlog: Backlog::default(),
        };
        self.tracks.insert(id, track);
        self.mark_stale(id);
    }
}
