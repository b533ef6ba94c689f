//! Checkpoints of tasks and gangs.
//!
//! The value of any member is valid for its gang, and all members must start with the same one. A value that a worker shows for one
//! member therefore becomes that of all members, unless a newer one is known: one of a later run, or of the same run at a
//! later time.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use crate::ids::{JobId, TaskId};
use crate::table::Task;

/// Job, occurrence and step of a gang.
type GangKey = (JobId, u32, u16);

/// Run and time at which a worker showed a checkpoint.
type Shown = (u32, u64);

/// When the checkpoints of the active gangs were shown.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct GangCheckpoints {
    shown: BTreeMap<GangKey, Shown>,
}

impl GangCheckpoints {
    /// Records a checkpoint. False if a newer one is known.
    fn renew(&mut self, gang: GangKey, shown: Shown) -> bool {
        let known = self.shown.entry(gang).or_default();
        let newer = shown >= *known;
        if newer {
            *known = shown;
        }
        newer
    }

    /// Forgets the gangs of a job.
    pub(super) fn forget(&mut self, job: JobId) {
        let keys: Vec<GangKey> =
            self.shown.range((job, 0, 0)..=(job, u32::MAX, u16::MAX)).map(|(key, _)| *key).collect();
        for key in keys {
            self.shown.remove(&key);
        }
    }
}

impl Dispatcher {
    /// Takes a checkpoint over that a worker showed at a time for a run of a task, as that of the task or of its whole gang.
    pub(super) fn save_checkpoint(&mut self, at: u64, task: TaskId, run: u32, checkpoint: String) {
        if checkpoint.is_empty() {
            return;
        }
        if checkpoint.len() > self.options.checkpoint_bytes {
            log::warn!(task:% = task, bytes = checkpoint.len(); "the checkpoint is too large to be stored");
            return;
        }
        let Some(job) = self.table.get_mut(task.job) else { return };
        let Some(step) = job.submission.steps.get(usize::from(task.step)) else { return };
        if step.gang {
            if self.gang_checkpoints.renew((task.job, task.occurrence, task.step), (run, at)) {
                self.set_gang_checkpoint(task, &checkpoint);
            }
        } else if let Some(row) = job.progress.task_mut(&job.submission, task) {
            row.checkpoint = checkpoint;
        }
        self.touch(task.job);
    }

    /// Has all members of a gang, which are about to be placed, start with the same checkpoint. Records of earlier releases can hold
    /// unequal ones. Most members share the one of their last common stop.
    pub(super) fn align_checkpoints(&mut self, members: &[TaskId]) {
        let Some(first) = members.first() else { return };
        let Some(job) = self.table.get(first.job) else { return };
        let rows = members.iter().filter_map(|member| job.progress.task(&job.submission, *member));
        let values: Vec<&str> = rows.map(|row: &Task| row.checkpoint.as_str()).collect();
        if values.windows(2).all(|pair| pair[0] == pair[1]) {
            return;
        }
        let count = |value: &str| values.iter().filter(|other| **other == value).count();
        let chosen = values.iter().rev().filter(|value| !value.is_empty()).max_by_key(|value| count(value));
        let chosen = chosen.copied().unwrap_or_default().to_owned();
        log::info!(first:% = first, members = members.len(); "the members of the gang had unequal checkpoints");
        self.set_gang_checkpoint(*first, &chosen);
        self.touch(first.job);
    }

    fn set_gang_checkpoint(&mut self, member: TaskId, checkpoint: &str) {
        let Some(job) = self.table.get_mut(member.job) else { return };
        let Some(step) = job.submission.steps.get(usize::from(member.step)) else { return };
        for index in 0..u16::try_from(step.count).unwrap_or(u16::MAX) {
            if let Some(row) = job.progress.task_mut(&job.submission, TaskId { index, ..member }) {
                checkpoint.clone_into(&mut row.checkpoint);
            }
        }
    }
}
