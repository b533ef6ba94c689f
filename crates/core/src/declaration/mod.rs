//! Declarations: what operators keep in version control.
//!
//! A declaration names the pools, the teams with their shares and upper limits, the fleet-wide defaults and the
//! exceptions from them. It is replaced as a whole by a `ConfigChanged` record; parsing and checking happen before
//! the record is written, so every declaration in the log is valid.

mod diff;
mod reader;
mod source;
mod validate;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use diff::Change;
pub use source::{LocatedProblem, Location, Parsed, SourceFile, parse};
pub use validate::Problem;

/// The whole declared configuration of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Values that hold for the whole fleet.
    #[serde(default)]
    pub defaults: Defaults,
    /// Pools by name.
    #[serde(default)]
    pub pools: BTreeMap<String, Pool>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<String, Team>,
    /// Deviations from the defaults, each with a reason.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
}

/// Fleet-wide defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Longest deadline a request may name, in milliseconds.
    pub deadline_cap_ms: u64,
    /// Waiting requests and tasks of one team at one entry instance.
    pub queue_length: u32,
    /// Size of a request body, in bytes.
    pub body_bytes: u64,
    /// Size of a task payload, in bytes.
    pub payload_bytes: u64,
    /// Starts of a task on distinct workers before it ends as failed.
    pub task_attempts: u32,
    /// Workers of one pool drained at once.
    pub drains: u32,
    /// Ended tasks that can be looked up, fleet-wide; older ones are forgotten.
    pub ended_tasks: u32,
}

impl Default for Defaults {
    fn default() -> Self {
        Self {
            deadline_ms: 10_000,
            deadline_cap_ms: 60_000,
            queue_length: 1_000,
            body_bytes: 16 << 20,
            payload_bytes: 64 << 10,
            task_attempts: 3,
            drains: 1,
            ended_tasks: 20_000,
        }
    }
}

/// Declared pool of upstream workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Availability budget: workers that must be serving in zones that are in service.
    pub min_serving: u32,
    /// True if work is taken without a key; it then counts for `open_team`.
    #[serde(default)]
    pub open: bool,
    /// Team that work without a key counts for.
    #[serde(default)]
    pub open_team: Option<String>,
    /// True if the pool's workers are lent and moved to other pools.
    #[serde(default)]
    pub spare: bool,
}

/// Declared team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight of the team when a pool is full.
    pub share: u32,
    /// Upper limit on what the team runs fleet-wide, in slots.
    pub limit: u32,
}

/// Deviation from a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Pool that the exception is for; all pools if absent.
    #[serde(default)]
    pub pool: Option<String>,
    /// Team that the exception is for; all teams if absent.
    #[serde(default)]
    pub team: Option<String>,
    /// Name of a field of [`Defaults`], or `min_serving` for a pool.
    pub field: String,
    /// Value in place of the default.
    pub value: u64,
    /// Why the exception exists; never empty.
    pub reason: String,
}

impl Declaration {
    /// Value of the most specific exception for a field: team and pool, then team, then pool, then all.
    #[must_use]
    pub fn exception(&self, field: &str, pool: &str, team: &str) -> Option<u64> {
        let covers = |name: &Option<String>, wanted: &str| name.as_deref().is_none_or(|n| n == wanted);
        let matching = self.exceptions.iter().filter(|e| e.field == field);
        let matching = matching.filter(|e| covers(&e.pool, pool) && covers(&e.team, team));
        let best = matching.max_by_key(|e| (e.team.is_some(), e.pool.is_some()));
        best.map(|e| e.value)
    }

    /// Availability budget of a pool, exceptions included.
    #[must_use]
    pub fn min_serving(&self, pool: &str) -> u32 {
        let declared = self.pools.get(pool).map_or(0, |p| p.min_serving);
        let exception = self.exception("min_serving", pool, "");
        exception.map_or(declared, |value| u32::try_from(value).unwrap_or(u32::MAX))
    }
}
