//! Jobs and what became of them.
//!
//! Every instance keeps this table from the two topics, so that any instance can answer callers and take over the
//! work. The owner changes it first and stores the change afterwards; `shown` is what has been stored and may be
//! told to callers.

mod progress;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::dispatch::WaveProgress;
use crate::ids::JobId;
use crate::record::{Change, Intake, LastOrder, Owner};
use crate::spec::Submission;

pub use progress::{Occurrence, Phase, Placement, Progress, Task, TaskState, each_task};

/// State of a job as callers see it, in the order of its life. Stored records name a state by its place in this list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Canceled,
}

impl JobState {
    /// True if the state is final.
    #[must_use]
    pub const fn ended(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Canceled)
    }

    /// Later one of two states that were read in any order. The final state that was read first stays.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        if self.ended() { self } else { self.max(other) }
    }
}

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the caller asked for.
    pub submission: Submission,
    /// What became of it.
    pub progress: Progress,
    /// True if the caller cancelled it.
    pub canceled: bool,
    /// True if a task had started in the stored progress.
    shown_started: bool,
    shown_phase: Phase,
}

impl Job {
    /// State that is stored.
    #[must_use]
    pub fn state(&self) -> JobState {
        match self.shown_phase {
            Phase::Completed => JobState::Completed,
            Phase::Failed => JobState::Failed,
            Phase::Canceled => JobState::Canceled,
            Phase::Active if self.canceled => JobState::Canceled,
            Phase::Active if self.shown_started => JobState::Running,
            Phase::Active => JobState::Queued,
        }
    }

    /// Makes the present progress visible to callers.
    pub fn mark_stored(&mut self, started: bool, phase: Phase) {
        self.shown_started |= started;
        if self.shown_phase == Phase::Active {
            self.shown_phase = phase;
        }
    }
}

/// All jobs.
#[derive(Clone, Debug, Default)]
pub struct Table {
    jobs: BTreeMap<JobId, Job>,
    /// Progress and cancellations read before the submission.
    early: BTreeMap<JobId, Progress>,
    canceled: BTreeSet<JobId>,
    /// Newest owner.
    pub owner: Owner,
    /// Last orders of machines.
    pub orders: BTreeMap<String, LastOrder>,
    /// Waves of upkeep.
    pub waves: BTreeMap<u64, WaveProgress>,
}

impl Table {
    /// Job of an id.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Job of an id, to change.
    pub fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    /// Ids of all jobs.
    pub fn ids(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }

    /// Jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Applies a record of the intake. Returns the job that is new or newly cancelled.
    pub fn apply_intake(&mut self, intake: Intake) -> Option<JobId> {
        match intake {
            Intake::Submitted(submission) => self.submit(submission),
            Intake::Canceled(id) => {
                let fresh = self.canceled.insert(id);
                let job = self.jobs.get_mut(&id)?;
                job.canceled = true;
                fresh.then_some(id)
            }
            Intake::Dropped => None,
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
        let job = Job { submission, progress, canceled, shown_started: started, shown_phase: phase };
        self.jobs.insert(id, job);
        Some(id)
    }

    /// Applies a record of the progress that another owner wrote.
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
            Change::Order(machine, at) => {
                self.orders.insert(machine, at);
            }
            Change::Dropped(id) => self.remove(id),
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.remove(&id);
        self.early.remove(&id);
        self.canceled.remove(&id);
    }

    /// Jobs of each queue that have not started.
    #[must_use]
    pub fn pending(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.state() == JobState::Queued) {
            *counts.entry(job.submission.queue.as_str()).or_default() += 1;
        }
        counts
    }
}
