//! Declared queues, pools and teams of one version of the operators' configuration.

use crate::spec::{Resources, Terms};

/// Service that names the workers allowed to run a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Time of a decision, in milliseconds.
    pub decision_ms: u64,
    /// Added time for each worker asked about, in milliseconds.
    pub worker_ms: u64,
    /// Life of a ticket, in milliseconds.
    pub valid_ms: u64,
}

/// Queue that takes jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host of its requests.
    pub host: String,
    /// Prefix of the path of its requests.
    pub prefix: String,
    /// How its jobs run.
    pub terms: Terms,
    /// True if no key is needed.
    pub open: bool,
    /// Policy of the queue.
    pub policy: Option<Policy>,
}

/// Pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Name.
    pub name: String,
    /// True if its machines are switched off and cost nothing.
    pub standby: bool,
    /// True if its workers refuse what does not fit.
    pub checks_capacity: bool,
}

/// Team with its keys, share and limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: String,
    /// Access keys.
    pub keys: Vec<String>,
    /// Share when all is full.
    pub weight: u32,
    /// Most that may run at once, fleet-wide; 0 does not bound a resource.
    pub limit: Resources,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version; grows with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Teams.
    pub teams: Vec<Team>,
}

impl Catalog {
    /// Queue with the longest prefix of a path, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        let matching = self.queues.iter().filter(|q| q.host.eq_ignore_ascii_case(host));
        let best = matching.filter(|q| path.starts_with(&q.prefix)).max_by_key(|q| q.prefix.len())?;
        Some((best, &path[best.prefix.len()..]))
    }

    /// Queue of a name.
    #[must_use]
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| q.name == name)
    }

    /// Pool of a name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|p| p.name == name)
    }

    /// Team of a name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Team that holds a key.
    #[must_use]
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.keys.iter().any(|k| k == key))
    }
}
