//! Memory of the tasks that have not ended, in total and by team.
//!
//! The sums are derived from the tasks and are no part of a snapshot.

use std::collections::BTreeMap;

use super::{Fleet, Task, TaskState};
use crate::ids::TeamId;

/// Memory of a task beside its payload, in bytes: its row, its token and the records about it.
const TASK_BYTES: u64 = 512;

/// Estimated memory of the tasks that have not ended, in bytes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenTasks {
    total: u64,
    teams: BTreeMap<TeamId, u64>,
}

impl OpenTasks {
    /// Memory of all tasks.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Memory of the tasks of a team.
    #[must_use]
    pub fn of_team(&self, team: TeamId) -> u64 {
        self.teams.get(&team).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, task: &Task) {
        let bytes = task_bytes(&task.payload);
        self.total = self.total.saturating_add(bytes);
        let held = self.teams.entry(task.team).or_default();
        *held = held.saturating_add(bytes);
    }

    pub(super) fn remove(&mut self, task: &Task) {
        let bytes = task_bytes(&task.payload);
        self.total = self.total.saturating_sub(bytes);
        if let Some(held) = self.teams.get_mut(&task.team) {
            *held = held.saturating_sub(bytes);
            // Equal replicas have equal rows.
            if *held == 0 {
                self.teams.remove(&task.team);
            }
        }
    }
}

/// Estimated memory of a task with this payload, in bytes.
#[must_use]
pub const fn task_bytes(payload: &[u8]) -> u64 {
    (payload.len() as u64).saturating_add(TASK_BYTES)
}

impl Fleet {
    /// Derives the memory of the tasks that have not ended.
    pub(super) fn count_open_tasks(&mut self) {
        self.open = OpenTasks::default();
        for task in self.tasks.values().filter(|task| !matches!(task.state, TaskState::Ended { .. })) {
            self.open.add(task);
        }
    }
}
