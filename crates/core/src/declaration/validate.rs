//! Validation of a declaration as a whole. Every problem names the entry that it concerns.

use std::fmt;

use super::{Declaration, Exception};

/// Fields that an exception may name.
const EXCEPTION_FIELDS: [&str; 9] = [
    "deadline_ms",
    "deadline_cap_ms",
    "queue_length",
    "body_bytes",
    "payload_bytes",
    "task_attempts",
    "drains",
    "ended_tasks",
    "min_serving",
];

/// A problem found in a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Path of the entry that the problem concerns, such as `teams.austin.limit`.
    pub path: String,
    /// Description of the problem, without the path.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl Declaration {
    /// Lists all problems. A declaration without problems may be applied.
    #[must_use]
    pub fn validate(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        self.check_defaults(&mut problems);
        self.check_pools(&mut problems);
        self.check_teams(&mut problems);
        for (index, exception) in self.exceptions.iter().enumerate() {
            self.check_exception(index, exception, &mut problems);
        }
        problems
    }

    fn check_defaults(&self, problems: &mut Vec<Problem>) {
        let defaults = &self.defaults;
        let mut positive = |field: &str, value: u64| {
            if value == 0 {
                problems.push(problem(format!("defaults.{field}"), "must be at least 1"));
            }
        };
        positive("deadline_ms", defaults.deadline_ms);
        positive("queue_length", defaults.queue_length.into());
        positive("body_bytes", defaults.body_bytes);
        positive("payload_bytes", defaults.payload_bytes);
        positive("task_attempts", defaults.task_attempts.into());
        positive("drains", defaults.drains.into());
        positive("ended_tasks", defaults.ended_tasks.into());
        if defaults.deadline_cap_ms < defaults.deadline_ms {
            problems.push(problem("defaults.deadline_cap_ms".into(), "is below deadline_ms"));
        }
    }

    fn check_pools(&self, problems: &mut Vec<Problem>) {
        for (name, pool) in &self.pools {
            let path = format!("pools.{name}");
            check_name(name, &path, problems);
            let known = pool.open_team.as_ref().is_some_and(|team| self.teams.contains_key(team));
            if pool.open && !known {
                problems.push(problem(format!("{path}.open_team"), "an open pool names a declared team"));
            }
            if !pool.open && pool.open_team.is_some() {
                problems.push(problem(format!("{path}.open_team"), "is allowed only for an open pool"));
            }
        }
    }

    fn check_teams(&self, problems: &mut Vec<Problem>) {
        for (name, team) in &self.teams {
            let path = format!("teams.{name}");
            check_name(name, &path, problems);
            if team.share == 0 {
                problems.push(problem(format!("{path}.share"), "must be at least 1"));
            }
            if team.share > team.limit {
                problems.push(problem(format!("{path}.share"), "is above the team's limit"));
            }
        }
    }

    fn check_exception(&self, index: usize, exception: &Exception, problems: &mut Vec<Problem>) {
        let path = format!("exceptions[{index}]");
        if exception.reason.trim().is_empty() {
            problems.push(problem(format!("{path}.reason"), "an exception needs a written reason"));
        }
        if !EXCEPTION_FIELDS.contains(&exception.field.as_str()) {
            problems.push(problem(format!("{path}.field"), "is not a field of the defaults"));
        }
        self.check_scope(index, exception, &path, problems);
        if exception.pool.as_ref().is_some_and(|pool| !self.pools.contains_key(pool)) {
            problems.push(problem(format!("{path}.pool"), "is not a declared pool"));
        }
        if exception.team.as_ref().is_some_and(|team| !self.teams.contains_key(team)) {
            problems.push(problem(format!("{path}.team"), "is not a declared team"));
        }
    }

    /// Rejects exceptions that would have no effect, and duplicates.
    fn check_scope(&self, index: usize, exception: &Exception, path: &str, problems: &mut Vec<Problem>) {
        let field = exception.field.as_str();
        if field == "ended_tasks" {
            problems.push(problem(format!("{path}.field"), "counts the whole fleet and has no exceptions"));
        }
        let per_pool = field == "drains" || field == "min_serving";
        if per_pool && exception.team.is_some() {
            problems.push(problem(format!("{path}.team"), "is not allowed for a field of pools"));
        }
        if !per_pool && exception.value == 0 {
            problems.push(problem(format!("{path}.value"), "must be at least 1"));
        }
        let scope = |e: &Exception| (e.field.clone(), e.pool.clone(), e.team.clone());
        if self.exceptions[..index].iter().any(|other| scope(other) == scope(exception)) {
            problems.push(problem(path.to_owned(), "repeats an exception for the same pool, team and field"));
        }
    }
}

fn check_name(name: &str, path: &str, problems: &mut Vec<Problem>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || !name.chars().all(allowed) {
        problems.push(problem(path.into(), "a name has letters, digits, '-' and '_' only"));
    }
}

fn problem(path: String, message: &str) -> Problem {
    Problem { path, message: message.into() }
}
