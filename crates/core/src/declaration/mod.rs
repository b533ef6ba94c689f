//! Declarations: the fleet's configuration, which operators keep in version control.
//!
//! A declaration names the pools, the teams with their shares and upper limits, the fleet-wide defaults and the
//! exceptions to them. A `ConfigChanged` record replaces it as a whole. Files are parsed and validated before the
//! record is written; one that is invalid is void when it is applied.

mod diff;
mod reader;
mod source;
mod validate;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use diff::Change;
pub use source::{LocatedProblem, Location, Parsed, SourceFile, parse};
pub use validate::Problem;

/// The declared configuration of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Values that apply unless an exception matches.
    #[serde(default)]
    pub defaults: Defaults,
    /// Pools by name.
    #[serde(default)]
    pub pools: BTreeMap<String, Pool>,
    /// Teams by name.
    #[serde(default)]
    pub teams: BTreeMap<String, Team>,
    /// Deviations from the defaults; the most specific one that matches applies.
    #[serde(default)]
    pub exceptions: Vec<Exception>,
}

/// Fleet-wide defaults. Fields that a file leaves out keep the values of [`Defaults::default`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Defaults {
    /// Deadline of requests that name none, in milliseconds.
    pub deadline_ms: u64,
    /// Longest deadline a request may name, in milliseconds.
    pub deadline_cap_ms: u64,
    /// Maximum number of waiting requests and tasks of one team at one entry instance.
    pub queue_length: u32,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a task payload, in bytes.
    pub payload_bytes: u64,
    /// Number of workers that an idempotent task may fail on before it ends as failed.
    pub task_attempts: u32,
    /// Maximum number of workers of one pool that are drained or maintained at once.
    pub drains: u32,
    /// Number of ended tasks kept for lookup, fleet-wide; older ones are dropped.
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

/// A pool of upstream workers, as declared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Availability budget: minimum number of serving workers in zones that are in service.
    pub min_serving: u32,
    /// True if work is accepted without an access key; it is charged to `open_team`.
    #[serde(default)]
    pub open: bool,
    /// Team that work without an access key is charged to; required for an open pool.
    #[serde(default)]
    pub open_team: Option<String>,
    /// True if the workers of the pool are a reserve that may be moved to other pools.
    #[serde(default)]
    pub spare: bool,
}

/// A team, as declared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Weight of the team in the allocation of a full pool.
    pub share: u32,
    /// Upper limit on what the team runs fleet-wide, in slots.
    pub limit: u32,
}

/// Deviation from a default for a pool, a team or both.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Pool that the exception applies to; all pools if absent.
    #[serde(default)]
    pub pool: Option<String>,
    /// Team that the exception applies to; all teams if absent.
    #[serde(default)]
    pub team: Option<String>,
    /// Name of a field of [`Defaults`], or `min_serving` for a pool.
    pub field: String,
    /// Value that replaces the default.
    pub value: u64,
    /// Reason for the exception, for readers of the declaration; must not be blank.
    pub reason: String,
}

impl Declaration {
    /// Value of the most specific exception for a field that matches: team and pool, then team, then pool, then all.
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
