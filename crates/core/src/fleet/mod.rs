//! Replicated state of the fleet.
//!
//! Every entry instance applies the platform's log in offset order through [`Fleet::apply`]. The function is
//! deterministic and takes no time and no randomness, so replicas that applied the same offsets are equal. A
//! record that would break an invariant at its offset is void on every replica.

mod apply;
mod config;
mod holds;
mod members;
mod snapshot;
mod tables;
mod tasks;
mod workers;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::declaration::Declaration;
use crate::ids::{KeyId, MemberId, Offset, PoolId, TaskId, TeamId, WorkerId, ZoneId};
use crate::record::KeyHash;

pub use apply::{Applied, Effect, VoidReason};
pub use snapshot::{RestoreError, SnapshotAssembler, split_snapshot};
pub use tables::{
    AccessKey, Member, MemberState, Pool, Task, TaskState, Team, Worker, WorkerState, Zone, ZoneState,
};

/// Replica of the shared state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Last offset applied, if any. Never goes back.
    pub applied: Option<Offset>,
    /// Version of the declaration: the count of accepted changes.
    pub version: u64,
    /// Declaration in force.
    pub declaration: Declaration,
    /// Longest request deadline that any declaration so far allowed, in milliseconds. Bounds how long a request of a
    /// gone member can still run.
    pub deadline_cap_ms: u64,
    /// Incarnations of entry instances.
    pub members: BTreeMap<MemberId, Member>,
    /// Teams; a team that leaves the declaration keeps its row with limit 0.
    pub teams: BTreeMap<TeamId, Team>,
    /// Pools; a pool that leaves the declaration keeps its row.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Availability zones.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Access keys, withdrawn ones included.
    pub keys: BTreeMap<KeyId, AccessKey>,
    /// Keys by their hash.
    pub hashes: BTreeMap<KeyHash, KeyId>,
    /// Parts of teams' limits by holder, in slots.
    pub holds: BTreeMap<(TeamId, MemberId), u32>,
    /// Upstream workers.
    pub workers: BTreeMap<WorkerId, Worker>,
    /// Accepted tasks, until their retention ends.
    pub tasks: BTreeMap<TaskId, Task>,
    /// Ended tasks, oldest first.
    pub ended: VecDeque<TaskId>,
    /// Tasks by the caller's submit token.
    pub tokens: BTreeMap<(TeamId, String), TaskId>,
}

impl Fleet {
    /// Key of the team of this name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<TeamId> {
        self.teams.iter().find(|(_, team)| team.name == name).map(|(id, _)| *id)
    }

    /// Key of the pool of this name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<PoolId> {
        self.pools.iter().find(|(_, pool)| pool.name == name).map(|(id, _)| *id)
    }

    /// Key of the availability zone of this name.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().find(|(_, zone)| zone.name == name).map(|(id, _)| *id)
    }

    /// Key of the worker of this name.
    #[must_use]
    pub fn worker(&self, name: &str) -> Option<WorkerId> {
        self.workers.iter().find(|(_, worker)| worker.name == name).map(|(id, _)| *id)
    }

    /// Part of the team's limit that a member holds, in slots.
    #[must_use]
    pub fn hold(&self, team: TeamId, member: MemberId) -> u32 {
        self.holds.get(&(team, member)).copied().unwrap_or(0)
    }

    /// Members that have neither left nor gone.
    pub fn live_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|(_, m)| m.state == MemberState::Live).map(|(id, _)| *id)
    }
}
