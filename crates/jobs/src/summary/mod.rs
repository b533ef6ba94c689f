//! States of jobs as callers see them.
//!
//! Every instance answers callers from this table. The owner writes a short record for each change of a job's state,
//! and how far it has read the intake; all others follow these records. They are small, so that an instance with little
//! processor and a slow link keeps up with any backlog. Payloads and the progress of tasks are read only by the
//! instances that may take over the work.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::JobId;
use crate::record::{Intake, Owner};
use crate::table::JobState;

/// State of one job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Summary {
    /// Queue of the job.
    pub queue: String,
    /// State.
    pub state: JobState,
}

/// Change of the summaries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SummaryChange {
    /// Another owner writes the summaries.
    Owner(Owner),
    /// Records of the intake below this offset are part of the summaries.
    Taken(u64),
    /// State of a job.
    Job(JobId, Summary),
    /// A job was dropped.
    Dropped(JobId),
}

/// States of all jobs.
#[derive(Clone, Debug, Default)]
pub struct Summaries {
    /// States that the owner has published.
    jobs: BTreeMap<JobId, Summary>,
    /// States read from the intake, with the offsets of their records, until the owner has taken these.
    recent: BTreeMap<JobId, (u64, Summary)>,
    /// Offset of the intake below which all records are part of the published states.
    taken: u64,
    /// Newest owner.
    pub owner: Owner,
}

impl Summaries {
    /// State of a job.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<JobState> {
        let recent = self.recent.get(&id).map(|(_, summary)| summary.state);
        match (self.published(id), recent) {
            (Some(published), Some(recent)) => Some(published.later(recent)),
            (published, recent) => published.or(recent),
        }
    }

    /// State of a job that the owner has published.
    #[must_use]
    pub fn published(&self, id: JobId) -> Option<JobState> {
        self.jobs.get(&id).map(|summary| summary.state)
    }

    /// Queue of a job and a state that it has reached.
    #[must_use]
    pub fn view(&self, id: JobId) -> Option<&Summary> {
        self.jobs.get(&id).or_else(|| self.recent.get(&id).map(|(_, summary)| summary))
    }

    /// Offset of the intake below which all records are part of the published states.
    #[must_use]
    pub const fn taken(&self) -> u64 {
        self.taken
    }

    /// Jobs that the owner has published.
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

    /// Forgets the published states, before they are loaded anew. What was read from the intake stays, as does the offset:
    /// what was published before is among the records that are loaded.
    pub fn clear_published(&mut self) {
        self.jobs.clear();
    }

    /// Notes a state that is stored and that the owner has not published before an offset of the intake.
    pub fn note(&mut self, offset: u64, id: JobId, summary: Summary) {
        let (at, noted) = self.recent.entry(id).or_insert_with(|| (offset, summary.clone()));
        *at = offset.max(*at);
        noted.state = noted.state.later(summary.state);
    }

    /// Applies a change that the owner wrote. A job never goes back, because changes may be read twice.
    pub fn follow(&mut self, change: SummaryChange) {
        match change {
            SummaryChange::Owner(owner) => self.owner = owner,
            SummaryChange::Taken(offset) => {
                self.taken = self.taken.max(offset);
                self.recent.retain(|_, (at, _)| *at >= offset);
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

    /// Applies the record of the intake at an offset, which the owner may not have taken yet.
    pub fn apply_intake(&mut self, offset: u64, intake: &Intake) {
        if offset < self.taken {
            return;
        }
        match intake {
            Intake::Submitted(submission) => {
                let summary = Summary { queue: submission.queue.clone(), state: JobState::Queued };
                self.recent.entry(submission.id).or_insert((offset, summary));
            }
            Intake::Canceled(id) => {
                if let Some((at, summary)) = self.recent.get_mut(id) {
                    *at = offset;
                    summary.state = JobState::Canceled;
                } else if let Some(job) = self.jobs.get(id) {
                    let summary = Summary { queue: job.queue.clone(), state: JobState::Canceled };
                    self.recent.insert(*id, (offset, summary));
                }
            }
            Intake::Dropped => {}
        }
    }

    /// Queue and state of each job.
    fn all(&self) -> impl Iterator<Item = (&str, JobState)> {
        let published =
            self.jobs.iter().map(|(id, job)| (job.queue.as_str(), self.get(*id).unwrap_or(job.state)));
        let recent = self.recent.iter().filter(|(id, _)| !self.jobs.contains_key(id));
        published.chain(recent.map(|(_, (_, job))| (job.queue.as_str(), job.state)))
    }

    /// Jobs of each queue that have not started.
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
