//! Table of jobs and their progress.
//!
//! Each holder builds this table from the intake and progress topics, so that it can take over as owner. The owner
//! changes its table first and stores the change afterwards; `Job::state` is derived from what has been stored and
//! from what workers have confirmed, so it may be returned to callers.

mod held;
mod progress;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::dispatch::WaveProgress;
use crate::dispatch::admission::job_bytes;
use crate::ids::{JobId, PartId};
use crate::record::{Change, Intake, LastOrder, Owner};
use crate::spec::Submission;

pub use held::Held;
pub use progress::{
    FailedRuns, Occurrence, PART_TASKS, Phase, Placement, Progress, Task, TaskState, each_task,
};

/// State of a job as callers see it, in the order in which a job passes through them. Stored records contain the
/// index of the variant.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed as often as the queue allows.
    Failed,
    /// A caller cancelled the job.
    Canceled,
}

impl JobState {
    /// True if the state is final.
    #[must_use]
    pub const fn ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Canceled)
    }

    /// Returns the later of two states that were read in any order. If both are final, `self` stays.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        if self.ended() { self } else { self.max(other) }
    }
}

/// Job with its progress.
#[derive(Clone, Debug)]
pub struct Job {
    /// Submission as stored in the intake.
    pub submission: Arc<Submission>,
    /// Progress; the owner's may be ahead of what is stored.
    pub progress: Progress,
    /// True once the intake contains a cancellation.
    pub canceled: bool,
    /// True if callers see that a task has started.
    shown_started: bool,
    stored_phase: Phase,
}

impl Job {
    /// State according to the stored progress and to the starts that workers have confirmed.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.stored_phase {
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
            Phase::Canceled => JobState::Canceled,
            Phase::Active if self.canceled => JobState::Canceled,
            Phase::Active if self.shown_started => JobState::Running,
            Phase::Active => JobState::Queued,
        }
    }

    /// Records that a worker has taken a task, which is visible to callers at once.
    pub const fn mark_started(&mut self) {
        self.progress.started = true;
        self.shown_started = true;
    }

    /// Records that progress was stored, which makes it visible to callers. A final phase does not change again.
    pub fn mark_stored(&mut self, started: bool, phase: Phase) {
        self.shown_started |= started;
        if self.stored_phase == Phase::Active {
            self.stored_phase = phase;
        }
    }
}

/// Jobs, and the state of machines and waves that the owner stores with them.
#[derive(Clone, Debug, Default)]
pub struct Table {
    jobs: BTreeMap<JobId, Job>,
    /// Estimated memory of the jobs.
    held: Held,
    /// Progress and cancellations that were read before the submission.
    early: BTreeMap<JobId, Progress>,
    /// Parts of progress that were read and not added to a job yet.
    parts: BTreeMap<PartId, Vec<Task>>,
    /// Cancellations in the intake, also those of jobs that are not stored.
    canceled: BTreeSet<JobId>,
    /// Owner according to the newest owner record that was read.
    pub owner: Owner,
    /// Last order about each machine, by the machine's name.
    pub orders: BTreeMap<String, LastOrder>,
    /// Maintenance waves by number.
    pub waves: BTreeMap<u64, WaveProgress>,
}

impl Table {
    /// Looks up a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Looks up a job for a change.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Estimated memory of all jobs, in bytes.
    #[must_use]
    pub const fn held_bytes(&self) -> u64 {
        self.held.total()
    }

    /// Estimated memory of all jobs, also by team.
    #[must_use]
    pub const fn held(&self) -> &Held {
        &self.held
    }

    /// Ids of all jobs.
    pub fn ids(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }

