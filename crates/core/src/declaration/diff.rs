//! Differences between two declarations, value by value.

use std::collections::BTreeMap;

use super::{Declaration, Defaults, Exception, Pool, Team};

/// A value that differs between two declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Path of the value, such as `teams.austin.limit`.
    pub path: String,
    /// Value in the old declaration; none if it is only in the new one.
    pub old: Option<String>,
    /// Value in the new declaration; none if it is only in the old one.
    pub new: Option<String>,
}

type Entries = BTreeMap<String, String>;

impl Declaration {
    /// Lists the changes from `self` to `new`, ordered by path. The order of exceptions does not count as a change.
    #[must_use]
    pub fn diff(&self, new: &Self) -> Vec<Change> {
        let before = entries(self);
        let after = entries(new);
        let mut changes = Vec::new();
        for (path, old) in &before {
            if after.get(path) != Some(old) {
                let new = after.get(path).cloned();
                changes.push(Change { path: path.clone(), old: Some(old.clone()), new });
            }
        }
        for (path, new) in after.iter().filter(|(path, _)| !before.contains_key(*path)) {
            changes.push(Change { path: path.clone(), old: None, new: Some(new.clone()) });
        }
        changes.sort_by(|a, b| a.path.cmp(&b.path));
        changes
    }
}

/// Flattens a declaration into its values by path.
fn entries(declaration: &Declaration) -> Entries {
    let mut entries = Entries::new();
    add_defaults(&declaration.defaults, &mut entries);
    for (name, pool) in &declaration.pools {
        add_pool(name, pool, &mut entries);
    }
    for (name, team) in &declaration.teams {
        add_team(name, team, &mut entries);
    }
    for exception in &declaration.exceptions {
        add_exception(exception, &mut entries);
    }
    entries
}

fn add_defaults(defaults: &Defaults, entries: &mut Entries) {
    let mut add = |field: &str, value: u64| {
        entries.insert(format!("defaults.{field}"), value.to_string());
    };
    add("deadline_ms", defaults.deadline_ms);
    add("deadline_cap_ms", defaults.deadline_cap_ms);
    add("queue_length", defaults.queue_length.into());
    add("body_bytes", defaults.body_bytes);
    add("payload_bytes", defaults.payload_bytes);
    add("task_attempts", defaults.task_attempts.into());
    add("drains", defaults.drains.into());
    add("ended_tasks", defaults.ended_tasks.into());
}

fn add_pool(name: &str, pool: &Pool, entries: &mut Entries) {
    let mut add = |field: &str, value: String| {
        entries.insert(format!("pools.{name}.{field}"), value);
    };
    add("min_serving", pool.min_serving.to_string());
    add("open", pool.open.to_string());
    add("spare", pool.spare.to_string());
    if let Some(team) = &pool.open_team {
        add("open_team", team.clone());
    }
}

fn add_team(name: &str, team: &Team, entries: &mut Entries) {
    entries.insert(format!("teams.{name}.share"), team.share.to_string());
    entries.insert(format!("teams.{name}.limit"), team.limit.to_string());
}

fn add_exception(exception: &Exception, entries: &mut Entries) {
    let mut scope = String::new();
    if let Some(pool) = &exception.pool {
        scope.push_str(&format!(" pool {pool}"));
    }
    if let Some(team) = &exception.team {
        scope.push_str(&format!(" team {team}"));
    }
    let path = format!("exceptions.{}{scope}", exception.field);
    entries.insert(path, format!("{} ({})", exception.value, exception.reason));
}
