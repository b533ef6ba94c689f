//! Store of the model: the newest record of each key, and the epoch for fencing.

use std::collections::BTreeMap;

use rattanfall_jobs::ids::TaskId;
use rattanfall_jobs::record::{Change, Entry, Intake, read_change};
use rattanfall_jobs::table::{Phase, Table, TaskState};

use super::JOB;

#[derive(Clone, Debug)]
pub(super) struct Store {
    pub(super) epoch: u64,
    pub(super) intake: Vec<Intake>,
    progress: BTreeMap<String, Entry>,
    /// Records before the last write.
    previous: BTreeMap<String, Entry>,
}

impl Store {
    pub(super) const fn new(intake: Vec<Intake>) -> Self {
        Self { epoch: 0, intake, progress: BTreeMap::new(), previous: BTreeMap::new() }
    }

    pub(super) fn append(&mut self, entries: &[Entry]) {
        self.previous = self.progress.clone();
        for entry in entries {
            self.progress.insert(entry.key.clone(), entry.clone());
        }
    }

    /// Job table of a reader; one that is behind lacks the last write.
    pub(super) fn table(&self, behind: bool) -> Table {
        let mut table = Table::default();
        for intake in &self.intake {
            table.apply_intake(intake.clone());
        }
        let records = if behind { &self.previous } else { &self.progress };
        for entry in records.values() {
            table.apply_progress(read_change(entry).expect("own records decode"));
        }
        table
    }

    /// True if the task is stored as done, or the job has ended.
    pub(super) fn done(&self, task: TaskId) -> bool {
        self.progress.values().any(|entry| match read_change(entry) {
            Ok(Change::Job(JOB, progress)) => {
                let open = progress.phase == Phase::Active;
                let tasks = progress.occurrences.iter().flat_map(|occurrence| &occurrence.tasks);
                let index = usize::from(task.step) + usize::from(task.index);
                !open || tasks.skip(index).take(1).all(|row| row.state == TaskState::Done)
            }
            _ => false,
        })
    }

    pub(super) fn completed(&self) -> bool {
        let complete = |entry| match read_change(entry) {
            Ok(Change::Job(JOB, progress)) => progress.phase == Phase::Completed,
            _ => false,
        };
        self.progress.values().any(complete)
    }
}