    /// All jobs in the order of their ids.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Keeps a job visible as started that callers were shown so.
    pub fn keep_started(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.mark_started();
        }
    }

    /// Applies a record of the intake. Returns the job if it is new or newly cancelled.
    pub fn apply_intake(&mut self, intake: Intake) -> Option<JobId> {
        match intake {
            Intake::Submitted(submission) => self.submit(submission),
            Intake::Canceled(id) => {
                let fresh = self.canceled.insert(id);
                let job = self.jobs.get_mut(&id)?;
                job.canceled = true;
                fresh.then_some(id)
            }
            Intake::CancellationDropped(id) => {
                self.canceled.remove(&id);
                None
            }
            Intake::SubmissionDropped => None,
        }
    }

    fn submit(&mut self, submission: Submission) -> Option<JobId> {
        let id = submission.id;
        if self.jobs.contains_key(&id) {
            return None;
        }
        let progress = self.early.remove(&id).unwrap_or_else(|| Progress::new(&submission));
        let (started, phase) = (progress.started, progress.phase);
        let canceled = self.canceled.contains(&id);
        self.held.add(submission.account(), job_bytes(&submission));
        let submission = Arc::new(submission);
        let job = Job { submission, progress, canceled, shown_started: started, stored_phase: phase };
        self.jobs.insert(id, job);
        Some(id)
    }

    /// Applies a record of the progress written by another owner.
    pub fn apply_progress(&mut self, change: Change) {
        match change {
            Change::Owner(owner) => self.owner = owner,
            Change::Job(id, progress) => match self.jobs.get_mut(&id) {
                Some(job) => {
                    job.mark_stored(progress.started, progress.phase);
                    job.progress = progress;
                }
                None => {
                    self.early.insert(id, progress);
                }
            },
            Change::Wave(number, wave) => {
                self.waves.insert(number, wave);
            }
            Change::WaveDropped(number) => {
                self.waves.remove(&number);
            }
            Change::Order(machine, at) => {
                self.orders.insert(machine, at);
            }
            Change::Dropped(id) => self.remove_job(id),
            Change::Part(part, tasks) => {
                self.parts.insert(part, tasks);
            }
            Change::PartDropped(part) => {
                self.parts.remove(&part);
            }
        }
    }

    /// Adds the parts that were read for a job to its progress. Returns them.
    pub fn add_parts(&mut self, id: JobId) -> BTreeMap<PartId, Vec<Task>> {
        let parts = self.take_parts(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.progress.add_parts(&job.submission, parts.clone());
        }
        parts
    }

    /// Progress of a job with the parts that were read for it.
    #[must_use]
    pub fn whole_progress(&self, id: JobId) -> Option<Progress> {
        let job = self.get(id)?;
        let parts = self.parts.range(PartId::all_of(id)).map(|(part, tasks)| (*part, tasks.clone()));
        let mut progress = job.progress.clone();
        progress.add_parts(&job.submission, parts.collect());
        Some(progress)
    }

    /// Removes the parts that were read for a job.
    pub fn take_parts(&mut self, id: JobId) -> BTreeMap<PartId, Vec<Task>> {
        let keys: Vec<PartId> = self.parts.range(PartId::all_of(id)).map(|(part, _)| *part).collect();
        keys.into_iter().filter_map(|part| Some((part, self.parts.remove(&part)?))).collect()
    }

    /// Removes a job and all that was read about it.
    pub fn remove(&mut self, id: JobId) {
        self.remove_job(id);
        self.canceled.remove(&id);
    }

    /// Removes a job. A cancellation stays until it is deleted from the intake.
    fn remove_job(&mut self, id: JobId) {
        if let Some(job) = self.jobs.remove(&id) {
            self.held.remove(job.submission.account(), job_bytes(&job.submission));
        }
        self.early.remove(&id);
        self.take_parts(id);
    }

    /// True if the intake contains a cancellation of a job that is not stored.
    #[must_use]
    pub fn canceled_early(&self, id: JobId) -> bool {
        self.canceled.contains(&id) && !self.jobs.contains_key(&id)
    }

    /// Cancellations of jobs that are not stored.
    pub fn early_cancellations(&self) -> impl Iterator<Item = JobId> {
        self.canceled.iter().copied().filter(|id| !self.jobs.contains_key(id))
    }

    /// Removes the progress of ended jobs without a submission and returns their ids. Meaningful only once the intake
    /// was read to its end.
    pub fn take_ended_orphans(&mut self) -> Vec<JobId> {
        let (active, ended) = std::mem::take(&mut self.early)
            .into_iter()
            .partition(|(_, progress)| progress.phase == Phase::Active);
        self.early = active;
        BTreeMap::into_keys(ended).collect()
    }

    /// Number of jobs in each queue that have not started, by stored progress.
    #[must_use]
    pub fn pending(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.state() == JobState::Queued) {
            *counts.entry(job.submission.queue.as_str()).or_default() += 1;
        }
        counts
    }
}
