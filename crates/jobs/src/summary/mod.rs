//! States of jobs as callers see them.
//!
//! Every instance answers callers from this table. The owner writes a short record for each change of a job's state,
//! and the offset up to which it has read the intake; all others follow these records. They are small, so that an
//! instance with a slow CPU and a slow link keeps up with any backlog. Only the holders, which may take over as owner,
//! read payloads and the progress of tasks.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::JobId;
use crate::record::{Intake, Owner};
use crate::table::JobState;

/// Queue and state of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the queue that accepted the job.
    pub queue: String,
    /// State that callers see.
    pub state: JobState,
}

/// Record of the summaries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SummaryChange {
    /// A new owner publishes the summaries.
    Owner(Owner),
    /// The summaries cover all records of the intake before this offset.
    IntakeOffset(u64),
    /// State of a job.
    Job(JobId, Summary),
    /// A job was deleted.
    Dropped(JobId),
}

/// States of all jobs.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    /// States published by the owner.
    jobs: BTreeMap<JobId, Summary>,
    /// States read from the intake that the published ones do not cover yet, with the offsets of their records.
    recent: BTreeMap<JobId, (u64, Summary)>,
    /// Cancellations of unknown jobs, read from the part of the intake that the published states do not cover yet, with the
    /// offsets of their records.
    canceled: BTreeMap<JobId, u64>,
    /// Offset of the intake before which the published states cover all records.
    intake_offset: u64,
    /// Owner that published last.
    pub owner: Owner,
}

impl Summaries {
    /// Returns the latest known state of a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<JobState> {
        let recent = self.recent.get(&id).map(|(_, summary)| summary.state);
        match (self.published(id), recent) {
            (Some(published), Some(recent)) => Some(published.later(recent)),
            (published, recent) => published.or(recent),
        }
    }

    /// Returns the state of a job that the owner has published.
    #[must_use]
    pub fn published(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(|summary| summary.state)
    }

    /// Returns the queue of a job with a state that it has reached, not always the latest.
    #[must_use]
    pub fn summary(&self, id: JobId) -> Option<&Summary> {
        self.jobs.get(&id).or_else(|| self.recent.get(&id).map(|(_, summary)| summary))
    }

    /// Offset of the intake before which the published states cover all records.
    #[must_use]
    pub const fn intake_offset(&self) -> u64 {
        self.intake_offset
    }

    /// Ids of the jobs that the owner has published.
    pub fn ids(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }

    /// Number of jobs that the owner has published.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// True if the owner has published no job.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Removes the published states before they are loaded again. States read from the intake and the offset stay: the
    /// records to be loaded include all that was published before.
    pub fn clear_published(&mut self) {
        self.jobs.clear();
    }

    /// Adds a state that is stored but may not be published yet. It is dropped once the published states cover the
    /// record of the intake at `offset`.
    pub fn add_unpublished(&mut self, offset: u64, id: JobId, summary: Summary) {
        let (at, added) = self.recent.entry(id).or_insert_with(|| (offset, summary.clone()));
        *at = offset.max(*at);
        added.state = added.state.later(summary.state);
    }

    /// Applies a record written by the owner. A job never returns to an earlier state, because records may be read twice.
    pub fn apply(&mut self, change: SummaryChange) {
        match change {
            SummaryChange::Owner(owner) => self.owner = owner,
            SummaryChange::IntakeOffset(offset) => {
                self.intake_offset = self.intake_offset.max(offset);
                self.recent.retain(|_, (at, _)| *at >= offset);
                self.canceled.retain(|_, at| *at >= offset);
            }
            SummaryChange::Job(id, summary) => match self.jobs.get_mut(&id) {
                Some(job) => job.state = job.state.later(summary.state),
                None => {
                    self.jobs.insert(id, summary);
                }
            },
            SummaryChange::Dropped(id) => {
                self.jobs.remove(&id);
            }
        }
    }

    /// Applies the record of the intake at `offset`, unless the published states cover it.
    pub fn apply_intake(&mut self, offset: u64, intake: &Intake) {
        if offset < self.intake_offset {
            return;
        }
        match intake {
            Intake::Submitted(submission) => {
                let canceled = self.canceled.remove(&submission.id);
                let shown = if canceled.is_some() { JobState::Canceled } else { JobState::Queued };
                let summary = Summary { queue: submission.queue.clone(), state: shown };
                let at = canceled.map_or(offset, |at| at.max(offset));
                self.recent.entry(submission.id).or_insert((at, summary));
            }
            Intake::Canceled(id) => {
                if let Some((at, summary)) = self.recent.get_mut(id) {
                    // The submission may have been read first although it is the later record.
                    *at = offset.max(*at);
                    summary.state = JobState::Canceled;
                } else if let Some(job) = self.jobs.get(id) {
                    let summary = Summary { queue: job.queue.clone(), state: JobState::Canceled };
                    self.recent.insert(*id, (offset, summary));
                } else {
                    self.canceled.insert(*id, offset);
                }
            }
            Intake::CancellationDropped(id) => {
                self.canceled.remove(id);
            }
            Intake::SubmissionDropped => {}
        }
    }

    /// Queue and latest known state of each job.
    fn all(&self) -> impl Iterator<Item = (&str, JobState)> {
        let published =
            self.jobs.iter().map(|(id, job)| (job.queue.as_str(), self.get(*id).unwrap_or(job.state)));
        let recent = self.recent.iter().filter(|(id, _)| !self.jobs.contains_key(id));
        published.chain(recent.map(|(_, (_, job))| (job.queue.as_str(), job.state)))
    }

    /// Number of jobs in each queue that have not started.
    #[must_use]
    pub fn pending(&self) -> BTreeMap<&str, u64> {
        let mut counts = BTreeMap::new();
        for (queue, _) in self.all().filter(|(_, shown)| *shown == JobState::Queued) {
            *counts.entry(queue).or_default() += 1;
        }
        counts
    }

    /// Number of jobs in each state.
    #[must_use]
    pub fn states(&self) -> BTreeMap<JobState, u64> {
        let mut counts = BTreeMap::new();
        for (_, shown) in self.all() {
            *counts.entry(shown).or_default() += 1;
        }
        counts
    }
}
