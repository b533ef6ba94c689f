//! Estimated memory of jobs, in total and by team.

use std::collections::BTreeMap;

/// Sums of estimated memory, in bytes.
#[derive(Clone, Debug, Default)]
pub struct Held {
    total: u64,
    teams: BTreeMap<String, u64>,
}

impl Held {
    /// Adds the memory of a job of a team.
    pub fn add(&mut self, team: &str, bytes: u64) {
        self.total = self.total.saturating_add(bytes);
        let held = self.teams.entry(team.to_owned()).or_default();
        *held = held.saturating_add(bytes);
    }

    /// Removes the memory of a job that was added.
    pub fn remove(&mut self, team: &str, bytes: u64) {
        self.total = self.total.saturating_sub(bytes);
        if let Some(held) = self.teams.get_mut(team) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.teams.remove(team);
            }
        }
    }

    /// Memory of all jobs.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Memory of the jobs of a team.
    #[must_use]
    pub fn of_team(&self, team: &str) -> u64 {
        self.teams.get(team).copied().unwrap_or(0)
    }
}
