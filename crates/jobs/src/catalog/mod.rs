//! Queues, pools and teams declared in the operators' configuration.

use crate::spec::{Resources, Terms};

/// Placement policy of a queue: an external service that names the workers allowed to run a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Fixed time of a decision in milliseconds.
    pub decision_ms: u64,
    /// Additional time per worker in the request, in milliseconds.
    pub worker_ms: u64,
    /// Validity period of a ticket in milliseconds.
    pub valid_ms: u64,
}

/// Queue that accepts jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name.
    pub name: String,
    /// Host name of its requests, without a port.
    pub host: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Scheduling terms of its jobs.
    pub terms: Terms,
    /// True if callers need no access key.
    pub open: bool,
    /// Placement policy; none if every worker of the pool may run its tasks.
    pub policy: Option<Policy>,
}

/// Pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Unique name.
    pub name: String,
    /// True if its machines are switched off and cost nothing.
    pub standby: bool,
    /// True if its workers refuse tasks that exceed their free capacity.
    pub checks_capacity: bool,
}

/// Team with its access keys, share and limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Access keys that are in force.
    pub keys: Vec<String>,
    /// Relative share of capacity when the fleet is full.
    pub weight: u32,
    /// Owed rate, in thousandths of a submission a second; 0 if the team has no account.
    pub rate_permille: u64,
    /// Maximum resources in use at once across the fleet; 0 means unlimited.
    pub limit: Resources,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version, which increases with each change.
    pub version: u64,
    /// Queues; requests are routed by host and longest prefix.
    pub queues: Vec<Queue>,
    /// Pools that queues and machines refer to by name.
    pub pools: Vec<Pool>,
    /// Teams, identified by their access keys.
    pub teams: Vec<Team>,
}

impl Catalog {
    /// Returns the queue of a host with the longest matching path prefix, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self.queues.iter().filter(|q| q.host.eq_ignore_ascii_case(host));
        let best = matching.filter(|q| path.starts_with(&q.prefix)).max_by_key(|q| q.prefix.len())?;
        Some((best, &path[best.prefix.len()..]))
    }

    /// Looks up a queue by name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// Looks up a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == name)
    }

    /// Looks up a team by name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Looks up the team that an access key belongs to.
    #[must_use]
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.keys.iter().any(|k| k == key))
    }
}
